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

// targetConns holds the connections to targets. The zero value works.
type targetConns struct {
	pooled sync.Map // address -> *fasthttp.HostClient
	fresh  sync.Map // address -> *fasthttp.HostClient that reuses nothing
}

// client returns the client for an address. One that is fresh opens a new
// connection for each request.
func (u *targetConns) client(address string, fresh bool) *fasthttp.HostClient {
	m := &u.pooled
	if fresh {
		m = &u.fresh
	}
	if v, ok := m.Load(address); ok {
		return v.(*fasthttp.HostClient)
	}
	v, _ := m.LoadOrStore(address, newTargetClient(address))
	return v.(*fasthttp.HostClient)
}

// newTargetClient returns a client that sends each request at most once.
func newTargetClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dialTarget,
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       targetIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

func dialTarget(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errNotSent)
	}
	return c, nil
}

// startSweep forgets, now and then, the targets that are no longer in force, until the
// function that it returns is called.
func (u *targetConns) startSweep(b *Board) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for bbclock.Wait(ctx, targetSweepInterval) {
			keep := map[string]bool{}
			for _, list := range b.State.Load().ByService {
				for _, t := range list {
					keep[t.Address] = true
				}
			}
			u.closeUnused(keep)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// closeUnused closes idle connections to targets that are no longer in force.
func (u *targetConns) closeUnused(keep map[string]bool) {
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
func (u *targetConns) send(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time) (*fasthttp.Response, func(), bool, error) {
	return u.sendWithLateHandler(ctx, address, fresh, req, deadline, nil)
}

// sendWithLateHandler is send; an answer that comes between the context's end and the
// deadline goes to late, if set, which may block.
func (u *targetConns) sendWithLateHandler(ctx context.Context, address string, fresh bool, req *fasthttp.Request, deadline time.Time, late func(*fasthttp.Response)) (*fasthttp.Response, func(), bool, error) {
	if fresh {
		req.SetConnectionClose()
	}
	otel.GetTextMapPropagator().Inject(ctx, headerCarrier{&req.Header})
	done := make(chan error, 1)
	resp := fasthttp.AcquireResponse()
	c := u.client(address, fresh)
	go func() { done <- c.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		if err == nil {
			return resp, sync.OnceFunc(func() { releaseExchange(req, resp) }), true, nil
		}
		releaseExchange(req, resp)
		return nil, func() {}, !isNotSent(err), errors.Trace(err)
	case <-ctx.Done():
		go func() {
			if err := <-done; err == nil && late != nil {
				late(resp)
			}
			releaseExchange(req, resp)
		}()
		return nil, func() {}, true, errors.WithType(context.Cause(ctx), errTargetSilent)
	}
}

// releaseExchange closes the answer, whether it was read whole or not, and gives both
// back to the HTTP library.
func releaseExchange(req *fasthttp.Request, resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

func isNotSent(err error) bool {
	return errors.Is(err, errNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readBody reads an answer's body up to maxAnswer bytes.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	s := resp.BodyStream()
	if s == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	b, err := io.ReadAll(io.LimitReader(s, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = errors.WithType(errors.Errorf("answer above %d bytes", maxResponseBytes), errTargetFailed)
	}
	return b, errors.Trace(err)
}

// headerCarrier writes trace context into a request's header.
type headerCarrier struct{ header *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = headerCarrier{}

// Get returns a field.
func (c headerCarrier) Get(key string) string { return string(c.header.Peek(key)) }

// Set writes a field.
func (c headerCarrier) Set(key, value string) { c.header.Set(key, value) }

// Keys returns the names of all fields.
func (c headerCarrier) Keys() []string {
	var out []string
	for k := range c.header.All() {
		out = append(out, string(k))
	}
	return out
}
