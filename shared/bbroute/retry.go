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

// refusedByTarget tells that the target itself said that it did not run the request.
func (r *AttemptResult) refusedByTarget() bool {
	return errors.Is(r.Err, ErrLeaving) || errors.Is(r.Err, ErrBusy)
}

// RefusedAsLeaving tells that the target refused the request because it is leaving.
func (r *AttemptResult) RefusedAsLeaving() bool { return errors.Is(r.Err, ErrLeaving) }

// staleConnection tells that the connection may have failed in place of the target: it had
// been open before, and took the request. One that took nothing was not there.
func (r *AttemptResult) staleConnection() bool { return r.ConnReused && r.Sent && !r.Crashed }

// IsTargetFault tells that the end speaks against the target.
func (r *AttemptResult) IsTargetFault() bool {
	return r.Err != nil && !r.refusedByTarget() && !errors.Is(r.Err, ErrCancelled) && !r.staleConnection()
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
func DecideRetry(state RetryState, result *AttemptResult, req *Request, policy *RetryPolicy, now time.Time) Decision {
	switch {
	case result.Err == nil || errors.Is(result.Err, ErrCancelled):
		return DecisionStop
	case state.Attempts >= policy.MaxAttempts:
		return DecisionStop
	case !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return DecisionStop
	case result.Sent && !req.Idempotent && !result.refusedByTarget():
		return DecisionStop
	case result.staleConnection() && !result.refusedByTarget() && !state.Reconnected:
		return DecisionRetrySame
	}
	return DecisionRetryOther
}

// RetryBudget keeps the retries of a service in proportion to its successes. The
// zero value has nothing saved. It takes no lock.
type RetryBudget struct {
	saved  atomic.Int64 // thousandths of a retry
	nextAt atomic.Int64 // when the floor has its next retry, unix nanoseconds
}

// Earn notes a success.
func (b *RetryBudget) Earn(policy *RetryPolicy) {
	if b.saved.Load() < maxSavedRetries*unitsPerRetry {
		b.saved.Add(int64(policy.Ratio * unitsPerRetry))
	}
}

// Spend takes a retry out of the budget, and tells whether it had one.
func (b *RetryBudget) Spend(now time.Time, policy *RetryPolicy) bool {
	for {
		saved := b.saved.Load()
		if saved < unitsPerRetry {
			break
		}
		if b.saved.CompareAndSwap(saved, saved-unitsPerRetry) {
			return true
		}
	}
	if policy.MinPerSecond < minRetryRate {
		return false
	}
	interval := int64(secondsToDuration(1 / policy.MinPerSecond))
	earliest := now.UnixNano() - int64(secondsToDuration((minRateBurst-1)/policy.MinPerSecond))
	nextAt := b.nextAt.Load()
	return nextAt <= now.UnixNano() && b.nextAt.CompareAndSwap(nextAt, max(nextAt, earliest)+interval)
}
