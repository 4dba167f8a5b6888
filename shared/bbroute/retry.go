package bbroute

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

//go:generate enumer -type=Decision -trimprefix=Decision -linecomment -transform=kebab -output=decision_enumer.go

// Decision is what follows the end of an attempt.
type Decision int

// Decisions after an attempt.
const (
	// DecisionStop ends the request.
	DecisionStop Decision = iota
	// DecisionRetrySame tries the same target again over a fresh connection.
	DecisionRetrySame // fresh
	// DecisionRetryOther tries a target that has not been tried.
	DecisionRetryOther // elsewhere
)

// AttemptResult is how an attempt ended, as far as what follows depends on it.
type AttemptResult struct {
	Err error
	// Sent tells that a byte of the request left for the target.
	Sent bool
	// Crashed tells that the connection broke while the target ran the request.
	Crashed bool
	// ConnReused tells that the connection had been open before the attempt, so
	// that it may have failed in place of the target.
	ConnReused bool
}

// refused tells that the target itself said that it did not run the request.
func (e *AttemptResult) refused() bool {
	return errors.Is(e.Err, ErrLeaving) || errors.Is(e.Err, ErrBusy)
}

// RefusedAsLeaving tells that the target refused the request because it is leaving.
func (e *AttemptResult) RefusedAsLeaving() bool { return errors.Is(e.Err, ErrLeaving) }

// stale tells that the connection may have failed in place of the target: it had
// been open before, and took the request. One that took nothing was not there.
func (e *AttemptResult) stale() bool { return e.ConnReused && e.Sent && !e.Crashed }

// IsTargetFault tells that the end speaks against the target.
func (e *AttemptResult) IsTargetFault() bool {
	return e.Err != nil && !e.refused() && !errors.Is(e.Err, ErrCancelled) && !e.stale()
}

// RetryState is what a request has tried so far. The zero value is none.
type RetryState struct {
	// Attempts is how many attempts have ended, those over a fresh connection to
	// the same target not counted.
	Attempts int
	// Reconnected tells that the last attempt was a DecisionFresh.
	Reconnected bool
}

// RetryPolicy bounds the attempts of a request, and the retries of a service.
type RetryPolicy struct {
	// MaxAttempts is the most targets that one request is sent to.
	MaxAttempts int
	// Ratio is how many retries each success of the service pays for.
	Ratio float64
	// MinPerSecond is how many retries a second the service has in any case, of which
	// retryFloorBurst may come at once; below retryFloorLeast it has none.
	MinPerSecond float64
}

// DecideRetry decides what follows an attempt's end. A request goes on only where that
// is safe: when nothing of it was sent, when its target says that it did not
// run, or when it may be repeated.
func DecideRetry(s RetryState, end *AttemptResult, ask *Request, rule *RetryPolicy, now time.Time) Decision {
	switch {
	case end.Err == nil || errors.Is(end.Err, ErrCancelled):
		return DecisionStop
	case s.Attempts >= rule.MaxAttempts:
		return DecisionStop
	case !ask.Deadline.IsZero() && !now.Before(ask.Deadline):
		return DecisionStop
	case end.Sent && !ask.Idempotent && !end.refused():
		return DecisionStop
	case end.stale() && !end.refused() && !s.Reconnected:
		return DecisionRetrySame
	}
	return DecisionRetryOther
}

// RetryBudget keeps the retries of a service in proportion to its successes. The
// zero value has nothing saved. It takes no lock.
type RetryBudget struct {
	saved atomic.Int64 // thousandths of a retry
	next  atomic.Int64 // when the floor has its next retry, unix nanoseconds
}

// Earn notes a success.
func (b *RetryBudget) Earn(rule *RetryPolicy) {
	if b.saved.Load() < retrySaveMost*retryUnit {
		b.saved.Add(int64(rule.Ratio * retryUnit))
	}
}

// Spend takes a retry out of the budget, and tells whether it had one.
func (b *RetryBudget) Spend(now time.Time, rule *RetryPolicy) bool {
	for {
		saved := b.saved.Load()
		if saved < retryUnit {
			break
		}
		if b.saved.CompareAndSwap(saved, saved-retryUnit) {
			return true
		}
	}
	if rule.MinPerSecond < retryFloorLeast {
		return false
	}
	step := int64(nanos(1 / rule.MinPerSecond))
	early := now.UnixNano() - int64(nanos((retryFloorBurst-1)/rule.MinPerSecond))
	next := b.next.Load()
	return next <= now.UnixNano() && b.next.CompareAndSwap(next, max(next, early)+step)
}
