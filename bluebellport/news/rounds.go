// Package bbnews decides when instances tell each other what they know, and how
// two of them compare it, for facts that the whole fleet has to know.
package bbnews

import (
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Times are the intervals of a Rounds.
type Times struct {
	// Fresh is the time between two comparisons for FreshPeriod after a change,
	// Busy the same until BusyPeriod after it or after an instance has started,
	// Quiet the same at other times.
	Fresh, FreshPeriod time.Duration
	Busy, BusyPeriod   time.Duration
	Quiet              time.Duration
	// Learn is the time between two questions of an instance that has just
	// started, LearnPeriod how long it asks while nobody answers.
	Learn, LearnPeriod time.Duration
}

// Rounds tells when an instance has to compare what it knows with another one,
// and how it answers a comparison:
//
//	COMPARE --> ANSWER, with entries, if the digests differ --> LAST, if they still do
//
// An instance that has just started asks until one that is complete has answered.
// The caller locks.
type Rounds struct {
	times                            Times
	view                             *bbmember.View
	members                          map[bbunit.InstanceID]bbunit.Incarnation
	freshUntil, busyUntil, nextRound time.Time
	complete                         bool
	nextQuestion, askUntil           time.Time
}

// NewRounds returns the rounds of an instance that starts now.
func NewRounds(times *Times, now time.Time) *Rounds {
	return &Rounds{times: *times, askUntil: now.Add(times.LearnPeriod)}
}

// Follow follows the membership and returns the instances that have joined or
// started again. These know nothing, so comparisons become frequent.
func (r *Rounds) Follow(view *bbmember.View, now time.Time) (started []bbunit.InstanceID) {
	if view == r.view {
		return nil
	}
	old := r.members
	r.view, r.members = view, make(map[bbunit.InstanceID]bbunit.Incarnation, len(view.Members))
	for _, m := range view.Members {
		r.members[m.ID] = m.Inc
		if inc, known := old[m.ID]; !known || inc != m.Inc {
			r.busyUntil = now.Add(r.times.BusyPeriod)
			started = append(started, m.ID)
		}
	}
	return started
}

// IsMember reports whether an instance is in the membership that was followed
// last.
func (r *Rounds) IsMember(id bbunit.InstanceID) bool {
	_, member := r.members[id]
	return member
}

// View returns the membership that was followed last.
func (r *Rounds) View() *bbmember.View { return r.view }

// NoteChange makes comparisons frequent.
func (r *Rounds) NoteChange(now time.Time) {
	r.freshUntil, r.busyUntil = now.Add(r.times.FreshPeriod), now.Add(r.times.BusyPeriod)
	if soon := now.Add(r.times.Fresh); r.nextRound.After(soon) {
		r.nextRound = soon
	}
}

// CompareDue reports whether it is time for a comparison, and then waits for the
// next one.
func (r *Rounds) CompareDue(now time.Time) bool {
	if now.Before(r.nextRound) {
		return false
	}
	switch {
	case now.Before(r.freshUntil):
		r.nextRound = now.Add(r.times.Fresh)
	case now.Before(r.busyUntil):
		r.nextRound = now.Add(r.times.Busy)
	default:
		r.nextRound = now.Add(r.times.Quiet)
	}
	return true
}

// QuestionDue reports whether this instance has just started and has to ask.
func (r *Rounds) QuestionDue(now time.Time) bool {
	if r.complete || now.Before(r.nextQuestion) {
		return false
	}
	if now.After(r.askUntil) {
		r.complete = true // nobody is left who could know more
		return false
	}
	r.nextQuestion = now.Add(r.times.Learn)
	return true
}

// Complete reports whether this instance knows what the fleet knew as it started.
func (r *Rounds) Complete() bool { return r.complete }

// Answer returns the step with which to answer a step of a comparison, NONE for
// no answer, and whether entries go with it. The digests are those of the sender
// and of this instance.
func (r *Rounds) Answer(step bbwire.Limits_Step, senderComplete bool, theirs, own uint64) (answer bbwire.Limits_Step, withEntries bool) {
	if senderComplete && (step != bbwire.Limits_COMPARE || theirs == own) {
		r.complete = true
	}
	switch step {
	case bbwire.Limits_COMPARE:
		answer = bbwire.Limits_ANSWER
	case bbwire.Limits_ANSWER:
		answer = bbwire.Limits_LAST
	default:
		return bbwire.Limits_NONE, false
	}
	if theirs != own {
		return answer, true
	}
	if step == bbwire.Limits_COMPARE && !senderComplete {
		return answer, false // the sender has just started
	}
	return bbwire.Limits_NONE, false
}
