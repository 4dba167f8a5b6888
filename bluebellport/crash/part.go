package bbcrash

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbhash"
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	// Fingerprint is a hash of the id, other than that of a request with the same
	// text.
	Fingerprint uint64
	// ID names the part in logs. It is cut after maxPartBytes.
	ID string
}

// NewPart returns the part with an id, which must not be empty.
func NewPart(id string) Part {
	const partSeed = 0x70617274 // keeps parts apart from requests
	name := id[:min(len(id), maxPartBytes)]
	if !utf8.ValidString(name) { // messages hold valid text only
		name = strings.ToValidUTF8(name, "?")
	}
	return Part{Fingerprint: bbhash.Mix(xxhash.Sum64String(id) ^ partSeed), ID: name}
}

// PartIDs returns the ids of parts, at most maxEvidenceParts of them, as they
// appear in logs.
func PartIDs(parts []Part) []string {
	out := make([]string, min(len(parts), maxEvidenceParts))
	for i := range out {
		out[i] = parts[i].ID
	}
	return out
}

// RefusedPart returns the first of the parts that is refused because it crashes
// targets, and whether there is one. It takes no lock.
func (t *Tracker) RefusedPart(parts []Part) (Part, bool) {
	s := t.snapshot.Load()
	if len(s.refusedParts) == 0 {
		return Part{}, false
	}
	for _, p := range parts {
		if _, ok := s.refusedParts[p.Fingerprint]; ok {
			return p, true
		}
	}
	return Part{}, false
}

// HasProposedPart reports whether one of the parts is about to be refused: a
// request with it that broke off is not repeated. It takes no lock.
func (t *Tracker) HasProposedPart(parts []Part) bool {
	s := t.snapshot.Load()
	return len(s.proposedParts) > 0 && slices.ContainsFunc(parts, func(p Part) bool { return s.proposedParts[p.Fingerprint] })
}

// evidenceParts returns the parts that are suspects of a crash, each once: at most
// maxEvidenceParts, those first that are suspects already.
func (t *Tracker) evidenceParts(parts []Part) []Part {
	s := t.snapshot.Load()
	var out []Part
	for _, wanted := range []bool{true, false} {
		for _, p := range parts {
			_, known := s.partSuspects[p.Fingerprint]
			if known == wanted && len(out) < maxEvidenceParts && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// partRecord returns the record of a part, empty if there is none.
func (t *Tracker) partRecord(p Part) Record {
	if e := t.records[p.Fingerprint]; e != nil && e.Part == p.ID {
		return e.Record
	}
	return Record{Fingerprint: p.Fingerprint, Part: p.ID}
}

// A part of a prompt may be in many requests, sound ones too, that are in flight
// as targets crash. A part that crashes targets is never answered; a sound one is,
// so its crashes count only once such an answer would have come. A part that is
// seldom seen may have been in flight at crashes that another part caused: these
// do not count.

// isRipe reports whether a request with the part that was sent after the crash
// would have been answered here by now, if the part is answered at all: such
// requests had time, and a later one without the part was answered.
func (t *Tracker) isRipe(r *Record, c *Crash) bool {
	return r.AnswerTime == 0 || t.partAnswers.newest().Sub(c.BrokenAt) >= answerPeriod(r.AnswerTime)
}

// answerPeriod returns how long after a request was sent its answer is late, if
// answers take a time.
func answerPeriod(longest time.Duration) time.Duration { return longest*3/2 + ripeMargin }

// tooFew reports whether crashes are too few, or too close in time to each
// other, to refuse a part.
func (r Record) tooFew(longSpan time.Duration, matches func(c *Crash) bool) bool {
	runs := r.targetRuns(matches)
	if runs < partThreshold {
		return true
	}
	first, last := r.span(matches)
	if runs < quickPartThreshold {
		return last.Sub(first) < longSpan
	}
	return last.Sub(first) < minPartSpan && r.inSequence(matches) < minPartSequence
}

// longSpan returns the time between the first crash and the last for which few
// crashes suffice: a request that was sent after the first would have been
// answered.
func (t *Tracker) longSpan() time.Duration {
	_, longest := t.partAnswers.first()
	return min(max(answerPeriod(longest), minLongSpan), maxLongSpan)
}

// span returns the times of the first and the last crash that match.
func (r Record) span(matches func(c *Crash) bool) (first, last time.Time) {
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if !matches(c) {
			continue
		}
		if first.IsZero() || c.BrokenAt.Before(first) {
			first = c.BrokenAt
		}
		if c.BrokenAt.After(last) {
			last = c.BrokenAt
		}
	}
	return first, last
}

// judgePart returns the record with all crashes counted if they suffice to refuse
// the part, unless other parts explain them.
func (t *Tracker) judgePart(r Record) Record {
	now := t.cfg.Now()
	if !t.canJudgeParts(now) {
		return r
	}
	explained := t.explainedCrashes(r.Fingerprint)
	if r.tooFew(t.longSpan(), func(c *Crash) bool { return !c.Disproved && t.isRipe(&r, c) && !explained(c.ID) }) {
		return r
	}
	return r.change(func(c *Crash) { c.Counted = c.Counted || !c.Disproved })
}

// canJudgeParts reports whether this instance has run long enough to know which
// parts are answered.
func (t *Tracker) canJudgeParts(now time.Time) bool {
	first, longest := t.partAnswers.first()
	switch wait := first.Sub(t.startedAt); {
	case first.IsZero():
		return now.Sub(t.startedAt) >= maxLearnPeriod
	case wait < lateFirstAnswer:
		first = t.startedAt
	}
	return now.Sub(first) >= min(max(answerPeriod(longest), minLearnPeriod), maxLearnPeriod)
}

// explainedCrashes returns a function that reports whether a crash is explained by
// another part that is refused or about to be.
func (t *Tracker) explainedCrashes(fingerprint uint64) func(id CrashID) bool {
	return func(id CrashID) bool {
		by, ok := t.explainedBy[id]
		return ok && by != fingerprint
	}
}

// withoutPartAnswers returns the record of a part with the crashes disproved from
// before the last request was sent that was answered whole here, and with the time
// that such answers take.
func (t *Tracker) withoutPartAnswers(r Record) Record {
	a := t.partAnswers.last(r.Fingerprint)
	if a.at.IsZero() {
		return r
	}
	r.AnswerTime = max(r.AnswerTime, roundAnswerTime(a.duration))
	return t.disprove(r, "a request with the part was sent and answered since", func(c *Crash) bool { return c.BrokenAt.Before(a.at) })
}

// roundAnswerTime rounds up, so that few different times are told.
func roundAnswerTime(d time.Duration) time.Duration {
	return min((d/answerTimeStep+1)*answerTimeStep, maxAnswerTime)
}

// reviewParts applies to the parts under suspicion what was answered since, and
// decides on those whose crashes have become old enough.
func (t *Tracker) reviewParts(now time.Time) {
	for _, e := range t.records {
		if !e.isPart() {
			continue
		}
		r := t.withoutPartAnswers(e.Record)
		if r.digest() != e.digest() || !e.standing && t.canJudgeParts(now) && r.valid() >= partThreshold {
			t.apply(r)
		}
	}
}

// standingParts decides which parts are refused, and which are about to be as
// others can still object. It notes which crashes they explain.
func (t *Tracker) standingParts(now time.Time) (refused map[uint64]Record, proposed map[uint64]bool) {
	var candidates []*entry
	for _, e := range t.records {
		if e.isPart() && e.wasCounted() {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *entry) int { return comparePartEntries(a, b) })
	t.explainedBy = map[CrashID]uint64{}
	refused, proposed = map[uint64]Record{}, map[uint64]bool{}
	for _, e := range candidates {
		explained := t.explainedCrashes(e.Fingerprint)
		e.standing = !e.tooFew(t.longSpan(), func(c *Crash) bool { return c.Counted && !c.Disproved && t.isRipe(&e.Record, c) && !explained(c.ID) })
		if !e.standing {
			e.standsSince, e.inForce = time.Time{}, false
			continue
		}
		if e.standsSince.IsZero() {
			e.standsSince = now
		}
		e.inForce = now.Sub(e.standsSince) >= partObjectionPeriod
		proposed[e.Fingerprint] = true
		if e.inForce {
			refused[e.Fingerprint] = e.Record
		}
		for i := range e.Crashes {
			if c := &e.Crashes[i]; !c.Disproved && !explained(c.ID) {
				t.explainedBy[c.ID] = e.Fingerprint
			}
		}
	}
	return refused, proposed
}

// comparePartEntries orders parts by how well they explain crashes: those first of
// which no answer is known, then those with more crashes.
func comparePartEntries(a, b *entry) int {
	rank := func(e *entry) int {
		if e.AnswerTime == 0 {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.valid(), a.valid()), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
