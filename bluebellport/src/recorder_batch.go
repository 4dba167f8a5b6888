package bbport

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// tells are the batches that were sent to homes.
type tells struct {
	mu   sync.Mutex
	next uint64
	m    map[uint64]*tell
}

// tell is one batch on its way.
type tell struct {
	home  bbunit.InstanceID
	lane  *lane
	items []*item
	until time.Time
	// over tells that the items are on their way without the home.
	over bool
}

func (t *tells) open(w *tell) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = map[uint64]*tell{}
	}
	t.next++
	t.m[t.next] = w
	return t.next
}

// take ends the wait for a batch. It tells whether the items are still with it.
func (t *tells) take(id uint64) (w *tell, waited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w = t.m[id]
	delete(t.m, id)
	return w, w != nil && !w.over
}

// overdue returns the batches that are not waited for any more. Their answers
// are understood for some time.
func (t *tells) overdue(now time.Time, home func(p bbjournal.Partition) bbunit.InstanceID) []*tell {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*tell
	for id, w := range t.m {
		switch {
		case w.over && now.After(w.until.Add(tellKept)):
			delete(t.m, id)
		case !w.over && (now.After(w.until) || home(w.lane.p) != w.home):
			w.over = true
			out = append(out, w)
		}
	}
	return out
}

// forward sends the own items to the home of the lane, claims apart from bills,
// which may wait longer. It returns the items that have to be committed here.
func (r *Recorder) forward(l *lane, items []*item) []*item {
	home := r.home(l.p).ID
	var here, claims, bills []*item
	for _, it := range items {
		switch {
		case !it.own:
			here = append(here, it)
		case isClaim(it.rec):
			claims = append(claims, it)
		default:
			bills = append(bills, it)
		}
	}
	for _, part := range []struct {
		items []*item
		wait  time.Duration
	}{{claims, r.opts.ClaimPeriod + claimWait + batchTimeout}, {bills, billWait}} {
		for len(part.items) > 0 {
			n := min(len(part.items), batchMost)
			if !r.sendBatch(l, home, part.items[:n], part.wait) {
				l.restUntil = r.Now().Add(homeRest)
				r.count.direct.Inc(1)
				here = append(here, part.items...)
				break
			}
			part.items = part.items[n:]
		}
	}
	return here
}

// sendBatch returns false when the home cannot be reached.
func (r *Recorder) sendBatch(l *lane, home bbunit.InstanceID, items []*item, wait time.Duration) bool {
	if r.Bus == nil {
		return false
	}
	b := &bbwire.Batch{}
	for _, it := range items {
		b.Records = append(b.Records, it.rec)
	}
	b.Id = r.tells.open(&tell{home: home, lane: l, items: items, until: r.Now().Add(wait)})
	if r.Bus.Send(home, &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: b}}) == nil {
		return true
	}
	_, waited := r.tells.take(b.Id)
	return !waited
}

// recall has the items of homes that did not answer committed here.
func (r *Recorder) recall(now time.Time) {
	for _, w := range r.tells.overdue(now, func(p bbjournal.Partition) bbunit.InstanceID { return r.home(p).ID }) {
		r.count.direct.Inc(1)
		silent := now.After(w.until)
		for _, it := range w.items {
			it.direct = silent
			w.lane.push(it)
		}
	}
}

// takeTell takes the home's answer to a batch. A claim that was granted to an
// attempt given up meanwhile is withdrawn.
func (r *Recorder) takeTell(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	a := e.GetBatchtell()
	w, waited := r.tells.take(a.Id)
	if w == nil {
		return nil
	}
	if len(a.Verdicts) != len(w.items) {
		a.Verdicts = make([]*bbwire.Verdict, len(w.items))
		for i := range a.Verdicts {
			a.Verdicts[i] = retryVerdict
		}
	}
	for i, it := range w.items {
		v := a.Verdicts[i]
		if it.rec.Kind == bbwire.Record_CLAIM && v.Kind == bbwire.Verdict_TAKEN && r.dead.has(it.rec.Owner) {
			r.retract(it.rec)
		}
		if waited && !r.settle(it, v) {
			it.at = r.Now().Add(recordBackoff)
			w.lane.push(it)
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
// has the verdicts. Above the bound of the queue it is told to come again.
func (r *Recorder) takeBatch(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	b := e.GetBatch()
	p := &reply{to: from, id: b.Id, verdicts: make([]*bbwire.Verdict, len(b.Records))}
	p.left.Store(int64(len(b.Records)))
	expires := r.Now().Add(r.opts.ClaimTimeout)
	full := r.foreign.Add(int64(len(b.Records))) > int64(r.opts.Queue)
	for i, rec := range b.Records {
		it := &item{rec: rec, done: func(v *bbwire.Verdict) { r.answer(p, i, v) }}
		if rec.Kind == bbwire.Record_CLAIM {
			it.dropped = func(now time.Time) bool { return now.After(expires) }
		}
		switch {
		case bbjournal.Check(rec) != nil:
			it.done(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
		case full:
			it.done(retryVerdict)
		default:
			r.enqueue(it)
		}
	}
	return nil
}

func (r *Recorder) answer(p *reply, i int, v *bbwire.Verdict) {
	p.verdicts[i] = v
	r.foreign.Add(-1)
	if p.left.Add(-1) > 0 {
		return
	}
	tell := &bbwire.BatchTell{Id: p.id, Verdicts: p.verdicts}
	err := r.Bus.Send(p.to, &bbwire.Envelope{Body: &bbwire.Envelope_Batchtell{Batchtell: tell}})
	if err != nil {
		r.Log.WithError(err).WithField("instance", p.to).Debug("verdicts not delivered")
	}
}
