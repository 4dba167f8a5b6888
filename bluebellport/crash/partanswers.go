package bbcrash

import (
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbhash"
)

// partAnswers remembers when the requests with a part were last sent that were
// answered whole, and how long their answers took, in a bounded table. Access
// takes no lock. The zero value is empty.
type partAnswers struct {
	answerSet
	summary atomic.Pointer[answerSummary]
}

// answerSummary is what is known of the answers with any parts.
type answerSummary struct {
	firstAt time.Time     // when the first one came
	sentAt  time.Time     // when the newest request was sent that was answered
	longest time.Duration // of all answers
}

// add notes that a request with parts that was sent at a time was answered now.
func (s *partAnswers) add(parts []Part, sentAt, now time.Time) {
	if len(parts) == 0 {
		return
	}
	s.summarize(sentAt, now)
	for i := range parts[:min(len(parts), maxAnsweredParts)] {
		s.addPart(parts[i].Fingerprint, sentAt, now.Sub(sentAt))
	}
}

// summarize adds an answer to the summary, unless that tells little new.
func (s *partAnswers) summarize(sentAt, now time.Time) {
	for {
		old, next := s.summary.Load(), answerSummary{firstAt: now}
		if old != nil {
			next = *old
		}
		if old != nil && sentAt.Sub(old.sentAt) < minAnswerInterval && now.Sub(sentAt) <= old.longest {
			return
		}
		next.longest = max(next.longest, now.Sub(sentAt))
		if sentAt.After(next.sentAt) {
			next.sentAt = sentAt
		}
		if s.summary.CompareAndSwap(old, &next) {
			return
		}
	}
}

// addPart adds an answer to a request with a part, unless that tells little new.
func (s *partAnswers) addPart(fingerprint uint64, sentAt time.Time, duration time.Duration) {
	entry := &s.entries[bbhash.Mix(fingerprint)%answersSize]
	if a := entry.Load(); a != nil && a.fingerprint == fingerprint {
		if sentAt.Sub(a.at) < minAnswerInterval && duration <= a.duration {
			return
		}
		duration = max(duration, a.duration)
		if sentAt.Before(a.at) {
			sentAt = a.at
		}
	}
	entry.Store(&answer{fingerprint, sentAt, duration})
}

// first returns when the first answer came, zero if none did, and the longest time
// of an answer.
func (s *partAnswers) first() (at time.Time, longest time.Duration) {
	if a := s.summary.Load(); a != nil {
		return a.firstAt, a.longest
	}
	return time.Time{}, 0
}

// newest returns when the newest request was sent that was answered, zero if none
// was.
func (s *partAnswers) newest() time.Time {
	if a := s.summary.Load(); a != nil {
		return a.sentAt
	}
	return time.Time{}
}
