package bbport

import (
	"context"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// LoopBus joins buses in memory, with links that tests cut, and frames that
// tests drop.
type LoopBus struct {
	mu      sync.Mutex
	members map[bbunit.InstanceID]*loopMember
	cuts    map[[2]bbunit.InstanceID]bool
	drop    func(from, to bbunit.InstanceID, e *bbwire.Envelope) bool
}

// NewLoopBus returns a network without members.
func NewLoopBus() *LoopBus {
	return &LoopBus{members: map[bbunit.InstanceID]*loopMember{}, cuts: map[[2]bbunit.InstanceID]bool{}}
}

// loopMember is one member's Bus. Its handlers run one at a time, in order.
type loopMember struct {
	dispatcher
	id  bbunit.InstanceID
	inc bbunit.Incarnation
	net *LoopBus
	in  chan *bbwire.Envelope
}

// Join adds a member until the test ends or Leave; a second Join of an id
// replaces the first.
func (l *LoopBus) Join(t testing.TB, id bbunit.InstanceID, inc bbunit.Incarnation) Bus {
	n := &loopMember{id: id, inc: inc, net: l, in: make(chan *bbwire.Envelope, 1024)}
	l.mu.Lock()
	l.members[id] = n
	l.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { n.run(stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	return n
}

// Leave takes a member off the network.
func (l *LoopBus) Leave(id bbunit.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, id)
}

// Cut cuts or mends the link between two members, both ways.
func (l *LoopBus) Cut(a, b bbunit.InstanceID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]bbunit.InstanceID{a, b}], l.cuts[[2]bbunit.InstanceID{b, a}] = cut, cut
}

// Drop sets which frames are lost in silence; nil loses none.
func (l *LoopBus) Drop(fn func(from, to bbunit.InstanceID, e *bbwire.Envelope) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = fn
}

func (n *loopMember) run(stop chan struct{}) {
	for {
		select {
		case e := <-n.in:
			from := bbunit.InstanceID(e.From)
			_ = n.deliver(from, e, func(r *bbwire.Envelope) { _ = n.Send(from, r) })
		case <-stop:
			return
		}
	}
}

// Send delivers a copy of e; ErrPeer when the link is cut or the member gone.
func (n *loopMember) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	c := proto.Clone(e).(*bbwire.Envelope)
	c.From, c.Inc = string(n.id), uint64(n.inc)
	n.net.mu.Lock()
	peer, drop := n.net.members[to], n.net.drop
	cut := n.net.cuts[[2]bbunit.InstanceID{n.id, to}]
	n.net.mu.Unlock()
	if peer == nil || cut {
		return ErrPeerUnreachable
	}
	if drop != nil && drop(n.id, to, c) {
		return nil
	}
	select {
	case peer.in <- c:
		return nil
	default:
		return ErrPeerUnreachable
	}
}

// Call sends e and waits for the answer.
func (n *loopMember) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	return n.call(ctx, to, e, func(q *bbwire.Envelope) error { return n.Send(to, q) })
}

// Handle sets the handler of one kind of body.
func (n *loopMember) Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope) {
	n.handle(sample, fn)
}
