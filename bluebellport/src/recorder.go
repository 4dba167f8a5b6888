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

// NewRecorder returns a running recorder and the function that stops it. Call
// Drain before, lest unacknowledged bills are left to the peers.
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
	for round := 0; ; round++ {
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
			q := r.queues[(round+i)%len(r.queues)] // each lane is the first to use the rates in turn
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

// setWriteRates sets this instance's part of the failure domain's rates of writes: that
// of the partitions to which it is home, at least of one.
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

// abandonedSet remembers the latest attempts that were given up unsent.
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

// isSelf tells whether m is this very instance.
func (r *Recorder) isSelf(id bbunit.InstanceID) bool { return id == r.self.ID }
