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

// commit writes the queued records to their leaves, many in one write. It
// returns the own records that have to be tried again; those of other instances
// get the verdict RETRY instead.
func (r *Recorder) commit(ctx context.Context, q *partitionQueue, queued []*queuedRecord) []*queuedRecord {
	queued = r.dropCanceled(queued)
	if len(queued) == 0 {
		return nil
	}
	q.chain.Begin(r.Now())
	for round := range maxCommitRounds {
		records := make([]*bbwire.Record, len(queued))
		for i, qr := range queued {
			records[i] = qr.rec
		}
		plan := q.chain.Plan(records, r.Now())
		replan, err := r.applyPlan(ctx, q, plan)
		if err != nil {
			r.metrics.storeDown.Inc(1)
			break
		}
		if !replan {
			return r.deliverAll(queued, plan.Verdicts)
		}
		if queued = r.dropCanceled(queued); len(queued) == 0 {
			return nil
		}
		if len(plan.Writes) > 0 {
			waitBeforeRetry(ctx, round)
		}
	}
	return r.retryLater(queued)
}

// deliverAll delivers the verdicts and returns the records that have to be
// tried again.
func (r *Recorder) deliverAll(queued []*queuedRecord, verdicts []*bbwire.Verdict) []*queuedRecord {
	var remaining []*queuedRecord
	for i, qr := range queued {
		if !r.deliver(qr, verdicts[i]) {
			remaining = append(remaining, qr)
		}
	}
	return remaining
}

// waitBeforeRetry waits for a random time, with a bound that doubles each
// round, before a write is repeated.
func waitBeforeRetry(ctx context.Context, round int) {
	limit := min(minWriteBackoff<<min(round, 8), maxWriteBackoff)
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(limit)):
	}
}

// retryLater returns the own records and gives those of other instances the
// verdict RETRY.
func (r *Recorder) retryLater(queued []*queuedRecord) []*queuedRecord {
	var remaining []*queuedRecord
	for _, qr := range queued {
		if !r.deliver(qr, retryVerdict) {
			remaining = append(remaining, qr)
		}
	}
	return remaining
}

// applyPlan does the reads and writes of the plan. It returns true when the
// records have to be planned again.
func (r *Recorder) applyPlan(ctx context.Context, q *partitionQueue, plan *bbjournal.Plan) (bool, error) {
	switch {
	case plan.NeedsListing:
		return true, r.loadChain(ctx, q)
	case len(plan.Reads) > 0:
		for _, n := range plan.Reads {
			if err := r.readLeaf(ctx, q, n); err != nil {
				return false, err
			}
		}
		return true, nil
	}
	for _, w := range plan.Writes {
		if replan, err := r.writeLeaf(ctx, q, w); replan || err != nil {
			return replan, err
		}
	}
	return false, nil
}

func (r *Recorder) loadChain(ctx context.Context, q *partitionQueue) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, q.partition.Prefix())
	if err != nil {
		return err
	}
	return q.chain.Load(entries)
}

func (r *Recorder) readLeaf(ctx context.Context, q *partitionQueue, n bbjournal.LeafNumber) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, q.chain.Key(n))
	if err != nil {
		return err
	}
	return q.chain.OnLeafRead(n, entry)
}

// writeLeaf makes one compare-and-swap. It returns true when it failed or its
// result is unknown, so that the leaf has to be read and the records planned
// again.
func (r *Recorder) writeLeaf(ctx context.Context, q *partitionQueue, w bbjournal.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.metrics.writes.Inc(1)
	rev, err := r.Store.CAS(ctx, w.Key, w.Value, w.Prev, 0)
	switch {
	case err == nil:
		q.chain.OnWritten(w, rev)
		return false, nil
	case errors.Is(err, bbstore.ErrConflict):
		r.metrics.writeConflicts.Inc(1)
		q.chain.OnWriteFailed(w, false)
		return true, nil
	case errors.Is(err, bbstore.ErrDown), errors.Is(err, bbstore.ErrTooLarge):
		return false, err
	}
	r.metrics.writesUnknown.Inc(1)
	q.chain.OnWriteFailed(w, true)
	return true, nil
}

// deleteExpired deletes leaves past the retention, at most once per
// expiryInterval.
func (r *Recorder) deleteExpired(ctx context.Context, q *partitionQueue) {
	now := r.Now()
	if !q.chain.Loaded() || now.Before(q.nextExpiry) {
		return
	}
	q.nextExpiry = now.Add(expiryInterval + time.Duration(q.partition)*time.Second/bbjournal.Partitions)
	q.chain.Begin(now)
	for _, w := range q.chain.Expired(now, maxExpiredPerRun) {
		reread, err := r.writeLeaf(ctx, q, w)
		if err != nil {
			return
		}
		if reread && r.readLeaf(ctx, q, w.Number) != nil {
			return
		}
	}
}
