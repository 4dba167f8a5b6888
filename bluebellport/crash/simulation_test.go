package bbcrash

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// simulation is a fleet of trackers in one process, with a clock of its own and
// a network that delays and loses messages. Runs with the same seed are equal.
type simulation struct {
	rng    *rand.Rand
	clock  time.Time
	queue  eventQueue
	loss   float64 // probability that a message is lost
	store  Store
	nodes  []*simNode
	epoch  int // of the membership
	killed map[*simNode]time.Time

	messages, bytes int
	targets         int64 // started so far
}

// simNode is one instance.
type simNode struct {
	sim       *simulation
	member    bbmember.Member
	tracker   *Tracker
	up        bool
	cut       bool // from all instances that are not cut
	calmSince time.Time
	view      *bbmember.View // of viewEpoch
	viewEpoch int
	handler   func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
}

// event is a function to be called at a time. The number orders those at the
// same time.
type event struct {
	at     time.Time
	number int
	fn     func()
}

type eventQueue struct {
	events []event
	number int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.number < b.number
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

const (
	simDomains    = 5
	simLatency    = 5 * time.Millisecond
	simSuspicion  = 5 * time.Second // until a member that does not answer leaves the view
	simContact    = 4 * time.Second // after which a calm instance has to know what the fleet knows
	simCrashDelay = 5 * time.Millisecond
)

func newSimulation(n int, loss float64, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), clock: time.Unix(1e9, 0), loss: loss, store: bbstore.NewMem(), killed: map[*simNode]time.Time{}}
	for range n {
		s.addNode()
	}
	return s
}

// addNode starts a new instance.
func (s *simulation) addNode() {
	i := len(s.nodes)
	member := bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("i%d", i)), Domain: bbunit.DomainID(fmt.Sprintf("d%d", i%simDomains))}
	n := &simNode{sim: s, member: member}
	s.nodes = append(s.nodes, n)
	s.start(n)
}

// start starts an instance that knows nothing.
func (s *simulation) start(n *simNode) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.up, n.calmSince = true, s.clock
	n.member.Inc++
	delete(s.killed, n)
	s.epoch++
	n.tracker = New(Config{
		Threshold: 2, Network: n, Store: s.store, StoreKey: "refused", Now: func() time.Time { return s.clock }, Rand: s.rng.IntN,
		Log: log, Metrics: metrics.NewRegistry(),
	})
	s.every(n, tickInterval, func() { n.tracker.Tick() })
	s.every(n, copyCheckInterval, func() { _ = n.tracker.syncCopy(context.Background()) })
}

// kill ends an instance.
func (s *simulation) kill(n *simNode) {
	n.up = false
	s.killed[n] = s.clock
	s.after(simSuspicion, func() { s.epoch++ })
}

// killShare kills a share of the instances, which start again later.
func (s *simulation) killShare(share float64, down time.Duration) {
	for _, i := range s.rng.Perm(len(s.nodes))[:int(share*float64(len(s.nodes)))] {
		if n := s.nodes[i]; n.up {
			s.kill(n)
			s.after(down, func() { s.start(n) })
		}
	}
}

// cutDomain cuts a failure domain off for a time.
func (s *simulation) cutDomain(domain bbunit.DomainID, duration time.Duration) {
	set := func(cut bool) {
		s.epoch++
		for _, n := range s.nodes {
			if n.member.Domain == domain {
				n.cut, n.calmSince = cut, s.clock
			}
		}
	}
	set(true)
	s.after(simSuspicion, func() { s.epoch++ })
	s.after(duration, func() {
		set(false)
		s.after(2*time.Second, func() { s.epoch++ }) // until the members see each other again
	})
}

// every calls fn at each interval as long as this run of the instance lasts.
func (s *simulation) every(n *simNode, interval time.Duration, fn func()) {
	inc := n.member.Inc
	var again func()
	again = func() {
		if n.up && n.member.Inc == inc {
			fn()
			s.after(interval, again)
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(interval))), again)
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.queue.number++
	heap.Push(&s.queue, event{s.clock.Add(d), s.queue.number, fn})
}

// run advances the clock.
func (s *simulation) run(d time.Duration) {
	end := s.clock.Add(d)
	for len(s.queue.events) > 0 && !s.queue.events[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.clock = e.at
		e.fn()
	}
	s.clock = end
}

// skip advances the clock without running anything meanwhile.
func (s *simulation) skip(d time.Duration) {
	s.clock = s.clock.Add(d)
	for i := range s.queue.events {
		s.queue.events[i].at = s.queue.events[i].at.Add(d)
	}
}

// Send delivers a message later, unless it is lost.
func (n *simNode) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	s := n.sim
	s.messages++
	s.bytes += proto.Size(e)
	if s.rng.Float64() < s.loss {
		return nil
	}
	for _, receiver := range s.nodes {
		if receiver.member.ID == to {
			s.after(simLatency+time.Duration(s.rng.Int64N(int64(simLatency))), func() {
				if receiver.up && receiver.cut == n.cut {
					receiver.handler(n.member.ID, e)
				}
			})
		}
	}
	return nil
}

func (n *simNode) Handle(_ *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	n.handler = fn
}

// View returns the members that the instance believes to live.
func (n *simNode) View() *bbmember.View {
	s := n.sim
	if n.viewEpoch == s.epoch {
		return n.view
	}
	v := &bbmember.View{Self: n.member}
	for _, other := range s.nodes {
		killedAt, dead := s.killed[other]
		gone := dead && s.clock.Sub(killedAt) >= simSuspicion
		cutOff := other.cut != n.cut && s.clock.Sub(later(other.calmSince, n.calmSince)) >= simSuspicion
		if !gone && !cutOff {
			v.Members = append(v.Members, other.member)
		}
	}
	n.view, n.viewEpoch = v, s.epoch
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newRun starts a target.
func (s *simulation) newRun() TargetRun {
	s.targets++
	return TargetRun{ID: bbunit.TargetID(fmt.Sprintf("i-%08x", s.targets)), StartedAtMillis: 1e12 + s.targets}
}

// crashTarget ends a target with requests in flight since sentAt, at random
// instances.
func (s *simulation) crashTarget(run TargetRun, fingerprints []uint64, sentAt time.Time) {
	brokenAt := s.clock
	for _, fingerprint := range fingerprints {
		if n := s.randomNode(); n != nil {
			s.after(simCrashDelay, func() {
				if n.up {
					n.tracker.RecordCrash(Observation{Fingerprint: fingerprint, Run: run, SentAt: sentAt, BrokenAt: brokenAt})
				}
			})
		}
	}
}

// inTouch reports whether the instance has run and not been cut off for
// simContact.
func (n *simNode) inTouch() bool { return !n.cut && n.sim.clock.Sub(n.calmSince) > simContact }

// randomNode returns a random live instance, nil if there is none.
func (s *simulation) randomNode() *simNode {
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if s.nodes[i].up {
			return s.nodes[i]
		}
	}
	return nil
}
