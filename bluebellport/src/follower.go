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
	parts Parts
	peers *Peers
	log   *bbticket.Log
	clog  logrus.FieldLogger

	mu                sync.Mutex // guards replica, known and the writing of Board.State
	replica           replica
	known             bool          // the state in force was read from the service or a peer
	wanted            atomic.Uint64 // highest number that a peer spoke of
	wantedAt          atomic.Int64  // when wanted rose, in ns since the epoch
	rose              atomic.Int64  // when the state last rose, in ns since the epoch
	fetching, reading atomic.Bool
	asked             atomic.Int64 // when a peer was last asked, in ns since the epoch

	watch   *watch
	tried   time.Time // last read of the head
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	number  metrics.Gauge
	dropped metrics.Counter
}

// NewFollower starts following the log of tickets. The clean-up function stops
// it and waits for what it started.
func NewFollower(p Parts, peers *Peers) (*Follower, func()) {
	f := &Follower{
		parts: p, peers: peers, log: bbticket.NewLog(p.Store), clog: p.Log.WithField("part", "follower"),
		number:  metrics.GetOrRegisterGauge("ticket.number", p.Metrics),
		dropped: metrics.GetOrRegisterCounter("ticket.dropped", p.Metrics),
	}
	f.replica = newReplica(p.Board.State.Load())
	f.ctx, f.cancel = context.WithCancel(context.Background())
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{}}, f.onAsk)
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{}}, f.onTell)
	peers.HandleStream(stateStream, f.onStateStream)
	peers.AddRumor(f)
	f.wg.Go(f.run)
	return f, func() {
		f.cancel()
		f.wg.Wait()
	}
}

// run reads the head until the state is known, and watches it while this
// instance is the first of its failure domain.
func (f *Follower) run() {
	f.step()
	t := time.NewTicker(followPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.step()
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Follower) step() {
	v := f.parts.Board.View.Load()
	home, ok := v.Home(watchKey, v.Self.Domain)
	first := ok && home.ID == v.Self.ID
	f.keepWatch(first)
	f.mu.Lock()
	known := f.known
	f.mu.Unlock()
	wait := headPeriod
	if !known {
		wait = joinPeriod
	}
	if (first || !known) && time.Since(f.tried) >= wait {
		f.tried = time.Now()
		f.startRead()
	}
	f.ready()
}

// startRead reads the head beside the loop, unless a read is under way.
func (f *Follower) startRead() {
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
	ctx, cancel := context.WithTimeout(f.ctx, headTimeout)
	defer cancel()
	h, rev, err := f.log.Head(ctx)
	if err != nil {
		f.clog.WithError(err).Debug("head of the ticket log not read")
		return
	}
	w.saw(rev)
	f.takeHead(ctx, h)
	f.ready()
}

// takeHead puts in force what the head has above the state here.
func (f *Follower) takeHead(ctx context.Context, h bbticket.Head) {
	if f.parts.Board.State.Load().Number < h.SnapshotNumber {
		s, err := f.log.Load(ctx)
		if err != nil {
			f.clog.WithError(err).Warn("state not loaded")
			return
		}
		f.takeState(s, "")
		return
	}
	tickets := make([]bbticket.Ticket, len(h.Tail))
	for i, a := range h.Tail {
		tickets[i] = a.Ticket
	}
	f.takeTickets(tickets, "")
}

// takeTickets puts tickets in force as far as they follow on, and asks for what
// lies between. from is empty for the service.
func (f *Follower) takeTickets(tickets []bbticket.Ticket, from bbunit.InstanceID) {
	if f.take(from, func(r *replica) bool { return r.tickets(tickets) }) && from != "" {
		f.ask(from)
	}
}

// takeState joins a whole state. from is empty for the service.
func (f *Follower) takeState(s *bbticket.State, from bbunit.InstanceID) {
	f.take(from, func(r *replica) bool { return r.whole(s) })
}

// take changes the replica, publishes the state and passes on what is new; it
// returns whether tickets are held beyond a gap.
func (f *Follower) take(from bbunit.InstanceID, change func(r *replica) bool) bool {
	f.mu.Lock()
	was := f.replica.state.Number
	rose := change(&f.replica)
	if rose {
		f.publish(f.replica.state)
	}
	f.known = f.known || from == "" || f.replica.state.Number > 0
	gap := f.replica.gap()
	f.mu.Unlock()
	if rose {
		f.tell(was, from)
	}
	return gap
}

// publish replaces Board.State. f.mu is held.
func (f *Follower) publish(s *bbticket.State) {
	f.parts.Board.State.Store(s)
	f.rose.Store(time.Now().UnixNano())
	f.number.Update(int64(s.Number))
	f.clog.WithField("ticket", s.Number).Info("ticket in force")
}

// ready marks the instance ready once it knows a state that is no older than
// any that a peer spoke of.
func (f *Follower) ready() {
	if f.parts.Board.Ready.Load() {
		return
	}
	f.mu.Lock()
	known := f.known
	f.mu.Unlock()
	n, wanted := uint64(f.parts.Board.State.Load().Number), f.wanted.Load()
	late := wanted > 0 && time.Since(time.Unix(0, f.wantedAt.Load())) > joinPatience
	if known && n < wanted && late {
		f.clog.WithFields(logrus.Fields{"ticket": n, "told": wanted}).Warn("peer spoke of a ticket that it did not deliver")
	}
	if known && (n >= wanted || late) {
		f.parts.Board.Ready.Store(true)
		f.clog.WithField("ticket", n).Info("ready")
	}
}

// keepWatch starts or stops the watch, and starts it anew when a read showed
// that it has gone silent.
func (f *Follower) keepWatch(first bool) {
	if f.watch != nil && (!first || f.watch.stale()) {
		f.watch.cancel()
		f.watch = nil
	}
	if first && f.watch == nil {
		f.watch = f.startWatch()
	}
}

// watch is one waiting watch of the log's head.
type watch struct {
	cancel context.CancelFunc
	read   atomic.Int64 // newest revision that a read showed
	told   atomic.Int64 // newest revision that the watch brought
	since  atomic.Int64 // when read went ahead of told, in ns since the epoch
	ended  atomic.Bool
}

// saw notes the revision that a read showed; w may be nil.
func (w *watch) saw(rev bbstore.Revision) {
	if w != nil && w.read.Swap(int64(rev)) != int64(rev) {
		w.since.Store(time.Now().UnixNano())
	}
}

// stale tells whether the watch ended, or did not bring what a read showed.
func (w *watch) stale() bool {
	behind := w.read.Load() > w.told.Load()
	return w.ended.Load() || (behind && time.Since(time.Unix(0, w.since.Load())) > watchLag)
}

func (f *Follower) startWatch() *watch {
	ctx, cancel := context.WithCancel(f.ctx)
	w := &watch{cancel: cancel}
	f.wg.Go(func() {
		defer w.ended.Store(true)
		rctx, stop := context.WithTimeout(ctx, headTimeout)
		h, rev, err := f.log.Head(rctx)
		if err == nil {
			f.takeHead(rctx, h)
		}
		stop()
		if err != nil {
			w.pause(ctx)
			return
		}
		w.told.Store(int64(rev))
		err = f.parts.Store.Watch(ctx, bbticket.HeadKey, rev, func(e bbstore.Event) error { return f.watched(ctx, w, e) })
		if ctx.Err() == nil {
			f.clog.WithError(err).Debug("watch of the ticket log ended")
			w.pause(ctx)
		}
	})
	return w
}

// pause keeps a broken watch from being started again at once.
func (w *watch) pause(ctx context.Context) {
	select {
	case <-time.After(watchPause):
	case <-ctx.Done():
	}
}

func (f *Follower) watched(ctx context.Context, w *watch, e bbstore.Event) error {
	w.told.Store(int64(e.Rev))
	if e.Key != bbticket.HeadKey || e.Value == nil {
		return nil
	}
	h, err := bbticket.DecodeHead(e.Value)
	if err != nil {
		f.drop("", err)
		return nil
	}
	hctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	f.takeHead(hctx, h)
	return nil
}

func (f *Follower) drop(from bbunit.InstanceID, err error) {
	f.dropped.Inc(1)
	f.clog.WithField("peer", from).WithError(err).Warn("ticket message dropped")
}

// Fill adds the number in force to a gossip message.
func (f *Follower) Fill(g *bbwire.Gossip) {
	g.Number = uint64(f.parts.Board.State.Load().Number)
}

// Take compares the number that another instance has in force: it asks when
// that is higher, and tells when it is lower.
func (f *Follower) Take(from bbunit.InstanceID, g *bbwire.Gossip) {
	n := uint64(f.parts.Board.State.Load().Number)
	switch {
	case g.GetNumber() > n:
		f.want(g.GetNumber())
		f.ask(from)
	case g.GetNumber() < n && g.GetNumber() > 0 && time.Since(time.Unix(0, f.rose.Load())) > tellPause:
		f.answer(from, g.GetNumber())
	}
}

// want notes a number that a peer has in force.
func (f *Follower) want(n uint64) {
	for {
		was := f.wanted.Load()
		if n <= was {
			return
		}
		if f.wanted.CompareAndSwap(was, n) {
			f.wantedAt.Store(time.Now().UnixNano())
			return
		}
	}
}

func decodeTickets(raw [][]byte) ([]bbticket.Ticket, error) {
	tickets := make([]bbticket.Ticket, len(raw))
	for i, b := range raw {
		if err := json.Unmarshal(b, &tickets[i]); err != nil {
			return nil, err
		}
		if tickets[i].Number == 0 {
			return nil, errNoNumber
		}
	}
	return tickets, nil
}
