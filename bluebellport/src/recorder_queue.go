package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbwire"
)

// partitionQueue carries the records of one partition. Intake may be pushed to by anyone;
// the rest belongs to the run loop, and to the worker while busy is set.
type partitionQueue struct {
	partition bbjournal.Partition
	intake    atomic.Pointer[queuedRecord]
	busy      atomic.Bool

	pending         []*queuedRecord
	claimDueAt      time.Time // when the first claim is due, zero without any
	billDueAt       time.Time
	lastClaimsAt    time.Time // when claims were last sent or written
	notBefore       time.Time
	bypassHomeUntil time.Time // the home is passed over
	nextExpiry      time.Time
	chain           *bbjournal.ChainCache
}

// queuedRecord is one record on its way to its leaf.
type queuedRecord struct {
	rec     *bbwire.Record
	next    *queuedRecord
	readyAt time.Time
	// local tells that the record is kept until it is acknowledged.
	local bool
	// bypassHome tells that the home did not answer.
	bypassHome bool
	// canceled tells, if set, that the record is not wanted any more.
	canceled func(now time.Time) bool
	// onVerdict gets the verdict, once; it does not block. RETRY is only told for
	// records of others.
	onVerdict func(v *bbwire.Verdict)
}

func (q *partitionQueue) push(qr *queuedRecord) {
	for {
		qr.next = q.intake.Load()
		if q.intake.CompareAndSwap(qr.next, qr) {
			return
		}
	}
}

// drainIntake moves the intake to the queue, in the order of arrival.
func (q *partitionQueue) drainIntake() []*queuedRecord {
	n := len(q.pending)
	for qr := q.intake.Swap(nil); qr != nil; qr = qr.next {
		q.pending = append(q.pending, qr)
	}
	arrived := q.pending[n:]
	for i, j := 0, len(arrived)-1; i < j; i, j = i+1, j-1 {
		arrived[i], arrived[j] = arrived[j], arrived[i]
	}
	return arrived
}

func isClaimOrWithdrawal(r *bbwire.Record) bool {
	return r.Kind == bbwire.Record_CLAIM || r.Kind == bbwire.Record_WITHDRAWN
}

// enqueue puts a record on its lane.
func (r *Recorder) enqueue(qr *queuedRecord) {
	qr.readyAt = r.Now()
	if qr.local {
		r.unacknowledged.Add(1)
	}
	r.queues[bbjournal.PartitionOf(qr.rec.Account, qr.rec.Request)].push(qr)
	if isClaimOrWithdrawal(qr.rec) {
		r.wakeLoop()
	}
}

// needsFlush takes the lane's intake and tells whether a worker has to start.
func (r *Recorder) needsFlush(q *partitionQueue, now time.Time) bool {
	if q.busy.Load() {
		return false
	}
	if q.intake.Load() != nil {
		for _, qr := range q.drainIntake() {
			if qr.bypassHome {
				q.bypassHomeUntil = now.Add(homeBypassTime)
			}
			q.schedule(qr.rec, qr.readyAt.Add(r.batchDelay(q, qr.rec, now)))
		}
	}
	if len(q.pending) == 0 {
		return q.chain.Loaded() && now.After(q.nextExpiry)
	}
	if now.Before(q.notBefore) {
		return false
	}
	return r.draining.Load() || r.flushDue(q, now)
}

// schedule has a record sent at the time, or with an earlier one.
func (q *partitionQueue) schedule(rec *bbwire.Record, due time.Time) {
	earliest := &q.billDueAt
	if isClaimOrWithdrawal(rec) {
		earliest = &q.claimDueAt
	}
	if earliest.IsZero() || due.Before(*earliest) {
		*earliest = due
	}
}

// flushDue tells whether the first record is due. What is committed here is held to
// the rates of writes; claims wait for that only so long.
func (r *Recorder) flushDue(q *partitionQueue, now time.Time) bool {
	local := r.commitsLocally(q, now)
	if !q.claimDueAt.IsZero() && !now.Before(q.claimDueAt) {
		return !local || r.claimRate.AllowN(now, 1) || now.Sub(q.claimDueAt) >= maxClaimRateWait
	}
	if !q.billDueAt.IsZero() && !now.Before(q.billDueAt) {
		return !local || r.billRate.AllowN(now, 1)
	}
	return false
}

// commitsLocally tells whether the lane's records are committed by this instance.
func (r *Recorder) commitsLocally(q *partitionQueue, now time.Time) bool {
	return r.isSelf(r.homeOf(q.partition).ID) || now.Before(q.bypassHomeUntil)
}

// batchDelay is how long a record waits for others. A claim on its way to the home
// does not wait, and at the committer only for what is left of the period since
// the lane's last claims were written: the first after a pause goes at once.
func (r *Recorder) batchDelay(q *partitionQueue, rec *bbwire.Record, now time.Time) time.Duration {
	local := r.commitsLocally(q, now)
	switch {
	case isClaimOrWithdrawal(rec) && local:
		return max(0, r.opts.ClaimPeriod-now.Sub(q.lastClaimsAt))
	case isClaimOrWithdrawal(rec):
		return 0
	case local:
		return r.opts.BillPeriod
	}
	return r.opts.ClaimPeriod
}

// flush sends the lane's records to the home, or commits them here.
func (r *Recorder) flush(ctx context.Context, q *partitionQueue) {
	queued := r.dropCanceled(q.pending)
	if !q.claimDueAt.IsZero() {
		q.lastClaimsAt = r.Now()
	}
	q.pending, q.claimDueAt, q.billDueAt = nil, time.Time{}, time.Time{}
	if !r.commitsLocally(q, r.Now()) {
		queued = r.forward(q, queued)
	}
	remaining := r.commit(ctx, q, queued)
	r.deleteExpired(ctx, q)
	if len(remaining) > 0 {
		q.pending = append(remaining, q.pending...)
		q.notBefore = r.Now().Add(recordRetryDelay)
		for _, qr := range remaining {
			q.schedule(qr.rec, q.notBefore)
		}
	}
}

// deliver tells an item's verdict. It returns false when the item has to come
// again.
func (r *Recorder) deliver(qr *queuedRecord, v *bbwire.Verdict) bool {
	if v.Kind == bbwire.Verdict_RETRY && qr.local {
		return false
	}
	if qr.local {
		r.unacknowledged.Add(-1)
	}
	qr.onVerdict(v)
	return true
}

var retryVerdict = &bbwire.Verdict{Kind: bbwire.Verdict_RETRY}

// dropCanceled returns the items that are still wanted; the others are told RETRY.
func (r *Recorder) dropCanceled(queued []*queuedRecord) []*queuedRecord {
	now := r.Now()
	wanted := queued[:0:0]
	for _, qr := range queued {
		if qr.canceled != nil && qr.canceled(now) {
			if qr.local {
				r.unacknowledged.Add(-1)
			}
			qr.onVerdict(retryVerdict)
			continue
		}
		wanted = append(wanted, qr)
	}
	return wanted
}
