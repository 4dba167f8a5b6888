package bbport

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"bluebellport.example/shared/bbclock"
)

// errNotSent marks an attempt of which no byte left for the target.
const errNotSent = errors.ConstError("not sent")

// upstream holds the connections to targets. The zero value works.
type upstream struct {
	pooled sync.Map // address -> *fasthttp.HostClient
	fresh  sync.Map // address -> *fasthttp.HostClient that reuses nothing
}

// client returns the client for an address. One that is fresh opens a new
// connection for each request.
func (u *upstream) client(address string, fresh bool) *fasthttp.HostClient {
	m := &u.pooled
	if fresh {
		m = &u.fresh
	}
	if v, ok := m.Load(address); ok {
		return v.(*fasthttp.HostClient)
	}
	v, _ := m.LoadOrStore(address, newClient(address))
	return v.(*fasthttp.HostClient)
}

// newClient returns a client that sends each request at most once.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxAnswer,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errNotSent)
	}
	return c, nil
}

// tend forgets, now and then, the targets that are no longer in force, until the
// function that it returns is called.
func (u *upstream) tend(b *Board) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for bbclock.Wait(ctx, tendEvery) {
			keep := map[string]bool{}
			for _, list := range b.State.Load().ByService {
				for _, t := range list {
					keep[t.Address] = true
				}
			}
			u.forget(keep)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// forget closes idle connections to targets that are no longer in force.
func (u *upstream) forget(keep map[string]bool) {
	for _, m := range []*sync.Map{&u.pooled, &u.fresh} {
		m.Range(func(k, v any) bool {
			if !keep[k.(string)] {
				v.(*fasthttp.HostClient).CloseIdleConnections()
				m.Delete(k)
			}
			return true
		})
	}
}

// send does the request and returns once the answer's header is there, the
// context ends or the deadline passes. The bool is false only when no byte left.
// The answer must be closed by its clean-up function, which also ends a read
// under way.
func (u *upstream) send(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time) (*fasthttp.Response, func(), bool, error) {
	return u.sendLate(ctx, address, fresh, req, deadline, nil)
}

// sendLate is send; an answer that comes between the context's end and the
// deadline goes to late, if set, which may block.
func (u *upstream) sendLate(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time, late func(*fasthttp.Response)) (*fasthttp.Response, func(), bool, error) {
	if fresh {
		req.SetConnectionClose()
	}
	otel.GetTextMapPropagator().Inject(ctx, requestCarrier{&req.Header})
	done := make(chan error, 1)
	resp := fasthttp.AcquireResponse()
	c := u.client(address, fresh)
	go func() { done <- c.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		if err == nil {
			return resp, sync.OnceFunc(func() { release(req, resp) }), true, nil
		}
		release(req, resp)
		return nil, func() {}, !notSent(err), errors.Trace(err)
	case <-ctx.Done():
		go func() {
			if err := <-done; err == nil && late != nil {
				late(resp)
			}
			release(req, resp)
		}()
		return nil, func() {}, true, errors.WithType(context.Cause(ctx), errSilent)
	}
}

// release closes the answer, whether it was read whole or not, and gives both
// back to the HTTP library.
func release(req *fasthttp.Request, resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

func notSent(err error) bool {
	return errors.Is(err, errNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readBody reads an answer's body up to maxAnswer bytes.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	s := resp.BodyStream()
	if s == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	b, err := io.ReadAll(io.LimitReader(s, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errors.WithType(errors.Errorf("answer above %d bytes", maxAnswer), errTarget)
	}
	return b, errors.Trace(err)
}

// requestCarrier writes trace context into a request's header.
type requestCarrier struct{ h *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = requestCarrier{}

// Get returns a field.
func (c requestCarrier) Get(key string) string { return string(c.h.Peek(key)) }

// Set writes a field.
func (c requestCarrier) Set(key, value string) { c.h.Set(key, value) }

// Keys returns the names of all fields.
func (c requestCarrier) Keys() []string {
	var out []string
	for k := range c.h.All() {
		out = append(out, string(k))
	}
	return out
}
