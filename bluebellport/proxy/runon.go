package bbproxy

import (
	"bytes"
	"slices"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbhead"
)

// errBodyRunsOn means that the target broke off within a body and went on with another
// response, of which the body has taken the start.
var errBodyRunsOn = errors.WithType(errors.New("another response within a body"), ErrMalformed)

// checkEnd returns errBodyRunsOn if a body of a declared length, which ends with tail, has
// taken a status line in and more bytes have come behind it. It blocks for up to
// restTimeout if they have.
func (c *targetConn) checkEnd(b *bodyReader, tail []byte) error {
	if !b.complete || b.framing.chunked || b.untilClose || !mayHoldStatusLine(tail) {
		return nil
	}
	if c.br.Buffered() == 0 && openAndQuiet(c.Conn) {
		return nil
	}
	_ = c.SetReadDeadline(time.Now().Add(restTimeout))
	rest, _ := c.br.Peek(bbhead.StatusLineBytes - 1)
	if len(rest) == 0 {
		return nil
	}
	start := max(len(tail)-bbhead.StatusLineBytes+1, 0)
	if bbhead.HoldsStatusLine(string(tail)) || bbhead.HoldsStatusLine(string(append(slices.Clone(tail[start:]), rest...))) {
		return errBodyRunsOn
	}
	return nil
}

// mayHoldStatusLine reports whether a text contains the start of a status line or ends
// within one.
func mayHoldStatusLine(text []byte) bool {
	if bytes.Contains(text, []byte(bbhead.VersionPrefix)) {
		return true
	}
	for n := range len(bbhead.VersionPrefix) - 1 {
		if bytes.HasSuffix(text, []byte(bbhead.VersionPrefix[:n+1])) {
			return true
		}
	}
	return false
}
