package bbport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Peers implements Bus over TCP, with one yamux session for each pair of
// instances, which is opened on demand and closed when idle. It also maintains
// the membership. Envelopes that are malformed, oversized or of an unknown type
// are logged, counted and dropped.
type Peers struct {
	dispatcher
	dropper
	deps      Deps
	tlsConfig *tls.Config // nil: no TLS
	ln        net.Listener
	links     sync.Map // bbunit.InstanceID -> *link
	streams   sync.Map // kind -> func(from, net.Conn)

	mu     sync.Mutex // guards creating and removing links
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	queueFull, unsent metrics.Counter
	bytesIn, bytesOut metrics.Counter
	members           *membership
	leftAt            atomic.Pointer[time.Time] // first call of Leave, nil before
}

// NewPeers listens for other instances and maintains Board.View. The returned
// function announces that this instance leaves, closes all sessions and waits
// for all goroutines.
func NewPeers(deps Deps) (*Peers, func(), error) {
	cfg, err := deps.Opts.Peer.tlsConfig()
	if err != nil {
		return nil, nil, err
	}
	ln, err := net.Listen("tcp", deps.Opts.Peer.ListenAddress)
	if err != nil {
		return nil, nil, errors.Annotate(err, "--peer")
	}
	peers := &Peers{deps: deps, tlsConfig: cfg, ln: ln}
	peers.dropper = dropper{log: deps.Log, dropped: metrics.GetOrRegisterCounter("peer.dropped", deps.Metrics)}
	peers.queueFull = metrics.GetOrRegisterCounter("peer.queue.full", deps.Metrics)
	peers.unsent = metrics.GetOrRegisterCounter("peer.unsent", deps.Metrics)
	peers.bytesIn = metrics.GetOrRegisterCounter("peer.bytes.in", deps.Metrics)
	peers.bytesOut = metrics.GetOrRegisterCounter("peer.bytes.out", deps.Metrics)
	peers.ctx, peers.cancel = context.WithCancel(context.Background())
	peers.members = newMembership(peers, deps)
	peers.wg.Go(peers.acceptConnections)
	peers.wg.Go(peers.members.run)
	return peers, peers.close, nil
}

func (p *Peers) close() {
	p.Leave()
	p.flush()
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	_ = p.ln.Close()
	p.wg.Wait()
}

// Leave announces to the fleet that this instance leaves. It does not block;
// later calls do nothing.
func (p *Peers) Leave() {
	p.leftAt.CompareAndSwap(nil, new(time.Now()))
	p.members.leave()
}

// flush waits until the queues to all peers are empty: up to leaveFlushTimeout from
// Leave on, and for lastFlushTimeout if that is over. A peer may not read.
func (p *Peers) flush() {
	deadline := p.leftAt.Load().Add(leaveFlushTimeout)
	if least := time.Now().Add(lastFlushTimeout); deadline.Before(least) {
		deadline = least
	}
	for ; time.Now().Before(deadline); time.Sleep(leaveFlushTimeout / 50) {
		pending := 0
		p.links.Range(func(_, l any) bool {
			pending += int(l.(*link).pending.Load())
			return true
		})
		if pending == 0 {
			return
		}
	}
}

// recentContacts returns the members from which something was received since
// the last call.
func (p *Peers) recentContacts() []bbmember.Member {
	var contacts []bbmember.Member
	p.links.Range(func(_, l any) bool {
		if m, ok := l.(*link).takeContact(); ok {
			contacts = append(contacts, m)
		}
		return true
	})
	return contacts
}

// probeInBackground checks that an instance can be reached. A failed attempt to
// connect is reported to the membership.
func (p *Peers) probeInBackground(id bbunit.InstanceID) {
	l, err := p.getOrCreateLink(id)
	if err != nil {
		return
	}
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, probeTimeout+dialTimeout)
		defer cancel()
		l.probe(ctx)
	})
}

// Address returns the address of the listener.
func (p *Peers) Address() string { return p.ln.Addr().String() }

func (p *Peers) self() bbmember.Member { return p.deps.Board.View.Load().Self }

// Send queues e for the instance. It does not block; e must not be changed
// afterwards. It fails with ErrPeerUnreachable if the instance is unknown or
// unreachable, or if the queue is full.
func (p *Peers) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	l, err := p.getOrCreateLink(to)
	if err != nil {
		return err
	}
	return l.enqueue(e)
}

// Call sends e and waits for the reply until ctx ends. It fails with
// ErrPeerUnreachable if there is none; e may have been delivered nevertheless.
func (p *Peers) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	reply, err := p.call(ctx, to, e, func(request *bbwire.Envelope) error { return p.Send(to, request) })
	if err != nil && ctx.Err() != nil {
		p.checkSession(to)
	}
	return reply, err
}

// checkSession probes the session with an instance that did not reply in time:
// an open connection can stop carrying traffic while new connections work.
func (p *Peers) checkSession(id bbunit.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.links.Load(id)
	if !ok || p.ctx.Err() != nil {
		return
	}
	if s := v.(*link).preferredSession(); s != nil {
		v.(*link).probeInBackground(s)
	}
}

// Handle sets the handler of envelopes with the same type of body as sample.
func (p *Peers) Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope) {
	p.handle(sample, fn)
}

// OpenStream opens a stream of the kind to the instance; the caller closes it.
// It blocks until ctx ends while a session is opened. If it fails with
// ErrPeerUnreachable, nothing was sent.
func (p *Peers) OpenStream(ctx context.Context, to bbunit.InstanceID, kind string) (net.Conn, error) {
	l, err := p.getOrCreateLink(to)
	if err != nil {
		return nil, err
	}
	s, err := l.getSession(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := openStream(s.mux, kind)
	if err != nil {
		return nil, errors.Annotatef(ErrPeerUnreachable, "stream to %s: %v", to, err)
	}
	s.touch()
	return stream, nil
}

// HandleStream sets the function that serves streams of the kind, each on its
// own goroutine. The stream is closed when the function returns.
func (p *Peers) HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn)) {
	p.streams.Store(kind, fn)
}

// getOrCreateLink returns the link to an instance, and creates one if the
// instance has a known address or is this instance.
func (p *Peers) getOrCreateLink(to bbunit.InstanceID) (*link, error) {
	if l, ok := p.links.Load(to); ok {
		return l.(*link), nil
	}
	if _, ok := p.members.address(to); !ok && to != p.self().ID {
		return nil, errors.Annotatef(ErrPeerUnreachable, "no known address of %q", to)
	}
	return p.createLink(to)
}

func (p *Peers) createLink(to bbunit.InstanceID) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, errors.Annotate(ErrPeerUnreachable, "this instance is closing its sessions")
	}
	v, exists := p.links.LoadOrStore(to, newLink(p, to))
	l := v.(*link)
	if exists {
		return l, nil
	}
	if to == p.self().ID {
		p.wg.Go(func() { p.deliverToSelf(l) })
		return l, nil
	}
	p.wg.Go(func() { l.run(p.ctx) })
	return l, nil
}

// removeIdleLink removes a link and returns true, unless it has queued
// envelopes or a session.
func (p *Peers) removeIdleLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.queue) > 0 || l.preferredSession() != nil {
		return false
	}
	p.links.Delete(l.id)
	return true
}

// deliverToSelf delivers the envelopes that this instance sends to itself.
func (p *Peers) deliverToSelf(l *link) {
	for {
		select {
		case e := <-l.queue:
			self := p.self()
			e = &bbwire.Envelope{From: string(self.ID), Inc: uint64(self.Inc), Seq: e.Seq, Reply: e.Reply, Error: e.Error, Body: e.Body}
			p.receive(self.ID, e)
			l.pending.Add(-1)
		case <-p.ctx.Done():
			return
		}
	}
}

// receive hands an envelope to its handler or to the call that waits for it.
func (p *Peers) receive(from bbunit.InstanceID, e *bbwire.Envelope) {
	err := p.deliver(from, e, func(reply *bbwire.Envelope) { _ = p.Send(from, reply) })
	if err != nil && !errors.Is(err, errUnexpectedReply) {
		p.drop(from, err)
	}
}
