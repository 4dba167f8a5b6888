package bbproxy

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbhead"
)

// statusMisdirected is the status of a server that is not the one expected.
const statusMisdirected = http.StatusMisdirectedRequest

// Response is the head of a target's response.
type Response struct {
	Status  int
	Reason  string
	Fields  Fields
	framing framing
}

// readResponseHead reads the head of a response. It skips informational (1xx)
// responses, up to maxInformational. All heads together may have maxHead bytes. None
// may go on as another response, or have a status that is none of HTTP.
func (c *targetConn) readResponseHead() (*Response, error) {
	left := maxHead
	for range maxInformational + 1 {
		line, fields, err := readHead(c.br, &left)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		version, rest, _ := strings.Cut(line, " ")
		code, reason, _ := strings.Cut(rest, " ")
		status, err := parseDigits(code, 10)
		if err != nil || len(code) != 3 || !bbhead.IsStatus(status) || version != "HTTP/1.1" && version != "HTTP/1.0" {
			return nil, errors.Annotatef(ErrMalformed, "status line %.60q", line)
		}
		resp := &Response{Status: int(status), Reason: reason, Fields: fields}
		if resp.isJoined() {
			return nil, errors.Annotate(ErrMalformed, "two responses in one head")
		}
		if status < 200 {
			continue
		}
		if resp.framing, err = bodyFraming(fields); err != nil {
			return nil, err
		}
		c.reusable = version == "HTTP/1.1" && !fields.hasToken("Connection", "close")
		return resp, nil
	}
	return nil, errors.Annotate(ErrMalformed, "too many informational responses")
}

// isSuccess reports whether the status is a success.
func (r *Response) isSuccess() bool { return r.Status >= 200 && r.Status < 300 }

// mayBeStream reports whether the response can be a stream of events: its type says so,
// or it has none.
func (r *Response) mayBeStream() bool {
	contentType, _, _ := strings.Cut(r.Fields.Value("Content-Type"), ";")
	contentType = strings.TrimSpace(contentType)
	return r.Status == http.StatusOK && (contentType == "" || strings.EqualFold(contentType, "text/event-stream"))
}

// endsWithConn reports whether the body of the response to a request with a method
// ends with its connection, so that a crash of the target ends it in the same way.
func (r *Response) endsWithConn(method string) bool {
	return responseBody(nil, r.framing, r.Status, method).untilClose
}

// saysNotRun reports whether the target states that it did not run the request.
func (r *Response) saysNotRun() bool {
	_, count := r.Fields.Get(bbplatform.HeaderNotExecuted)
	return count > 0 || r.Status == statusMisdirected
}

// isJoined reports whether the head has a second status line inside a value: it
// began as one response, broke off, and ends as another.
func (r *Response) isJoined() bool {
	if bbhead.HoldsStatusLine(r.Reason) {
		return true
	}
	for i := range r.Fields {
		if bbhead.HoldsStatusLine(r.Fields[i].Value) {
			return true
		}
	}
	return false
}

// isSigned reports whether the response has the target's signature and was not
// changed on the way, which a content encoding would show.
func (r *Response) isSigned() bool {
	_, encodings := r.Fields.Get("Content-Encoding")
	return r.Fields.Value(bbplatform.HeaderSignature) != "" && encodings == 0
}

// belongsTo reports whether the response echoes the attempt's id.
func (r *Response) belongsTo(attemptID string) bool {
	id, n := r.Fields.Get(bbplatform.HeaderAttemptID)
	return n == 1 && id == attemptID
}
