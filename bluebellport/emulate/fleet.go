// Package bbemulate runs a fleet of instances in one process, on a clock of its
// own and a network that delays and loses messages, for tests of what instances
// decide together. Runs with the same seed are equal.
package bbemulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

const (
	// domainCount is the number of failure domains.
	domainCount = 5
	// defaultLatency is the Latency of a new fleet.
	defaultLatency = time.Millisecond
	// suspicion is how long a member that does not answer stays in the view,
	// rejoin how long after a cut the members see each other again.
	suspicion = 5 * time.Second
	rejoin    = 2 * time.Second
	// knownShare is of how many members an instance whose list lags knows one.
	knownShare = 8
)

// Fleet is a fleet of instances.
type Fleet struct {
	Rand *rand.Rand
	// Loss is the probability that a message is lost.
	Loss float64
	// Latency is the least time of a message on its way; up to as much is added.
	Latency time.Duration
	// Lag is how long an instance that starts knows only some of the members.
	Lag   time.Duration
	Nodes []*Node
	// Messages and Bytes count what was sent.
	Messages, Bytes int

	start func(n *Node)
	clock time.Time
	queue eventQueue
	epoch int // of the membership
	byID  map[bbunit.InstanceID]*Node
}

// Node is one instance.
type Node struct {
	Member bbmember.Member
	Up     bool
	// Cut means that it is cut off from all instances that are not.
	Cut bool
	// CalmSince is when it last started, or a cut of it began or ended.
	CalmSince time.Time
	// LinkRate is what its link carries in each direction, in bytes a second, 0 for no
	// limit.
	LinkRate float64
	// Sent counts the bytes that it has sent.
	Sent int

	fleet     *Fleet
	up, down  time.Time // when what waits for its link has passed
	killedAt  time.Time
	view      *bbmember.View // of viewEpoch
	viewEpoch int
	handler   func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
}

// NewFleet returns a fleet of n instances. Each calls start when it starts, and
// again whenever it was killed and starts anew.
func NewFleet(n int, loss float64, seed uint64, start func(n *Node)) *Fleet {
	f := &Fleet{
		Rand: rand.New(rand.NewPCG(seed, 0)), Loss: loss, Latency: defaultLatency, start: start, clock: time.Unix(1e9, 0), byID: map[bbunit.InstanceID]*Node{},
	}
	for range n {
		f.Add()
	}
	return f
}

// Now returns the fleet's time.
func (f *Fleet) Now() time.Time { return f.clock }

// Add starts one more instance.
func (f *Fleet) Add() {
	i := len(f.Nodes)
	n := &Node{fleet: f, Member: bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("i%d", i)), Domain: bbunit.DomainID(fmt.Sprintf("d%d", i%domainCount))}}
	f.Nodes = append(f.Nodes, n)
	f.byID[n.Member.ID] = n
	f.Start(n)
}

// Start starts an instance that was killed.
func (f *Fleet) Start(n *Node) {
	n.Up, n.CalmSince, n.killedAt = true, f.clock, time.Time{}
	n.Member.Inc++
	f.epoch++
	f.After(f.Lag, func() { f.epoch++ })
	f.start(n)
}

// KillShare kills a share of the instances, which start again after down.
func (f *Fleet) KillShare(share float64, down time.Duration) {
	for _, i := range f.Rand.Perm(len(f.Nodes))[:int(share*float64(len(f.Nodes)))] {
		n := f.Nodes[i]
		if !n.Up {
			continue
		}
		f.Kill(n)
		f.After(down, func() { f.Start(n) })
	}
}

// Kill ends an instance.
func (f *Fleet) Kill(n *Node) {
	n.Up, n.killedAt = false, f.clock
	f.After(suspicion, func() { f.epoch++ })
}

// CutDomain cuts a failure domain off for a time.
func (f *Fleet) CutDomain(domain bbunit.DomainID, duration time.Duration) {
	f.setCut(domain, true)
	f.After(suspicion, func() { f.epoch++ })
	f.After(duration, func() { f.setCut(domain, false) })
	f.After(duration+rejoin, func() { f.epoch++ })
}

// SetCut cuts an instance off from those that are not, or ends that.
func (f *Fleet) SetCut(n *Node, cut bool) {
	f.epoch++
	n.Cut, n.CalmSince = cut, f.clock
	f.After(suspicion, func() { f.epoch++ })
}

func (f *Fleet) setCut(domain bbunit.DomainID, cut bool) {
	f.epoch++
	for _, n := range f.Nodes {
		if n.Member.Domain == domain {
			n.Cut, n.CalmSince = cut, f.clock
		}
	}
}

// ByID returns an instance, nil if there is none.
func (f *Fleet) ByID(id bbunit.InstanceID) *Node { return f.byID[id] }

// RandomNode returns a random running instance, nil if there is none.
func (f *Fleet) RandomNode() *Node {
	for _, i := range f.Rand.Perm(len(f.Nodes)) {
		if f.Nodes[i].Up {
			return f.Nodes[i]
		}
	}
	return nil
}

// After calls fn after a time.
func (f *Fleet) After(d time.Duration, fn func()) {
	f.queue.number++
	heap.Push(&f.queue, event{f.clock.Add(d), f.queue.number, fn})
}

// Run advances the clock.
func (f *Fleet) Run(d time.Duration) {
	end := f.clock.Add(d)
	for len(f.queue.events) > 0 && !f.queue.events[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.clock = e.at
		e.fn()
	}
	f.clock = end
}

// Skip advances the clock without running anything meanwhile.
func (f *Fleet) Skip(d time.Duration) {
	f.clock = f.clock.Add(d)
	for i := range f.queue.events {
		f.queue.events[i].at = f.queue.events[i].at.Add(d)
	}
}

// Every calls fn at each interval as long as this run of the instance lasts.
func (n *Node) Every(interval time.Duration, fn func()) {
	f, inc := n.fleet, n.Member.Inc
	var again func()
	again = func() {
		if n.Up && n.Member.Inc == inc {
			fn()
			f.After(interval, again)
		}
	}
	f.After(time.Duration(f.Rand.Int64N(int64(interval))), again)
}

// InTouch reports whether the instance has run and not been cut off for a time.
func (n *Node) InTouch(contact time.Duration) bool {
	return n.Up && !n.Cut && n.fleet.clock.Sub(n.CalmSince) > contact
}

// Send delivers a message later, unless it is lost.
func (n *Node) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	f := n.fleet
	size := proto.Size(e)
	f.Messages++
	f.Bytes += size
	n.Sent += size
	sent := n.pass(&n.up, size)
	if f.Rand.Float64() < f.Loss {
		return nil
	}
	receiver := f.byID[to]
	f.After(sent+f.Latency+time.Duration(f.Rand.Int64N(int64(f.Latency))), func() {
		receiver.Receive(size, func() {
			if receiver.Up && receiver.Cut == n.Cut {
				receiver.Deliver(n.Member.ID, e)
			}
		})
	})
	return nil
}

// Receive calls fn once so many bytes have come in over the instance's link.
func (n *Node) Receive(size int, fn func()) {
	if wait := n.pass(&n.down, size); wait > 0 {
		n.fleet.After(wait, fn)
		return
	}
	fn()
}

// pass returns how long it takes until so many bytes have passed one direction of the
// link, after all that waits for it.
func (n *Node) pass(free *time.Time, size int) time.Duration {
	if n.LinkRate <= 0 {
		return 0
	}
	*free = later(*free, n.fleet.clock).Add(time.Duration(float64(size) / n.LinkRate * float64(time.Second)))
	return free.Sub(n.fleet.clock)
}

// Deliver hands a message to the instance at once.
func (n *Node) Deliver(from bbunit.InstanceID, e *bbwire.Envelope) { n.handler(from, e) }

// Handle sets the function that gets the messages to this instance.
func (n *Node) Handle(_ *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	n.handler = fn
}

// View returns the members that the instance believes to live.
func (n *Node) View() *bbmember.View {
	f := n.fleet
	if n.view != nil && n.viewEpoch == f.epoch {
		return n.view
	}
	v := &bbmember.View{Self: n.Member}
	lags := f.clock.Sub(n.CalmSince) < f.Lag
	for i, other := range f.Nodes {
		if lags && other != n && (i+int(n.Member.Inc))%knownShare != 0 {
			continue
		}
		gone := !other.Up && f.clock.Sub(other.killedAt) >= suspicion
		cutOff := other.Cut != n.Cut && f.clock.Sub(later(other.CalmSince, n.CalmSince)) >= suspicion
		if !gone && !cutOff {
			v.Members = append(v.Members, other.Member)
		}
	}
	n.view, n.viewEpoch = v, f.epoch
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
