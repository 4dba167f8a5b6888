package bbhead

import (
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbend"
)

// maxConfirm bounds how long the end of a response is confirmed without a deadline, and
// confirmPart for how long that is done before the deadline is looked at again.
const (
	maxConfirm  = 10 * time.Second
	confirmPart = 20 * time.Millisecond
)

// SetDeadline sets until when reads and writes wait.
func (c *Conn) SetDeadline(t time.Time) error {
	c.setReadBy(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets until when reads wait.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.setReadBy(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) setReadBy(t time.Time) {
	if t.IsZero() {
		c.readBy.Store(0)
		return
	}
	c.readBy.Store(t.UnixNano())
}

// confirmEnd returns io.EOF if the end that a read has found is the server's. It blocks while the
// server takes the rest of the request, until the deadline of reads.
func (c *Conn) confirmEnd() error {
	for began := time.Now(); ; {
		deadline := began.Add(maxConfirm)
		if by := c.readBy.Load(); by != 0 {
			deadline = time.Unix(0, by)
		}
		err := bbend.Confirm(c.Conn, nil, bbclock.Earlier(deadline, time.Now().Add(confirmPart)))
		switch {
		case err == nil:
			return io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(deadline):
			return err
		}
	}
}
