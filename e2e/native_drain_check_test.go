package bbe2e

import (
	"fmt"
	"slices"
	"time"
)

// latest is the latest arrival at targets that left by one way.
type latest struct {
	leavings, arrivals, late int
	inTouch, away            time.Duration
}

// check reports the latest arrivals after the word, and fails the test if one is
// later than drainTimeout, or if a request that was in flight was not answered.
func (r *drainRun) check() {
	r.t.Helper()
	r.wg.Wait()
	byID := map[string]*rawAnswer{}
	statuses := map[string]int{}
	for _, a := range r.answers {
		byID[a.attemptID] = a
		statuses[a.summary()]++
	}
	results := map[string]*latest{}
	for _, l := range r.leavings {
		key := fmt.Sprintf("%s, %s, %s", l.service, l.way, l.disturbance)
		if results[key] == nil {
			results[key] = &latest{}
		}
		r.add(results[key], l, byID)
	}
	var keys []string
	for key := range results {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		res := results[key]
		r.t.Logf("%d instances, %s: %d targets, latest send after the word %d ms (by an instance that the store turns away %d ms), %d sends after it, %d later than %s",
			len(r.instances), key, res.leavings, res.inTouch.Milliseconds(), res.away.Milliseconds(), res.arrivals, res.late, drainTimeout)
	}
	r.t.Logf("%d requests, statuses %v", len(r.answers), statuses)
}

// add adds the arrivals at one target that left.
func (r *drainRun) add(res *latest, l *leaving, answers map[string]*rawAnswer) {
	r.t.Helper()
	res.leavings++
	word := l.word
	if l.way == leaveByField {
		if word = l.target.saidLeavingAt(); word.IsZero() {
			r.t.Errorf("%s: no request reached it, so it said nothing", l.target.id)
		}
	}
	passedOn := firstPassedOn(l, answers)
	for _, a := range l.target.seen() {
		answer := answers[a.attemptID]
		if answer == nil || overlaps(r.disturbed[answer.inst], a.at.Add(-drainContactTime), answer.endedAt) {
			continue
		}
		if a.ran && (answer.status != 200 || answer.mixed) {
			r.t.Errorf("%s: a request that ran there got status %d %q", l.target.id, answer.status, answer.text)
		}
		after := a.at.Sub(word)
		if word.IsZero() || after <= 0 {
			continue
		}
		res.arrivals++
		if overlaps(r.away[answer.inst], a.at.Add(-drainContactTime), a.at) {
			if res.away = max(res.away, after); !r.judgeAway {
				continue
			}
		} else {
			res.inTouch = max(res.inTouch, after)
		}
		if at := passedOn[answer.inst]; !at.IsZero() && answer.sentAt.Sub(at) > drainTimeout {
			r.t.Errorf("%s: request sent %s after the same instance had passed on that it leaves", l.target.id, answer.sentAt.Sub(at))
		}
		if after > drainTimeout {
			res.late++
			r.t.Errorf("%s, %s, %s: request from %s %s after the word", l.target.id, l.way, l.disturbance, answer.inst.name, after)
		}
	}
}

// firstPassedOn returns when each instance first passed on an answer that says
// that the target leaves.
func firstPassedOn(l *leaving, answers map[string]*rawAnswer) map[*nativeInstance]time.Time {
	first := map[*nativeInstance]time.Time{}
	if l.way != leaveByField {
		return first
	}
	for _, a := range l.target.seen() {
		answer := answers[a.attemptID]
		if answer == nil || a.endedAt.Before(l.target.saidLeavingAt()) || answer.status != 200 {
			continue
		}
		if at := first[answer.inst]; at.IsZero() || answer.endedAt.Before(at) {
			first[answer.inst] = answer.endedAt
		}
	}
	return first
}
