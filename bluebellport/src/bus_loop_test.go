package bbport

import (
	"context"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// LoopBus connects Bus implementations in memory. Tests can cut its links and
// drop messages.
type LoopBus struct {
	mu      sync.Mutex
	members map[bbunit.InstanceID]*loopMember
	cuts    map[[2]bbunit.InstanceID]bool
	drop    func(from, to bbunit.InstanceID, e *bbwire.Envelope) bool
}

// NewLoopBus returns a LoopBus without members.
func NewLoopBus() *LoopBus {
	return &LoopBus{members: map[bbunit.InstanceID]*loopMember{}, cuts: map[[2]bbunit.InstanceID]bool{}}
}

// loopMember is the Bus of one member. Its handlers run one at a time, in the
// order in which envelopes arrive.
type loopMember struct {
	dispatcher
	id  bbunit.InstanceID
	inc bbunit.Incarnation
	net *LoopBus
	in  chan *bbwire.Envelope
}

// Join adds a member, which stays until the end of the test or a call of Leave.
// A second Join with the same id replaces the first.
func (l *LoopBus) Join(t testing.TB, id bbunit.InstanceID, inc bbunit.Incarnation) Bus {
	m := &loopMember{id: id, inc: inc, net: l, in: make(chan *bbwire.Envelope, 1024)}
	l.mu.Lock()
	l.members[id] = m
	l.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { m.run(stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	return m
}

// Leave removes a member.
func (l *LoopBus) Leave(id bbunit.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, id)
}

// Cut cuts or restores the link between two members in both directions.
func (l *LoopBus) Cut(a, b bbunit.InstanceID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]bbunit.InstanceID{a, b}], l.cuts[[2]bbunit.InstanceID{b, a}] = cut, cut
}

// Drop sets the condition under which envelopes are lost without an error to
// the sender; nil for none.
func (l *LoopBus) Drop(fn func(from, to bbunit.InstanceID, e *bbwire.Envelope) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = fn
}

func (m *loopMember) run(stop chan struct{}) {
	for {
		select {
		case e := <-m.in:
			from := bbunit.InstanceID(e.From)
			_ = m.deliver(from, e, func(reply *bbwire.Envelope) { _ = m.Send(from, reply) })
		case <-stop:
			return
		}
	}
}

// Send delivers a copy of e. It fails with ErrPeerUnreachable if the link is
// cut, or if the member has left or its queue is full.
func (m *loopMember) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	c := proto.Clone(e).(*bbwire.Envelope)
	c.From, c.Inc = string(m.id), uint64(m.inc)
	m.net.mu.Lock()
	peer, drop := m.net.members[to], m.net.drop
	cut := m.net.cuts[[2]bbunit.InstanceID{m.id, to}]
	m.net.mu.Unlock()
	if peer == nil || cut {
		return ErrPeerUnreachable
	}
	if drop != nil && drop(m.id, to, c) {
		return nil
	}
	select {
	case peer.in <- c:
		return nil
	default:
		return ErrPeerUnreachable
	}
}

// Call sends e and waits for the reply.
func (m *loopMember) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	return m.call(ctx, to, e, func(request *bbwire.Envelope) error { return m.Send(to, request) })
}

// Handle sets the handler of envelopes with the same type of body as sample.
func (m *loopMember) Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope) {
	m.handle(sample, fn)
}
