package bbstore

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const testWatchIdleTimeout = 500 * time.Millisecond

// newClientWithServer returns a client of a Server on the loopback interface,
// and the Mem that the Server serves.
func newClientWithServer(t *testing.T) (Store, *Mem) {
	m := NewMem()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s, stop := NewServer(m, testWatchIdleTimeout/10)
	serve(t, l, s.Handle, stop)
	c, closeClient := NewClient(l.Addr().String(), ClientOptions{WatchIdleTimeout: testWatchIdleTimeout})
	t.Cleanup(closeClient)
	return c, m
}

func serve(t *testing.T, listener net.Listener, handler fasthttp.RequestHandler, stop func()) {
	srv := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(listener) })
	t.Cleanup(func() {
		stop()
		_ = srv.Shutdown()
		wg.Wait()
	})
}

func respondWith(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

func TestClientErrors(t *testing.T) {
	tooSlow := func(*fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }
	closeWithoutAnswer := func(ctx *fasthttp.RequestCtx) { writeFailure(ctx, ErrUnknown) }
	cases := []struct {
		name        string
		handler     fasthttp.RequestHandler
		read, write error
	}{
		{"503", respondWith(503, `{"code":14,"message":"etcdserver: no leader"}`), ErrDown, ErrDown},
		{"503 without a body", respondWith(503, ""), ErrDown, ErrDown},
		{"503 after a timeout", respondWith(503, `{"code":14,"message":"etcdserver: request timed out"}`), ErrDown, ErrUnknown},
		{"429", respondWith(429, ""), ErrDown, ErrDown},
		{"500", respondWith(500, ""), ErrDown, ErrUnknown},
		{"not JSON", respondWith(200, "<html>"), ErrDown, ErrUnknown},
		{"no answer in time", tooSlow, ErrDown, ErrUnknown},
		{"connection closed", closeWithoutAnswer, ErrDown, ErrUnknown},
		{"lease not found", respondWith(404, `{"code":5,"message":"etcdserver: requested lease not found"}`), ErrLeaseNotFound, ErrLeaseNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			serve(t, l, c.handler, func() {})
			s, closeClient := NewClient(l.Addr().String(), ClientOptions{Timeout: 100 * time.Millisecond})
			defer closeClient()
			_, err = s.Get(context.Background(), "a")
			is.True(errors.Is(err, c.read))
			_, err = s.CAS(context.Background(), "a", []byte("1"), 0, 0)
			is.True(errors.Is(err, c.write))
		})
	}
}

func TestClientRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	s, closeClient := NewClient(l.Addr().String(), ClientOptions{})
	defer closeClient()
	_, err = s.Get(context.Background(), "a")
	is.True(errors.Is(err, ErrDown))
	_, err = s.CAS(context.Background(), "a", []byte("1"), 0, 0)
	is.True(errors.Is(err, ErrDown))
	is.True(errors.Is(s.Watch(context.Background(), "a", 0, func(Event) error { return nil }), ErrDown))
}

func TestClientCancelled(t *testing.T) {
	is := is.New(t)
	s, m := newClientWithServer(t)
	m.SetFaults(Faults{Latency: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	start := time.Now()
	_, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
	is.True(errors.Is(err, ErrUnknown))
	is.True(time.Since(start) < 200*time.Millisecond)
	_, err = s.CAS(ctx, "b", []byte("1"), 0, 0)
	is.True(errors.Is(err, ErrDown)) // nothing was sent to the service
}

func TestClientSilentWatch(t *testing.T) {
	is := is.New(t)
	s, m := newClientWithServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	time.AfterFunc(100*time.Millisecond, m.SilenceWatches)
	is.True(errors.Is(s.Watch(ctx, "a", 0, func(Event) error { return nil }), ErrDown))
	_, err := m.CAS(ctx, "a", []byte("1"), 0, 0)
	is.NoErr(err)
	err = s.Watch(ctx, "a", 0, func(Event) error { return errStop })
	is.True(errors.Is(err, errStop))
}

func TestRangeEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(rangeEnd("a/"), []byte("a0"))
	is.Equal(rangeEnd("a\xff"), []byte("b"))
	is.Equal(rangeEnd(""), []byte{0})
}
