// Package bbhead recognizes the head of a response that broke off and went on as that of
// another one. Read as one, it mixes both.
package bbhead

import (
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// VersionPrefix is how each status line begins.
const VersionPrefix = "HTTP/1."

// StatusLineBytes is how many bytes show that a status line begins.
const StatusLineBytes = len(VersionPrefix + "1 200")

// ErrJoined means that a head holds the status line of another response.
const ErrJoined = errors.ConstError("two responses in one head")

// Check returns ErrJoined if the reason or a value of a head holds a status line.
func Check(h *fasthttp.ResponseHeader) error {
	if HoldsStatusLine(string(h.StatusMessage())) {
		return errors.Trace(ErrJoined)
	}
	for _, value := range h.All() {
		if HoldsStatusLine(string(value)) {
			return errors.Trace(ErrJoined)
		}
	}
	return nil
}

// HoldsStatusLine reports whether a text holds the beginning of a status line, with its
// status.
func HoldsStatusLine(text string) bool {
	for {
		_, rest, ok := strings.Cut(text, VersionPrefix)
		if !ok {
			return false
		}
		if beginsWithStatus(rest) {
			return true
		}
		text = rest
	}
}

// beginsWithStatus reports whether a text is the rest of a status line after VersionPrefix.
func beginsWithStatus(text string) bool {
	if len(text) < StatusLineBytes-len(VersionPrefix) || text[1] != ' ' {
		return false
	}
	for _, c := range text[2:5] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) == 5 || text[5] == ' ' || text[5] == '\r'
}
