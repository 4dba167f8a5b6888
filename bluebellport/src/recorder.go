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

// ErrRecordsPending means that records were still unacknowledged when time ran out.
const ErrRecordsPending = errors.ConstError("records not acknowledged")

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
	Deps
	opts   RecordOptions
	self   bbmember.Member
	queues [bbjournal.Partitions]*partitionQueue
	homes  atomic.Pointer[partitionHomes]
	wake   chan struct{}

	claimRate, billRate *rate.Limiter

	attemptSeq  sequence
	abandoned   abandonedSet
	sentBatches sentBatches
	backup      *recordBackup
	metrics     recorderMetrics

	unacknowledged atomic.Int64
	remoteQueued   atomic.Int64 // records of others that wait here
	draining       atomic.Bool
}

// sequence hands out numbers that are never used twice in the life of an
// instance.
type sequence struct{ n atomic.Uint64 }

func (s *sequence) next() uint64 { return s.n.Add(1) }

// recorderMetrics are the recorder's metrics.
type recorderMetrics struct {
	claims, alreadyClaimed, claimsNotWritten, claimsWithdrawn              metrics.Counter
	bills, repeated, mismatched, late, unknowns                            metrics.Counter
	writes, writeConflicts, writesUnknown, storeDown, batchesBypassingHome metrics.Counter
	takeovers                                                              metrics.Counter
	unacknowledged                                                         metrics.Gauge
}

func newRecorderMetrics(m metrics.Registry) recorderMetrics {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("record."+name, m) }
	return recorderMetrics{
		claims: c("claims"), alreadyClaimed: c("claimed"), claimsNotWritten: c("claims.notwritten"), claimsWithdrawn: c("claims.withdrawn"),
		bills: c("bills"), repeated: c("bills.repeated"), mismatched: c("bills.mismatched"), late: c("bills.late"),
		unknowns: c("unknowns"), writes: c("writes"), writeConflicts: c("writes.conflicts"), writesUnknown: c("writes.unsure"),
		storeDown: c("writes.down"), batchesBypassingHome: c("batches.direct"), takeovers: c("takeovers"),
		unacknowledged: metrics.GetOrRegisterGauge("record.queued", m),
	}
}

// NewRecorder returns a running recorder and the function that stops it. Call
// Drain before, lest unacknowledged bills are left to the peers.
func NewRecorder(p Deps) (*Recorder, func()) {
	r := &Recorder{
		Deps: p, opts: p.Opts.Record, self: p.Board.View.Load().Self,
		wake:      make(chan struct{}, 1),
		claimRate: rate.NewLimiter(1, 1), billRate: rate.NewLimiter(1, 1),
		metrics: newRecorderMetrics(p.Metrics),
	}
	seed := rand.Uint64()
	for i := range r.queues {
		part := bbjournal.Partition(i)
		r.queues[i] = &partitionQueue{partition: part, chain: &bbjournal.ChainCache{Partition: part, Retention: r.opts.Retention, Seed: seed}}
	}
	r.backup = newRecordBackup(r)
	r.registerHandlers()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.run(ctx) })
	wg.Go(func() { r.backup.run(ctx) })
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// registerHandlers takes the messages of other instances.
func (r *Recorder) registerHandlers() {
	if r.Bus == nil {
		return
	}
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batch{}}, r.handleBatch)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{}}, r.handleBatchVerdicts)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Claimask{}}, r.handleClaimQuery)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Shadow{}}, r.backup.handleShadow)
}

// run starts the lanes that are due, until ctx ends.
func (r *Recorder) run(ctx context.Context) {
	tick := time.NewTicker(recorderTickInterval)
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
		r.metrics.unacknowledged.Update(r.unacknowledged.Load())
		r.reclaimExpired(now)
		for i := range r.queues {
			l := r.queues[(turn+i)%len(r.queues)] // each lane is the first to use the rates in turn
			if r.needsFlush(l, now) {
				l.busy.Store(true)
				wg.Go(func() {
					defer l.busy.Store(false)
					r.flush(ctx, l)
				})
			}
		}
	}
}

// wakeLoop has the lanes looked at now.
func (r *Recorder) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newOwner names a new attempt.
func (r *Recorder) newOwner() string {
	return bbjournal.Owner{Instance: r.self.ID, Inc: r.self.Inc, Seq: r.attemptSeq.next()}.String()
}

// Full tells whether so many bills are unacknowledged that new work has to be
// refused. It takes no lock.
func (r *Recorder) Full() bool {
	return r.unacknowledged.Load() >= int64(r.opts.MaxUnacknowledgedBills)
}

// RecorderStatus is what a recorder shows to operators.
type RecorderStatus struct {
	// Unacknowledged is the count of own records that are not known to stand.
	Unacknowledged int64 `json:"unacknowledged"`
	Full           bool  `json:"full"`
	// Open is the count of requests that were sent and have not ended.
	Open int64 `json:"open"`
	// BackupCopies is the count of records kept for other instances.
	BackupCopies int64 `json:"shadowed"`
	Unknown      int64 `json:"unknown"`
	Late         int64 `json:"late"`
	Repeated     int64 `json:"repeated"`
}

// Status returns the recorder's figures. It does not block.
func (r *Recorder) Status() RecorderStatus {
	return RecorderStatus{
		Unacknowledged: r.unacknowledged.Load(), Full: r.Full(),
		Open: r.backup.openCount.Load(), BackupCopies: r.backup.copyCount.Load(),
		Unknown: r.metrics.unknowns.Count(), Late: r.metrics.late.Count(), Repeated: r.metrics.repeated.Count(),
	}
}

// Drain sends what is unacknowledged at once and waits for it, up to the
// context's deadline; then ErrPending.
func (r *Recorder) Drain(ctx context.Context) error {
	r.draining.Store(true)
	defer r.draining.Store(false)
	tick := time.NewTicker(recorderTickInterval)
	defer tick.Stop()
	for r.unacknowledged.Load() > 0 {
		r.wakeLoop()
		select {
		case <-ctx.Done():
			return errors.WithType(errors.Errorf("%d records left", r.unacknowledged.Load()), ErrRecordsPending)
		case <-tick.C:
		}
	}
	return nil
}

// partitionHomes are the committing instances of all partitions in one view.
type partitionHomes struct {
	view        *bbmember.View
	byPartition [bbjournal.Partitions]bbmember.Member
}

// homeOf returns the instance of the own failure domain that commits for the
// partition, which is self when the domain has no other.
func (r *Recorder) homeOf(p bbjournal.Partition) bbmember.Member {
	v := r.Board.View.Load()
	h := r.homes.Load()
	if h == nil || h.view != v {
		h = &partitionHomes{view: v}
		for i := range h.byPartition {
			m, ok := v.Home(bbjournal.Partition(i).HomeKey(), r.self.Domain)
			if !ok {
				m = r.self
			}
			h.byPartition[i] = m
		}
		r.homes.Store(h)
		r.setWriteRates(h)
	}
	return h.byPartition[p]
}

// setWriteRates sets this instance's part of the failure domain's rates of writes: that
// of the partitions to which it is home, at least of one.
func (r *Recorder) setWriteRates(h *partitionHomes) {
	n := 0
	for _, m := range h.byPartition {
		if r.isSelf(m.ID) {
			n++
		}
	}
	part := float64(max(n, 1)) / bbjournal.Partitions
	for l, writes := range map[*rate.Limiter]float64{r.claimRate: r.opts.ClaimWriteRate, r.billRate: r.opts.BillWriteRate} {
		l.SetLimit(rate.Limit(writes * part))
		l.SetBurst(1 + int(writes*part*writeRateBurst))
	}
}

// abandonedSet remembers the latest attempts that were given up unsent.
type abandonedSet struct {
	mu     sync.Mutex
	owners map[string]struct{}
	order  []string
}

func (d *abandonedSet) add(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners == nil {
		d.owners = map[string]struct{}{}
	}
	if _, ok := d.owners[owner]; ok {
		return
	}
	d.owners[owner] = struct{}{}
	d.order = append(d.order, owner)
	if len(d.order) > maxAbandoned {
		delete(d.owners, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *abandonedSet) has(owner string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.owners[owner]
	return ok
}

// isSelf tells whether m is this very instance.
func (r *Recorder) isSelf(id bbunit.InstanceID) bool { return id == r.self.ID }
