package bbmember

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs many fleets' cores against each other in one goroutine.
type sim struct {
	cfg    Config
	rnd    *rand.Rand
	now    time.Time
	nodes  []*simNode
	byID   map[bbunit.InstanceID]*simNode
	cut    func(a, b *simNode) bool
	probes int
	lost   int // members that left a view while they were up
}

type simNode struct {
	*Fleet
	Member
	down bool
	sent int // bytes of gossip
}

func newSim(n, domains int, seed uint64) *sim {
	s := &sim{
		cfg: DefaultConfig(time.Second, 5*time.Second), rnd: rand.New(rand.NewPCG(seed, 1)),
		now: simStart, byID: map[bbunit.InstanceID]*simNode{}, cut: func(_, _ *simNode) bool { return false },
	}
	var list []ListEntry
	for i := range n {
		m := Member{
			ID: bbunit.InstanceID(fmt.Sprintf("entry-%04d", i)), Inc: bbunit.Incarnation(s.rnd.Uint64()),
			Domain: bbunit.DomainID(fmt.Sprintf("region-%c-%d", 'a'+i%domains%9, i%domains)), Address: fmt.Sprintf("10.1.%d.%d:8082", i/250, i%250+1),
		}
		s.start(m)
		list = append(list, ListEntry{ID: m.ID, Domain: m.Domain, Address: m.Address})
	}
	for _, d := range s.nodes {
		s.act(d, d.UpdateList(s.now, list))
	}
	return s
}

func (s *sim) start(m Member) *simNode {
	d := &simNode{Fleet: NewFleet(m, s.cfg, s.now, rand.New(rand.NewPCG(s.rnd.Uint64(), 2))), Member: m}
	s.nodes = append(s.nodes, d)
	s.byID[m.ID] = d
	return d
}

// act carries out what a core asks for; messages arrive at once.
func (s *sim) act(d *simNode, a Actions) {
	for _, msg := range a.Send {
		to := s.byID[msg.To]
		d.sent += proto.Size(&bbwire.Gossip{Number: 1 << 20, Members: Encode(msg.Reports)})
		if s.reach(d, to) {
			s.act(to, to.HandleGossip(s.now, msg.Reports))
			s.act(to, to.RecordContact(s.now, []Member{d.Member}))
			continue
		}
		s.act(d, d.RecordFailure(s.now, msg.To))
	}
	for _, id := range a.Probe {
		s.probes++
		to := s.byID[id]
		if s.reach(d, to) {
			s.act(d, d.HandleHello(s.now, to.Member))
			s.act(to, to.HandleHello(s.now, d.Member))
			continue
		}
		s.act(d, d.RecordFailure(s.now, id))
	}
}

func (s *sim) reach(a, b *simNode) bool { return b != nil && !b.down && !s.cut(a, b) }

// run passes whole periods, with the ticks of the nodes in random order.
func (s *sim) run(periods int) {
	for range periods {
		s.now = s.now.Add(s.cfg.Period)
		for _, i := range s.rnd.Perm(len(s.nodes)) {
			if d := s.nodes[i]; !d.down {
				s.act(d, d.Tick(s.now))
			}
		}
	}
}

// until runs until every node that is up passes ok, and returns the periods.
func (s *sim) until(most int, ok func(d *simNode) bool) int {
	for i := range most {
		good := true
		for _, d := range s.nodes {
			good = good && (d.down || ok(d))
		}
		if good {
			return i
		}
		s.run(1)
	}
	return -1
}

// missing counts the pairs in which one that is up lacks another that is up.
func (s *sim) missing() int {
	n := 0
	for _, d := range s.nodes {
		for _, o := range s.nodes {
			if _, ok := d.View().Find(o.Member.ID); !d.down && !o.down && !ok {
				n++
			}
		}
	}
	return n
}
