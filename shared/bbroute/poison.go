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
	marks map[uint64]CrashRecord
}

// CrashCount returns how many targets crashed with the fingerprint in flight.
func (p *CrashTable) CrashCount(fp uint64) int { return len(p.marks[fp].Targets) }

// Len returns how many fingerprints are remembered.
func (p *CrashTable) Len() int { return len(p.marks) }

// Records returns all marks, what was learnt last first.
func (p *CrashTable) Records() []CrashRecord {
	out := make([]CrashRecord, 0, len(p.marks))
	for _, m := range p.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		return cmp.Or(b.UpdatedAt.Compare(a.UpdatedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// With returns the table with the targets joined to the fingerprint's, and
// whether that says anything new. Joining is a union, so instances that have
// heard the same marks agree, in whichever order they heard them.
func (p *CrashTable) With(fp uint64, targets []bbunit.TargetID, now time.Time, rule *PoisonPolicy) (*CrashTable, bool) {
	old := p.marks[fp]
	joined := union(old.Targets, targets)
	if len(joined) == len(old.Targets) && slices.Equal(joined, old.Targets) {
		return p, false
	}
	next := &CrashTable{marks: make(map[uint64]CrashRecord, len(p.marks)+1)}
	for k, m := range p.marks {
		next.marks[k] = m
	}
	next.marks[fp] = CrashRecord{Fingerprint: fp, Targets: joined, UpdatedAt: now}
	next.bound(rule)
	return next, true
}

// Expire returns the table without suspects that are too old.
func (p *CrashTable) Expire(now time.Time, rule *PoisonPolicy) *CrashTable {
	old := func(m CrashRecord) bool {
		return len(m.Targets) < rule.CrashThreshold && now.Sub(m.UpdatedAt) > rule.SuspectTTL
	}
	next := &CrashTable{marks: make(map[uint64]CrashRecord, len(p.marks))}
	for k, m := range p.marks {
		if !old(m) {
			next.marks[k] = m
		}
	}
	if len(next.marks) == len(p.marks) {
		return p
	}
	return next
}

// bound drops suspects, the oldest first, and then the oldest of all, until the
// table is no longer than it may be.
func (p *CrashTable) bound(rule *PoisonPolicy) {
	if len(p.marks) <= rule.MaxFingerprints {
		return
	}
	marks := p.Records()
	slices.SortStableFunc(marks, func(a, b CrashRecord) int {
		return cmp.Compare(min(len(b.Targets), rule.CrashThreshold), min(len(a.Targets), rule.CrashThreshold))
	})
	for _, m := range marks[rule.MaxFingerprints:] {
		delete(p.marks, m.Fingerprint)
	}
}

// union joins two lists of targets, of which it keeps the first few in order.
func union(a, b []bbunit.TargetID) []bbunit.TargetID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), poisonTargets)]
}

// KnownGood remembers fingerprints that have run whole not long ago. Such a
// request crashes no target, so that it is not marked when one crashes for
// another reason. It is bounded, forgets at random, and takes no lock.
type KnownGood struct {
	prints [provenSize]atomic.Uint64
}

// Add notes that a request of the fingerprint ran whole.
func (p *KnownGood) Add(fp uint64) {
	if s := &p.prints[mix(fp)%provenSize]; s.Load() != fp {
		s.Store(fp)
	}
}

// Contains tells whether the fingerprint is remembered.
func (p *KnownGood) Contains(fp uint64) bool {
	return fp != 0 && p.prints[mix(fp)%provenSize].Load() == fp
}
