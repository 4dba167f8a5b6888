package bbport

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbhead"
)

// errNotSent means that no byte of the request left for the target.
const errNotSent = errors.ConstError("not sent")

// targetConns holds HTTP clients with pooled connections to targets. The zero
// value is ready to use.
type targetConns struct {
	log    logrus.FieldLogger // may be nil
	pooled sync.Map           // address -> *fasthttp.HostClient
	fresh  sync.Map           // address -> *fasthttp.HostClient for connections that are not reused
	open   sync.Map           // local address -> net.Conn
	// unnamed holds until when refusals that name no request are expected of an address.
	unnamed sync.Map // address -> time.Time
	sent    sentIDs
	// heldBodies is how many bytes whole answers and the texts of chats take now.
	heldBodies atomic.Int64
}

// client returns the client for an address. With fresh set, the client opens a
// new connection for each request.
func (tc *targetConns) client(address string, fresh bool) *fasthttp.HostClient {
	clients := &tc.pooled
	if fresh {
		clients = &tc.fresh
	}
	if client, ok := clients.Load(address); ok {
		return client.(*fasthttp.HostClient)
	}
	client, _ := clients.LoadOrStore(address, tc.newClient(address))
	return client.(*fasthttp.HostClient)
}

// newClient returns a client that sends each request at most once.
func (tc *targetConns) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      tc.dial,
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       targetIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// dial is dialTarget, and keeps the connection for interrupt.
func (tc *targetConns) dial(address string) (net.Conn, error) {
	c, err := dialTarget(address)
	if err != nil {
		return nil, err
	}
	local := c.LocalAddr().String()
	tc.open.Store(local, c)
	return &openConn{Conn: &bbhead.Conn{Conn: c}, closed: func() { tc.open.CompareAndDelete(local, c) }, failed: func(err error) { tc.logBroken(address, err) }}, nil
}

// logBroken logs why an answer is broken. The HTTP library drops the reason if it finds nothing
// before it.
func (tc *targetConns) logBroken(address string, err error) {
	if tc.log != nil && bbhead.IsBroken(err) {
		tc.log.WithFields(logrus.Fields{"event": "broken-answer", "address": address}).WithError(err).Warn("broken answer of a target")
	}
}

// openConn is a connection to a target that is open.
type openConn struct {
	net.Conn
	closed func()
	failed func(err error)
}

// Read reads a part of an answer.
func (c *openConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.failed(err)
	}
	return n, err
}

// Close closes the connection.
func (c *openConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// releasable returns a function that releases a response, and lets the end of ctx
// interrupt the reading of its body before that: its connection is closed. The response
// itself is not touched then, as it may be read at that moment.
func (tc *targetConns) releasable(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) func() {
	if resp.BodyStream() == nil { // its connection may carry another request by now
		return sync.OnceFunc(func() { releaseExchange(req, resp) })
	}
	var mu sync.Mutex // held while the connection is this response's
	released, local := false, resp.LocalAddr().String()
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if c, ok := tc.open.Load(local); ok && !released {
			_ = c.(net.Conn).Close()
		}
	})
	return sync.OnceFunc(func() {
		stop()
		mu.Lock()
		defer mu.Unlock()
		released = true
		releaseExchange(req, resp)
	})
}

// dialTarget opens a connection, or fails with errNotSent.
func dialTarget(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errNotSent)
	}
	return c, nil
}

// startSweep closes connections to targets that the state no longer contains
// every targetSweepInterval, until the returned function is called.
func (tc *targetConns) startSweep(board *Board) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for bbclock.Wait(ctx, targetSweepInterval) {
			keep := map[string]bool{}
			for _, targets := range board.State.Load().ByService {
				for _, t := range targets {
					keep[t.Address] = true
				}
			}
			tc.closeUnused(keep)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// closeUnused drops the clients of all addresses not in keep and closes their
// idle connections.
func (tc *targetConns) closeUnused(keep map[string]bool) {
	for _, clients := range []*sync.Map{&tc.pooled, &tc.fresh} {
		clients.Range(func(k, v any) bool {
			if !keep[k.(string)] {
				v.(*fasthttp.HostClient).CloseIdleConnections()
				clients.Delete(k)
			}
			return true
		})
	}
	tc.unnamed.Range(func(k, _ any) bool {
		if !keep[k.(string)] {
			tc.unnamed.Delete(k)
		}
		return true
	})
}

// expectsUnnamed reports whether a refusal of an address may name no request, so that
// only a connection of its own shows which one it is for.
func (tc *targetConns) expectsUnnamed(address string) bool {
	until, ok := tc.unnamed.Load(address)
	return ok && time.Now().Before(until.(time.Time))
}

// send sends the request and returns when the response head has arrived, ctx
// ends or the deadline passes. The bool is set if the target may have got any
// of the request. The returned function must be called to release the
// response; the end of ctx interrupts a read of its body. A refusal on a pooled connection
// that does not name the request may be that of an earlier one: it is an ErrBusy, and
// the target may have got the request.
func (tc *targetConns) send(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time) (*fasthttp.Response, func(), bool, error) {
	return tc.sendWithLateHandler(ctx, address, fresh, req, deadline, nil)
}

// sendWithLateHandler is send with a handler for a response that arrives after
// ctx has ended but before the deadline. The handler, if set, may block.
func (tc *targetConns) sendWithLateHandler(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time, onLate func(*fasthttp.Response)) (*fasthttp.Response, func(), bool, error) {
	fresh = fresh || tc.expectsUnnamed(address)
	if fresh {
		req.SetConnectionClose()
	} else if id := req.Header.Peek("X-Request-Id"); len(id) > 0 {
		tc.sent.add(string(id))
	}
	otel.GetTextMapPropagator().Inject(ctx, headerCarrier{&req.Header})
	done := make(chan error, 1)
	resp := fasthttp.AcquireResponse()
	client := tc.client(address, fresh)
	go func() { done <- client.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		if err == nil && !fresh {
			err = tc.checkOwner(address, req, resp)
		}
		if errors.Is(err, errOutOfStep) {
			resp.SetConnectionClose()
			releaseExchange(req, resp)
			tc.replace(address, client)
			return nil, func() {}, true, errors.Trace(err)
		}
		if err == nil {
			return resp, tc.releasable(ctx, req, resp), true, nil
		}
		releaseExchange(req, resp)
		return nil, func() {}, !isNotSent(err), errors.Trace(err)
	case <-ctx.Done():
		go func() {
			err := <-done
			switch {
			case err == nil && !fresh && tc.checkOwner(address, req, resp) != nil:
				resp.SetConnectionClose()
				tc.replace(address, client)
			case err == nil && onLate != nil:
				onLate(resp)
			}
			releaseExchange(req, resp)
		}()
		return nil, func() {}, true, errors.WithType(context.Cause(ctx), errTargetSilent)
	}
}

// errOutOfStep means that the next response on a connection may not be that of the
// next request.
const errOutOfStep = errors.ConstError("connection out of step")

// checkOwner returns an errOutOfStep if a response on a pooled connection is, or may be,
// that of another request. The error is an ErrBusy too if the response is a refusal that
// may be that of this request, and an errConnBroken otherwise.
func (tc *targetConns) checkOwner(address string, req *fasthttp.Request, resp *fasthttp.Response) error {
	switch {
	case tc.isForeign(req, resp):
		return errors.WithType(errors.WithType(errors.New("response to another request"), errConnBroken), errOutOfStep)
	case targetRefusal(resp) != nil && !bytes.Equal(resp.Header.Peek("X-Request-Id"), req.Header.Peek("X-Request-Id")):
		tc.unnamed.Store(address, time.Now().Add(unnamedRefusalPeriod))
		return errors.WithType(errors.WithType(errors.New("refusal that does not name the request"), ErrBusy), errOutOfStep)
	}
	return nil
}

// isForeign reports whether a response names another request than the one that it
// was read for, among those sent last. A target may name its answers as it likes;
// one that names no request may be anybody's on a pooled connection.
func (tc *targetConns) isForeign(req *fasthttp.Request, resp *fasthttp.Response) bool {
	id := resp.Header.Peek("X-Request-Id")
	return len(id) > 0 && !bytes.Equal(id, req.Header.Peek("X-Request-Id")) && tc.sent.has(string(id))
}

// replace drops the pooled connections to an address, as one of them is out of
// step. Requests in flight there are not disturbed.
func (tc *targetConns) replace(address string, client *fasthttp.HostClient) {
	tc.pooled.CompareAndDelete(address, client)
	client.CloseIdleConnections()
}

// releaseExchange closes the response's body, read or not, and returns both
// messages to the HTTP library's pools.
func releaseExchange(req *fasthttp.Request, resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

// isNotSent reports whether err means that no connection to the target was made.
func isNotSent(err error) bool {
	return errors.Is(err, errNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readBody reads a response body of at most maxResponseBytes, as far as the bodies that
// are held take at most maxBodiesBytes together. The function that it returns is called
// once the body is no longer held, also after an error, which is an errTargetFailed or
// one of the connection.
func (tc *targetConns) readBody(resp *fasthttp.Response) (body []byte, release func(), err error) {
	held := int64(0)
	release = func() { tc.heldBodies.Add(-held) }
	stream := resp.BodyStream()
	if stream == nil {
		return append([]byte(nil), resp.Body()...), release, nil
	}
	for {
		if len(body) == cap(body) {
			grown := int64(max(minBodyBuffer, 2*cap(body)))
			held += grown
			if err := tc.hold(grown); err != nil {
				return nil, release, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, release, errors.WithType(errors.Errorf("answer above %d bytes", maxResponseBytes), errTargetFailed)
		case err == io.EOF:
			return body, release, nil
		case err != nil:
			return body, release, errors.Trace(err)
		}
	}
}

// hold counts n more bytes of answers that are held. It returns an errTargetFailed if
// all together take more than maxBodiesBytes.
func (tc *targetConns) hold(n int64) error {
	if tc.heldBodies.Add(n) > maxBodiesBytes {
		return errors.WithType(errors.New("the answers of all targets take too much memory"), errTargetFailed)
	}
	return nil
}

// headerCarrier reads and writes trace context in a request header.
type headerCarrier struct{ header *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = headerCarrier{}

// Get returns a field.
func (c headerCarrier) Get(key string) string { return string(c.header.Peek(key)) }

// Set writes a field.
func (c headerCarrier) Set(key, value string) { c.header.Set(key, value) }

// Keys returns the names of all fields.
func (c headerCarrier) Keys() []string {
	var keys []string
	for k := range c.header.All() {
		keys = append(keys, string(k))
	}
	return keys
}
