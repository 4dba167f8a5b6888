package bbport

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// membership is the controller of the fleet: it feeds the list, greetings and
// gossip to the decision core, and publishes Board.View.
type membership struct {
	peers  *Peers
	deps   Deps
	client *fasthttp.Client
	gossip *gossip

	mu        sync.Mutex // guards fleet
	fleet     *bbmember.Fleet
	leaveSent bool

	listDown    bool // used by the polling goroutine only
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
		client:      &fasthttp.Client{MaxResponseBodySize: maxListBytes, ReadTimeout: listTimeout, WriteTimeout: listTimeout},
		fleet:       bbmember.NewFleet(self, fleetConfig, deps.Now(), rng),
		memberCount: metrics.GetOrRegisterGauge("peer.members", deps.Metrics),
		listErrors:  metrics.GetOrRegisterCounter("peer.list.bad", deps.Metrics),
	}
	m.gossip = newGossip(peers, m)
	deps.Board.View.Store(m.fleet.View())
	return m
}

// run ticks the core, and polls the list beside it.
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
	m.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordContact(now, contacts) })
	actions := m.update(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Tick(now) })
	m.gossip.sendRound(actions.Send)
	m.execute(bbmember.Actions{Probe: actions.Probe, Superseded: actions.Superseded})
}

// leave tells the fleet, once, that this instance leaves.
func (m *membership) leave() {
	m.mu.Lock()
	alreadySent := m.leaveSent
	m.leaveSent = true
	m.mu.Unlock()
	if !alreadySent {
		m.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Leave(now) })
	}
}

// update runs one event through the core and publishes the view.
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

// dispatch runs one event through the core and carries out what it asks for.
func (m *membership) dispatch(fn func(f *bbmember.Fleet, now time.Time) bbmember.Actions) {
	m.execute(m.update(fn))
}

func (m *membership) execute(actions bbmember.Actions) {
	for _, msg := range actions.Send {
		m.gossip.sendUrgent(msg)
	}
	for _, id := range actions.Probe {
		m.peers.probeInBackground(id)
	}
	if actions.Dropped > 0 {
		m.peers.dropped.Inc(int64(actions.Dropped))
		m.deps.Log.WithField("reports", actions.Dropped).Warn("malformed member reports dropped")
	}
	if actions.Superseded {
		m.deps.Log.Error("a later instance has this instance's name")
	}
}

// address returns where an instance is reached.
func (m *membership) address(id bbunit.InstanceID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Address(id)
}

// handleHello takes the Hello of a fresh session.
func (m *membership) handleHello(h *bbwire.Hello) {
	peer := bbmember.Member{
		ID: bbunit.InstanceID(h.Instance), Inc: bbunit.Incarnation(h.Inc),
		Domain: bbunit.DomainID(h.Domain), Address: h.Address,
	}
	m.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.HandleHello(now, peer) })
	for _, gossiper := range m.gossip.currentGossipers() {
		gossiper.Take(peer.ID, &bbwire.Gossip{Number: h.Number})
	}
}

func (m *membership) recordFailure(id bbunit.InstanceID) {
	m.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordFailure(now, id) })
}

// pollList reads the platform's list, the more seldom the larger it is, so that it
// costs no more than listRate.
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

// readList reads the list once and returns its size in bytes.
func (m *membership) readList() int {
	code, body, err := m.client.GetTimeout(nil, "http://"+m.deps.Opts.Self.ListAddress+"/v1/instances", listTimeout)
	if err != nil || code != fasthttp.StatusOK {
		if !m.listDown {
			m.deps.Log.WithError(err).WithField("status", code).Warn("list of instances unavailable; going on from peers")
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
	m.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
	return len(body)
}
