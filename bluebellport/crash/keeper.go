package bbcrash

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// keeperFingerprint ranks the instances as writers of the copy in the store.
const keeperFingerprint = 1

// keepCopy keeps a copy of the verdicts in the store until ctx ends, so that a
// fleet whose instances all end at once does not forget them. The instance that
// ranks first writes it; an instance that has just started reads it if no other
// one has answered.
func (t *Tracker) keepCopy(ctx context.Context) {
	if t.cfg.Store == nil {
		return
	}
	pause := copyCheckInterval
	for bbclock.Wait(ctx, pause); ctx.Err() == nil; bbclock.Wait(ctx, pause) {
		err := t.syncCopy(ctx)
		if err == nil || ctx.Err() != nil {
			pause = copyCheckInterval
			continue
		}
		t.cfg.Log.WithError(err).WithField("event", "crash-copy").Warn("copy of the refused requests out of reach; trying again")
		pause = min(2*pause, maxCopyBackoff)
	}
}

// syncCopy reads the copy if it is needed here, and writes it if this instance
// keeps it and knows something else than it was last known to hold.
func (t *Tracker) syncCopy(ctx context.Context) error {
	mustRead, mustWrite := t.copyDue(t.cfg.Now())
	if !mustRead && !mustWrite {
		return nil
	}
	era := t.era()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	old, err := t.cfg.Store.Get(ctx, t.cfg.StoreKey)
	if err != nil {
		return errors.Annotate(err, "read")
	}
	if !mustWrite {
		t.mergeCopy(old.Value)
		return nil
	}
	value, digest, changed := t.encodeCopy(old.Value)
	if changed {
		if _, err = t.cfg.Store.CAS(ctx, t.cfg.StoreKey, value, old.Rev, 0); err != nil && !errors.Is(err, bbstore.ErrConflict) {
			return errors.Annotate(err, "write")
		}
	}
	if err == nil { // after a conflict the copy is read again
		t.mu.Lock()
		t.copyDigest, t.copyEra = digest, era
		t.mu.Unlock()
	}
	return nil
}

// copyDue reports whether the copy has to be read because this instance has just
// started, and whether it has to be written.
func (t *Tracker) copyDue(now time.Time) (read, write bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era := t.era(); era != t.copyEra { // the store may have lost the copy
		t.copyEra, t.copyDigest = era, 0
	}
	read = !t.learner.complete && !now.Before(t.learner.readCopyAt)
	write = t.learner.complete && t.isKeeper() && !now.Before(t.nextWrite) && t.verdictDigest() != t.copyDigest
	if write {
		t.nextWrite = now.Add(minWriteInterval)
	}
	return read, write
}

// era returns the newest known era of the store.
func (t *Tracker) era() bbstore.Era {
	if t.cfg.Era == nil {
		return 0
	}
	return t.cfg.Era()
}

// isKeeper reports whether this instance writes the copy.
func (t *Tracker) isKeeper() bool {
	if t.ranking.view == nil {
		return false
	}
	first := t.ranking.top(keeperFingerprint, 1)
	return len(first) == 0 || first[0] == t.ranking.view.Self.ID
}

// mergeCopy merges the records of the copy, on the start of this instance. Their
// ages are those of when they were written.
func (t *Tracker) mergeCopy(value []byte) {
	var msg bbwire.Crashes
	if err := proto.Unmarshal(value, &msg); err != nil {
		t.dropped.Inc(1)
		t.cfg.Log.WithError(err).Warn("copy of the refused requests unreadable; it will be replaced")
		return
	}
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range slices.Concat(msg.Verdicts, msg.PartVerdicts) {
		if r, ok := t.decode(m, now); ok {
			t.merge("", r)
		}
	}
	t.learner.complete = true
	t.publish()
}

// encodeCopy returns the copy with the records known here, the digest of these,
// and whether it says something else than the old copy.
func (t *Tracker) encodeCopy(old []byte) (value []byte, digest uint64, changed bool) {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.verdicts()
	records = records[:min(len(records), maxStoredRecords)]
	for _, r := range t.partVerdicts(maxStoredParts) {
		records = append(records, r.newest(maxStoredPartCrashes))
	}
	msg := &bbwire.Crashes{Digest: digestOf(records)}
	setVerdicts(msg, records, now)
	var before bbwire.Crashes
	changed = proto.Unmarshal(old, &before) != nil || before.Digest != msg.Digest
	value, err := proto.Marshal(msg)
	if err != nil {
		panic(err) // cannot happen: all strings were checked
	}
	return value, t.verdictDigest(), changed
}

// digestOf returns a hash of records, 0 if there are none.
func digestOf(records []Record) uint64 {
	var sum uint64
	for _, r := range records {
		sum ^= r.digest()
	}
	return sum
}
