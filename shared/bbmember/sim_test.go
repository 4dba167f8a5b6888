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
	instances   []*simInstance
	byID        map[bbunit.InstanceID]*simInstance
	partitioned func(a, b *simInstance) bool
	probes      int
	lost        int // members that left a view while they were up
}

type simInstance struct {
	*Fleet
	Member
	down      bool
	bytesSent int // bytes of gossip
}

func newSim(n, domains int, seed uint64) *sim {
	s := &sim{
		cfg: DefaultConfig(time.Second, 5*time.Second), rng: rand.New(rand.NewPCG(seed, 1)),
		now: simStart, byID: map[bbunit.InstanceID]*simInstance{}, partitioned: func(_, _ *simInstance) bool { return false },
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
	for _, instance := range s.instances {
		s.perform(instance, instance.UpdateList(s.now, list))
	}
	return s
}

func (s *sim) start(m Member) *simInstance {
	instance := &simInstance{Fleet: NewFleet(m, s.cfg, s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2))), Member: m}
	s.instances = append(s.instances, instance)
	s.byID[m.ID] = instance
	return instance
}

// perform executes the actions of an instance. Messages arrive immediately.
func (s *sim) perform(instance *simInstance, a Actions) {
	for _, msg := range a.Send {
		to := s.byID[msg.To]
		instance.bytesSent += proto.Size(&bbwire.Gossip{Number: 1 << 20, Members: Encode(msg.Reports)})
		if s.reachable(instance, to) {
			s.perform(to, to.HandleGossip(s.now, msg.Reports))
			s.perform(to, to.RecordContact(s.now, []Member{instance.Member}))
			continue
		}
		s.perform(instance, instance.RecordFailure(s.now, msg.To))
	}
	for _, id := range a.Probe {
		s.probes++
		to := s.byID[id]
		if s.reachable(instance, to) {
			s.perform(instance, instance.HandleHello(s.now, to.Member))
			s.perform(to, to.HandleHello(s.now, instance.Member))
			continue
		}
		s.perform(instance, instance.RecordFailure(s.now, id))
	}
}

func (s *sim) reachable(a, b *simInstance) bool { return b != nil && !b.down && !s.partitioned(a, b) }

// run simulates whole periods. In each, the instances tick in random order.
func (s *sim) run(periods int) {
	for range periods {
		s.now = s.now.Add(s.cfg.Period)
		for _, i := range s.rng.Perm(len(s.instances)) {
			if instance := s.instances[i]; !instance.down {
				s.perform(instance, instance.Tick(s.now))
			}
		}
	}
}

// runUntil runs until the condition holds for every instance that is up. It
// returns the number of periods that took, or -1 after maxPeriods.
func (s *sim) runUntil(maxPeriods int, condition func(instance *simInstance) bool) int {
	for i := range maxPeriods {
		all := true
		for _, instance := range s.instances {
			all = all && (instance.down || condition(instance))
		}
		if all {
			return i
		}
		s.run(1)
	}
	return -1
}

// missingPairs counts the pairs of running instances of which the first does not
// have the second in its view.
func (s *sim) missingPairs() int {
	n := 0
	for _, instance := range s.instances {
		for _, other := range s.instances {
			if _, ok := instance.View().Find(other.Member.ID); !instance.down && !other.down && !ok {
				n++
			}
		}
	}
	return n
}
