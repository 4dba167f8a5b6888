package bbport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Peers is the Bus over TCP: one yamux session for a pair of instances, opened
// on demand and kept while used. Envelopes that are malformed, oversized or
// unknown are logged, counted and dropped.
type Peers struct {
	dispatcher
	dropper
	deps      Deps
	tlsConfig *tls.Config // nil: off
	ln        net.Listener
	links     sync.Map // bbunit.InstanceID -> *link
	streams   sync.Map // kind -> func(from, net.Conn)

	mu     sync.Mutex // guards the making and forgetting of links
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	queueFull, unsent metrics.Counter
	bytesIn, bytesOut metrics.Counter
	members           *membership
}

// NewPeers listens for other instances and keeps Board.View. The clean-up
// function tells the peers that this instance leaves, closes all sessions and
// waits for what it started.
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

// Leave tells the fleet that this instance leaves; it does not block, and
// later calls do nothing.
func (p *Peers) Leave() { p.members.leave() }

// flush waits until what is queued has been sent, up to leaveFlush.
func (p *Peers) flush() {
	for deadline := time.Now().Add(leaveFlushTimeout); time.Now().Before(deadline); time.Sleep(leaveFlushTimeout / 50) {
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

// recentContacts returns the members that were heard since the last call.
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

// probeInBackground connects to an instance, and tells the membership when that fails.
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

// Address returns the address listened on.
func (p *Peers) Address() string { return p.ln.Addr().String() }

func (p *Peers) self() bbmember.Member { return p.deps.Board.View.Load().Self }

// Send queues e for the instance; it does not block, and e must not change
// after. ErrPeer when the instance is unknown or out of reach, or when too much
// is queued.
func (p *Peers) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	l, err := p.getOrCreateLink(to)
	if err != nil {
		return err
	}
	return l.enqueue(e)
}

// Call sends e and waits for its answer up to the deadline of ctx; ErrPeer when
// none came, and then it is not known whether e arrived.
func (p *Peers) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	reply, err := p.call(ctx, to, e, func(request *bbwire.Envelope) error { return p.Send(to, request) })
	if err != nil && ctx.Err() != nil {
		p.checkSession(to)
	}
	return reply, err
}

// checkSession checks the session with an instance that left a question unanswered: it
// may have gone silent while new ones work.
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

// Handle sets the handler of one kind of body.
func (p *Peers) Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope) {
	p.handle(sample, fn)
}

// OpenStream opens a stream of that kind to the instance; the caller closes it.
// It blocks up to the deadline of ctx while a session is opened; ErrPeer when
// none could be, and then nothing was sent.
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

// HandleStream sets the function that serves streams of that kind, each on a
// goroutine of its own; the stream is closed when it returns.
func (p *Peers) HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn)) {
	p.streams.Store(kind, fn)
}

// getOrCreateLink returns the link to an instance, and makes one when its address is
// known.
func (p *Peers) getOrCreateLink(to bbunit.InstanceID) (*link, error) {
	if l, ok := p.links.Load(to); ok {
		return l.(*link), nil
	}
	if _, ok := p.members.address(to); !ok && to != p.self().ID {
		return nil, errors.Annotatef(ErrPeerUnreachable, "%s is not known", to)
	}
	return p.createLink(to)
}

func (p *Peers) createLink(to bbunit.InstanceID) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, errors.Annotate(ErrPeerUnreachable, "closed")
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

// removeIdleLink drops an idle link, unless something was queued meanwhile.
func (p *Peers) removeIdleLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.queue) > 0 || l.preferredSession() != nil {
		return false
	}
	p.links.Delete(l.id)
	return true
}

// deliverToSelf delivers what this instance sends to itself.
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

// receive hands a received envelope to its handler or waiter.
func (p *Peers) receive(from bbunit.InstanceID, e *bbwire.Envelope) {
	err := p.deliver(from, e, func(reply *bbwire.Envelope) { _ = p.Send(from, reply) })
	if err != nil && !errors.Is(err, errUnexpectedReply) {
		p.drop(from, err)
	}
}
