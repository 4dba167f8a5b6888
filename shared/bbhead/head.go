package bbhead

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// head is what the head of a response says.
type head struct {
	status int64
	// hasLength reports that length frames the body.
	hasLength bool
	length    int64
}

// isInformational reports whether another head follows.
func (h *head) isInformational() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// headLength returns the length of the head at the start of b, with the empty line that ends
// it, and 0 if that has not come. As the HTTP library does, it takes bare line feeds for line
// ends, and skips empty lines before the status line.
func headLength(b []byte) int {
	hasStatusLine := false
	for end := 0; ; {
		n := bytes.IndexByte(b[end:], '\n')
		if n < 0 {
			return 0
		}
		isEmpty := n == 0 || n == 1 && b[end] == '\r'
		if end += n + 1; isEmpty && hasStatusLine {
			return end
		}
		hasStatusLine = hasStatusLine || !isEmpty
	}
}

// parseHead parses a head. It returns ErrMalformed if the status is none of HTTP or a line is no
// field, and ErrJoined if the head holds the status line of another response.
func parseHead(text string) (head, error) {
	statusLine, fields, _ := strings.Cut(strings.TrimLeft(text, "\r\n"), "\n")
	if HoldsStatusLine(statusLine[min(1, len(statusLine)):]) || HoldsStatusLine(fields) {
		return head{}, errors.Trace(ErrJoined)
	}
	h := head{status: parseStatus(strings.TrimSuffix(statusLine, "\r"))}
	if !IsStatus(h.status) {
		return head{}, errors.Trace(ErrMalformed)
	}
	isChunked := false
	for line := range strings.SplitSeq(fields, "\n") {
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			break // the end of the head
		}
		name, value, ok := strings.Cut(line, ":")
		switch {
		case !ok || !IsToken(name):
			return head{}, errors.Trace(ErrMalformed)
		case strings.EqualFold(name, "Transfer-Encoding"):
			isChunked = true
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			h.length, h.hasLength = n, err == nil && n >= 0
		}
	}
	h.hasLength = h.hasLength && !isChunked
	return h, nil
}

// parseStatus returns the status in a status line, 0 if there is none of three digits.
func parseStatus(line string) int64 {
	_, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	n, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 {
		return 0
	}
	return int64(n)
}
