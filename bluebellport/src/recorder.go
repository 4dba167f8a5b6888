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

// ErrRecordsPending means that records were still unacknowledged at the
// deadline.
const ErrRecordsPending = errors.ConstError("records not acknowledged")

// Recorder writes the records of requests, claims and bills, to the key-value
// service. Records are spread over partitions; one instance of each failure
// domain, the partition's home, groups the writes of its domain.
//
//	Claim, Bill -> queue of the partition -> home's queue -> leaf, by compare-and-swap
//	               (grouped by time)     \-> leaf, if the home is silent or is this instance
//	Open, Bill  -> two peers, which submit what is unacknowledged when this instance is gone
//
// A claim names the attempt that made it as its owner. In the recorder, an
// attempt is one instance's run of a request, not the use of one target
// (Attempt). An attempt is granted the claim only once the leaf that holds it is
// known to be written, and only while its Claim call still waits; the request is
// sent after that. A call that gives up abandons its attempt for good, so a late
// verdict cannot grant it. It also queues a withdrawal, which replaces the leaf
// by compare-and-swap, so that no delayed write of the claim can succeed
// afterwards.
//
// A home that was paused may still write an abandoned claim later. An instance
// that finds the claim of another attempt therefore asks the owner's instance.
// If that confirms that the attempt is abandoned (nothing was sent and nothing
// will be), the claim may be withdrawn and the request claimed again. Without
// this confirmation the claim is kept and the outcome of its request is
// unknown.
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
	remoteQueued   atomic.Int64 // records of other instances that are queued here
	draining       atomic.Bool
}

// sequence generates numbers that are unique within one incarnation of an
// instance.
type sequence struct{ n atomic.Uint64 }

func (s *sequence) next() uint64 { return s.n.Add(1) }

type recorderMetrics struct {
	claims, alreadyClaimed, claimsNotWritten, claimsWithdrawn              metrics.Counter
	bills, repeated, mismatched, late, unknowns                            metrics.Counter
	writes, writeConflicts, writesUnknown, storeDown, batchesBypassingHome metrics.Counter
	takeovers                                                              metrics.Counter
	unacknowledged                                                         metrics.Gauge
}

func newRecorderMetrics(registry metrics.Registry) recorderMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("record."+name, registry) }
	return recorderMetrics{
		claims: counter("claims"), alreadyClaimed: counter("claimed"), claimsNotWritten: counter("claims.notwritten"), claimsWithdrawn: counter("claims.withdrawn"),
		bills: counter("bills"), repeated: counter("bills.repeated"), mismatched: counter("bills.mismatched"), late: counter("bills.late"),
		unknowns: counter("unknowns"), writes: counter("writes"), writeConflicts: counter("writes.conflicts"), writesUnknown: counter("writes.unsure"),
		storeDown: counter("writes.down"), batchesBypassingHome: counter("batches.direct"), takeovers: counter("takeovers"),
		unacknowledged: metrics.GetOrRegisterGauge("record.queued", registry),
	}
}

// NewRecorder returns a running recorder and a function that stops it. Call
// Drain before stopping; otherwise the unacknowledged records are left to the
// peers.
func NewRecorder(deps Deps) (*Recorder, func()) {
	r := &Recorder{
		Deps: deps, opts: deps.Opts.Record, self: deps.Board.View.Load().Self,
		wake:      make(chan struct{}, 1),
		claimRate: rate.NewLimiter(1, 1), billRate: rate.NewLimiter(1, 1),
		metrics: newRecorderMetrics(deps.Metrics),
	}
	seed := rand.Uint64()
	for i := range r.queues {
		partition := bbjournal.Partition(i)
		r.queues[i] = &partitionQueue{partition: partition, chain: &bbjournal.ChainCache{Partition: partition, Retention: r.opts.Retention, Seed: seed}}
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

// registerHandlers sets the handlers for messages of other instances.
func (r *Recorder) registerHandlers() {
	if r.Bus == nil {
		return
	}
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batch{}}, r.handleBatch)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{}}, r.handleBatchVerdicts)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Claimask{}}, r.handleClaimQuery)
	r.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Shadow{}}, r.backup.handleShadow)
}

// run flushes the queues that are due until ctx ends.
func (r *Recorder) run(ctx context.Context) {
	tick := time.NewTicker(recorderTickInterval)
	defer tick.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
		now := r.Now()
		r.metrics.unacknowledged.Update(r.unacknowledged.Load())
		r.requeueExpired(now)
		for i := range r.queues {
			q := r.queues[(round+i)%len(r.queues)] // each queue in turn is the first to use the write rates
			if r.needsFlush(q, now) {
				q.busy.Store(true)
				wg.Go(func() {
					defer q.busy.Store(false)
					r.flush(ctx, q)
				})
			}
		}
	}
}

// wakeLoop makes the loop check the queues now.
func (r *Recorder) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newOwner returns an owner id, unique in the fleet, for a new attempt.
func (r *Recorder) newOwner() string {
	return bbjournal.Owner{Instance: r.self.ID, Inc: r.self.Inc, Seq: r.attemptSeq.next()}.String()
}

// Full reports whether so many records are unacknowledged that new work has to
// be refused. It takes no lock.
func (r *Recorder) Full() bool {
	return r.unacknowledged.Load() >= int64(r.opts.MaxUnacknowledgedBills)
}

// RecorderStatus is the recorder's state, for operators.
type RecorderStatus struct {
	// Unacknowledged counts the instance's own records that are not known to be
	// stored.
	Unacknowledged int64 `json:"unacknowledged"`
	Full           bool  `json:"full"`
	// Open counts the requests that were sent and have not ended.
	Open int64 `json:"open"`
	// BackupCopies counts the records kept for other instances.
	BackupCopies int64 `json:"shadowed"`
	Unknown      int64 `json:"unknown"`
	Late         int64 `json:"late"`
	Repeated     int64 `json:"repeated"`
}

// Status returns the recorder's state. It does not block.
func (r *Recorder) Status() RecorderStatus {
	return RecorderStatus{
		Unacknowledged: r.unacknowledged.Load(), Full: r.Full(),
		Open: r.backup.openCount.Load(), BackupCopies: r.backup.copyCount.Load(),
		Unknown: r.metrics.unknowns.Count(), Late: r.metrics.late.Count(), Repeated: r.metrics.repeated.Count(),
	}
}

// Drain flushes all queues at once and waits until every record is
// acknowledged. When ctx ends before that, the error is ErrRecordsPending.
func (r *Recorder) Drain(ctx context.Context) error {
	r.draining.Store(true)
	defer r.draining.Store(false)
	tick := time.NewTicker(recorderTickInterval)
	defer tick.Stop()
	for r.unacknowledged.Load() > 0 {
		r.wakeLoop()
		select {
		case <-ctx.Done():
			return errors.WithType(errors.Errorf("%d records unacknowledged at the deadline", r.unacknowledged.Load()), ErrRecordsPending)
		case <-tick.C:
		}
	}
	return nil
}

// partitionHomes caches the home of each partition for one view.
type partitionHomes struct {
	view        *bbmember.View
	byPartition [bbjournal.Partitions]bbmember.Member
}

// homeOf returns the instance of the own failure domain that commits the
// partition's records: this instance if the view has none.
func (r *Recorder) homeOf(p bbjournal.Partition) bbmember.Member {
	view := r.Board.View.Load()
	homes := r.homes.Load()
	if homes == nil || homes.view != view {
		homes = &partitionHomes{view: view}
		for i := range homes.byPartition {
			m, ok := view.Home(bbjournal.Partition(i).HomeKey(), r.self.Domain)
			if !ok {
				m = r.self
			}
			homes.byPartition[i] = m
		}
		r.homes.Store(homes)
		r.setWriteRates(homes)
	}
	return homes.byPartition[p]
}

// setWriteRates gives this instance its fraction of the failure domain's write
// rates: the fraction of partitions whose home it is, but at least one
// partition's.
func (r *Recorder) setWriteRates(homes *partitionHomes) {
	owned := 0
	for _, m := range homes.byPartition {
		if r.isSelf(m.ID) {
			owned++
		}
	}
	fraction := float64(max(owned, 1)) / bbjournal.Partitions
	for limiter, writes := range map[*rate.Limiter]float64{r.claimRate: r.opts.ClaimWriteRate, r.billRate: r.opts.BillWriteRate} {
		limiter.SetLimit(rate.Limit(writes * fraction))
		limiter.SetBurst(1 + int(writes*fraction*writeRateBurst))
	}
}

// abandonedSet holds the owner ids of the latest attempts that were abandoned
// before the request was sent, at most maxAbandoned.
type abandonedSet struct {
	mu     sync.Mutex
	owners map[string]struct{}
	order  []string
}

func (s *abandonedSet) add(owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = map[string]struct{}{}
	}
	if _, ok := s.owners[owner]; ok {
		return
	}
	s.owners[owner] = struct{}{}
	s.order = append(s.order, owner)
	if len(s.order) > maxAbandoned {
		delete(s.owners, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *abandonedSet) has(owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.owners[owner]
	return ok
}

// isSelf reports whether id is this instance.
func (r *Recorder) isSelf(id bbunit.InstanceID) bool { return id == r.self.ID }
