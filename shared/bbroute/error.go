package bbroute

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors of the router, tested with errors.Is. Each comes wrapped in a
// Refusal.
const (
	// ErrLimit means that the account or the service is over its limit.
	ErrLimit = errors.ConstError("limit reached")
	// ErrOverload means that no target can run the request in time.
	ErrOverload = errors.ConstError("no capacity")
	// ErrNoTarget means that no target of the service is usable.
	ErrNoTarget = errors.ConstError("no usable target")
	// ErrDeadline means that the request's deadline is over or cannot be met.
	ErrDeadline = errors.ConstError("deadline cannot be met")
	// ErrPoisoned means that the request crashed targets and is refused for good.
	ErrPoisoned = errors.ConstError("request crashes targets")
	// ErrCancelled means that the caller left while its request waited.
	ErrCancelled = errors.ConstError("caller left")
	// ErrLeaving is what an attempt ends with when its target refused the
	// request because it is leaving: nothing ran.
	ErrLeaving = errors.ConstError("target is leaving")
	// ErrBusy is what an attempt ends with when its target refused the request
	// for lack of room: nothing ran.
	ErrBusy = errors.ConstError("target has no room")
)

// Refusal is why a request is not let through.
type Refusal struct {
	Cause error
	// RetryAfter is when coming back can help; 0 when it cannot.
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

// newRefusal returns a Refusal.
func newRefusal(cause error, retryAfter time.Duration) error {
	return &Refusal{Cause: cause, RetryAfter: retryAfter}
}
