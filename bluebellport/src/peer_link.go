package bbport

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// link holds a bounded queue of envelopes to one peer, which one goroutine
// sends, and the open sessions with the peer. Two instances that connect to
// each other at the same time have two sessions for a while, until the one that
// is not preferred has been idle for sessionIdleTimeout.
type link struct {
	peers           *Peers
	id              bbunit.InstanceID
	queue           chan *bbwire.Envelope
	dialLock        chan struct{} // held by the goroutine that connects
	pending         atomic.Int64  // envelopes queued or being written
	lastDialFailure atomic.Int64  // last failed attempt, in ns since the epoch

	mu       sync.Mutex
	sessions []*session
}

func newLink(p *Peers, id bbunit.InstanceID) *link {
	return &link{peers: p, id: id, queue: make(chan *bbwire.Envelope, linkQueueSize), dialLock: make(chan struct{}, 1)}
}

// enqueue queues e. It fails with ErrPeerUnreachable if the queue is full, or
// if there is no session and connecting has just failed.
func (l *link) enqueue(e *bbwire.Envelope) error {
	if l.inDialBackoff() && l.preferredSession() == nil {
		return errors.Annotatef(ErrPeerUnreachable, "no session with %s", l.id)
	}
	l.pending.Add(1)
	select {
	case l.queue <- e:
		return nil
	default:
		l.pending.Add(-1)
		l.peers.queueFull.Inc(1)
		return errors.Annotatef(ErrPeerUnreachable, "queue to %s is full", l.id)
	}
}

func (l *link) inDialBackoff() bool {
	return time.Since(time.Unix(0, l.lastDialFailure.Load())) < dialBackoff
}

// run sends queued envelopes until the link is idle and removed, or ctx ends.
func (l *link) run(ctx context.Context) {
	tick := time.NewTicker(sessionIdleTimeout / 4)
	defer tick.Stop()
	defer l.closeAll()
	for {
		select {
		case e := <-l.queue:
			l.send(ctx, e)
			l.pending.Add(-1)
		case <-tick.C:
			if l.closeIdle() && l.peers.removeIdleLink(l) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// send writes e, with a second attempt on another session if the first is
// broken. When e cannot be sent and is a request, all calls to the peer fail.
func (l *link) send(ctx context.Context, e *bbwire.Envelope) {
	for range 2 {
		s, err := l.getSession(ctx)
		if err == nil && s.write(e) == nil {
			return
		}
		if err != nil {
			break
		}
	}
	l.peers.unsent.Inc(1)
	if e.Seq != 0 && !e.Reply {
		l.peers.failCalls(l.id)
	}
}

// getSession returns the preferred session, and opens one if there is none. It
// blocks until ctx ends or, while connecting, for dialTimeout.
func (l *link) getSession(ctx context.Context) (*session, error) {
	if s := l.preferredSession(); s != nil {
		return s, nil
	}
	select {
	case l.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Annotate(ErrPeerUnreachable, ctx.Err().Error())
	}
	defer func() { <-l.dialLock }()
	if s := l.preferredSession(); s != nil {
		return s, nil
	}
	if l.inDialBackoff() {
		return nil, errors.Annotatef(ErrPeerUnreachable, "%s not tried again within %s of a failed connection attempt", l.id, dialBackoff)
	}
	s, err := l.peers.connect(ctx, l.id)
	if err != nil {
		if ctx.Err() == nil {
			l.lastDialFailure.Store(time.Now().UnixNano())
			l.peers.members.recordFailure(l.id)
		}
		return nil, errors.Annotatef(ErrPeerUnreachable, "connect to %s: %v", l.id, err)
	}
	return s, nil
}

// addSession adds a new session. The older ones become suspect until a probe
// shows that they still carry traffic.
func (l *link) addSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, older := range l.sessions {
		l.probeInBackground(older)
	}
	l.sessions = append(l.sessions, s)
}

// probeInBackground marks a session as suspect and probes it on a new
// goroutine, unless it is closed or suspect already.
func (l *link) probeInBackground(s *session) {
	if s.closed() || s.suspect.Swap(true) {
		return
	}
	l.peers.wg.Go(func() {
		if s.probe() {
			s.suspect.Store(false)
		}
	})
}

// removeSession removes a session that has ended.
func (l *link) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.sessions {
		if other == s {
			l.sessions = append(l.sessions[:i], l.sessions[i+1:]...)
			return
		}
	}
}

// preferredSession returns the open session to send on, or nil. A session
// opened by another incarnation of the peer than the one in the view is not
// used, since an earlier incarnation may have resumed after a pause.
func (l *link) preferredSession() *session {
	viewInc := l.viewIncarnation()
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *session
	for _, s := range l.sessions {
		otherIncarnation := viewInc != 0 && s.incarnation() != viewInc
		if s.closed() || (otherIncarnation && !s.dialed) {
			continue
		}
		if best == nil || l.prefersNewer(s, best, viewInc) {
			best = s
		}
	}
	return best
}

// viewIncarnation returns the peer's incarnation in the view, or 0 if the view
// does not contain the peer.
func (l *link) viewIncarnation() bbunit.Incarnation {
	members := l.peers.deps.Board.View.Load().Members
	i, ok := slices.BinarySearchFunc(members, l.id, func(m bbmember.Member, id bbunit.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	if !ok {
		return 0
	}
	return members[i].Inc
}

// prefersNewer reports whether to send on the newer session rather than on the
// older. A session of the incarnation in the view comes first, then one that is
// not suspect, then the one opened by the instance with the lower id: on this
// one both ends agree.
func (l *link) prefersNewer(newer, older *session, viewInc bbunit.Incarnation) bool {
	switch {
	case older.incarnation() != newer.incarnation():
		return older.incarnation() != viewInc
	case older.suspect.Load() != newer.suspect.Load():
		return older.suspect.Load()
	case older.dialed != newer.dialed:
		return newer.dialed == (l.peers.self().ID < l.id)
	}
	return true
}

// closeIdle closes idle sessions. It returns true when the link has no session.
func (l *link) closeIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.idle(sessionIdleTimeout) {
			l.peers.wg.Go(s.close)
		}
	}
	return len(l.sessions) == 0
}

func (l *link) closeAll() {
	l.mu.Lock()
	sessions := append([]*session(nil), l.sessions...)
	l.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
}

// takeContact returns the peer and true if something was received on the
// preferred session since the last call.
func (l *link) takeContact() (bbmember.Member, bool) {
	s := l.preferredSession()
	if s == nil || !s.received.Swap(false) {
		return bbmember.Member{}, false
	}
	return bbmember.Member{ID: l.id, Inc: s.incarnation()}, true
}

// probe reports whether the peer can be reached on the preferred session or by
// a new connection.
func (l *link) probe(ctx context.Context) bool {
	if s := l.preferredSession(); s != nil && s.probe() {
		s.received.Store(true)
		return true
	}
	_, err := l.getSession(ctx)
	return err == nil
}
