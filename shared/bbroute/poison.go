package bbroute

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Mark tells which targets crashed while a request of that fingerprint was in
// flight at them.
type Mark struct {
	Print   uint64
	Targets []bbunit.TargetID // sorted, without repetition
	// At is when this instance learnt the latest of it.
	At time.Time
}

// PoisonRule sets when a fingerprint is refused.
type PoisonRule struct {
	// Crashes is how many targets must have crashed.
	Crashes int
	// Suspect is how long a fingerprint with fewer crashes is remembered.
	Suspect time.Duration
	// Most is how many fingerprints are remembered.
	Most int
}

// Poisons is an immutable table of marks. The zero value is empty.
type Poisons struct {
	marks map[uint64]Mark
}

// Crashes returns how many targets crashed with the fingerprint in flight.
func (p *Poisons) Crashes(fp uint64) int { return len(p.marks[fp].Targets) }

// Len returns how many fingerprints are remembered.
func (p *Poisons) Len() int { return len(p.marks) }

// Marks returns all marks, what was learnt last first.
func (p *Poisons) Marks() []Mark {
	out := make([]Mark, 0, len(p.marks))
	for _, m := range p.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Print, b.Print))
	})
	return out
}

// With returns the table with the targets joined to the fingerprint's, and
// whether that says anything new. Joining is a union, so instances that have
// heard the same marks agree, in whichever order they heard them.
func (p *Poisons) With(fp uint64, targets []bbunit.TargetID, now time.Time, rule *PoisonRule) (*Poisons, bool) {
	old := p.marks[fp]
	joined := union(old.Targets, targets)
	if len(joined) == len(old.Targets) && slices.Equal(joined, old.Targets) {
		return p, false
	}
	next := &Poisons{marks: make(map[uint64]Mark, len(p.marks)+1)}
	for k, m := range p.marks {
		next.marks[k] = m
	}
	next.marks[fp] = Mark{Print: fp, Targets: joined, At: now}
	next.bound(rule)
	return next, true
}

// Expire returns the table without suspects that are too old.
func (p *Poisons) Expire(now time.Time, rule *PoisonRule) *Poisons {
	old := func(m Mark) bool { return len(m.Targets) < rule.Crashes && now.Sub(m.At) > rule.Suspect }
	next := &Poisons{marks: make(map[uint64]Mark, len(p.marks))}
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
func (p *Poisons) bound(rule *PoisonRule) {
	if len(p.marks) <= rule.Most {
		return
	}
	marks := p.Marks()
	slices.SortStableFunc(marks, func(a, b Mark) int {
		return cmp.Compare(min(len(b.Targets), rule.Crashes), min(len(a.Targets), rule.Crashes))
	})
	for _, m := range marks[rule.Most:] {
		delete(p.marks, m.Print)
	}
}

// union joins two lists of targets, of which it keeps the first few in order.
func union(a, b []bbunit.TargetID) []bbunit.TargetID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), poisonTargets)]
}

// Proven remembers fingerprints that have run whole not long ago. Such a
// request crashes no target, so that it is not marked when one crashes for
// another reason. It is bounded, forgets at random, and takes no lock.
type Proven struct {
	prints [provenSize]atomic.Uint64
}

// Add notes that a request of the fingerprint ran whole.
func (p *Proven) Add(fp uint64) {
	if s := &p.prints[mix(fp)%provenSize]; s.Load() != fp {
		s.Store(fp)
	}
}

// Has tells whether the fingerprint is remembered.
func (p *Proven) Has(fp uint64) bool {
	return fp != 0 && p.prints[mix(fp)%provenSize].Load() == fp
}
