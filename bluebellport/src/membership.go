package bbport

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbhead"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// membership passes the platform's list, Hellos, gossip and contacts to the
// membership state machine (bbmember.Fleet), carries out the actions that it
// returns and publishes Board.View.
type membership struct {
	peers  *Peers
	deps   Deps
	client *fasthttp.Client
	gossip *gossip

	mu        sync.Mutex // guards fleet
	fleet     *bbmember.Fleet
	leaveSent bool

	listDown    bool // used only by the goroutine of pollList
	memberCount metrics.Gauge
	listErrors  metrics.Counter
}

func newMembership(peers *Peers, deps Deps) *membership {
	self := deps.Board.View.Load().Self
	if !bbmember.ValidAddress(self.Address) {
		self.Address = peers.ln.Addr().String()
	}
	rng := rand.New(rand.NewPCG(uint64(self.Inc), xxhash.Sum64String(string(self.ID))))
	fleetConfig := bbmember.DefaultConfig(deps.Opts.Peer.GossipPeriod, deps.Opts.Peer.SuspicionTimeout)
	m := &membership{
		peers: peers, deps: deps,
		client:      newListClient(),
		fleet:       bbmember.NewFleet(self, fleetConfig, deps.Now(), rng),
		memberCount: metrics.GetOrRegisterGauge("peer.members", deps.Metrics),
		listErrors:  metrics.GetOrRegisterCounter("peer.list.bad", deps.Metrics),
	}
	m.gossip = newGossip(peers, m)
	deps.Board.View.Store(m.fleet.View())
	return m
}

// run polls the list on a goroutine of its own, and ticks the state machine
// every gossip period until Peers is closed.
func (m *membership) run() {
	m.peers.wg.Go(m.pollList)
	t := time.NewTicker(m.deps.Opts.Peer.GossipPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.tick()
		case <-m.peers.ctx.Done():
			return
		}
	}
}

func (m *membership) tick() {
	if m.deps.Board.Draining.Load() {
		m.leave()
	}
	contacts := m.peers.recentContacts()
	m.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordContact(now, contacts) })
	actions := m.update(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Tick(now) })
	m.gossip.sendRound(actions.Send)
	m.execute(bbmember.Actions{Probe: actions.Probe, Superseded: actions.Superseded})
}

// leave announces that this instance leaves. Later calls do nothing.
func (m *membership) leave() {
	m.mu.Lock()
	alreadySent := m.leaveSent
	m.leaveSent = true
	m.mu.Unlock()
	if !alreadySent {
		m.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Leave(now) })
	}
}

// update applies an event to the state machine and publishes the view if it has
// changed. The caller executes the returned actions.
func (m *membership) update(fn func(f *bbmember.Fleet, now time.Time) bbmember.Actions) bbmember.Actions {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := fn(m.fleet, m.deps.Now())
	if actions.View != nil {
		m.deps.Board.View.Store(actions.View)
		m.memberCount.Update(int64(len(actions.View.Members)))
	}
	return actions
}

// apply applies an event to the state machine and executes the returned
// actions.
func (m *membership) apply(fn func(f *bbmember.Fleet, now time.Time) bbmember.Actions) {
	m.execute(m.update(fn))
}

func (m *membership) execute(actions bbmember.Actions) {
	for _, msg := range actions.Send {
		m.gossip.sendUrgent(msg)
	}
	for _, id := range actions.Probe {
		m.peers.probeInBackground(id)
	}
	if actions.MalformedReports > 0 {
		m.peers.dropped.Inc(int64(actions.MalformedReports))
		m.deps.Log.WithField("reports", actions.MalformedReports).Warn("malformed member reports dropped")
	}
	if actions.Superseded {
		m.deps.Log.Error("a later instance has this instance's name")
	}
}

// address returns the address of an instance, and false if it is not known.
func (m *membership) address(id bbunit.InstanceID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Address(id)
}

// handleHello handles the Hello of a new session.
func (m *membership) handleHello(h *bbwire.Hello) {
	peer := bbmember.Member{
		ID: bbunit.InstanceID(h.Instance), Inc: bbunit.Incarnation(h.Inc),
		Domain: bbunit.DomainID(h.Domain), Address: h.Address, LinkMbps: h.Link,
	}
	m.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.HandleHello(now, peer) })
	for _, gossiper := range m.gossip.currentGossipers() {
		gossiper.HandleGossip(peer.ID, &bbwire.Gossip{Number: h.Number})
	}
}

func (m *membership) recordFailure(id bbunit.InstanceID) {
	m.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordFailure(now, id) })
}

// pollList reads the platform's list repeatedly. The larger the list, the
// longer the interval, so that it reads no more than maxListReadRate.
func (m *membership) pollList() {
	if m.deps.Opts.Self.ListAddress == "" {
		return
	}
	for {
		size := m.readList()
		wait := max(minListPeriods*m.deps.Opts.Peer.GossipPeriod, time.Duration(size)*time.Second/maxListReadRate)
		select {
		case <-time.After(wait):
		case <-m.peers.ctx.Done():
			return
		}
	}
}

// newListClient returns an HTTP client for the platform's list.
func newListClient() *fasthttp.Client {
	return &fasthttp.Client{Dial: bbhead.Dial, MaxResponseBodySize: maxListBytes, ReadTimeout: listTimeout, WriteTimeout: listTimeout}
}

// fetchList returns the platform's list, as it is encoded. It blocks for up to listTimeout.
func fetchList(client *fasthttp.Client, address string) ([]byte, error) {
	code, body, err := client.GetTimeout(nil, "http://"+address+"/v1/instances", listTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if code != fasthttp.StatusOK {
		return nil, errors.Errorf("list of instances answered with status %d", code)
	}
	return body, nil
}

// readList reads the list once and returns its size in bytes, or 0 if it is not
// available.
func (m *membership) readList() int {
	body, err := fetchList(m.client, m.deps.Opts.Self.ListAddress)
	if err != nil {
		if !m.listDown {
			m.deps.Log.WithError(err).Warn("list of instances unavailable; going on from peers")
		}
		m.listDown = true
		return 0
	}
	list, malformed, err := bbmember.ParseList(body)
	for _, b := range append(malformed, err) {
		if b != nil {
			m.listErrors.Inc(1)
			m.deps.Log.WithError(b).Warn("list of instances: dropped")
		}
	}
	if err != nil {
		return len(body)
	}
	if m.listDown {
		m.deps.Log.Info("list of instances is back")
	}
	m.listDown = false
	m.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
	return len(body)
}
