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
	parts  Parts
	client *fasthttp.Client
	gossip *gossip

	mu    sync.Mutex // guards fleet
	fleet *bbmember.Fleet
	left  bool

	listDown bool // used by the polling goroutine only
	size     metrics.Gauge
	badList  metrics.Counter
}

func newMembership(ps *Peers, p Parts) *membership {
	self := p.Board.View.Load().Self
	if !bbmember.ValidAddress(self.Address) {
		self.Address = ps.ln.Addr().String()
	}
	rnd := rand.New(rand.NewPCG(uint64(self.Inc), xxhash.Sum64String(string(self.ID))))
	cfg := bbmember.DefaultConfig(p.Opts.Peer.Period, p.Opts.Peer.Suspicion)
	m := &membership{
		peers: ps, parts: p,
		client:  &fasthttp.Client{MaxResponseBodySize: maxList, ReadTimeout: listTimeout, WriteTimeout: listTimeout},
		fleet:   bbmember.NewFleet(self, cfg, p.Now(), rnd),
		size:    metrics.GetOrRegisterGauge("peer.members", p.Metrics),
		badList: metrics.GetOrRegisterCounter("peer.list.bad", p.Metrics),
	}
	m.gossip = newGossip(ps, m)
	p.Board.View.Store(m.fleet.View())
	return m
}

// run ticks the core, and polls the list beside it.
func (m *membership) run() {
	m.peers.wg.Go(m.poll)
	t := time.NewTicker(m.parts.Opts.Peer.Period)
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
	if m.parts.Board.Draining.Load() {
		m.leave()
	}
	from := m.peers.heard()
	m.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordContact(now, from) })
	a := m.step(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Tick(now) })
	m.gossip.round(a.Send)
	m.act(bbmember.Actions{Probe: a.Probe, Superseded: a.Superseded})
}

// leave tells the fleet, once, that this instance leaves.
func (m *membership) leave() {
	m.mu.Lock()
	left := m.left
	m.left = true
	m.mu.Unlock()
	if !left {
		m.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.Leave(now) })
	}
}

// step runs one event through the core and publishes the view.
func (m *membership) step(fn func(f *bbmember.Fleet, now time.Time) bbmember.Actions) bbmember.Actions {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := fn(m.fleet, m.parts.Now())
	if a.View != nil {
		m.parts.Board.View.Store(a.View)
		m.size.Update(int64(len(a.View.Members)))
	}
	return a
}

// do runs one event through the core and carries out what it asks for.
func (m *membership) do(fn func(f *bbmember.Fleet, now time.Time) bbmember.Actions) {
	m.act(m.step(fn))
}

func (m *membership) act(a bbmember.Actions) {
	for _, msg := range a.Send {
		m.gossip.news(msg)
	}
	for _, id := range a.Probe {
		m.peers.probe(id)
	}
	if a.Dropped > 0 {
		m.peers.count.Inc(int64(a.Dropped))
		m.parts.Log.WithField("reports", a.Dropped).Warn("malformed member reports dropped")
	}
	if a.Superseded {
		m.parts.Log.Error("a later instance has this instance's name")
	}
}

// address returns where an instance is reached.
func (m *membership) address(id bbunit.InstanceID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Address(id)
}

// greeted takes the Hello of a fresh session.
func (m *membership) greeted(h *bbwire.Hello) {
	peer := bbmember.Member{
		ID: bbunit.InstanceID(h.Instance), Inc: bbunit.Incarnation(h.Inc),
		Domain: bbunit.DomainID(h.Domain), Address: h.Address,
	}
	m.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.HandleHello(now, peer) })
	for _, r := range m.gossip.heard() {
		r.Take(peer.ID, &bbwire.Gossip{Number: h.Number})
	}
}

func (m *membership) unreachable(id bbunit.InstanceID) {
	m.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.RecordFailure(now, id) })
}

// poll reads the platform's list, the more seldom the larger it is, so that it
// costs no more than listRate.
func (m *membership) poll() {
	if m.parts.Opts.Self.List == "" {
		return
	}
	for {
		size := m.list()
		wait := max(listRounds*m.parts.Opts.Peer.Period, time.Duration(size)*time.Second/listRate)
		select {
		case <-time.After(wait):
		case <-m.peers.ctx.Done():
			return
		}
	}
}

// list reads the list once and returns its size in bytes.
func (m *membership) list() int {
	code, body, err := m.client.GetTimeout(nil, "http://"+m.parts.Opts.Self.List+"/v1/instances", listTimeout)
	if err != nil || code != fasthttp.StatusOK {
		if !m.listDown {
			m.parts.Log.WithError(err).WithField("status", code).Warn("list of instances unavailable; going on from peers")
		}
		m.listDown = true
		return 0
	}
	list, bad, err := bbmember.ParseList(body)
	for _, b := range append(bad, err) {
		if b != nil {
			m.badList.Inc(1)
			m.parts.Log.WithError(b).Warn("list of instances: dropped")
		}
	}
	if err != nil {
		return len(body)
	}
	if m.listDown {
		m.parts.Log.Info("list of instances is back")
	}
	m.listDown = false
	m.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
	return len(body)
}
