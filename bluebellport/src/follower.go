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

// watchKey is the key by which rendezvous hashing ranks the instances of a
// failure domain. The first is the domain's watcher: it watches the ticket log.
// The others get the tickets along a tree in the order of the ranking.
const watchKey = "ticket/watch"

// Follower maintains Board.State: it applies every accepted change ticket,
// which it reads from the log in the key-value service or receives from other
// instances. The ticket number of the state never decreases.
//
//	head of the log --watch--> watcher of the domain --push--> its children --> ...
//	                                        \--push--> watchers of other domains
//	gossip with a higher number --> TicketAsk --> TicketTell
type Follower struct {
	deps      Deps
	peers     *Peers
	ticketLog *bbticket.Log
	log       logrus.FieldLogger

	mu                sync.Mutex // guards replica, stateLoaded and writes of Board.State
	replica           replica
	stateLoaded       bool          // the state was read from the key-value service or a peer
	maxPeerNumber     atomic.Uint64 // highest ticket number announced by a peer
	maxPeerNumberAt   atomic.Int64  // last increase of maxPeerNumber, in ns since the epoch
	advancedAt        atomic.Int64  // last increase of the state's number, in ns since the epoch
	fetching, reading atomic.Bool   // a fetch of the state, or a read of the head, is in progress
	lastRequestAt     atomic.Int64  // last TicketAsk sent, in ns since the epoch

	watch          *watch
	lastHeadReadAt time.Time // start of the last read of the head
	ctx            context.Context
	cancel         context.CancelFunc
	wg             conc.WaitGroup
	number         metrics.Gauge
	dropped        metrics.Counter
}

// NewFollower starts to follow the log of change tickets. The returned function
// stops the follower and waits for its goroutines.
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

// run ticks every followInterval until the follower is stopped.
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

// tick runs the watch if this instance is the watcher of its failure domain,
// and stops it if not. It also reads the head: every headReadInterval on the
// watcher, to detect a silent watch, and every joinReadInterval on any instance
// that has not loaded a state.
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

// startHeadRead reads the head on a new goroutine, unless a read is in
// progress.
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

// readHead reads the log's head from the key-value service and applies it. It
// records the revision in w, which may be nil.
func (f *Follower) readHead(w *watch) {
	ctx, cancel := context.WithTimeout(f.ctx, headReadTimeout)
	defer cancel()
	head, rev, err := f.ticketLog.Head(ctx)
	if err != nil {
		f.log.WithError(err).Debug("cannot read the head of the ticket log; trying again later")
		return
	}
	w.recordRead(rev)
	f.applyHead(ctx, head)
	f.updateReady()
}

// applyHead applies the tickets of the head. If the state is too old for them,
// it loads the full state from the key-value service instead.
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

// applyTickets applies tickets from another instance, or from the key-value
// service if from is empty. If tickets before them are missing, it requests
// these from that instance.
func (f *Follower) applyTickets(tickets []bbticket.Ticket, from bbunit.InstanceID) {
	if f.update(from, func(r *replica) bool { return r.applyTickets(tickets) }) && from != "" {
		f.requestTickets(from)
	}
}

// mergeState merges a full state from another instance, or from the key-value
// service if from is empty.
func (f *Follower) mergeState(s *bbticket.State, from bbunit.InstanceID) {
	f.update(from, func(r *replica) bool { return r.mergeState(s) })
}

// update changes the replica, publishes its state and pushes new tickets to
// other instances. It returns whether the replica has tickets beyond a gap.
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

// publish replaces Board.State. f.mu must be held.
func (f *Follower) publish(s *bbticket.State) {
	f.deps.Board.State.Store(s)
	f.advancedAt.Store(time.Now().UnixNano())
	f.number.Update(int64(s.Number))
	f.log.WithField("ticket", s.Number).Info("ticket in force")
}

// updateReady sets Board.Ready once a state is loaded that is at least as new
// as every one that a peer has announced. After joinTimeout it does not wait
// for the announced number any longer.
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

// maintainWatch starts or stops the watch, and restarts it if it is stale.
func (f *Follower) maintainWatch(isWatcher bool) {
	if f.watch != nil && (!isWatcher || f.watch.stale()) {
		f.watch.cancel()
		f.watch = nil
	}
	if isWatcher && f.watch == nil {
		f.watch = f.startWatch()
	}
}

// watch is a watch of the log's head in the key-value service.
type watch struct {
	cancel        context.CancelFunc
	readRevision  atomic.Int64 // latest revision that a read has returned
	watchRevision atomic.Int64 // latest revision that the watch has delivered
	behindSince   atomic.Int64 // last change of readRevision, in ns since the epoch
	ended         atomic.Bool
}

// recordRead records the revision that a read has returned; w may be nil.
func (w *watch) recordRead(rev bbstore.Revision) {
	if w != nil && w.readRevision.Swap(int64(rev)) != int64(rev) {
		w.behindSince.Store(time.Now().UnixNano())
	}
}

// stale reports whether the watch has ended, or has not delivered within
// maxWatchLag the revision that a read returned.
func (w *watch) stale() bool {
	behind := w.readRevision.Load() > w.watchRevision.Load()
	return w.ended.Load() || (behind && time.Since(time.Unix(0, w.behindSince.Load())) > maxWatchLag)
}

// startWatch reads the head and watches it from that revision, on a new
// goroutine. If the read or the watch fails, the watch counts as ended after
// watchRestartDelay, and the next tick starts another.
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

// delayRestart waits for watchRestartDelay, so that a failed watch is not
// restarted at once.
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

// FillGossip adds the number of the last applied ticket.
func (f *Follower) FillGossip(g *bbwire.Gossip) {
	g.Number = uint64(f.deps.Board.State.Load().Number)
}

// HandleGossip compares the ticket number of another instance with the own one.
// If the other number is higher, it requests the missing tickets. If the other
// number is lower, and the state has not advanced for pushGracePeriod, so that
// a push should have arrived, it sends them.
func (f *Follower) HandleGossip(from bbunit.InstanceID, g *bbwire.Gossip) {
	own := uint64(f.deps.Board.State.Load().Number)
	switch {
	case g.GetNumber() > own:
		f.recordPeerNumber(g.GetNumber())
		f.requestTickets(from)
	case g.GetNumber() < own && g.GetNumber() > 0 && time.Since(time.Unix(0, f.advancedAt.Load())) > pushGracePeriod:
		f.sendMissing(from, g.GetNumber())
	}
}

// recordPeerNumber raises maxPeerNumber to a number that a peer has announced.
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
