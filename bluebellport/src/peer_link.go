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

// link is the way to one peer: a bounded queue, emptied by one goroutine, and
// the sessions that stand. Two instances that connect to each other at once
// have two sessions for a while; the one not preferred goes idle and is closed.
type link struct {
	peers           *Peers
	id              bbunit.InstanceID
	queue           chan *bbwire.Envelope
	dialLock        chan struct{} // held by the one who connects
	pending         atomic.Int64  // envelopes queued or being written
	lastDialFailure atomic.Int64  // last failed attempt, in ns since the epoch

	mu       sync.Mutex
	sessions []*session
}

func newLink(p *Peers, id bbunit.InstanceID) *link {
	return &link{peers: p, id: id, queue: make(chan *bbwire.Envelope, linkQueueSize), dialLock: make(chan struct{}, 1)}
}

// enqueue queues e; ErrPeer when the queue is full or the peer out of reach.
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

// run sends what is queued until the link has been idle or ctx ends.
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

// send writes e, over a fresh session when the one at hand turns out broken.
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

// getSession returns a live session and opens one when there is none. It blocks
// up to the deadline of ctx and to dialTimeout.
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
		return nil, errors.Annotatef(ErrPeerUnreachable, "%s was out of reach just now", l.id)
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

// addSession takes a new session in; the older ones are in doubt until a probe shows
// that they still carry traffic.
func (l *link) addSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, older := range l.sessions {
		l.probeInBackground(older)
	}
	l.sessions = append(l.sessions, s)
}

// probeInBackground probes a session beside the caller, unless that is under way.
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

// removeSession drops a session that ended.
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

// preferredSession returns the preferred live session, or nil. A session that another
// life of the instance than the one in the view opened is not used: an earlier
// life may have resumed.
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

// viewIncarnation returns the incarnation in the view, or 0.
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

// prefersNewer tells whether the later session b goes before a. Both ends choose the
// same one: that which the instance with the lower id opened.
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

// closeIdle closes sessions without traffic; it returns whether none is left.
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

// takeContact returns the member whose traffic came in since the last call.
func (l *link) takeContact() (bbmember.Member, bool) {
	s := l.preferredSession()
	if s == nil || !s.received.Swap(false) {
		return bbmember.Member{}, false
	}
	return bbmember.Member{ID: l.id, Inc: s.incarnation()}, true
}

// probe tells whether the peer can be reached, by the session at hand or by a
// fresh connection.
func (l *link) probe(ctx context.Context) bool {
	if s := l.preferredSession(); s != nil && s.probe() {
		s.received.Store(true)
		return true
	}
	_, err := l.getSession(ctx)
	return err == nil
}
