package bbport

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// Sentinel errors of a request.
const (
	errUnknownKey       = errors.ConstError("unknown API key")
	errForbidden        = errors.ConstError("service not allowed for this account")
	errUnknownService   = errors.ConstError("unknown service")
	errInvalidRequest   = errors.ConstError("invalid request")
	errBodyTooLarge     = errors.ConstError("request body too large")
	errDeadlineExceeded = errors.ConstError("deadline exceeded")
	errDraining         = errors.ConstError("instance is stopping")
	errStopped          = errors.ConstError("instance stopped before the answer")
	errNotReady         = errors.ConstError("instance has no state yet")
	errRecordBacklog    = errors.ConstError("too many bills wait for the key-value service")
	errTargetFailed     = errors.ConstError("target failed")
	errConnBroken       = errors.ConstError("connection to the target broke")
	errTargetSilent     = errors.ConstError("no answer seen from the target")
	// errTargetText marks an error whose text may quote what a target sent. That is for the log
	// only.
	errTargetText = errors.ConstError("text of a target")
)

// refusalResponse is the response to a request that got no answer: RFC 9457
// problem details, extended by the outcome.
type refusalResponse struct {
	Status  int
	Title   string
	Detail  string // may be empty
	Outcome bbunit.Outcome
	// RetryAfter is when a retry may succeed; 0 if a retry is pointless.
	RetryAfter time.Duration
}

// problemDetails is the JSON form of a refusalResponse.
type problemDetails struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome bbunit.Outcome `json:"outcome"`
	Request string         `json:"request,omitempty"`
	Error   problemError   `json:"error"`
}

// problemError repeats the problem in the form that client libraries of the chat
// interface expect.
type problemError struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    bbunit.Outcome `json:"code"`
}

// Error types that client libraries distinguish.
const (
	errorTypeRequest = "invalid_request_error"
	errorTypeServer  = "server_error"
)

// clientError returns the refusal in the form that client libraries expect.
func (r refusalResponse) clientError() problemError {
	problem := problemError{Message: r.Title, Type: errorTypeRequest, Code: r.Outcome}
	if r.Detail != "" {
		problem.Message = r.Detail
	}
	if r.Status >= http.StatusInternalServerError {
		problem.Type = errorTypeServer
	}
	return problem
}

// body returns the problem details as JSON.
func (r refusalResponse) body(id bbunit.RequestID) []byte {
	b, err := json.Marshal(problemDetails{
		Type:    "about:blank",
		Title:   r.Title,
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
		Request: string(id),
		Error:   r.clientError(),
	})
	if err != nil {
		return []byte(`{"type":"about:blank","title":"internal error","status":500,"outcome":"unknown"}`)
	}
	return b
}

// errorStatuses maps sentinel errors to the HTTP status, and to whether a retry
// may succeed. The first match counts.
var errorStatuses = []struct {
	err    error
	status int
	retry  bool
}{
	{errUnknownKey, http.StatusUnauthorized, false},
	{ErrBudgetExhausted, http.StatusPaymentRequired, false},
	{ErrShareUnavailable, http.StatusPaymentRequired, true},
	{errForbidden, http.StatusForbidden, false},
	{errUnknownService, http.StatusNotFound, false},
	{errInvalidRequest, http.StatusBadRequest, false},
	{errBodyTooLarge, http.StatusRequestEntityTooLarge, false},
	{ErrRequestIDReused, http.StatusConflict, false},
	{ErrAlreadyClaimed, http.StatusConflict, true},
	{ErrRequestIDExpired, http.StatusConflict, false},
	{ErrClaimNotWritten, http.StatusServiceUnavailable, true},
	{errDeadlineExceeded, http.StatusGatewayTimeout, false},
	{errDraining, http.StatusServiceUnavailable, true},
	{errStopped, http.StatusBadGateway, true},
	{errNotReady, http.StatusServiceUnavailable, true},
	{errRecordBacklog, http.StatusServiceUnavailable, true},
	{errTargetSilent, http.StatusBadGateway, false},
	{errTargetFailed, http.StatusBadGateway, true},
	{errConnBroken, http.StatusBadGateway, true},
	{ErrLimit, http.StatusTooManyRequests, true},
	{ErrOverload, http.StatusServiceUnavailable, true},
	{ErrNoTarget, http.StatusServiceUnavailable, true},
	{ErrBusy, http.StatusServiceUnavailable, true},
	{ErrLeaving, http.StatusServiceUnavailable, true},
	{errNotSent, http.StatusServiceUnavailable, true},
	{ErrDeadline, http.StatusGatewayTimeout, false},
	{ErrPoisoned, http.StatusBadGateway, false},
	{ErrCallersLeft, http.StatusGatewayTimeout, false},
}

// newRefusalResponse returns the response for an error and an outcome.
func newRefusalResponse(err error, outcome bbunit.Outcome) refusalResponse {
	resp := refusalResponse{Status: http.StatusInternalServerError, Title: "internal error", Detail: err.Error(), Outcome: outcome}
	for _, status := range errorStatuses {
		if !errors.Is(err, status.err) {
			continue
		}
		resp.Status, resp.Title = status.status, status.err.Error()
		if status.retry {
			resp.RetryAfter = defaultRetryAfter
		}
		break
	}
	if errors.Is(err, errTargetText) {
		resp.Detail = ""
	}
	var routeRefusal *Refusal
	if errors.As(err, &routeRefusal) && routeRefusal.RetryAfter > 0 {
		resp.RetryAfter = routeRefusal.RetryAfter
	}
	return resp
}

// retryAfterSeconds returns the value of Retry-After: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
