package bbproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Refusal is an answer of the fleet's own.
type Refusal struct {
	Status int
	// Reason tells people why.
	Reason string
	// RetryAfter is when to come back; 0 gives no time.
	RetryAfter time.Duration
	// Close ends the connection after the answer.
	Close bool
	// LogFields are what decided it, for the log.
	LogFields logrus.Fields
}

// Error makes a refusal an error.
func (r *Refusal) Error() string { return r.Reason }

// outcome tells what is known of the request.
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

// encode returns the refusal as it goes over the wire.
func (r *Refusal) encode(attemptID string, closeConn bool) []byte {
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
	return append(b, body...)
}

// refuseNotRun refuses a request that has not run and never will.
func refuseNotRun(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// refuseUnknown ends a request of which nothing certain is known.
func refuseUnknown(reason string) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: reason}
}

// refuseLate ends a request whose time is over.
func refuseLate(reason string) *Refusal {
	return &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}
}
