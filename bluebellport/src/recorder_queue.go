package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbwire"
)

// partitionQueue holds the records of one partition that wait to be sent or
// written. Any goroutine may push to the intake. The other fields belong to the
// run loop, or to the worker that flushes the queue while busy is set.
type partitionQueue struct {
	partition bbjournal.Partition
	intake    atomic.Pointer[queuedRecord]
	busy      atomic.Bool

	pending         []*queuedRecord
	claimDueAt      time.Time // when the first claim is due; zero if there is none
	billDueAt       time.Time
	lastClaimsAt    time.Time // when claims were last flushed
	notBefore       time.Time
	bypassHomeUntil time.Time // set when the home does not answer
	nextExpiry      time.Time
	chain           *bbjournal.ChainCache
}

// queuedRecord is a record on its way to its leaf.
type queuedRecord struct {
	rec     *bbwire.Record
	next    *queuedRecord
	readyAt time.Time
	// local is set for this instance's own records, which are kept until they
	// are acknowledged.
	local bool
	// bypassHome is set if the home did not answer in time.
	bypassHome bool
	// canceled, if set, reports whether the record is no longer wanted.
	canceled func(now time.Time) bool
	// onVerdict is called once with the verdict and must not block. The verdict
	// RETRY goes only to records of other instances and to canceled ones.
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

// drainIntake moves the intake to the end of pending, in the order of arrival,
// and returns what it moved.
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

// enqueue puts a record on its partition's queue.
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

// needsFlush drains the queue's intake and reports whether a worker has to be
// started.
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

// schedule makes the queue due at the given time, if it is not due earlier.
func (q *partitionQueue) schedule(rec *bbwire.Record, due time.Time) {
	earliest := &q.billDueAt
	if isClaimOrWithdrawal(rec) {
		earliest = &q.claimDueAt
	}
	if earliest.IsZero() || due.Before(*earliest) {
		*earliest = due
	}
}

// flushDue reports whether the first record is due. Commits by this instance
// are held to the write rates; claims wait for the rate at most
// maxClaimRateWait.
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

// commitsLocally reports whether this instance commits the queue's records
// itself.
func (r *Recorder) commitsLocally(q *partitionQueue, now time.Time) bool {
	return r.isSelf(r.homeOf(q.partition).ID) || now.Before(q.bypassHomeUntil)
}

// batchDelay returns how long a record waits for others to share its batch.
// Claims are sent to the home at once. The committer holds them until the claim
// period since the queue's last claims is over, so the first claim after a
// pause is written at once.
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

// flush sends the queue's records to the home or commits them here.
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

// deliver passes the verdict on. It returns false when the record has to be
// tried again.
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

// dropCanceled returns the records that are still wanted; the others get the
// verdict RETRY.
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
