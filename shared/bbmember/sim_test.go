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

// sim simulates a fleet: it runs the membership state machines of many
// instances in one goroutine, with a simulated clock.
type sim struct {
	cfg         Config
	rng         *rand.Rand
	now         time.Time
	nodes       []*simNode
	byID        map[bbunit.InstanceID]*simNode
	partitioned func(a, b *simNode) bool
	probes      int
	lost        int // members that left a view while they were up
}

type simNode struct {
	*Fleet
	Member
	down      bool
	bytesSent int // bytes of gossip
}

func newSim(n, domains int, seed uint64) *sim {
	s := &sim{
		cfg: DefaultConfig(time.Second, 5*time.Second), rng: rand.New(rand.NewPCG(seed, 1)),
		now: simStart, byID: map[bbunit.InstanceID]*simNode{}, partitioned: func(_, _ *simNode) bool { return false },
	}
	var list []ListEntry
	for i := range n {
		m := Member{
			ID: bbunit.InstanceID(fmt.Sprintf("entry-%04d", i)), Inc: bbunit.Incarnation(s.rng.Uint64()),
			Domain: bbunit.DomainID(fmt.Sprintf("region-%c-%d", 'a'+i%domains%9, i%domains)), Address: fmt.Sprintf("10.1.%d.%d:8082", i/250, i%250+1),
		}
		s.start(m)
		list = append(list, ListEntry{ID: m.ID, Domain: m.Domain, Address: m.Address})
	}
	for _, node := range s.nodes {
		s.perform(node, node.UpdateList(s.now, list))
	}
	return s
}

func (s *sim) start(m Member) *simNode {
	node := &simNode{Fleet: NewFleet(m, s.cfg, s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2))), Member: m}
	s.nodes = append(s.nodes, node)
	s.byID[m.ID] = node
	return node
}

// perform executes the actions of a node. Messages arrive immediately.
func (s *sim) perform(node *simNode, a Actions) {
	for _, msg := range a.Send {
		to := s.byID[msg.To]
		node.bytesSent += proto.Size(&bbwire.Gossip{Number: 1 << 20, Members: Encode(msg.Reports)})
		if s.reachable(node, to) {
			s.perform(to, to.HandleGossip(s.now, msg.Reports))
			s.perform(to, to.RecordContact(s.now, []Member{node.Member}))
			continue
		}
		s.perform(node, node.RecordFailure(s.now, msg.To))
	}
	for _, id := range a.Probe {
		s.probes++
		to := s.byID[id]
		if s.reachable(node, to) {
			s.perform(node, node.HandleHello(s.now, to.Member))
			s.perform(to, to.HandleHello(s.now, node.Member))
			continue
		}
		s.perform(node, node.RecordFailure(s.now, id))
	}
}

func (s *sim) reachable(a, b *simNode) bool { return b != nil && !b.down && !s.partitioned(a, b) }

// run simulates whole periods. In each, the nodes tick in random order.
func (s *sim) run(periods int) {
	for range periods {
		s.now = s.now.Add(s.cfg.Period)
		for _, i := range s.rng.Perm(len(s.nodes)) {
			if node := s.nodes[i]; !node.down {
				s.perform(node, node.Tick(s.now))
			}
		}
	}
}

// runUntil runs until the condition holds for every node that is up. It returns
// the number of periods that took, or -1 after maxPeriods.
func (s *sim) runUntil(maxPeriods int, condition func(node *simNode) bool) int {
	for i := range maxPeriods {
		all := true
		for _, node := range s.nodes {
			all = all && (node.down || condition(node))
		}
		if all {
			return i
		}
		s.run(1)
	}
	return -1
}

// missingPairs counts the pairs of running nodes of which the first does not
// have the second in its view.
func (s *sim) missingPairs() int {
	n := 0
	for _, node := range s.nodes {
		for _, other := range s.nodes {
			if _, ok := node.View().Find(other.Member.ID); !node.down && !other.down && !ok {
				n++
			}
		}
	}
	return n
}
