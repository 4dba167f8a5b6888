package bbcrash

import (
	"cmp"
	"slices"
	"time"
)

// snapshot is what requests read. It is immutable.
type snapshot struct {
	refused map[uint64]Record
	// suspects holds the number of crashes of the others.
	suspects map[uint64]int
	// refusedParts and proposedParts are the parts that are refused, and these and
	// those that are about to be. partSuspects are all with a crash.
	refusedParts  map[uint64]Record
	proposedParts map[uint64]bool
	partSuspects  map[uint64]struct{}
	// runs holds the first crash of each target that is said to have crashed, and
	// whose start is known.
	runs map[TargetRun]time.Time
}

// IsRefused reports whether requests with the fingerprint are refused. 0 stands
// for no fingerprint.
func (t *Tracker) IsRefused(fingerprint uint64) bool {
	_, ok := t.snapshot.Load().refused[fingerprint]
	return ok
}

// IsSuspect reports whether a request with the fingerprint was in flight at a
// crash that this instance knows of.
func (t *Tracker) IsSuspect(fingerprint uint64) bool {
	s := t.snapshot.Load()
	_, refused := s.refused[fingerprint]
	return refused || s.suspects[fingerprint] > 0
}

// Crashes returns the crashes because of which requests with the fingerprint, or
// with the part that has it, are refused.
func (t *Tracker) Crashes(fingerprint uint64) []Crash {
	var out []Crash
	s := t.snapshot.Load()
	for _, c := range slices.Concat(s.refusedParts[fingerprint].Crashes, s.refused[fingerprint].Crashes) {
		if !c.Disproved {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(a.BrokenAt.Compare(b.BrokenAt), cmp.Compare(a.ID, b.ID)) })
	return out
}

// publish makes the records visible to requests.
func (t *Tracker) publish() {
	s := &snapshot{refused: map[uint64]Record{}, suspects: map[uint64]int{}, partSuspects: map[uint64]struct{}{}, runs: map[TargetRun]time.Time{}}
	now := t.cfg.Now()
	s.refusedParts, s.proposedParts = t.standingParts(now)
	t.changed, t.urgent = false, false
	for fingerprint, e := range t.records {
		if e.isPart() {
			s.partSuspects[fingerprint] = struct{}{}
			t.changed = t.changed || e.standing && !e.inForce // looked at again in the next tick
		} else {
			t.publishRequest(s, e, now)
		}
		for i := range e.Crashes {
			c := &e.Crashes[i]
			if at, ok := s.runs[c.Run]; !c.Disproved && c.Run.StartedAtMillis != 0 && (!ok || c.BrokenAt.Before(at)) {
				s.runs[c.Run] = c.BrokenAt
			}
		}
	}
	t.logParts(t.snapshot.Load().refusedParts, s.refusedParts)
	t.snapshot.Store(s)
	t.refusedParts.Update(int64(len(s.refusedParts)))
	t.refused.Update(int64(len(s.refused)))
	t.suspects.Update(int64(len(s.suspects)))
}

// publishRequest adds the record of a request to a snapshot. A request that was in
// flight at crashes which a refused part explains is not refused for them.
func (t *Tracker) publishRequest(s *snapshot, e *entry, now time.Time) {
	refused := e.isRefused(t.cfg.Threshold)
	if refused && len(s.refusedParts) > 0 {
		refused = e.where(func(c *Crash) bool {
			_, explained := s.refusedParts[t.explainedBy[c.ID]]
			return !explained
		}).isRefused(t.cfg.Threshold)
	}
	if refused && now.Before(e.objectionEnd()) {
		refused, t.changed = false, true // looked at again in the next tick
	}
	if refused {
		s.refused[e.Fingerprint] = e.Record
	} else if n := e.valid(); n > 0 {
		s.suspects[e.Fingerprint] = n
	}
}
