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

func (s *sentBatches) add(b *sentBatch) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[uint64]*sentBatch{}
	}
	s.lastID++
	s.byID[s.lastID] = b
	return s.lastID
}

// remove ends the wait for a batch. It tells whether the items are still with it.
func (s *sentBatches) remove(id uint64) (b *sentBatch, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = s.byID[id]
	delete(s.byID, id)
	return b, b != nil && !b.expired
}

// expire returns the batches that are not waited for any more. Their answers
// are understood for some time.
func (s *sentBatches) expire(now time.Time, home func(p bbjournal.Partition) bbunit.InstanceID) []*sentBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*sentBatch
	for id, b := range s.byID {
		switch {
		case b.expired && now.After(b.deadline.Add(lateVerdictTime)):
			delete(s.byID, id)
		case !b.expired && (now.After(b.deadline) || home(b.queue.partition) != b.home):
			b.expired = true
			out = append(out, b)
		}
	}
	return out
}

// forward sends the own items to the home of the lane, claims apart from bills,
// which may wait longer. It returns the items that have to be committed here.
func (r *Recorder) forward(q *partitionQueue, queued []*queuedRecord) []*queuedRecord {
	home := r.homeOf(q.partition).ID
	var commitHere, claims, bills []*queuedRecord
	for _, qr := range queued {
		switch {
		case !qr.local:
			commitHere = append(commitHere, qr)
		case isClaimOrWithdrawal(qr.rec):
			claims = append(claims, qr)
		default:
			bills = append(bills, qr)
		}
	}
	for _, group := range []struct {
		queued []*queuedRecord
		wait   time.Duration
	}{{claims, r.opts.ClaimPeriod + maxClaimRateWait + batchTimeout}, {bills, billVerdictTimeout}} {
		for len(group.queued) > 0 {
			n := min(len(group.queued), maxBatchRecords)
			if !r.sendBatch(q, home, group.queued[:n], group.wait) {
				q.bypassHomeUntil = r.Now().Add(homeBypassTime)
				r.metrics.batchesBypassingHome.Inc(1)
				commitHere = append(commitHere, group.queued...)
				break
			}
			group.queued = group.queued[n:]
		}
	}
	return commitHere
}

// sendBatch returns false when the home cannot be reached.
func (r *Recorder) sendBatch(q *partitionQueue, home bbunit.InstanceID, queued []*queuedRecord, wait time.Duration) bool {
	if r.Bus == nil {
		return false
	}
	b := &bbwire.Batch{}
	for _, qr := range queued {
		b.Records = append(b.Records, qr.rec)
	}
	b.Id = r.sentBatches.add(&sentBatch{home: home, queue: q, records: queued, deadline: r.Now().Add(wait)})
	if r.Bus.Send(home, &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: b}}) == nil {
		return true
	}
	_, pending := r.sentBatches.remove(b.Id)
	return !pending
}

// reclaimExpired has the items of homes that did not answer committed here.
func (r *Recorder) reclaimExpired(now time.Time) {
	for _, b := range r.sentBatches.expire(now, func(p bbjournal.Partition) bbunit.InstanceID { return r.homeOf(p).ID }) {
		r.metrics.batchesBypassingHome.Inc(1)
		timedOut := now.After(b.deadline)
		for _, qr := range b.records {
			qr.bypassHome = timedOut
			b.queue.push(qr)
		}
	}
}

// handleBatchVerdicts takes the home's answer to a batch. A claim that was granted to an
// attempt given up meanwhile is withdrawn.
func (r *Recorder) handleBatchVerdicts(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	tell := e.GetBatchtell()
	sent, pending := r.sentBatches.remove(tell.Id)
	if sent == nil {
		return nil
	}
	if len(tell.Verdicts) != len(sent.records) {
		tell.Verdicts = make([]*bbwire.Verdict, len(sent.records))
		for i := range tell.Verdicts {
			tell.Verdicts[i] = retryVerdict
		}
	}
	for i, qr := range sent.records {
		v := tell.Verdicts[i]
		if qr.rec.Kind == bbwire.Record_CLAIM && v.Kind == bbwire.Verdict_TAKEN && r.abandoned.has(qr.rec.Owner) {
			r.queueWithdrawal(qr.rec)
		}
		if pending && !r.deliver(qr, v) {
			qr.readyAt = r.Now().Add(recordRetryDelay)
			sent.queue.push(qr)
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
	reply := &batchReply{to: from, id: b.Id, verdicts: make([]*bbwire.Verdict, len(b.Records))}
	reply.remaining.Store(int64(len(b.Records)))
	expires := r.Now().Add(r.opts.ClaimTimeout)
	full := r.remoteQueued.Add(int64(len(b.Records))) > int64(r.opts.MaxUnacknowledgedBills)
	for i, rec := range b.Records {
		qr := &queuedRecord{rec: rec, onVerdict: func(v *bbwire.Verdict) { r.addVerdict(reply, i, v) }}
		if rec.Kind == bbwire.Record_CLAIM {
			qr.canceled = func(now time.Time) bool { return now.After(expires) }
		}
		switch {
		case bbjournal.Check(rec) != nil:
			qr.onVerdict(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
		case full:
			qr.onVerdict(retryVerdict)
		default:
			r.enqueue(qr)
		}
	}
	return nil
}

func (r *Recorder) addVerdict(reply *batchReply, i int, v *bbwire.Verdict) {
	reply.verdicts[i] = v
	r.remoteQueued.Add(-1)
	if reply.remaining.Add(-1) > 0 {
		return
	}
	tell := &bbwire.BatchTell{Id: reply.id, Verdicts: reply.verdicts}
	err := r.Bus.Send(reply.to, &bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{Batchtell: tell}})
	if err != nil {
		r.Log.WithError(err).WithField("instance", reply.to).Debug("verdicts not delivered")
	}
}
