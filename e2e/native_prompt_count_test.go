package bbe2e

import (
	"fmt"
	"slices"
	"time"

	"bluebellport.example/platform/stand"
)

// promptShare counts sound requests at instances in touch.
type promptShare struct{ sent, served int }

func (s promptShare) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// promptSum is what a play counted.
type promptSum struct {
	crashes       int
	fifthAfter    time.Duration // from the start of the storm to the fifth crash of the last culprit, or its last crash
	late          int           // crashing requests that reached targets too late
	lateCrashes   int
	soundSent     int
	refused       int            // sound requests refused for crashes
	reasons       map[string]int // of these, by what the callers were told
	before, after promptShare
	statuses      map[int]int // of the sound requests after
}

func (s promptSum) String() string {
	return fmt.Sprintf("%d crashes, the fifth %.1f s after the first request; %d crashing requests late at targets, %d late crashes; sound served %.2f before (%d of %d), %.2f after (%d of %d, statuses %v); %d of %d sound attempts refused by verdict %v",
		s.crashes, s.fifthAfter.Seconds(), s.late, s.lateCrashes, s.before.share(), s.before.served, s.before.sent, s.after.share(), s.after.served, s.after.sent, s.statuses, s.refused, s.soundSent, s.reasons)
}

// inTouch reports whether an instance has run for promptContact until a time, and
// goes on for the time that a request has. The caller holds the lock.
func (p *promptPlay) inTouch(inst *nativeInstance, at time.Time) bool {
	for _, span := range p.up[inst] {
		if at.Sub(span.from) >= promptContact && (span.to.IsZero() || span.to.Sub(at) > promptDeadline) {
			return true
		}
	}
	return false
}

// culpritOf returns the number of the part that crashed a target, -1 if it ended by
// itself.
func (p *promptPlay) culpritOf(crash bbplatformstand.Crash) int {
	if s, ok := p.sent[crash.AttemptID]; ok {
		return s.culprit
	}
	return -1
}

// fifthCrashes returns when each culprit crashed its fifth target, or its last if
// there were fewer.
func (p *promptPlay) fifthCrashes(sum *promptSum) []time.Time {
	times := make([][]time.Time, p.culprits)
	for _, target := range p.targets {
		for _, c := range target.Crashes() {
			if i := p.culpritOf(c); i >= 0 {
				times[i] = append(times[i], c.At)
				sum.crashes++
			}
		}
	}
	out := make([]time.Time, p.culprits)
	for i, list := range times {
		slices.SortFunc(list, time.Time.Compare)
		if len(list) > 0 {
			out[i] = list[min(len(list), promptRuleCrashes)-1]
		}
		for _, at := range list {
			if at.Sub(out[i]) > promptContact {
				sum.lateCrashes++
			}
		}
	}
	return out
}

// count counts what targets and callers saw.
func (p *promptPlay) count() promptSum {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := promptSum{statuses: map[int]int{}, reasons: map[string]int{}}
	fifth := p.fifthCrashes(&sum)
	var lastFifth time.Time
	for _, at := range fifth {
		if at.After(lastFifth) {
			lastFifth = at
		}
	}
	if !lastFifth.IsZero() {
		sum.fifthAfter = lastFifth.Sub(p.stormAt)
	}
	for _, target := range p.targets {
		for _, e := range target.Executions() {
			s, ok := p.sent[e.AttemptID]
			if ok && s.culprit >= 0 && e.ArrivedAt.Sub(fifth[s.culprit]) > promptContact && p.inTouch(s.inst, e.ArrivedAt) {
				sum.late++
			}
		}
	}
	for _, s := range p.sent {
		if s.culprit < 0 {
			p.countSound(&sum, &s, lastFifth)
		}
	}
	return sum
}

// countSound counts one sound request.
func (p *promptPlay) countSound(sum *promptSum, s *promptSend, fifth time.Time) {
	sum.soundSent++
	if s.refused {
		sum.refused++
		sum.reasons[s.detail]++
	}
	in := &sum.before
	switch {
	case s.repeat:
		return
	case !s.sentAt.Before(p.stormAt) && s.sentAt.Sub(fifth) < 2*promptContact, !s.ended:
		return
	case !s.sentAt.Before(p.stormAt):
		if !p.inTouch(s.inst, s.sentAt) {
			return
		}
		in = &sum.after
		sum.statuses[s.status]++
	}
	if in.sent++; s.served {
		in.served++
	}
}
