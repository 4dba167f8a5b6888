package bbport

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// Sentinel errors of the path of a request.
const (
	errKey       = errors.ConstError("unknown API key")
	errForbidden = errors.ConstError("service not allowed for this account")
	errService   = errors.ConstError("unknown service")
	errRequest   = errors.ConstError("invalid request")
	errBody      = errors.ConstError("request body too large")
	errDeadline  = errors.ConstError("deadline exceeded")
	errDraining  = errors.ConstError("instance is stopping")
	errNotReady  = errors.ConstError("instance has no state yet")
	errFull      = errors.ConstError("too many bills wait for the key-value service")
	errTarget    = errors.ConstError("target failed")
	errCut       = errors.ConstError("connection to the target broke")
	errSilent    = errors.ConstError("no answer seen from the target")
)

// refusal is a truthful end of a request that brings no answer: RFC 9457
// problem details with the outcome.
type refusal struct {
	Status  int
	Title   string
	Detail  string
	Outcome bbunit.Outcome
	// Retry is when coming back can help; 0 when it cannot.
	Retry time.Duration
}

// problem is the JSON form of a refusal.
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome bbunit.Outcome `json:"outcome"`
	Request string         `json:"request,omitempty"`
	Error   problemError   `json:"error"`
}

// problemError says the same in the form that client libraries of the chat
// interface read.
type problemError struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    bbunit.Outcome `json:"code"`
}

// Types of errors that client libraries tell apart.
const (
	typeRequest = "invalid_request_error"
	typeServer  = "server_error"
)

// error returns the refusal as client libraries read it.
func (r refusal) error() problemError {
	e := problemError{Message: r.Title, Type: typeRequest, Code: r.Outcome}
	if r.Detail != "" {
		e.Message = r.Detail
	}
	if r.Status >= http.StatusInternalServerError {
		e.Type = typeServer
	}
	return e
}

// body returns the problem details for the request id.
func (r refusal) body(id bbunit.RequestID) []byte {
	b, err := json.Marshal(problem{
		Type:    "about:blank",
		Title:   r.Title,
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
		Request: string(id),
		Error:   r.error(),
	})
	if err != nil {
		return []byte(`{"type":"about:blank","title":"internal error","status":500,"outcome":"unknown"}`)
	}
	return b
}

// statuses maps sentinel errors to the status and to whether coming back helps.
var statuses = []struct {
	err    error
	status int
	retry  bool
}{
	{errKey, http.StatusUnauthorized, false},
	{ErrBudget, http.StatusPaymentRequired, false},
	{ErrShare, http.StatusPaymentRequired, true},
	{errForbidden, http.StatusForbidden, false},
	{errService, http.StatusNotFound, false},
	{errRequest, http.StatusBadRequest, false},
	{errBody, http.StatusRequestEntityTooLarge, false},
	{ErrReused, http.StatusConflict, false},
	{ErrClaimed, http.StatusConflict, true},
	{ErrStale, http.StatusConflict, false},
	{ErrNoClaim, http.StatusServiceUnavailable, true},
	{errDeadline, http.StatusGatewayTimeout, false},
	{errDraining, http.StatusServiceUnavailable, true},
	{errNotReady, http.StatusServiceUnavailable, true},
	{errFull, http.StatusServiceUnavailable, true},
	{errSilent, http.StatusBadGateway, false},
	{errTarget, http.StatusBadGateway, true},
	{errCut, http.StatusBadGateway, true},
	{ErrLimit, http.StatusTooManyRequests, true},
	{ErrOverload, http.StatusServiceUnavailable, true},
	{ErrNoTarget, http.StatusServiceUnavailable, true},
	{ErrBusy, http.StatusServiceUnavailable, true},
	{ErrLeaving, http.StatusServiceUnavailable, true},
	{errNotSent, http.StatusServiceUnavailable, true},
	{ErrDeadline, http.StatusGatewayTimeout, false},
	{ErrPoisoned, http.StatusBadGateway, false},
	{ErrLeft, http.StatusGatewayTimeout, false},
}

// refuse turns an error into what the caller is told.
func refuse(err error, o bbunit.Outcome) refusal {
	r := refusal{Status: http.StatusInternalServerError, Title: "internal error", Detail: err.Error(), Outcome: o}
	for _, s := range statuses {
		if !errors.Is(err, s.err) {
			continue
		}
		r.Status, r.Title = s.status, s.err.Error()
		if s.retry {
			r.Retry = retryAfter
		}
		break
	}
	var told *Refusal
	if errors.As(err, &told) && told.RetryAfter > 0 {
		r.Retry = told.RetryAfter
	}
	return r
}

// retrySeconds is the value of Retry-After: whole seconds, rounded up.
func retrySeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
