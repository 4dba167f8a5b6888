package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbwire"
)

// lane carries the records of one partition. Intake may be pushed to by anyone;
// the rest belongs to the run loop, and to the worker while busy is set.
type lane struct {
	p      bbjournal.Partition
	intake atomic.Pointer[item]
	busy   atomic.Bool

	queue     []*item
	claimAt   time.Time // when the first claim is due, zero without any
	billAt    time.Time
	claimed   time.Time // when claims were last sent or written
	notBefore time.Time
	restUntil time.Time // the home is passed over
	sweepAt   time.Time
	book      *bbjournal.ChainCache
}

// item is one record on its way to its leaf.
type item struct {
	rec  *bbwire.Record
	next *item
	at   time.Time
	// own tells that the record is kept until it is acknowledged.
	own bool
	// direct tells that the home did not answer.
	direct bool
	// dropped tells, if set, that the record is not wanted any more.
	dropped func(now time.Time) bool
	// done gets the verdict, once; it does not block. RETRY is only told for
	// records of others.
	done func(v *bbwire.Verdict)
}

func (l *lane) push(it *item) {
	for {
		it.next = l.intake.Load()
		if l.intake.CompareAndSwap(it.next, it) {
			return
		}
	}
}

// drain moves the intake to the queue, in the order of arrival.
func (l *lane) drain() []*item {
	n := len(l.queue)
	for it := l.intake.Swap(nil); it != nil; it = it.next {
		l.queue = append(l.queue, it)
	}
	fresh := l.queue[n:]
	for i, j := 0, len(fresh)-1; i < j; i, j = i+1, j-1 {
		fresh[i], fresh[j] = fresh[j], fresh[i]
	}
	return fresh
}

func isClaim(r *bbwire.Record) bool {
	return r.Kind == bbwire.Record_CLAIM || r.Kind == bbwire.Record_WITHDRAWN
}

// enqueue puts a record on its lane.
func (r *Recorder) enqueue(it *item) {
	it.at = r.Now()
	if it.own {
		r.unacked.Add(1)
	}
	r.lanes[bbjournal.PartitionOf(it.rec.Account, it.rec.Request)].push(it)
	if isClaim(it.rec) {
		r.nudge()
	}
}

// due takes the lane's intake and tells whether a worker has to start.
func (r *Recorder) due(l *lane, now time.Time) bool {
	if l.busy.Load() {
		return false
	}
	if l.intake.Load() != nil {
		for _, it := range l.drain() {
			if it.direct {
				l.restUntil = now.Add(homeRest)
			}
			l.schedule(it.rec, it.at.Add(r.period(l, it.rec, now)))
		}
	}
	if len(l.queue) == 0 {
		return l.book.Loaded() && now.After(l.sweepAt)
	}
	if now.Before(l.notBefore) {
		return false
	}
	return r.draining.Load() || r.ready(l, now)
}

// schedule has a record sent at the time, or with an earlier one.
func (l *lane) schedule(rec *bbwire.Record, at time.Time) {
	first := &l.billAt
	if isClaim(rec) {
		first = &l.claimAt
	}
	if first.IsZero() || at.Before(*first) {
		*first = at
	}
}

// ready tells whether the first record is due. What is committed here is held to
// the rates of writes; claims wait for that only so long.
func (r *Recorder) ready(l *lane, now time.Time) bool {
	here := r.here(l, now)
	if !l.claimAt.IsZero() && !now.Before(l.claimAt) {
		return !here || r.claimRate.AllowN(now, 1) || now.Sub(l.claimAt) >= claimWait
	}
	if !l.billAt.IsZero() && !now.Before(l.billAt) {
		return !here || r.billRate.AllowN(now, 1)
	}
	return false
}

// here tells whether the lane's records are committed by this instance.
func (r *Recorder) here(l *lane, now time.Time) bool {
	return r.isSelf(r.home(l.p).ID) || now.Before(l.restUntil)
}

// period is how long a record waits for others. A claim on its way to the home
// does not wait, and at the committer only for what is left of the period since
// the lane's last claims were written: the first after a pause goes at once.
func (r *Recorder) period(l *lane, rec *bbwire.Record, now time.Time) time.Duration {
	here := r.here(l, now)
	switch {
	case isClaim(rec) && here:
		return max(0, r.opts.ClaimPeriod-now.Sub(l.claimed))
	case isClaim(rec):
		return 0
	case here:
		return r.opts.BillPeriod
	}
	return r.opts.ClaimPeriod
}

// work sends the lane's records to the home, or commits them here.
func (r *Recorder) work(ctx context.Context, l *lane) {
	items := r.wanted(l.queue)
	if !l.claimAt.IsZero() {
		l.claimed = r.Now()
	}
	l.queue, l.claimAt, l.billAt = nil, time.Time{}, time.Time{}
	if !r.here(l, r.Now()) {
		items = r.forward(l, items)
	}
	left := r.commit(ctx, l, items)
	r.sweep(ctx, l)
	if len(left) > 0 {
		l.queue = append(left, l.queue...)
		l.notBefore = r.Now().Add(recordBackoff)
		for _, it := range left {
			l.schedule(it.rec, l.notBefore)
		}
	}
}

// settle tells an item's verdict. It returns false when the item has to come
// again.
func (r *Recorder) settle(it *item, v *bbwire.Verdict) bool {
	if v.Kind == bbwire.Verdict_RETRY && it.own {
		return false
	}
	if it.own {
		r.unacked.Add(-1)
	}
	it.done(v)
	return true
}

var retryVerdict = &bbwire.Verdict{Kind: bbwire.Verdict_RETRY}

// wanted returns the items that are still wanted; the others are told RETRY.
func (r *Recorder) wanted(items []*item) []*item {
	now := r.Now()
	out := items[:0:0]
	for _, it := range items {
		if it.dropped != nil && it.dropped(now) {
			if it.own {
				r.unacked.Add(-1)
			}
			it.done(retryVerdict)
			continue
		}
		out = append(out, it)
	}
	return out
}
