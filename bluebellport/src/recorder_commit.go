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
func (r *Recorder) commit(ctx context.Context, l *partitionQueue, items []*queuedRecord) []*queuedRecord {
	items = r.dropCanceled(items)
	if len(items) == 0 {
		return nil
	}
	l.chain.Begin(r.Now())
	for n := range maxCommitRounds {
		records := make([]*bbwire.Record, len(items))
		for i, it := range items {
			records[i] = it.rec
		}
		plan := l.chain.Plan(records, r.Now())
		again, err := r.applyPlan(ctx, l, plan)
		if err != nil {
			r.metrics.storeDown.Inc(1)
			break
		}
		if !again {
			return r.deliverAll(items, plan.Verdicts)
		}
		if items = r.dropCanceled(items); len(items) == 0 {
			return nil
		}
		if len(plan.Writes) > 0 {
			waitBeforeRetry(ctx, n)
		}
	}
	return r.retryLater(items)
}

// deliverAll returns the items that have to come again.
func (r *Recorder) deliverAll(items []*queuedRecord, verdicts []*bbwire.Verdict) []*queuedRecord {
	var left []*queuedRecord
	for i, it := range items {
		if !r.deliver(it, verdicts[i]) {
			left = append(left, it)
		}
	}
	return left
}

// waitBeforeRetry waits before a write is made once more, longer each time.
func waitBeforeRetry(ctx context.Context, n int) {
	d := min(minWriteBackoff<<min(n, 8), maxWriteBackoff)
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(d)):
	}
}

// retryLater returns the own items and tells the others to come again.
func (r *Recorder) retryLater(items []*queuedRecord) []*queuedRecord {
	var left []*queuedRecord
	for _, it := range items {
		if !r.deliver(it, retryVerdict) {
			left = append(left, it)
		}
	}
	return left
}

// applyPlan does what the plan asks for. It returns true when the records have to be
// planned again.
func (r *Recorder) applyPlan(ctx context.Context, l *partitionQueue, plan *bbjournal.Plan) (bool, error) {
	switch {
	case plan.NeedsListing:
		return true, r.loadChain(ctx, l)
	case len(plan.Reads) > 0:
		for _, n := range plan.Reads {
			if err := r.readLeaf(ctx, l, n); err != nil {
				return false, err
			}
		}
		return true, nil
	}
	for _, w := range plan.Writes {
		if again, err := r.writeLeaf(ctx, l, w); again || err != nil {
			return again, err
		}
	}
	return false, nil
}

func (r *Recorder) loadChain(ctx context.Context, l *partitionQueue) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, l.partition.Prefix())
	if err != nil {
		return err
	}
	return l.chain.Load(entries)
}

func (r *Recorder) readLeaf(ctx context.Context, l *partitionQueue, n bbjournal.LeafNumber) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, l.chain.Key(n))
	if err != nil {
		return err
	}
	return l.chain.OnLeafRead(n, e)
}

// writeLeaf makes one compare-and-swap. It returns true when the leaf has to be
// read and the records planned again.
func (r *Recorder) writeLeaf(ctx context.Context, l *partitionQueue, w bbjournal.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.metrics.writes.Inc(1)
	rev, err := r.Store.CAS(ctx, w.Key, w.Value, w.Prev, 0)
	switch {
	case err == nil:
		l.chain.OnWritten(w, rev)
		return false, nil
	case errors.Is(err, bbstore.ErrConflict):
		r.metrics.writeConflicts.Inc(1)
		l.chain.OnWriteFailed(w, false)
		return true, nil
	case errors.Is(err, bbstore.ErrDown), errors.Is(err, bbstore.ErrTooLarge):
		return false, err
	}
	r.metrics.writesUnknown.Inc(1)
	l.chain.OnWriteFailed(w, true)
	return true, nil
}

// deleteExpired deletes leaves that are past the retention, now and then.
func (r *Recorder) deleteExpired(ctx context.Context, l *partitionQueue) {
	now := r.Now()
	if !l.chain.Loaded() || now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expiryInterval + time.Duration(l.partition)*time.Second/bbjournal.Partitions)
	l.chain.Begin(now)
	for _, w := range l.chain.Expired(now, maxExpiredPerRun) {
		again, err := r.writeLeaf(ctx, l, w)
		if err != nil {
			return
		}
		if again && r.readLeaf(ctx, l, w.Number) != nil {
			return
		}
	}
}
