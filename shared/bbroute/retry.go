package bbroute

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

//go:generate enumer -type=Decision -trimprefix=Decision -transform=kebab -output=decision_enumer.go

// Decision is what follows the end of an attempt.
type Decision int

// Decisions after an attempt.
const (
	// DecisionStop ends the request.
	DecisionStop Decision = iota
	// DecisionFresh tries the same target again over a fresh connection.
	DecisionFresh
	// DecisionElsewhere tries a target that has not been tried.
	DecisionElsewhere
)

// End is how an attempt ended, as far as what follows depends on it.
type End struct {
	Err error
	// Sent tells that a byte of the request left for the target.
	Sent bool
	// Crashed tells that the connection broke while the target ran the request.
	Crashed bool
	// Reused tells that the connection had been open before the attempt, so
	// that it may have failed in place of the target.
	Reused bool
}

// refused tells that the target itself said that it did not run the request.
func (e *End) refused() bool {
	return errors.Is(e.Err, ErrLeaving) || errors.Is(e.Err, ErrBusy)
}

// Leaving tells that the target refused the request because it is leaving.
func (e *End) Leaving() bool { return errors.Is(e.Err, ErrLeaving) }

// stale tells that the connection may have failed in place of the target: it had
// been open before, and took the request. One that took nothing was not there.
func (e *End) stale() bool { return e.Reused && e.Sent && !e.Crashed }

// Blame tells that the end speaks against the target.
func (e *End) Blame() bool {
	return e.Err != nil && !e.refused() && !errors.Is(e.Err, ErrCancelled) && !e.stale()
}

// RetryState is what a request has tried so far. The zero value is none.
type RetryState struct {
	// Tries is how many attempts have ended, those over a fresh connection to
	// the same target not counted.
	Tries int
	// Refreshed tells that the last attempt was a DecisionFresh.
	Refreshed bool
}

// RetryRule bounds the attempts of a request, and the retries of a service.
type RetryRule struct {
	// Tries is the most targets that one request is sent to.
	Tries int
	// Ratio is how many retries each success of the service pays for.
	Ratio float64
	// Floor is how many retries a second the service has in any case, of which
	// retryFloorBurst may come at once; below retryFloorLeast it has none.
	Floor float64
}

// Retry decides what follows an attempt's end. A request goes on only where that
// is safe: when nothing of it was sent, when its target says that it did not
// run, or when it may be repeated.
func Retry(s RetryState, end *End, ask *Ask, rule *RetryRule, now time.Time) Decision {
	switch {
	case end.Err == nil || errors.Is(end.Err, ErrCancelled):
		return DecisionStop
	case s.Tries >= rule.Tries:
		return DecisionStop
	case !ask.Deadline.IsZero() && !now.Before(ask.Deadline):
		return DecisionStop
	case end.Sent && !ask.Repeat && !end.refused():
		return DecisionStop
	case end.stale() && !end.refused() && !s.Refreshed:
		return DecisionFresh
	}
	return DecisionElsewhere
}

// RetryBudget keeps the retries of a service in proportion to its successes. The
// zero value has nothing saved. It takes no lock.
type RetryBudget struct {
	saved atomic.Int64 // thousandths of a retry
	next  atomic.Int64 // when the floor has its next retry, unix nanoseconds
}

// Earn notes a success.
func (b *RetryBudget) Earn(rule *RetryRule) {
	if b.saved.Load() < retrySaveMost*retryUnit {
		b.saved.Add(int64(rule.Ratio * retryUnit))
	}
}

// Spend takes a retry out of the budget, and tells whether it had one.
func (b *RetryBudget) Spend(now time.Time, rule *RetryRule) bool {
	for {
		saved := b.saved.Load()
		if saved < retryUnit {
			break
		}
		if b.saved.CompareAndSwap(saved, saved-retryUnit) {
			return true
		}
	}
	if rule.Floor < retryFloorLeast {
		return false
	}
	step := int64(nanos(1 / rule.Floor))
	early := now.UnixNano() - int64(nanos((retryFloorBurst-1)/rule.Floor))
	next := b.next.Load()
	return next <= now.UnixNano() && b.next.CompareAndSwap(next, max(next, early)+step)
}
