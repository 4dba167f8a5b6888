package bbproxy

import (
	"strconv"
	"strings"
	"time"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// endToEndFields are passed on even if a client lists them in its Connection
// field.
var endToEndFields = map[string]bool{
	"attempt-id": true, "model": true, "token-usage": true, "prompt-prefix": true, "host": true, "last-event-id": true,
	"length-hint": true, "resumes": true,
}

// canonicalName returns the form in which field names are compared: lower case,
// with "-" in place of "_".
func canonicalName(name string) string {
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// connectionFields returns the names that the Connection fields list, in lower
// case. They concern this connection only, except those in endToEndFields.
func (f Fields) connectionFields() map[string]bool {
	var out map[string]bool
	for token := range f.tokens("Connection") {
		name := strings.ToLower(token)
		if name == "" || name == "close" || name == "keep-alive" || endToEndFields[name] {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[name] = true
	}
	return out
}

// forwardOptions is what an attempt adds to the request that a target gets.
type forwardOptions struct {
	account  bbunit.AccountID
	target   bbplan.Target
	timeLeft time.Duration
	priority int // below 0, none is sent
	// lastEventID is the last event that the client has; if empty, the client's own
	// Last-Event-Id is sent.
	lastEventID string
}

// forwardHead returns the head of the request as a target gets it.
func (r *Request) forwardHead(opts *forwardOptions) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	connectionFields := r.Fields.connectionFields()
	for i := range r.Fields {
		name := canonicalName(r.Fields[i].Name)
		if hopByHopFields[name] || bbplatform.InternalHeaders[name] || connectionFields[name] || name == "last-event-id" && opts.lastEventID != "" {
			continue
		}
		b = appendField(b, r.Fields[i].Name, r.Fields[i].Value)
	}
	if opts.account != "" {
		b = appendField(b, bbplatform.HeaderAccount, string(opts.account))
	}
	b = appendField(b, bbplatform.HeaderDeadline, strconv.FormatInt(max(opts.timeLeft.Milliseconds(), 1), 10))
	b = appendField(b, bbplatform.HeaderExpectedTarget, string(opts.target.ID))
	if opts.priority >= 0 {
		b = appendField(b, bbplatform.HeaderPriority, strconv.Itoa(min(opts.priority, 9)))
	}
	if opts.lastEventID != "" {
		b = appendField(b, bbplatform.HeaderLastEventID, opts.lastEventID)
	}
	if r.HasBody {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

// appendField appends one header field to a head.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// statusLine returns the status line of a response, with room for the fields.
func statusLine(status int, reason string) []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// responseHead returns the head of a target's response as the client gets it. A
// negative length announces a chunked body.
func responseHead(resp *Response, length int, closeConn bool) []byte {
	b := statusLine(resp.Status, resp.Reason)
	connectionFields := resp.Fields.connectionFields()
	for i := range resp.Fields {
		name := strings.ToLower(resp.Fields[i].Name)
		if hopByHopFields[name] || connectionFields[name] {
			continue
		}
		b = appendField(b, resp.Fields[i].Name, resp.Fields[i].Value)
	}
	if length >= 0 {
		b = appendField(b, "Content-Length", strconv.Itoa(length))
	} else {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	if closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
