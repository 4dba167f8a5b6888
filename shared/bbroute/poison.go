package bbroute

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// CrashRecord tells which targets crashed while a request of that fingerprint was in
// flight at them.
type CrashRecord struct {
	Fingerprint uint64
	Targets     []bbunit.TargetID // sorted, without repetition
	// UpdatedAt is when this instance learnt the latest of it.
	UpdatedAt time.Time
}

// PoisonPolicy sets when a fingerprint is refused.
type PoisonPolicy struct {
	// CrashThreshold is how many targets must have crashed.
	CrashThreshold int
	// SuspectTTL is how long a fingerprint with fewer crashes is remembered.
	SuspectTTL time.Duration
	// MaxFingerprints is how many fingerprints are remembered.
	MaxFingerprints int
}

// CrashTable is an immutable table of marks. The zero value is empty.
type CrashTable struct {
	records map[uint64]CrashRecord
}

// CrashCount returns how many targets crashed with the fingerprint in flight.
func (t *CrashTable) CrashCount(fingerprint uint64) int { return len(t.records[fingerprint].Targets) }

// Len returns how many fingerprints are remembered.
func (t *CrashTable) Len() int { return len(t.records) }

// Records returns all marks, what was learnt last first.
func (t *CrashTable) Records() []CrashRecord {
	out := make([]CrashRecord, 0, len(t.records))
	for _, record := range t.records {
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		return cmp.Or(b.UpdatedAt.Compare(a.UpdatedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// With returns the table with the targets joined to the fingerprint's, and
// whether that says anything new. Joining is a union, so instances that have
// heard the same marks agree, in whichever order they heard them.
func (t *CrashTable) With(fingerprint uint64, targets []bbunit.TargetID, now time.Time, policy *PoisonPolicy) (*CrashTable, bool) {
	old := t.records[fingerprint]
	merged := union(old.Targets, targets)
	if len(merged) == len(old.Targets) && slices.Equal(merged, old.Targets) {
		return t, false
	}
	next := &CrashTable{records: make(map[uint64]CrashRecord, len(t.records)+1)}
	for k, record := range t.records {
		next.records[k] = record
	}
	next.records[fingerprint] = CrashRecord{Fingerprint: fingerprint, Targets: merged, UpdatedAt: now}
	next.evict(policy)
	return next, true
}

// Expire returns the table without suspects that are too old.
func (t *CrashTable) Expire(now time.Time, policy *PoisonPolicy) *CrashTable {
	expired := func(record CrashRecord) bool {
		return len(record.Targets) < policy.CrashThreshold && now.Sub(record.UpdatedAt) > policy.SuspectTTL
	}
	next := &CrashTable{records: make(map[uint64]CrashRecord, len(t.records))}
	for k, record := range t.records {
		if !expired(record) {
			next.records[k] = record
		}
	}
	if len(next.records) == len(t.records) {
		return t
	}
	return next
}

// evict drops suspects, the oldest first, and then the oldest of all, until the
// table is no longer than it may be.
func (t *CrashTable) evict(policy *PoisonPolicy) {
	if len(t.records) <= policy.MaxFingerprints {
		return
	}
	records := t.Records()
	slices.SortStableFunc(records, func(a, b CrashRecord) int {
		return cmp.Compare(min(len(b.Targets), policy.CrashThreshold), min(len(a.Targets), policy.CrashThreshold))
	})
	for _, record := range records[policy.MaxFingerprints:] {
		delete(t.records, record.Fingerprint)
	}
}

// union joins two lists of targets, of which it keeps the first few in order.
func union(a, b []bbunit.TargetID) []bbunit.TargetID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxTargetsPerFingerprint)]
}

// KnownGood remembers fingerprints that have run whole not long ago. Such a
// request crashes no target, so that it is not marked when one crashes for
// another reason. It is bounded, forgets at random, and takes no lock.
type KnownGood struct {
	fingerprints [knownGoodSize]atomic.Uint64
}

// Add notes that a request of the fingerprint ran whole.
func (k *KnownGood) Add(fingerprint uint64) {
	if slot := &k.fingerprints[splitmix64(fingerprint)%knownGoodSize]; slot.Load() != fingerprint {
		slot.Store(fingerprint)
	}
}

// Contains tells whether the fingerprint is remembered.
func (k *KnownGood) Contains(fingerprint uint64) bool {
	return fingerprint != 0 && k.fingerprints[splitmix64(fingerprint)%knownGoodSize].Load() == fingerprint
}
