package bbcrash

import (
	"cmp"
	"slices"
	"time"
)

// A request that crashes its targets does so one after the other, as it is sent
// again, and is never answered. An innocent request is in flight at targets that
// crash for another reason: often at several of them at the same time, while
// other targets crash as well, and it is answered at the next one. So of crashes
// during which the request was in flight at the same time only one counts, none
// from before an answer, and one more is needed while other targets crash too.

// isRefused reports whether the request is refused: enough crashes were counted
// and have not been disproved since. Where they are in doubt, one more is needed,
// and all in sequence.
func (r Record) isRefused(threshold int) bool {
	stands := func(c *Crash) bool { return c.Counted && !c.Disproved }
	if r.isDoubted() {
		return r.inSequence(stands) > threshold
	}
	return r.number(stands) >= threshold
}

// objectionEnd returns until when the fleet has time to object that it has just
// answered a request that was answered before the crashes, zero if it was not.
func (r Record) objectionEnd() time.Time {
	if r.number(func(c *Crash) bool { return c.Excused && !c.Disproved }) == 0 {
		return time.Time{}
	}
	return r.lastCrashAt().Add(objectionPeriod)
}

// isDoubted reports whether a counted crash is in doubt.
func (r Record) isDoubted() bool {
	return r.number(func(c *Crash) bool { return c.Counted && c.Doubted }) > 0
}

// isValid reports whether a crash is not disproved.
func isValid(c *Crash) bool { return !c.Disproved }

// wasCounted reports whether the request is refused or once was.
func (r Record) wasCounted() bool {
	return r.number(func(c *Crash) bool { return c.Counted }) > 0
}

// valid returns the number of crashes that are not disproved.
func (r Record) valid() int {
	return r.number(isValid)
}

// number returns how many crashes match.
func (r Record) number(matches func(c *Crash) bool) int {
	n := 0
	for i := range r.Crashes {
		if matches(&r.Crashes[i]) {
			n++
		}
	}
	return n
}

// shouldRefuse reports whether the crashes suffice to refuse the request, if
// background other targets crashed at the time.
func (r Record) shouldRefuse(threshold, background int) bool {
	if r.inSequence(isValid) > threshold {
		return true
	}
	if background > 0 {
		return false
	}
	unexcused := func(c *Crash) bool { return !c.Disproved && !c.Excused }
	return r.inSequence(unexcused) >= threshold || r.targetRuns(unexcused) > threshold
}

// count returns the record with the crashes counted for which the request is to
// be refused: one more than the threshold, or all that there are. Crashes in
// sequence come first.
func (r Record) count(threshold int) Record {
	chosen := map[CrashID]bool{}
	for _, c := range append(r.sequence(isValid), r.Crashes...) {
		if len(chosen) <= threshold && !c.Disproved {
			chosen[c.ID] = true
		}
	}
	return r.change(func(c *Crash) { c.Counted = c.Counted || chosen[c.ID] })
}

// inSequence returns the largest number of the crashes that match of which no
// two were in flight at the same time.
func (r Record) inSequence(matches func(c *Crash) bool) int { return len(r.sequence(matches)) }

// sequence returns such crashes, the earliest first.
func (r Record) sequence(matches func(c *Crash) bool) []Crash {
	var crashes []Crash
	for i := range r.Crashes {
		if matches(&r.Crashes[i]) {
			crashes = append(crashes, r.Crashes[i])
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.BrokenAt.Compare(b.BrokenAt), a.SentAt.Compare(b.SentAt))
	})
	var chosen []Crash
	for _, c := range crashes {
		if n := len(chosen); n == 0 || c.follows(&chosen[n-1]) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// follows reports whether the request was sent after the earlier crash. Between
// crashes that different instances saw, their delays count.
func (c *Crash) follows(before *Crash) bool {
	if c.Instance == before.Instance {
		return !c.SentAt.Before(before.BrokenAt)
	}
	return c.SentAt.Add(clockTolerance).After(before.BrokenAt) && c.BrokenAt.Add(-clockTolerance).After(before.BrokenAt)
}

// targetRuns returns how many runs of targets ended in the crashes that match.
func (r Record) targetRuns(matches func(c *Crash) bool) int {
	runs := map[TargetRun]bool{}
	for i := range r.Crashes {
		if matches(&r.Crashes[i]) {
			runs[r.Crashes[i].Run] = true
		}
	}
	return len(runs)
}
