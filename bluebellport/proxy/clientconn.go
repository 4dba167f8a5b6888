package bbproxy

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	bbpressure "bluebellport.example/bluebellport/pressure"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
)

// clientConn is a connection from a client. One goroutine serves it; during a
// request a second one detects when the client closes the connection.
type clientConn struct {
	net.Conn
	socket net.Conn // below Conn, which counts its bytes
	br     *bufio.Reader
	proxy  *Proxy
	phase  connPhase
	// hasNext is set while bytes of the next request have been read.
	hasNext atomic.Bool
	// hasUnread is set if the body of the last request is not read.
	hasUnread bool
	// current is the request in flight, nil if there is none.
	current atomic.Pointer[exchange]
	// readErr is the error that ended the wait for the client's next bytes.
	readErr atomic.Pointer[error]
}

// limits returns the limits of the plan in force, or else the defaults.
func (c *clientConn) limits() bbplan.Limits {
	limits := bbplan.Limits{MaxHeaderBytes: maxHead, MaxBodyBytes: maxBody, HeaderTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	plan := c.proxy.board.Plan.Load()
	if plan == nil {
		return limits
	}
	if planLimits := plan.Limits; planLimits.MaxHeaderBytes > 0 && planLimits.MaxBodyBytes > 0 && planLimits.HeaderTimeout > 0 && planLimits.IdleTimeout > 0 {
		return planLimits
	}
	return limits
}

// serve answers requests until the connection ends.
func (c *clientConn) serve() {
	defer func() { _ = c.Close() }()
	for c.awaitRequest() {
		if c.serveRequest() {
			continue
		}
		if c.hasUnread {
			c.closeUnread()
			return
		}
		c.closeGracefully()
		return
	}
	c.logCrossing()
}

// awaitRequest waits for the first byte of the next request and reports whether
// one came.
func (c *clientConn) awaitRequest() bool {
	c.becomeIdle()
	err := c.peekNext()
	c.becomeBusy()
	return err == nil
}

// peekNext waits for the first byte of a request, until the deadline or the close of the
// connection, and returns the error that ended it. A request that came before its idle
// connection's time was over is taken, even if the process stood still meanwhile and
// sees both only now.
func (c *clientConn) peekNext() error {
	_, err := c.br.Peek(1)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && c.beginLastLook() {
		_, err = c.br.Peek(1)
	}
	return err
}

// serveRequest reads and answers one request. It reports whether the connection
// can be reused.
func (c *clientConn) serveRequest() bool {
	limits := c.limits()
	c.readBy(time.Now().Add(limits.HeaderTimeout))
	req, frame, err := readRequest(c.br, limits.MaxHeaderBytes)
	if err != nil {
		return c.refuseUnreadable(req, err)
	}
	if refusal := c.refuseEarly(req, frame); refusal != nil {
		return c.refuseUnread(req, refusal)
	}
	if req.Fields.hasToken("Expect", "100-continue") && req.HasBody {
		if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	c.readBy(time.Now().Add(max(limits.HeaderTimeout, min(req.Timeout, maxBodyTime))))
	buf := buffer{budget: c.proxy.requestMemory}
	defer buf.free()
	if err = buf.readAll(requestBody(c.br, frame), limits.MaxBodyBytes); err != nil {
		return c.refuseUnreadable(req, err)
	}
	req.Body = buf.bytes
	req.ReceivedAt = time.Now()
	return c.handle(req, &buf)
}

// handle answers a request while a second goroutine detects when the client
// closes the connection. It frees the request's body once it is answered, and
// reports whether the connection can be reused.
func (c *clientConn) handle(req *Request, body *buffer) bool {
	gone, peekDone := newSignal(), make(chan struct{})
	c.hasNext.Store(c.br.Buffered() > 0)
	c.readBy(time.Time{})
	go func() {
		defer close(peekDone)
		if err := c.peekNext(); err != nil {
			c.readErr.Store(&err)
			gone.set()
			return
		}
		c.hasNext.Store(true)
	}()
	x := &exchange{proxy: c.proxy, client: c, req: req, gone: gone}
	stopAbort := x.abortOnceGone()
	c.current.Store(x)
	if c.proxy.stop.Ended() {
		gone.set() // read too late for endRequest, so it must not wait for anything
	}
	keepConn := x.serve()
	c.current.Store(nil)
	stopAbort()
	req.Body = nil
	body.free()
	if req.Close || !keepConn {
		_ = c.SetReadDeadline(time.Now())
		<-peekDone
		return false
	}
	c.becomeIdle()
	<-peekDone
	return !gone.isSet() || c.proxy.stop.Ended() && c.hasNext.Load()
}

// refuseUnreadable answers bytes that could not be read as a request. A
// connection that broke gets no response.
func (c *clientConn) refuseUnreadable(req *Request, err error) bool {
	r := &Refusal{Close: true, Reason: err.Error()}
	switch {
	case errors.Is(err, ErrMalformed):
		r.Status = http.StatusBadRequest
	case errors.Is(err, ErrHeadSize):
		r.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodySize):
		r.Status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoMemory):
		r.Status, r.RetryAfter = http.StatusServiceUnavailable, spreadRetryAfter(defaultRetryAfter, rand.Float64())
	default:
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return false
		}
		if r.Status, r.Reason = http.StatusRequestTimeout, "the request came too slowly"; c.proxy.stop.Ended() {
			r.Status, r.Reason = http.StatusServiceUnavailable, reasonStopping
		}
	}
	method, attemptID := "", ""
	if req != nil {
		method, attemptID = req.Method, req.AttemptID
	}
	c.proxy.recordRefusal(attemptID, r)
	_ = c.write(r.encode(method, attemptID, true))
	return false
}

// write writes to the client. An error means that the client does not read
// within clientWriteTimeout or has closed the connection.
func (c *clientConn) write(b []byte) error {
	return c.writeBy(b, time.Now().Add(clientWriteTimeout))
}

// writeBy writes to the client until a deadline, as long as the client reads
// writePartBytes within clientWriteTimeout.
func (c *clientConn) writeBy(b []byte, deadline time.Time) error {
	isLarge := len(b) > bbpressure.LargeBody
	for len(b) > 0 {
		part := b[:min(len(b), writePartBytes)]
		if isLarge {
			c.proxy.awaitRoom(len(part), deadline)
		}
		_ = c.SetWriteDeadline(bbclock.Earlier(deadline, time.Now().Add(clientWriteTimeout)))
		if _, err := c.Conn.Write(part); err != nil {
			return err
		}
		b = b[len(part):]
	}
	return nil
}

// closeGracefully ends the sending side and reads what still comes. A connection
// closed with unread bytes would be reset, and the client could lose the last
// response. A request that is sent to a connection that waited for one stays unread, so
// that it can be sent elsewhere, if the client has the last response in time.
func (c *clientConn) closeGracefully() {
	idle := c.isIdle()
	if idle && c.isDelivered() {
		c.logCrossing()
		return
	}
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = t.CloseWrite()
	until := c.becomeClosing()
	for idle && time.Until(until) > deliveryCheck {
		if c.isDelivered() {
			c.logCrossing()
			return
		}
		time.Sleep(deliveryCheck)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxBody))
}
