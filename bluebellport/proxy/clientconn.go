package bbproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbplan"
)

// caller is one connection of a client. One goroutine serves it; while a
// request is under way another one watches whether the client is still there.
type caller struct {
	net.Conn
	br   *bufio.Reader
	door *Door
	// idle tells that no request is under way, so that a stop may close it.
	idle atomic.Bool
	// under is the request under way, nil when there is none.
	under atomic.Pointer[exchange]
}

// limits returns the limits in force.
func (c *caller) limits() bbplan.Limits {
	l := bbplan.Limits{MaxHeaderBytes: maxHead, MaxBodyBytes: maxBody, HeaderTimeout: headTime, IdleTimeout: idleTime}
	plan := c.door.board.Plan.Load()
	if plan == nil {
		return l
	}
	if p := plan.Limits; p.MaxHeaderBytes > 0 && p.MaxBodyBytes > 0 && p.HeaderTimeout > 0 && p.IdleTimeout > 0 {
		return p
	}
	return l
}

// serve takes requests until the connection ends.
func (c *caller) serve() {
	defer func() { _ = c.Close() }()
	for c.awaitRequest() {
		c.idle.Store(false)
		if !c.one() {
			c.finish()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *caller) awaitRequest() bool {
	c.idle.Store(true)
	_ = c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	if c.door.closing.Load() {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	}
	_, err := c.br.Peek(1)
	return err == nil
}

// one reads and answers one request. It tells whether the connection stays.
func (c *caller) one() bool {
	l := c.limits()
	_ = c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	q, frame, err := readRequest(c.br, l.MaxHeaderBytes)
	if err != nil {
		return c.refuseHead(q, err)
	}
	if q.Fields.hasToken("Expect", "100-continue") && q.HasBody {
		if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(max(l.HeaderTimeout, q.Wait)))
	if q.Body, err = requestBody(c.br, frame).all(l.MaxBodyBytes); err != nil {
		return c.refuseHead(q, err)
	}
	q.At = time.Now()
	return c.run(q)
}

// run serves a request while a watch tells when its client leaves.
func (c *caller) run(q *Request) bool {
	gone, watched := make(chan struct{}), make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil {
			close(gone)
		}
	}()
	x := &exchange{door: c.door, caller: c, q: q, gone: gone}
	stopWatch := x.abortWhen(gone)
	c.under.Store(x)
	keep := x.run()
	c.under.Store(nil)
	stopWatch()
	if q.Close || !keep || c.door.board.closing() {
		_ = c.SetReadDeadline(time.Now())
		<-watched
		return false
	}
	c.idle.Store(true)
	_ = c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	<-watched
	select {
	case <-gone:
		return false
	default:
		return true
	}
}

// refuseHead answers what could not be read as a request.
func (c *caller) refuseHead(q *Request, err error) bool {
	r := &Refusal{Close: true, Reason: err.Error()}
	switch {
	case errors.Is(err, ErrMalformed):
		r.Status = http.StatusBadRequest
	case errors.Is(err, ErrHeadSize):
		r.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodySize):
		r.Status = http.StatusRequestEntityTooLarge
	default:
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return false
		}
		r.Status, r.Reason = http.StatusRequestTimeout, "the request came too slowly"
	}
	attempt := ""
	if q != nil {
		attempt = q.Attempt
	}
	c.door.refused(attempt, r)
	_ = c.write(r.bytes(attempt, true))
	return false
}

// write sends bytes to the client; an error means that it does not read or has
// left.
func (c *caller) write(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.Conn.Write(b)
	return err
}

// finish ends a connection so that the client can still read the last answer:
// closing it with unread bytes would reset it.
func (c *caller) finish() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lastRead))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxBody))
	}
}
