package bbroute

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

//go:generate enumer -type=Decision -trimprefix=Decision -linecomment -transform=kebab -output=decision_enumer.go

// Decision is what to do after an attempt has ended.
type Decision int

// Decisions after an attempt. A line comment holds the text of the value.
const (
	// DecisionStop ends the request.
	DecisionStop Decision = iota
	// DecisionRetrySame tries the same target again over a new connection.
	DecisionRetrySame // fresh
	// DecisionRetryOther tries a target that has not been tried yet.
	DecisionRetryOther // elsewhere
)

// AttemptResult is the end of an attempt, as far as retries depend on it.
type AttemptResult struct {
	Err error
	// Sent means that at least one byte of the request was sent to the target.
	Sent bool
	// Crashed means that the connection broke while the target ran the request.
	Crashed bool
	// ConnReused means that the connection was opened before the attempt, so
	// the connection may have failed and not the target.
	ConnReused bool
}

// refusedByTarget reports whether the target said that it did not run the
// request.
func (r *AttemptResult) refusedByTarget() bool {
	return errors.Is(r.Err, ErrLeaving) || errors.Is(r.Err, ErrBusy)
}

// RefusedAsLeaving reports whether the target refused the request because it is
// leaving.
func (r *AttemptResult) RefusedAsLeaving() bool { return errors.Is(r.Err, ErrLeaving) }

// staleConnection reports whether a reused connection may have failed and not
// the target. If nothing was sent, no connection could be opened, which
// counts against the target.
func (r *AttemptResult) staleConnection() bool { return r.ConnReused && r.Sent && !r.Crashed }

// IsTargetFault reports whether the failure counts against the target.
func (r *AttemptResult) IsTargetFault() bool {
	return r.Err != nil && !r.refusedByTarget() && !errors.Is(r.Err, ErrCancelled) && !r.staleConnection()
}

// RetryState is the progress of a request. In the zero value nothing has been
// tried.
type RetryState struct {
	// Attempts is how many attempts have ended, not counting those after a
	// DecisionRetrySame.
	Attempts int
	// Reconnected means that the last attempt followed a DecisionRetrySame.
	Reconnected bool
}

// RetryPolicy limits the attempts of a request and the retries of a service.
type RetryPolicy struct {
	// MaxAttempts is the most targets that one request is sent to.
	MaxAttempts int
	// Ratio is how many retries each success of the service allows.
	Ratio float64
	// MinPerSecond is the rate of retries that the service is allowed
	// regardless of successes. minRateBurst of them may come at once; a rate
	// below minRetryRate allows none.
	MinPerSecond float64
}

// DecideRetry decides what to do after an attempt. A request is sent again only
// where that is safe: when nothing of it was sent, when the target says that it
// did not run, or when it is idempotent.
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

// RetryBudget limits a service's retries to a fraction of its successes. The
// zero value has nothing saved. Its methods take no lock.
type RetryBudget struct {
	saved  atomic.Int64 // thousandths of a retry
	nextAt atomic.Int64 // when the minimum rate allows the next retry, unix nanoseconds
}

// Earn adds the retries that one success allows.
func (b *RetryBudget) Earn(policy *RetryPolicy) {
	if b.saved.Load() < maxSavedRetries*unitsPerRetry {
		b.saved.Add(int64(policy.Ratio * unitsPerRetry))
	}
}

// Spend takes one retry from the budget, and reports whether it had one.
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
