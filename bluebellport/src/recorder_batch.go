package bbport

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sentBatches holds the batches sent to homes, by batch id.
type sentBatches struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*sentBatch
}

// sentBatch is a batch sent to a home whose verdicts have not come.
type sentBatch struct {
	home     bbunit.InstanceID
	queue    *partitionQueue
	records  []*queuedRecord
	deadline time.Time
	// expired is set once the records are committed by another way. Late
	// verdicts are still used to withdraw abandoned claims.
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

// remove ends the wait for a batch. It returns nil for an unknown id; pending
// is set if the batch had not expired.
func (s *sentBatches) remove(id uint64) (b *sentBatch, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = s.byID[id]
	delete(s.byID, id)
	return b, b != nil && !b.expired
}

// expire marks and returns the batches whose deadline has passed or whose
// partition has another home by now. Expired batches are kept for
// lateVerdictTime, so that late verdicts are understood.
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

// forward sends the instance's own records to the home of the queue's
// partition. Claims and bills go in separate batches, since bills may wait
// longer for their verdicts. It returns the records that have to be committed
// here.
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

// sendBatch sends one batch to the home. It returns false when the home cannot
// be reached.
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

// requeueExpired queues the records of expired batches again. If the home did
// not answer in time, they bypass it.
func (r *Recorder) requeueExpired(now time.Time) {
	for _, b := range r.sentBatches.expire(now, func(p bbjournal.Partition) bbunit.InstanceID { return r.homeOf(p).ID }) {
		r.metrics.batchesBypassingHome.Inc(1)
		timedOut := now.After(b.deadline)
		for _, qr := range b.records {
			qr.bypassHome = timedOut
			b.queue.push(qr)
		}
	}
}

// handleBatchVerdicts handles a home's verdicts on a batch. If a claim was
// granted to an attempt that has been abandoned meanwhile, its withdrawal is
// queued.
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

// batchReply collects the verdicts on another instance's batch.
type batchReply struct {
	to        bbunit.InstanceID
	id        uint64
	verdicts  []*bbwire.Verdict
	remaining atomic.Int64
}

// handleBatch queues the records of another instance, which keeps them until it
// has the verdicts. Beyond the bound of the queue the verdict is RETRY.
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
		r.Log.WithError(err).WithField("instance", reply.to).Debug("verdicts not delivered; the instance sends the records again")
	}
}
