package bbproxy

import (
	"strconv"
	"strings"
	"time"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// protected fields are passed on even where a client calls them a matter of its
// connection.
var protected = map[string]bool{
	"attempt-id": true, "model": true, "token-usage": true, "prompt-prefix": true, "host": true, "last-event-id": true,
	"length-hint": true,
}

// spelling is a field's name in the one form in which names are compared.
func spelling(name string) string {
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// named returns the fields that a Connection field calls its own, in lower case.
func (f Fields) named() map[string]bool {
	var out map[string]bool
	for token := range f.tokens("Connection") {
		name := strings.ToLower(token)
		if name == "" || name == "close" || name == "keep-alive" || protected[name] {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[name] = true
	}
	return out
}

// sendOff is what one attempt at a target adds to a request.
type sendOff struct {
	account  bbunit.AccountID
	target   bbplan.Target
	left     time.Duration
	priority int
	// last is the last event that the caller has; empty sends the client's.
	last string
}

// forwardHead returns the head that a target gets.
func (q *Request) forwardHead(s *sendOff) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	named := q.Fields.named()
	for i := range q.Fields {
		name := spelling(q.Fields[i].Name)
		if hopFields[name] || bbplatform.OwnHeaders[name] || named[name] || name == "last-event-id" && s.last != "" {
			continue
		}
		b = appendField(b, q.Fields[i].Name, q.Fields[i].Value)
	}
	if s.account != "" {
		b = appendField(b, bbplatform.HeaderAccount, string(s.account))
	}
	b = appendField(b, bbplatform.HeaderDeadline, strconv.FormatInt(max(s.left.Milliseconds(), 1), 10))
	b = appendField(b, bbplatform.HeaderExpect, string(s.target.ID))
	if s.priority >= 0 {
		b = appendField(b, bbplatform.HeaderPriority, strconv.Itoa(min(s.priority, 9)))
	}
	if s.last != "" {
		b = appendField(b, bbplatform.HeaderLastEvent, s.last)
	}
	if q.HasBody {
		b = appendField(b, "Content-Length", strconv.Itoa(len(q.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// statusLine begins the head of an answer.
func statusLine(status int, reason string) []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// answerHead returns the head of a target's answer as the caller gets it.
func answerHead(a *Answer, length int, closing bool) []byte {
	b := statusLine(a.Status, a.Reason)
	named := a.Fields.named()
	for i := range a.Fields {
		name := strings.ToLower(a.Fields[i].Name)
		if hopFields[name] || named[name] {
			continue
		}
		b = appendField(b, a.Fields[i].Name, a.Fields[i].Value)
	}
	if length >= 0 {
		b = appendField(b, "Content-Length", strconv.Itoa(length))
	} else {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
