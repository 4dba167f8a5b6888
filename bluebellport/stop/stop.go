// Package bbstop decides what an instance does with requests during a planned
// stop: until when it takes which requests, and when it ends those that are still
// open. It uses no network and no clock; each call is given the time of a steady
// clock, so a process that was frozen goes on with the time that is left.
//
// An instance keeps one Stop and one Durations for each kind of request:
//
//	stop.Begin(bbstop.NewTimes(now, gracePeriod))          // at the order to stop
//	durations.Record(now, head, rest, size)                // as a request ends
//	times := stop.Times()                                  // nil: not stopping
//	if d := times.Decide(now, &bbstop.Request{...}); !d.Take {
//		// answer 503 or its like: not run. Log d.Fields().
//	}
//
// Decide is called as a request is admitted and again directly before each send,
// since a request may have waited in between. At Times.AcceptUntil the listener
// and idle connections are closed; at Times.End the requests that are still open
// are ended, each with an answer; at Times.ExitBy the process has to be gone.
package bbstop

import (
	"sync/atomic"
	"time"
)

// Times are the times of one stop, on a steady clock.
type Times struct {
	// Begin is when the instance was told to stop.
	Begin time.Time
	// IntakeEnd is until when the load balancer may not know of the stop. Until then
	// requests are taken that usually end in time, afterwards only those that do so
	// as far as is known.
	IntakeEnd time.Time
	// UncertainUntil is until when requests are taken that may outlast the stop. Of
	// those received later only the ones are taken whose own time limits end before.
	UncertainUntil time.Time
	// AcceptUntil is when the listener and idle connections are closed.
	AcceptUntil time.Time
	// End is when requests that are still open are ended.
	End time.Time
	// ExitBy is when the process has to be gone.
	ExitBy time.Time
}

// NewTimes returns the times of a stop that the platform ends with a kill at the
// end of the grace period.
func NewTimes(begin time.Time, grace time.Duration) *Times {
	toEnd := grace - min(exitPeriod, grace/exitDivisor)
	return &Times{
		Begin:          begin,
		IntakeEnd:      begin.Add(min(maxIntakePeriod, toEnd/intakeDivisor)),
		UncertainUntil: begin.Add(min(maxUncertainPeriod, toEnd-toEnd/closedDivisor)),
		AcceptUntil:    begin.Add(min(maxAcceptPeriod, toEnd-toEnd/closedDivisor)),
		End:            begin.Add(toEnd),
		ExitBy:         begin.Add(grace),
	}
}

// NoticedAt is told when the order was noticed. An order counts from before that, but the
// listener is not closed sooner than if it had been given only then, unless the process
// stood still.
func (t *Times) NoticedAt(now time.Time) {
	t.AcceptUntil = t.AcceptUntil.Add(max(min(now.Sub(t.Begin), PulseInterval+noticeTime), 0))
}

// AnswersUntil is until when the last answers to clients are written. A process that
// stood still takes a short time for them also if it is later than that.
func (t *Times) AnswersUntil(now time.Time) time.Time {
	return later(t.End.Add(t.ExitBy.Sub(t.End)/answersDivisor), now.Add(t.least()))
}

// SharesUntil is until when shares are returned, also with a short time if it is late.
// The rest is for the log.
func (t *Times) SharesUntil(now time.Time) time.Time {
	return later(t.ExitBy.Add(-t.ExitBy.Sub(t.End)/logDivisor), now.Add(t.least()))
}

// CutAt is when requests that are still open are ended: at End, or a short time after
// the listener was closed if that was late.
func (t *Times) CutAt(closedAt time.Time) time.Time { return later(t.End, closedAt.Add(t.least())) }

func (t *Times) least() time.Duration { return min(leastPeriod, t.ExitBy.Sub(t.End)/answersDivisor) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Stop is what an instance knows of its planned stop. The zero value is an
// instance that is not stopping. It may be used by several goroutines.
type Stop struct {
	times atomic.Pointer[Times]
	ended atomic.Bool
}

// Begin begins the stop and reports whether it did: a later order changes
// nothing.
func (s *Stop) Begin(t *Times) bool { return s.times.CompareAndSwap(nil, t) }

// Times returns the times of the stop, nil if the instance is not stopping.
func (s *Stop) Times() *Times { return s.times.Load() }

// SetEnded is called once requests that are still open are to be ended.
func (s *Stop) SetEnded() { s.ended.Store(true) }

// Ended reports whether SetEnded was called.
func (s *Stop) Ended() bool { return s.ended.Load() }
