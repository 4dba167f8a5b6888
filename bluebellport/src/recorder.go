package bbport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// ErrPending means that records were still unacknowledged when time ran out.
const ErrPending = errors.ConstError("records not acknowledged")

// Recorder keeps claims and bills in the key-value service.
//
//	Claim, Bill -> lane of the partition -> home's lane -> leaf, by compare-and-swap
//	               (grouped by time)    \-> leaf, when the home is silent or is self
//	Open, Bill  -> two peers, which submit what is left when this instance dies
//
// A claim is made under an owner that names the attempt. It is granted only when
// the leaf that holds it is known to stand, and only while its Claim call still
// waits; the call returns before the request may be sent. A call that gives up
// marks its attempt dead for good: a late answer cannot grant it. It then takes
// the claim back by a withdrawal that moves the leaf on, so that no delayed
// write of it can land afterwards. A home
// that was paused may still write a dead claim later. Therefore whoever finds
// the claim of another attempt asks its instance; the word that the attempt is
// dead (nothing was sent and nothing will be) allows to withdraw it and to claim
// anew. Without that word the claim stands, and its outcome is unknown.
type Recorder struct {
	Parts
	opts  RecordOptions
	self  bbmember.Member
	lanes [bbjournal.Partitions]*lane
	homes atomic.Pointer[homes]
	wake  chan struct{}

	claimRate, billRate *rate.Limiter

	attempts sequence
	dead     deadSet
	tells    tells
	shadow   *shadow
	count    recordCounts

	unacked  atomic.Int64
	foreign  atomic.Int64 // records of others that wait here
	draining atomic.Bool
}

// sequence hands out numbers that are never used twice in the life of an
// instance.
type sequence struct{ n atomic.Uint64 }

func (s *sequence) next() uint64 { return s.n.Add(1) }

// recordCounts are the recorder's metrics.
type recordCounts struct {
	claims, claimed, notWritten, withdrawn      metrics.Counter
	bills, repeated, mismatched, late, unknowns metrics.Counter
	writes, conflicts, unsure, down, direct     metrics.Counter
	takeovers                                   metrics.Counter
	queued                                      metrics.Gauge
}

func newRecordCounts(m metrics.Registry) recordCounts {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("record."+name, m) }
	return recordCounts{
		claims: c("claims"), claimed: c("claimed"), notWritten: c("claims.notwritten"), withdrawn: c("claims.withdrawn"),
		bills: c("bills"), repeated: c("bills.repeated"), mismatched: c("bills.mismatched"), late: c("bills.late"),
		unknowns: c("unknowns"), writes: c("writes"), conflicts: c("writes.conflicts"), unsure: c("writes.unsure"),
		down: c("writes.down"), direct: c("batches.direct"), takeovers: c("takeovers"),
		queued: metrics.GetOrRegisterGauge("record.queued", m),
	}
}

// NewRecorder returns a running recorder and the function that stops it. Call
// Drain before, lest unacknowledged bills are left to the peers.
func NewRecorder(p Parts) (*Recorder, func()) {
	r := &Recorder{
		Parts: p, opts: p.Opts.Record, self: p.Board.View.Load().Self,
		wake:      make(chan struct{}, 1),
		claimRate: rate.NewLimiter(1, 1), billRate: rate.NewLimiter(1, 1),
		count: newRecordCounts(p.Metrics),
	}
	seed := rand.Uint64()
	for i := range r.lanes {
		part := bbjournal.Partition(i)
		r.lanes[i] = &lane{p: part, book: &bbjournal.ChainCache{Partition: part, Retention: r.opts.Retention, Seed: seed}}
	}
	r.shadow = newShadow(r)
	r.handle()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.run(ctx) })
	wg.Go(func() { r.shadow.run(ctx) })
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// handle takes the messages of other instances.
func (r *Recorder) handle() {
	if r.Bus == nil {
		return
	}
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batch{}}, r.takeBatch)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{}}, r.takeTell)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Claimask{}}, r.takeAsk)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Shadow{}}, r.shadow.take)
}

// run starts the lanes that are due, until ctx ends.
func (r *Recorder) run(ctx context.Context) {
	tick := time.NewTicker(recordTick)
	defer tick.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
		now := r.Now()
		r.count.queued.Update(r.unacked.Load())
		r.recall(now)
		for i := range r.lanes {
			l := r.lanes[(turn+i)%len(r.lanes)] // each lane is the first to use the rates in turn
			if r.due(l, now) {
				l.busy.Store(true)
				wg.Go(func() {
					defer l.busy.Store(false)
					r.work(ctx, l)
				})
			}
		}
	}
}

// nudge has the lanes looked at now.
func (r *Recorder) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newOwner names a new attempt.
func (r *Recorder) newOwner() string {
	return bbjournal.Owner{Instance: r.self.ID, Inc: r.self.Inc, Seq: r.attempts.next()}.String()
}

// Full tells whether so many bills are unacknowledged that new work has to be
// refused. It takes no lock.
func (r *Recorder) Full() bool { return r.unacked.Load() >= int64(r.opts.Queue) }

// RecorderStatus is what a recorder shows to operators.
type RecorderStatus struct {
	// Unacknowledged is the count of own records that are not known to stand.
	Unacknowledged int64 `json:"unacknowledged"`
	Full           bool  `json:"full"`
	// Open is the count of requests that were sent and have not ended.
	Open int64 `json:"open"`
	// Shadowed is the count of records kept for other instances.
	Shadowed int64 `json:"shadowed"`
	Unknown  int64 `json:"unknown"`
	Late     int64 `json:"late"`
	Repeated int64 `json:"repeated"`
}

// Status returns the recorder's figures. It does not block.
func (r *Recorder) Status() RecorderStatus {
	return RecorderStatus{
		Unacknowledged: r.unacked.Load(), Full: r.Full(),
		Open: r.shadow.open.Load(), Shadowed: r.shadow.kept.Load(),
		Unknown: r.count.unknowns.Count(), Late: r.count.late.Count(), Repeated: r.count.repeated.Count(),
	}
}

// Drain sends what is unacknowledged at once and waits for it, up to the
// context's deadline; then ErrPending.
func (r *Recorder) Drain(ctx context.Context) error {
	r.draining.Store(true)
	defer r.draining.Store(false)
	tick := time.NewTicker(recordTick)
	defer tick.Stop()
	for r.unacked.Load() > 0 {
		r.nudge()
		select {
		case <-ctx.Done():
			return errors.WithType(errors.Errorf("%d records left", r.unacked.Load()), ErrPending)
		case <-tick.C:
		}
	}
	return nil
}

// homes are the committing instances of all partitions in one view.
type homes struct {
	view *bbmember.View
	of   [bbjournal.Partitions]bbmember.Member
}

// home returns the instance of the own failure domain that commits for the
// partition, which is self when the domain has no other.
func (r *Recorder) home(p bbjournal.Partition) bbmember.Member {
	v := r.Board.View.Load()
	h := r.homes.Load()
	if h == nil || h.view != v {
		h = &homes{view: v}
		for i := range h.of {
			m, ok := v.Home(bbjournal.Partition(i).HomeKey(), r.self.Domain)
			if !ok {
				m = r.self
			}
			h.of[i] = m
		}
		r.homes.Store(h)
		r.share(h)
	}
	return h.of[p]
}

// share sets this instance's part of the failure domain's rates of writes: that
// of the partitions to which it is home, at least of one.
func (r *Recorder) share(h *homes) {
	n := 0
	for _, m := range h.of {
		if r.isSelf(m.ID) {
			n++
		}
	}
	part := float64(max(n, 1)) / bbjournal.Partitions
	for l, writes := range map[*rate.Limiter]float64{r.claimRate: r.opts.ClaimWrites, r.billRate: r.opts.BillWrites} {
		l.SetLimit(rate.Limit(writes * part))
		l.SetBurst(1 + int(writes*part*rateBurst))
	}
}

// deadSet remembers the latest attempts that were given up unsent.
type deadSet struct {
	mu    sync.Mutex
	set   map[string]struct{}
	order []string
}

func (d *deadSet) add(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.set == nil {
		d.set = map[string]struct{}{}
	}
	if _, ok := d.set[owner]; ok {
		return
	}
	d.set[owner] = struct{}{}
	d.order = append(d.order, owner)
	if len(d.order) > deadMost {
		delete(d.set, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *deadSet) has(owner string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.set[owner]
	return ok
}

// isSelf tells whether m is this very instance.
func (r *Recorder) isSelf(id bbunit.InstanceID) bool { return id == r.self.ID }
