// Package bbcrash finds the requests that crash their targets, across the whole
// fleet, so that no instance sends them on.
package bbcrash

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// Store is the part of the key-value service that a Tracker uses.
type Store interface {
	Get(ctx context.Context, key string) (bbstore.Entry, error)
	CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error)
}

// Config holds what a Tracker needs. Store may be nil: then the fleet forgets
// its refused requests when all instances end at once.
type Config struct {
	// Threshold is the number of crashes from which a request is refused.
	Threshold int
	Network   bbnews.Network
	Store     Store
	// StoreKey is the key of the copy in the store.
	StoreKey string
	// Era returns the newest known era of the store. It must not block. It is nil
	// for a store that never comes back from an older copy.
	Era func() bbstore.Era
	// Now is a steady clock.
	Now func() time.Time
	// Rand returns a random number below n.
	Rand    func(n int) int
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

// Tracker knows which requests are refused because they crash their targets. A
// crash goes from the instance that saw it to the homes of the request's
// fingerprint, which put together the evidence of several instances; the
// verdict goes to the whole fleet:
//
//	RecordCrash --> record --evidence--> homes: shouldRefuse?
//	                                       |
//	                                    verdict: flooded, then compared with
//	                                       |     random instances
//	IsRefused <-- snapshot <-- record <----+
//	                                       |
//	                  copy in the store <--+--> instances that start
//
// Evidence is sent until each home has confirmed it, and verdicts are compared
// again and again, so a lost message delays them and no more.
// The methods used on the path of a request take no lock unless the request
// itself was in flight at a crash.
type Tracker struct {
	cfg     Config
	answers answerSet // by the fingerprints of requests
	// partAnswers holds when requests with a part were last sent that were answered
	// whole.
	partAnswers partAnswers
	startedAt   time.Time
	snapshot    atomic.Pointer[snapshot]
	trackerMetrics
	sender *bbnews.Sender[*bbwire.Crashes]

	// mu guards the fields below. Callers of unexported methods hold it, but for
	// those that handle a message, send, or use the store.
	mu      sync.Mutex
	records map[uint64]*entry
	crashed map[TargetRun]time.Time // targets that crashed within backgroundPeriod
	digest  uint64                  // of the verdicts on requests, 0 for none
	// partDigest is the same for parts, explainedBy the part by which a crash is
	// explained.
	partDigest  uint64
	explainedBy map[CrashID]uint64
	// culprit is the part that explains most crashes, of which no answer is known, 0
	// for none.
	culprit   uint64
	changed   bool            // records differ from the snapshot
	doubtDue  bool            // crashed has grown since the verdicts were reviewed
	urgent    bool            // a request is or ceases to be refused, unlike in the snapshot
	dirty     map[uint64]bool // verdicts to flood
	ranking   ranking
	busyUntil time.Time // until when comparisons are frequent
	nextRound time.Time
	nextPrune time.Time
	learner   learner
	// copyDigest is the digest of what the copy in the store was last known to
	// hold in the era copyEra, nextWrite the earliest time of the next write.
	copyDigest uint64
	copyEra    bbstore.Era
	nextWrite  time.Time
}

// entry is a record and how far it has been told.
type entry struct {
	Record
	report reportState
	flood  floodState
	// standing means that a part is to be refused, since standsSince, and inForce
	// that it is.
	standing, inForce bool
	standsSince       time.Time
}

type trackerMetrics struct {
	recorded, disproved, dropped    metrics.Counter
	refused, suspects, refusedParts metrics.Gauge
}

func counterIn(r metrics.Registry) func(name string) metrics.Counter {
	return func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("crash."+name, r) }
}

func newTrackerMetrics(r metrics.Registry) trackerMetrics {
	counter := counterIn(r)
	return trackerMetrics{
		recorded: counter("recorded"), disproved: counter("disproved"), dropped: counter("dropped"),
		refused: metrics.GetOrRegisterGauge("crash.refused", r), suspects: metrics.GetOrRegisterGauge("crash.suspects", r),
		refusedParts: metrics.GetOrRegisterGauge("crash.refused.parts", r),
	}
}

// New returns a tracker that handles messages. Its other work is done by Run, or
// by Tick and syncCopy.
func New(cfg Config) *Tracker {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	t := &Tracker{
		cfg: cfg, startedAt: cfg.Now(), trackerMetrics: newTrackerMetrics(cfg.Metrics), sender: bbnews.NewSender(cfg.Network, envelope, counterIn(cfg.Metrics)),
		records: map[uint64]*entry{}, crashed: map[TargetRun]time.Time{}, dirty: map[uint64]bool{},
	}
	t.snapshot.Store(&snapshot{})
	t.learner.readCopyAt = cfg.Now().Add(minReadDelay + time.Duration(cfg.Rand(int(readDelaySpread))))
	cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Crashes{}}, t.receive)
	return t
}

// Run does the tracker's work until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { t.keepCopy(ctx) })
	for ctx.Err() == nil {
		t.Tick()
		bbclock.Wait(ctx, tickInterval)
	}
	wg.Wait()
}

// Observation is a crash as one instance saw it.
type Observation struct {
	Fingerprint uint64
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []Part
	// Request is the id of the request, for the log.
	Request string
	Run     TargetRun
	// SentAt is when the request was sent to the target, BrokenAt when the target
	// broke off.
	SentAt, BrokenAt time.Time
}

// RecordCrash records that a target crashed while a request was in flight.
func (t *Tracker) RecordCrash(o Observation) {
	if o.Fingerprint == 0 {
		return
	}
	self := t.cfg.Network.View().Self.ID
	answeredAt := t.answers.lastAt(o.Fingerprint)
	crash := Crash{
		ID: newCrashID(o.Run), Run: o.Run, Instance: self, SentAt: o.SentAt, BrokenAt: o.BrokenAt,
		Excused:   !answeredAt.IsZero() && o.SentAt.Sub(answeredAt) < excusePeriod,
		Disproved: answeredAt.After(o.BrokenAt),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.record(o.Fingerprint)
	if o.Run.StartedAtMillis == 0 || record.endedBefore(crash.ID, o.SentAt) {
		crash.ID = newReportID(o.Run, self, o.SentAt)
	}
	t.recorded.Inc(1)
	t.apply(record.with(crash))
	for _, p := range t.evidenceParts(o.Parts) {
		crash.Excused, crash.Disproved = false, false
		t.apply(t.withoutPartAnswers(t.partRecord(p).with(crash)))
	}
	t.publish()
	t.cfg.Log.WithFields(logrus.Fields{
		"event": "crash", "request": o.Request, "fingerprint": FingerprintText(o.Fingerprint), "target": o.Run.ID, "born": o.Run.StartedAtMillis,
		"ms": o.BrokenAt.Sub(o.SentAt).Milliseconds(), "excused": crash.Excused, "crashes": t.record(o.Fingerprint).valid(), "parts": PartIDs(o.Parts),
	}).Info("crash recorded")
}

// RecordAnswer records that a target answered a request that was sent at a time,
// and that the answer is known to be whole: whatever crashed before, this request
// was not the cause, and whatever crashed before it was sent, none of the parts
// of its prompt.
func (t *Tracker) RecordAnswer(fingerprint uint64, parts []Part, sentAt time.Time) {
	now := t.cfg.Now()
	t.partAnswers.add(parts, sentAt, now)
	if fingerprint == 0 {
		return
	}
	t.answers.add(fingerprint, now)
	if !t.IsSuspect(fingerprint) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.apply(t.withoutAnswered(t.record(fingerprint))) {
		t.publish()
	}
}

// RecordTargetAnswer records that a target answered a request that was sent at
// the given time, over a connection that was opened at the other. A target that
// is said to have crashed in between has not. An answer to an earlier request
// proves nothing: it may have been under way when the target crashed.
func (t *Tracker) RecordTargetAnswer(run TargetRun, connOpenedAt, sentAt time.Time) {
	first, ok := t.snapshot.Load().runs[run]
	if !ok || !sentAt.After(first) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records {
		t.apply(t.disprove(e.Record, "the target answered on a connection from before", func(c *Crash) bool {
			return c.Run == run && connOpenedAt.Before(c.BrokenAt.Add(-clockTolerance)) && sentAt.After(c.BrokenAt.Add(clockTolerance))
		}))
	}
	t.publish()
}

// record returns the record of a fingerprint, empty if there is none.
func (t *Tracker) record(fingerprint uint64) Record {
	if e := t.records[fingerprint]; e != nil {
		return e.Record
	}
	return Record{Fingerprint: fingerprint}
}

// prune removes what is too old and, above maxRecords, the oldest records, those
// of requests that are not refused first.
func (t *Tracker) prune(now time.Time) {
	for run, at := range t.crashed {
		if now.Sub(at) > backgroundPeriod {
			delete(t.crashed, run)
		}
	}
	for fingerprint, e := range t.records {
		if now.Sub(e.lastCrashAt()) > e.ttl() {
			t.remove(fingerprint)
		}
	}
	if len(t.records) <= maxRecords {
		return
	}
	for _, wantPart := range []bool{false, true} {
		records := t.newestFirst(func(e *entry) bool { return e.isPart() == wantPart })
		for _, r := range records[min(len(records), maxRecords):] {
			t.remove(r.Fingerprint)
		}
	}
}

// ttl returns how long the record is kept after its last crash.
func (r *Record) ttl() time.Duration {
	switch {
	case r.isPart():
		return partTTL
	case r.wasCounted():
		return refusedTTL
	}
	return suspectTTL
}

// newestFirst returns the records that match: those of refused requests first,
// and of these and the others each the ones with the newest crash.
func (t *Tracker) newestFirst(matches func(e *entry) bool) []Record {
	var out []Record
	for _, e := range t.records {
		if matches(e) {
			out = append(out, e.Record)
		}
	}
	rank := func(r *Record) int {
		if r.wasCounted() {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), b.lastCrashAt().Compare(a.lastCrashAt()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

func (t *Tracker) remove(fingerprint uint64) {
	r := t.record(fingerprint)
	*t.digestOf(&r) ^= r.verdictDigest()
	delete(t.records, fingerprint)
	delete(t.dirty, fingerprint)
	t.changed = true
}
