package bbroute

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors of routing, tested with errors.Is. Those that refuse a
// request are wrapped in a Refusal.
const (
	// ErrLimit means that the account or the service has reached its limit.
	ErrLimit = errors.ConstError("limit reached")
	// ErrOverload means that no target can run the request in time.
	ErrOverload = errors.ConstError("no capacity")
	// ErrNoTarget means that the service has no usable target.
	ErrNoTarget = errors.ConstError("no usable target")
	// ErrDeadline means that the request's deadline has passed or cannot be
	// met.
	ErrDeadline = errors.ConstError("deadline cannot be met")
	// ErrPoisoned means that the request has crashed several targets and is
	// refused permanently.
	ErrPoisoned = errors.ConstError("request crashes targets")
	// ErrCancelled means that the caller left while its request was queued.
	ErrCancelled = errors.ConstError("caller left")
	// ErrLeaving is the error of an attempt that the target refused because it
	// is leaving. The request did not run.
	ErrLeaving = errors.ConstError("target is leaving")
	// ErrBusy is the error of an attempt that the target refused because it is
	// full. The request did not run.
	ErrBusy = errors.ConstError("target has no room")
)

// Refusal is the error of a request that is not admitted.
type Refusal struct {
	Cause error
	// RetryAfter is the time after which a retry may succeed; 0 means that
	// retrying does not help.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	if r.RetryAfter <= 0 {
		return r.Cause.Error()
	}
	return fmt.Sprintf("%s, retry after %s", r.Cause, r.RetryAfter)
}

// Unwrap returns the sentinel error.
func (r *Refusal) Unwrap() error { return r.Cause }

// newRefusal returns a Refusal as an error.
func newRefusal(cause error, retryAfter time.Duration) error {
	return &Refusal{Cause: cause, RetryAfter: retryAfter}
}
