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

func (l *partitionQueue) push(it *queuedRecord) {
	for {
		it.next = l.intake.Load()
		if l.intake.CompareAndSwap(it.next, it) {
			return
		}
	}
}

// drainIntake moves the intake to the queue, in the order of arrival.
func (l *partitionQueue) drainIntake() []*queuedRecord {
	n := len(l.pending)
	for it := l.intake.Swap(nil); it != nil; it = it.next {
		l.pending = append(l.pending, it)
	}
	fresh := l.pending[n:]
	for i, j := 0, len(fresh)-1; i < j; i, j = i+1, j-1 {
		fresh[i], fresh[j] = fresh[j], fresh[i]
	}
	return fresh
}

func isClaimOrWithdrawal(r *bbwire.Record) bool {
	return r.Kind == bbwire.Record_CLAIM || r.Kind == bbwire.Record_WITHDRAWN
}

// enqueue puts a record on its lane.
func (r *Recorder) enqueue(it *queuedRecord) {
	it.readyAt = r.Now()
	if it.local {
		r.unacknowledged.Add(1)
	}
	r.queues[bbjournal.PartitionOf(it.rec.Account, it.rec.Request)].push(it)
	if isClaimOrWithdrawal(it.rec) {
		r.wakeLoop()
	}
}

// needsFlush takes the lane's intake and tells whether a worker has to start.
func (r *Recorder) needsFlush(l *partitionQueue, now time.Time) bool {
	if l.busy.Load() {
		return false
	}
	if l.intake.Load() != nil {
		for _, it := range l.drainIntake() {
			if it.bypassHome {
				l.bypassHomeUntil = now.Add(homeBypassTime)
			}
			l.schedule(it.rec, it.readyAt.Add(r.batchDelay(l, it.rec, now)))
		}
	}
	if len(l.pending) == 0 {
		return l.chain.Loaded() && now.After(l.nextExpiry)
	}
	if now.Before(l.notBefore) {
		return false
	}
	return r.draining.Load() || r.flushDue(l, now)
}

// schedule has a record sent at the time, or with an earlier one.
func (l *partitionQueue) schedule(rec *bbwire.Record, at time.Time) {
	first := &l.billDueAt
	if isClaimOrWithdrawal(rec) {
		first = &l.claimDueAt
	}
	if first.IsZero() || at.Before(*first) {
		*first = at
	}
}

// flushDue tells whether the first record is due. What is committed here is held to
// the rates of writes; claims wait for that only so long.
func (r *Recorder) flushDue(l *partitionQueue, now time.Time) bool {
	here := r.commitsLocally(l, now)
	if !l.claimDueAt.IsZero() && !now.Before(l.claimDueAt) {
		return !here || r.claimRate.AllowN(now, 1) || now.Sub(l.claimDueAt) >= maxClaimRateWait
	}
	if !l.billDueAt.IsZero() && !now.Before(l.billDueAt) {
		return !here || r.billRate.AllowN(now, 1)
	}
	return false
}

// commitsLocally tells whether the lane's records are committed by this instance.
func (r *Recorder) commitsLocally(l *partitionQueue, now time.Time) bool {
	return r.isSelf(r.homeOf(l.partition).ID) || now.Before(l.bypassHomeUntil)
}

// batchDelay is how long a record waits for others. A claim on its way to the home
// does not wait, and at the committer only for what is left of the period since
// the lane's last claims were written: the first after a pause goes at once.
func (r *Recorder) batchDelay(l *partitionQueue, rec *bbwire.Record, now time.Time) time.Duration {
	here := r.commitsLocally(l, now)
	switch {
	case isClaimOrWithdrawal(rec) && here:
		return max(0, r.opts.ClaimPeriod-now.Sub(l.lastClaimsAt))
	case isClaimOrWithdrawal(rec):
		return 0
	case here:
		return r.opts.BillPeriod
	}
	return r.opts.ClaimPeriod
}

// flush sends the lane's records to the home, or commits them here.
func (r *Recorder) flush(ctx context.Context, l *partitionQueue) {
	items := r.dropCanceled(l.pending)
	if !l.claimDueAt.IsZero() {
		l.lastClaimsAt = r.Now()
	}
	l.pending, l.claimDueAt, l.billDueAt = nil, time.Time{}, time.Time{}
	if !r.commitsLocally(l, r.Now()) {
		items = r.forward(l, items)
	}
	left := r.commit(ctx, l, items)
	r.deleteExpired(ctx, l)
	if len(left) > 0 {
		l.pending = append(left, l.pending...)
		l.notBefore = r.Now().Add(recordRetryDelay)
		for _, it := range left {
			l.schedule(it.rec, l.notBefore)
		}
	}
}

// deliver tells an item's verdict. It returns false when the item has to come
// again.
func (r *Recorder) deliver(it *queuedRecord, v *bbwire.Verdict) bool {
	if v.Kind == bbwire.Verdict_RETRY && it.local {
		return false
	}
	if it.local {
		r.unacknowledged.Add(-1)
	}
	it.onVerdict(v)
	return true
}

var retryVerdict = &bbwire.Verdict{Kind: bbwire.Verdict_RETRY}

// dropCanceled returns the items that are still wanted; the others are told RETRY.
func (r *Recorder) dropCanceled(items []*queuedRecord) []*queuedRecord {
	now := r.Now()
	out := items[:0:0]
	for _, it := range items {
		if it.canceled != nil && it.canceled(now) {
			if it.local {
				r.unacknowledged.Add(-1)
			}
			it.onVerdict(retryVerdict)
			continue
		}
		out = append(out, it)
	}
	return out
}
