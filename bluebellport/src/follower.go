package bbport

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// watchKey ranks the instances of a failure domain: the first watches the log,
// and the tree that spreads tickets follows the order.
const watchKey = "ticket/watch"

// Follower owns Board.State: it keeps every accepted change ticket in force
// here, from the log in the key-value service and from other instances, and
// never goes back.
//
//	log head --watch--> first of the failure domain --tell--> its children, ...
//	                                    \--tell--> firsts of a few other domains
//	gossip (number) --behind--> ask --> tell
type Follower struct {
	deps      Deps
	peers     *Peers
	ticketLog *bbticket.Log
	log       logrus.FieldLogger

	mu                sync.Mutex // guards replica, known and the writing of Board.State
	replica           replica
	stateLoaded       bool          // the state in force was read from the service or a peer
	maxPeerNumber     atomic.Uint64 // highest number that a peer spoke of
	maxPeerNumberAt   atomic.Int64  // when wanted rose, in ns since the epoch
	advancedAt        atomic.Int64  // when the state last rose, in ns since the epoch
	fetching, reading atomic.Bool
	lastRequestAt     atomic.Int64 // when a peer was last asked, in ns since the epoch

	watch          *watch
	lastHeadReadAt time.Time // last read of the head
	ctx            context.Context
	cancel         context.CancelFunc
	wg             conc.WaitGroup
	number         metrics.Gauge
	dropped        metrics.Counter
}

// NewFollower starts following the log of tickets. The clean-up function stops
// it and waits for what it started.
func NewFollower(deps Deps, peers *Peers) (*Follower, func()) {
	f := &Follower{
		deps: deps, peers: peers, ticketLog: bbticket.NewLog(deps.Store), log: deps.Log.WithField("part", "follower"),
		number:  metrics.GetOrRegisterGauge("ticket.number", deps.Metrics),
		dropped: metrics.GetOrRegisterCounter("ticket.dropped", deps.Metrics),
	}
	f.replica = newReplica(deps.Board.State.Load())
	f.ctx, f.cancel = context.WithCancel(context.Background())
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{}}, f.handleTicketAsk)
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{}}, f.handleTicketTell)
	peers.HandleStream(stateStreamKind, f.serveState)
	peers.AddGossiper(f)
	f.wg.Go(f.run)
	return f, func() {
		f.cancel()
		f.wg.Wait()
	}
}

// run reads the head until the state is known, and watches it while this
// instance is the first of its failure domain.
func (f *Follower) run() {
	f.tick()
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.tick()
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Follower) tick() {
	view := f.deps.Board.View.Load()
	watcher, ok := view.Home(watchKey, view.Self.Domain)
	isWatcher := ok && watcher.ID == view.Self.ID
	f.maintainWatch(isWatcher)
	f.mu.Lock()
	loaded := f.stateLoaded
	f.mu.Unlock()
	interval := headReadInterval
	if !loaded {
		interval = joinReadInterval
	}
	if (isWatcher || !loaded) && time.Since(f.lastHeadReadAt) >= interval {
		f.lastHeadReadAt = time.Now()
		f.startHeadRead()
	}
	f.updateReady()
}

// startHeadRead reads the head beside the loop, unless a read is under way.
func (f *Follower) startHeadRead() {
	if !f.reading.CompareAndSwap(false, true) {
		return
	}
	w := f.watch
	f.wg.Go(func() {
		defer f.reading.Store(false)
		f.readHead(w)
	})
}

// readHead reads the log's head from the service, and the whole state when the
// one here is too old for it.
func (f *Follower) readHead(w *watch) {
	ctx, cancel := context.WithTimeout(f.ctx, headReadTimeout)
	defer cancel()
	head, rev, err := f.ticketLog.Head(ctx)
	if err != nil {
		f.log.WithError(err).Debug("head of the ticket log not read")
		return
	}
	w.recordRead(rev)
	f.applyHead(ctx, head)
	f.updateReady()
}

// applyHead puts in force what the head has above the state here.
func (f *Follower) applyHead(ctx context.Context, head bbticket.Head) {
	if f.deps.Board.State.Load().Number < head.SnapshotNumber {
		s, err := f.ticketLog.Load(ctx)
		if err != nil {
			f.log.WithError(err).Warn("state not loaded")
			return
		}
		f.mergeState(s, "")
		return
	}
	tickets := make([]bbticket.Ticket, len(head.Tail))
	for i, a := range head.Tail {
		tickets[i] = a.Ticket
	}
	f.applyTickets(tickets, "")
}

// applyTickets puts tickets in force as far as they follow on, and asks for what
// lies between. from is empty for the service.
func (f *Follower) applyTickets(tickets []bbticket.Ticket, from bbunit.InstanceID) {
	if f.update(from, func(r *replica) bool { return r.applyTickets(tickets) }) && from != "" {
		f.requestTickets(from)
	}
}

// mergeState joins a whole state. from is empty for the service.
func (f *Follower) mergeState(s *bbticket.State, from bbunit.InstanceID) {
	f.update(from, func(r *replica) bool { return r.mergeState(s) })
}

// update changes the replica, publishes the state and passes on what is new; it
// returns whether tickets are held beyond a gap.
func (f *Follower) update(from bbunit.InstanceID, change func(r *replica) bool) bool {
	f.mu.Lock()
	before := f.replica.state.Number
	advanced := change(&f.replica)
	if advanced {
		f.publish(f.replica.state)
	}
	f.stateLoaded = f.stateLoaded || from == "" || f.replica.state.Number > 0
	hasGap := f.replica.hasGap()
	f.mu.Unlock()
	if advanced {
		f.pushTickets(before, from)
	}
	return hasGap
}

// publish replaces Board.State. f.mu is held.
func (f *Follower) publish(s *bbticket.State) {
	f.deps.Board.State.Store(s)
	f.advancedAt.Store(time.Now().UnixNano())
	f.number.Update(int64(s.Number))
	f.log.WithField("ticket", s.Number).Info("ticket in force")
}

// updateReady marks the instance ready once it knows a state that is no older than
// any that a peer spoke of.
func (f *Follower) updateReady() {
	if f.deps.Board.Ready.Load() {
		return
	}
	f.mu.Lock()
	loaded := f.stateLoaded
	f.mu.Unlock()
	number, maxPeerNumber := uint64(f.deps.Board.State.Load().Number), f.maxPeerNumber.Load()
	timedOut := maxPeerNumber > 0 && time.Since(time.Unix(0, f.maxPeerNumberAt.Load())) > joinTimeout
	if loaded && number < maxPeerNumber && timedOut {
		f.log.WithFields(logrus.Fields{"ticket": number, "told": maxPeerNumber}).Warn("peer spoke of a ticket that it did not deliver")
	}
	if loaded && (number >= maxPeerNumber || timedOut) {
		f.deps.Board.Ready.Store(true)
		f.log.WithField("ticket", number).Info("ready")
	}
}

// maintainWatch starts or stops the watch, and starts it anew when a read showed
// that it has gone silent.
func (f *Follower) maintainWatch(isWatcher bool) {
	if f.watch != nil && (!isWatcher || f.watch.stale()) {
		f.watch.cancel()
		f.watch = nil
	}
	if isWatcher && f.watch == nil {
		f.watch = f.startWatch()
	}
}

// watch is one waiting watch of the log's head.
type watch struct {
	cancel        context.CancelFunc
	readRevision  atomic.Int64 // newest revision that a read showed
	watchRevision atomic.Int64 // newest revision that the watch brought
	behindSince   atomic.Int64 // when read went ahead of told, in ns since the epoch
	ended         atomic.Bool
}

// recordRead notes the revision that a read showed; w may be nil.
func (w *watch) recordRead(rev bbstore.Revision) {
	if w != nil && w.readRevision.Swap(int64(rev)) != int64(rev) {
		w.behindSince.Store(time.Now().UnixNano())
	}
}

// stale tells whether the watch ended, or did not bring what a read showed.
func (w *watch) stale() bool {
	behind := w.readRevision.Load() > w.watchRevision.Load()
	return w.ended.Load() || (behind && time.Since(time.Unix(0, w.behindSince.Load())) > maxWatchLag)
}

func (f *Follower) startWatch() *watch {
	ctx, cancel := context.WithCancel(f.ctx)
	w := &watch{cancel: cancel}
	f.wg.Go(func() {
		defer w.ended.Store(true)
		readCtx, cancelRead := context.WithTimeout(ctx, headReadTimeout)
		head, rev, err := f.ticketLog.Head(readCtx)
		if err == nil {
			f.applyHead(readCtx, head)
		}
		cancelRead()
		if err != nil {
			w.delayRestart(ctx)
			return
		}
		w.watchRevision.Store(int64(rev))
		err = f.deps.Store.Watch(ctx, bbticket.HeadKey, rev, func(e bbstore.Event) error { return f.handleWatchEvent(ctx, w, e) })
		if ctx.Err() == nil {
			f.log.WithError(err).Debug("watch of the ticket log ended")
			w.delayRestart(ctx)
		}
	})
	return w
}

// delayRestart keeps a broken watch from being started again at once.
func (w *watch) delayRestart(ctx context.Context) {
	select {
	case <-time.After(watchRestartDelay):
	case <-ctx.Done():
	}
}

func (f *Follower) handleWatchEvent(ctx context.Context, w *watch, e bbstore.Event) error {
	w.watchRevision.Store(int64(e.Rev))
	if e.Key != bbticket.HeadKey || e.Value == nil {
		return nil
	}
	head, err := bbticket.DecodeHead(e.Value)
	if err != nil {
		f.drop("", err)
		return nil
	}
	applyCtx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	f.applyHead(applyCtx, head)
	return nil
}

func (f *Follower) drop(from bbunit.InstanceID, err error) {
	f.dropped.Inc(1)
	f.log.WithField("peer", from).WithError(err).Warn("ticket message dropped")
}

// Fill adds the number in force to a gossip message.
func (f *Follower) Fill(g *bbwire.Gossip) {
	g.Number = uint64(f.deps.Board.State.Load().Number)
}

// Take compares the number that another instance has in force: it asks when
// that is higher, and tells when it is lower.
func (f *Follower) Take(from bbunit.InstanceID, g *bbwire.Gossip) {
	own := uint64(f.deps.Board.State.Load().Number)
	switch {
	case g.GetNumber() > own:
		f.recordPeerNumber(g.GetNumber())
		f.requestTickets(from)
	case g.GetNumber() < own && g.GetNumber() > 0 && time.Since(time.Unix(0, f.advancedAt.Load())) > pushGracePeriod:
		f.sendMissing(from, g.GetNumber())
	}
}

// recordPeerNumber notes a number that a peer has in force.
func (f *Follower) recordPeerNumber(n uint64) {
	for {
		old := f.maxPeerNumber.Load()
		if n <= old {
			return
		}
		if f.maxPeerNumber.CompareAndSwap(old, n) {
			f.maxPeerNumberAt.Store(time.Now().UnixNano())
			return
		}
	}
}

func decodeTickets(raw [][]byte) ([]bbticket.Ticket, error) {
	tickets := make([]bbticket.Ticket, len(raw))
	for i, encoded := range raw {
		if err := json.Unmarshal(encoded, &tickets[i]); err != nil {
			return nil, err
		}
		if tickets[i].Number == 0 {
			return nil, errNoTicketNumber
		}
	}
	return tickets, nil
}
