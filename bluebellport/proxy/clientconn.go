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

// clientConn is one connection of a client. One goroutine serves it; while a
// request is under way another one watches whether the client is still there.
type clientConn struct {
	net.Conn
	br    *bufio.Reader
	proxy *Proxy
	// idle tells that no request is under way, so that a stop may close it.
	idle atomic.Bool
	// current is the request under way, nil when there is none.
	current atomic.Pointer[exchange]
}

// limits returns the limits in force.
func (c *clientConn) limits() bbplan.Limits {
	limits := bbplan.Limits{MaxHeaderBytes: maxHead, MaxBodyBytes: maxBody, HeaderTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	plan := c.proxy.shared.Plan.Load()
	if plan == nil {
		return limits
	}
	if declared := plan.Limits; declared.MaxHeaderBytes > 0 && declared.MaxBodyBytes > 0 && declared.HeaderTimeout > 0 && declared.IdleTimeout > 0 {
		return declared
	}
	return limits
}

// serve takes requests until the connection ends.
func (c *clientConn) serve() {
	defer func() { _ = c.Close() }()
	for c.awaitRequest() {
		c.idle.Store(false)
		if !c.serveRequest() {
			c.closeGracefully()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *clientConn) awaitRequest() bool {
	c.idle.Store(true)
	_ = c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	if c.proxy.closing.Load() {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	}
	_, err := c.br.Peek(1)
	return err == nil
}

// serveRequest reads and answers one request. It tells whether the connection stays.
func (c *clientConn) serveRequest() bool {
	limits := c.limits()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, frame, err := readRequest(c.br, limits.MaxHeaderBytes)
	if err != nil {
		return c.refuseUnreadable(req, err)
	}
	if req.Fields.hasToken("Expect", "100-continue") && req.HasBody {
		if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(max(limits.HeaderTimeout, req.Timeout)))
	if req.Body, err = requestBody(c.br, frame).readAll(limits.MaxBodyBytes); err != nil {
		return c.refuseUnreadable(req, err)
	}
	req.ReceivedAt = time.Now()
	return c.handle(req)
}

// handle serves a request while a watch tells when its client leaves.
func (c *clientConn) handle(req *Request) bool {
	clientGone, watchDone := make(chan struct{}), make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(watchDone)
		if _, err := c.br.Peek(1); err != nil {
			close(clientGone)
		}
	}()
	x := &exchange{proxy: c.proxy, client: c, req: req, clientGone: clientGone}
	stopWatch := x.abortOnLeave(clientGone)
	c.current.Store(x)
	keepConn := x.serve()
	c.current.Store(nil)
	stopWatch()
	if req.Close || !keepConn || c.proxy.shared.closeConns() {
		_ = c.SetReadDeadline(time.Now())
		<-watchDone
		return false
	}
	c.idle.Store(true)
	_ = c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	<-watchDone
	select {
	case <-clientGone:
		return false
	default:
		return true
	}
}

// refuseUnreadable answers what could not be read as a request.
func (c *clientConn) refuseUnreadable(req *Request, err error) bool {
	r := &Refusal{Close: true, Reason: err.Error()}
	switch {
	case errors.Is(err, ErrMalformed):
		r.Status = http.StatusBadRequest
	case errors.Is(err, ErrHeadSize):
		r.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodySize):
		r.Status = http.StatusRequestEntityTooLarge
	default:
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return false
		}
		r.Status, r.Reason = http.StatusRequestTimeout, "the request came too slowly"
	}
	attemptID := ""
	if req != nil {
		attemptID = req.AttemptID
	}
	c.proxy.recordRefusal(attemptID, r)
	_ = c.write(r.encode(attemptID, true))
	return false
}

// write sends bytes to the client; an error means that it does not read or has
// left.
func (c *clientConn) write(b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := c.Conn.Write(b)
	return err
}

// closeGracefully ends a connection so that the client can still read the last answer:
// closing it with unread bytes would reset it.
func (c *clientConn) closeGracefully() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(closeReadTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxBody))
	}
}
