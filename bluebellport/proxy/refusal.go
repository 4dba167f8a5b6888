package bbproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Refusal is an error response that the proxy itself gives.
type Refusal struct {
	Status int
	// Reason is the explanation for people.
	Reason string
	// RetryAfter is sent as Retry-After; 0 omits it.
	RetryAfter time.Duration
	// Close closes the connection after the response.
	Close bool
	// ByPlan means that it rests on the plan, so that a newer one may lift it.
	ByPlan bool
	// LogFields are the values that led to the refusal, for the log.
	LogFields logrus.Fields
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// outcome returns "not-run" if no target can have run the request, else
// "unknown".
func (r *Refusal) outcome() string {
	switch r.Status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unknown"
	}
	return "not-run"
}

type problemJSON struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// encode returns the response to a request with a method, head and body. One to HEAD has
// no body.
func (r *Refusal) encode(method, attemptID string, closeConn bool) []byte {
	text := http.StatusText(r.Status)
	body, err := json.Marshal(problemJSON{Title: text, Status: r.Status, Detail: r.Reason, Outcome: r.outcome()})
	if err != nil {
		body = nil // strings and a number always encode
	}
	b := statusLine(r.Status, text)
	if attemptID != "" {
		b = appendField(b, "Attempt-Id", attemptID)
	}
	b = appendField(b, "Content-Type", "application/problem+json")
	b = appendField(b, "Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	if closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead {
		return b
	}
	return append(b, body...)
}

// refuseNotRun refuses a request that no target has run or will run.
func refuseNotRun(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// spreadRetryAfter makes a Retry-After longer by a random part (0 to 1 of
// retryAfterSpread), so that callers that are refused together do not come back
// together. One of up to maxRetryAfter stays below that.
func spreadRetryAfter(after time.Duration, random float64) time.Duration {
	spread := after + time.Duration(random*retryAfterSpread*float64(after))
	if after <= maxRetryAfter {
		return min(spread, maxRetryAfter)
	}
	return spread
}

// refuseUnknownOutcome ends a request that a target may have run.
func refuseUnknownOutcome(reason string) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: reason}
}

// refuseLate ends a request whose deadline has passed.
func refuseLate(reason string) *Refusal {
	return &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}
}
