package bbport

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// commit writes the items to their leaves, many in one write. It returns the own
// items that have to come again; those of others are told so.
func (r *Recorder) commit(ctx context.Context, l *lane, items []*item) []*item {
	items = r.wanted(items)
	if len(items) == 0 {
		return nil
	}
	l.book.Begin(r.Now())
	for n := range commitTries {
		records := make([]*bbwire.Record, len(items))
		for i, it := range items {
			records[i] = it.rec
		}
		plan := l.book.Plan(records, r.Now())
		again, err := r.step(ctx, l, plan)
		if err != nil {
			r.count.down.Inc(1)
			break
		}
		if !again {
			return r.settleAll(items, plan.Verdicts)
		}
		if items = r.wanted(items); len(items) == 0 {
			return nil
		}
		if len(plan.Writes) > 0 {
			pause(ctx, n)
		}
	}
	return r.postpone(items)
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

// pause waits before a write is made once more, longer each time.
func pause(ctx context.Context, n int) {
	d := min(retryLeast<<min(n, 8), retryMost)
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(d)):
	}
}

// postpone returns the own items and tells the others to come again.
func (r *Recorder) postpone(items []*item) []*item {
	var left []*item
	for _, it := range items {
		if !r.settle(it, retryVerdict) {
			left = append(left, it)
		}
	}
	return left
}

// step does what the plan asks for. It returns true when the records have to be
// planned again.
func (r *Recorder) step(ctx context.Context, l *lane, plan *bbjournal.Plan) (bool, error) {
	switch {
	case plan.NeedsListing:
		return true, r.list(ctx, l)
	case len(plan.Reads) > 0:
		for _, n := range plan.Reads {
			if err := r.read(ctx, l, n); err != nil {
				return false, err
			}
		}
		return true, nil
	}
	for _, w := range plan.Writes {
		if again, err := r.write(ctx, l, w); again || err != nil {
			return again, err
		}
	}
	return false, nil
}

func (r *Recorder) list(ctx context.Context, l *lane) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, l.p.Prefix())
	if err != nil {
		return err
	}
	return l.book.Load(entries)
}

func (r *Recorder) read(ctx context.Context, l *lane, n bbjournal.LeafNumber) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, l.book.Key(n))
	if err != nil {
		return err
	}
	return l.book.OnLeafRead(n, e)
}

// write makes one compare-and-swap. It returns true when the leaf has to be
// read and the records planned again.
func (r *Recorder) write(ctx context.Context, l *lane, w bbjournal.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.count.writes.Inc(1)
	rev, err := r.Store.CAS(ctx, w.Key, w.Value, w.Prev, 0)
	switch {
	case err == nil:
		l.book.OnWritten(w, rev)
		return false, nil
	case errors.Is(err, bbstore.ErrConflict):
		r.count.conflicts.Inc(1)
		l.book.OnWriteFailed(w, false)
		return true, nil
	case errors.Is(err, bbstore.ErrDown), errors.Is(err, bbstore.ErrTooLarge):
		return false, err
	}
	r.count.unsure.Inc(1)
	l.book.OnWriteFailed(w, true)
	return true, nil
}

// sweep deletes leaves that are past the retention, now and then.
func (r *Recorder) sweep(ctx context.Context, l *lane) {
	now := r.Now()
	if !l.book.Loaded() || now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(sweepPeriod + time.Duration(l.p)*time.Second/bbjournal.Partitions)
	l.book.Begin(now)
	for _, w := range l.book.Expired(now, sweepMost) {
		again, err := r.write(ctx, l, w)
		if err != nil {
			return
		}
		if again && r.read(ctx, l, w.Number) != nil {
			return
		}
	}
}
