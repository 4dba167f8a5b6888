package bbroute

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// CrashRecord lists the targets that crashed while a request with the
// fingerprint was in flight.
type CrashRecord struct {
	Fingerprint uint64
	Targets     []bbunit.TargetID // sorted, without duplicates
	// UpdatedAt is when this instance last learned of a target.
	UpdatedAt time.Time
}

// PoisonPolicy sets when a fingerprint is refused. A fingerprint with fewer
// crashes is a suspect.
type PoisonPolicy struct {
	// CrashThreshold is the number of crashed targets from which a fingerprint
	// is refused.
	CrashThreshold int
	// SuspectTTL is how long a suspect is remembered.
	SuspectTTL time.Duration
	// MaxFingerprints is how many fingerprints are remembered.
	MaxFingerprints int
}

// CrashTable is an immutable table of crash records. The zero value is empty.
type CrashTable struct {
	records map[uint64]CrashRecord
}

// CrashCount returns how many targets crashed with the fingerprint in flight.
func (t *CrashTable) CrashCount(fingerprint uint64) int { return len(t.records[fingerprint].Targets) }

// Len returns how many fingerprints are remembered.
func (t *CrashTable) Len() int { return len(t.records) }

// Records returns all records, the most recently updated first.
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

// With returns the table with the targets added to the fingerprint's record,
// and whether that changed the table. The targets are merged as a set, so
// instances that received the same records agree, in whichever order they
// received them.
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

// Expire returns the table without suspects older than policy.SuspectTTL.
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

// evict removes records until the table is within policy.MaxFingerprints: those
// with the fewest crashes first, so suspects before refused fingerprints, and
// the oldest among equals.
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

// union merges two lists of targets and keeps the first
// maxTargetsPerFingerprint in order.
func union(a, b []bbunit.TargetID) []bbunit.TargetID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxTargetsPerFingerprint)]
}

// KnownGood is a bounded set of the fingerprints of requests that recently ran
// to completion. Such a request does not crash targets, so it is not blamed
// when a target crashes for another reason. A new fingerprint replaces the one
// that hashes to the same entry. Access takes no lock.
type KnownGood struct {
	fingerprints [knownGoodSize]atomic.Uint64
}

// Add notes that a request with the fingerprint ran to completion.
func (k *KnownGood) Add(fingerprint uint64) {
	if entry := &k.fingerprints[splitmix64(fingerprint)%knownGoodSize]; entry.Load() != fingerprint {
		entry.Store(fingerprint)
	}
}

// Contains reports whether the fingerprint is in the set.
func (k *KnownGood) Contains(fingerprint uint64) bool {
	return fingerprint != 0 && k.fingerprints[splitmix64(fingerprint)%knownGoodSize].Load() == fingerprint
}
