package bbport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// lane carries the records of one partition. Intake may be pushed to by anyone;
// the rest belongs to the run loop, and to the worker while busy is set.
type lane struct {
	p      bbjournal.Partition
	intake atomic.Pointer[item]
	busy   atomic.Bool

	queue     []*item
	dueAt     time.Time
	notBefore time.Time
	restUntil time.Time // the home is passed over
	sweepAt   time.Time
	book      *bbjournal.Book
}

// item is one record on its way to its leaf.
type item struct {
	rec  *bbwire.Record
	next *item
	at   time.Time
	// own tells that the record is kept until it is acknowledged.
	own bool
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
			if at := it.at.Add(r.period(l, it, now)); l.dueAt.IsZero() || at.Before(l.dueAt) {
				l.dueAt = at
			}
		}
	}
	if len(l.queue) == 0 {
		return l.book.Loaded() && now.After(l.sweepAt)
	}
	if now.Before(l.notBefore) {
		return false
	}
	return r.draining.Load() || !now.Before(l.dueAt)
}

// period is how long a record waits for others. The committer waits the whole
// period; a claim on its way to the home does not wait.
func (r *Recorder) period(l *lane, it *item, now time.Time) time.Duration {
	here := r.isSelf(r.home(l.p).ID) || now.Before(l.restUntil)
	switch {
	case isClaim(it.rec) && here:
		return r.opts.ClaimPeriod
	case isClaim(it.rec):
		return 0
	case here:
		return r.opts.BillPeriod
	}
	return r.opts.ClaimPeriod
}

// work sends the lane's records to the home, or commits them here.
func (r *Recorder) work(ctx context.Context, l *lane) {
	items := l.queue
	l.queue, l.dueAt = nil, time.Time{}
	home := r.home(l.p)
	var left []*item
	if !r.isSelf(home.ID) && r.Now().After(l.restUntil) {
		var rest, own []*item
		for _, it := range items {
			if it.own && len(own) < batchMost {
				own = append(own, it)
			} else {
				rest = append(rest, it)
			}
		}
		if len(own) > 0 {
			var ok bool
			if left, ok = r.forward(ctx, home, own); !ok {
				l.restUntil = r.Now().Add(homeRest)
				r.count.direct.Inc(1)
				left, rest = nil, append(left, rest...)
			}
		}
		items = rest
	}
	left = append(left, r.commit(ctx, l, items)...)
	r.sweep(ctx, l)
	if len(left) > 0 {
		l.queue = append(left, l.queue...)
		l.notBefore = r.Now().Add(recordBackoff)
		l.dueAt = l.notBefore
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

// tells are the batches that wait for their answers.
type tells struct {
	mu   sync.Mutex
	next uint64
	m    map[uint64]*tell
}

type tell struct {
	records []*bbwire.Record
	answer  chan *bbwire.BatchTell
	until   time.Time
}

func (t *tells) open(records []*bbwire.Record, now time.Time) (uint64, *tell) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = map[uint64]*tell{}
	}
	for id, old := range t.m {
		if now.After(old.until) {
			delete(t.m, id)
		}
	}
	t.next++
	w := &tell{records: records, answer: make(chan *bbwire.BatchTell, 1), until: now.Add(tellKept)}
	t.m[t.next] = w
	return t.next, w
}

func (t *tells) take(id uint64) *tell {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.m[id]
	delete(t.m, id)
	return w
}

// forward sends items to the home and waits for its verdicts. It returns the
// items that have to come again, and false when the home did not answer.
func (r *Recorder) forward(ctx context.Context, home bbmember.Member, items []*item) ([]*item, bool) {
	items = r.wanted(items)
	if len(items) == 0 {
		return nil, true
	}
	records := make([]*bbwire.Record, len(items))
	for i, it := range items {
		records[i] = it.rec
	}
	id, t := r.tells.open(records, r.Now())
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: &bbwire.Batch{Id: id, Records: records}}}
	if r.Bus == nil || r.Bus.Send(home.ID, e) != nil {
		r.tells.take(id)
		return items, false
	}
	timer := time.NewTimer(batchTimeout + r.opts.BillPeriod)
	defer timer.Stop()
	select {
	case a := <-t.answer:
		return r.settleAll(items, a.Verdicts), true
	case <-timer.C:
	case <-ctx.Done():
	}
	return items, false
}

// settleAll returns the items that have to come again.
func (r *Recorder) settleAll(items []*item, verdicts []*bbwire.Verdict) []*item {
	var left []*item
	for i, it := range items {
		if !r.settle(it, verdicts[i]) {
			left = append(left, it)
		}
	}
	return left
}

// takeTell takes the home's answer to a batch. A claim that was granted to an
// attempt given up meanwhile is withdrawn.
func (r *Recorder) takeTell(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	a := e.GetBatchtell()
	t := r.tells.take(a.Id)
	if t == nil || len(a.Verdicts) != len(t.records) {
		return nil
	}
	t.answer <- a
	for i, rec := range t.records {
		if rec.Kind == bbwire.Record_CLAIM && a.Verdicts[i].Kind == bbwire.Verdict_TAKEN && r.dead.has(rec.Owner) {
			r.retract(rec)
		}
	}
	return nil
}

// reply gathers the verdicts on another instance's batch.
type reply struct {
	to       bbunit.InstanceID
	id       uint64
	verdicts []*bbwire.Verdict
	left     atomic.Int64
}

// takeBatch queues the records of another instance, which keeps them until it
// has the verdicts.
func (r *Recorder) takeBatch(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	b := e.GetBatch()
	p := &reply{to: from, id: b.Id, verdicts: make([]*bbwire.Verdict, len(b.Records))}
	p.left.Store(int64(len(b.Records)))
	expires := r.Now().Add(r.opts.ClaimTimeout)
	for i, rec := range b.Records {
		it := &item{rec: rec, done: func(v *bbwire.Verdict) { r.answer(p, i, v) }}
		if rec.Kind == bbwire.Record_CLAIM {
			it.dropped = func(now time.Time) bool { return now.After(expires) }
		}
		if bbjournal.Check(rec) != nil {
			it.done(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
			continue
		}
		r.enqueue(it)
	}
	return nil
}

func (r *Recorder) answer(p *reply, i int, v *bbwire.Verdict) {
	p.verdicts[i] = v
	if p.left.Add(-1) > 0 {
		return
	}
	tell := &bbwire.BatchTell{Id: p.id, Verdicts: p.verdicts}
	err := r.Bus.Send(p.to, &bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{Batchtell: tell}})
	if err != nil {
		r.Log.WithError(err).WithField("instance", p.to).Debug("verdicts not delivered")
	}
}
