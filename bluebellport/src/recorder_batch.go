package bbport

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sentBatches are the batches that were sent to homes.
type sentBatches struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*sentBatch
}

// sentBatch is one batch on its way.
type sentBatch struct {
	home     bbunit.InstanceID
	queue    *partitionQueue
	records  []*queuedRecord
	deadline time.Time
	// expired tells that the items are on their way without the home.
	expired bool
}

func (t *sentBatches) add(w *sentBatch) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[uint64]*sentBatch{}
	}
	t.lastID++
	t.byID[t.lastID] = w
	return t.lastID
}

// remove ends the wait for a batch. It tells whether the items are still with it.
func (t *sentBatches) remove(id uint64) (w *sentBatch, waited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w = t.byID[id]
	delete(t.byID, id)
	return w, w != nil && !w.expired
}

// expire returns the batches that are not waited for any more. Their answers
// are understood for some time.
func (t *sentBatches) expire(now time.Time, home func(p bbjournal.Partition) bbunit.InstanceID) []*sentBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*sentBatch
	for id, w := range t.byID {
		switch {
		case w.expired && now.After(w.deadline.Add(lateVerdictTime)):
			delete(t.byID, id)
		case !w.expired && (now.After(w.deadline) || home(w.queue.partition) != w.home):
			w.expired = true
			out = append(out, w)
		}
	}
	return out
}

// forward sends the own items to the home of the lane, claims apart from bills,
// which may wait longer. It returns the items that have to be committed here.
func (r *Recorder) forward(l *partitionQueue, items []*queuedRecord) []*queuedRecord {
	home := r.homeOf(l.partition).ID
	var here, claims, bills []*queuedRecord
	for _, it := range items {
		switch {
		case !it.local:
			here = append(here, it)
		case isClaimOrWithdrawal(it.rec):
			claims = append(claims, it)
		default:
			bills = append(bills, it)
		}
	}
	for _, part := range []struct {
		items []*queuedRecord
		wait  time.Duration
	}{{claims, r.opts.ClaimPeriod + maxClaimRateWait + batchTimeout}, {bills, billVerdictTimeout}} {
		for len(part.items) > 0 {
			n := min(len(part.items), maxBatchRecords)
			if !r.sendBatch(l, home, part.items[:n], part.wait) {
				l.bypassHomeUntil = r.Now().Add(homeBypassTime)
				r.metrics.batchesBypassingHome.Inc(1)
				here = append(here, part.items...)
				break
			}
			part.items = part.items[n:]
		}
	}
	return here
}

// sendBatch returns false when the home cannot be reached.
func (r *Recorder) sendBatch(l *partitionQueue, home bbunit.InstanceID, items []*queuedRecord, wait time.Duration) bool {
	if r.Bus == nil {
		return false
	}
	b := &bbwire.Batch{}
	for _, it := range items {
		b.Records = append(b.Records, it.rec)
	}
	b.Id = r.sentBatches.add(&sentBatch{home: home, queue: l, records: items, deadline: r.Now().Add(wait)})
	if r.Bus.Send(home, &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: b}}) == nil {
		return true
	}
	_, waited := r.sentBatches.remove(b.Id)
	return !waited
}

// reclaimExpired has the items of homes that did not answer committed here.
func (r *Recorder) reclaimExpired(now time.Time) {
	for _, w := range r.sentBatches.expire(now, func(p bbjournal.Partition) bbunit.InstanceID { return r.homeOf(p).ID }) {
		r.metrics.batchesBypassingHome.Inc(1)
		silent := now.After(w.deadline)
		for _, it := range w.records {
			it.bypassHome = silent
			w.queue.push(it)
		}
	}
}

// handleBatchVerdicts takes the home's answer to a batch. A claim that was granted to an
// attempt given up meanwhile is withdrawn.
func (r *Recorder) handleBatchVerdicts(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	a := e.GetBatchtell()
	w, waited := r.sentBatches.remove(a.Id)
	if w == nil {
		return nil
	}
	if len(a.Verdicts) != len(w.records) {
		a.Verdicts = make([]*bbwire.Verdict, len(w.records))
		for i := range a.Verdicts {
			a.Verdicts[i] = retryVerdict
		}
	}
	for i, it := range w.records {
		v := a.Verdicts[i]
		if it.rec.Kind == bbwire.Record_CLAIM && v.Kind == bbwire.Verdict_TAKEN && r.abandoned.has(it.rec.Owner) {
			r.queueWithdrawal(it.rec)
		}
		if waited && !r.deliver(it, v) {
			it.readyAt = r.Now().Add(recordRetryDelay)
			w.queue.push(it)
		}
	}
	return nil
}

// batchReply gathers the verdicts on another instance's batch.
type batchReply struct {
	to        bbunit.InstanceID
	id        uint64
	verdicts  []*bbwire.Verdict
	remaining atomic.Int64
}

// handleBatch queues the records of another instance, which keeps them until it
// has the verdicts. Above the bound of the queue it is told to come again.
func (r *Recorder) handleBatch(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	b := e.GetBatch()
	p := &batchReply{to: from, id: b.Id, verdicts: make([]*bbwire.Verdict, len(b.Records))}
	p.remaining.Store(int64(len(b.Records)))
	expires := r.Now().Add(r.opts.ClaimTimeout)
	full := r.remoteQueued.Add(int64(len(b.Records))) > int64(r.opts.MaxUnacknowledgedBills)
	for i, rec := range b.Records {
		it := &queuedRecord{rec: rec, onVerdict: func(v *bbwire.Verdict) { r.addVerdict(p, i, v) }}
		if rec.Kind == bbwire.Record_CLAIM {
			it.canceled = func(now time.Time) bool { return now.After(expires) }
		}
		switch {
		case bbjournal.Check(rec) != nil:
			it.onVerdict(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
		case full:
			it.onVerdict(retryVerdict)
		default:
			r.enqueue(it)
		}
	}
	return nil
}

func (r *Recorder) addVerdict(p *batchReply, i int, v *bbwire.Verdict) {
	p.verdicts[i] = v
	r.remoteQueued.Add(-1)
	if p.remaining.Add(-1) > 0 {
		return
	}
	tell := &bbwire.BatchTell{Id: p.id, Verdicts: p.verdicts}
	err := r.Bus.Send(p.to, &bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{Batchtell: tell}})
	if err != nil {
		r.Log.WithError(err).WithField("instance", p.to).Debug("verdicts not delivered")
	}
}
