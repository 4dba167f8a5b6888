package bbproxy

import (
	"net"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbend"
)

// upload is the writing of a request to a target. A large body is written while the response
// is read, since a target may respond before it has read the whole body.
type upload struct {
	done chan struct{} // closed at the end
	err  error         // set before that
}

// alwaysDone is closed.
var alwaysDone = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// startUpload writes a request. It returns once it is written, unless its body is large.
func (c *targetConn) startUpload(head, body []byte) {
	u := &c.upload
	if len(body) <= maxInlineBody {
		_, err := c.Conn.Write(append(head, body...))
		u.done, u.err = alwaysDone, err
		return
	}
	done := make(chan struct{})
	u.done, u.err = done, nil
	bufs := net.Buffers{head, body}
	go func() {
		defer close(done)
		_, u.err = bufs.WriteTo(c.Conn)
	}()
}

// isWritten reports whether the whole request has been written by now.
func (u *upload) isWritten() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// confirmEnd returns nil if the end that a read has found on the connection is the target's: the
// whole request was written and taken, and the connection has not failed. It blocks while the
// target takes the request, until the deadline.
func (c *targetConn) confirmEnd(deadline time.Time) error {
	if err := bbend.Confirm(c.Conn, c.upload.done, deadline); err != nil {
		return err
	}
	return errors.Annotate(c.upload.err, "request not written")
}

// bodyOf returns a reader for the body of a response to the exchange's request.
func (x *exchange) bodyOf(conn *targetConn, resp *Response) *bodyReader {
	b := responseBody(conn.br, resp.framing, resp.Status, x.req.Method)
	if b.untilClose {
		b.confirmEnd = func() error { return conn.confirmEnd(x.deadline) }
	}
	return b
}
