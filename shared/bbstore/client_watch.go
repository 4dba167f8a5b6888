package bbstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Watch calls fn for each change under prefix after revision from. It uses a
// connection of its own, which counts as broken when nothing arrives for
// WatchIdleTimeout.
func (c *Client) Watch(ctx context.Context, prefix string, from Revision, fn func(Event) error) error {
	body, err := json.Marshal(&gwWatchRequest{Create: gwWatchCreateRequest{
		Key:            rangeKey(prefix),
		RangeEnd:       rangeEnd(prefix),
		StartRevision:  int64(from) + 1,
		ProgressNotify: true,
	}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, pathWatch, body)
	if err := c.watchClient(ctx).Do(req, resp); err != nil {
		return watchError(ctx, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), maxErrorBytes))
		return watchError(ctx, statusError(resp.StatusCode(), text))
	}
	return readEvents(ctx, json.NewDecoder(resp.BodyStream()), fn)
}

// maxErrorBytes bounds the text of an error, in bytes.
const maxErrorBytes = 64 << 10

// watchClient returns an HTTP client for one watch. Its connection is closed
// when ctx ends.
func (c *Client) watchClient(ctx context.Context) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          c.addr,
		Name:                          "bbstore",
		MaxConns:                      1,
		StreamResponseBody:            true,
		DisableHeaderNamesNormalizing: true,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			conn, err := dial(addr, timeout)
			if err != nil {
				return nil, err
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			return &idleTimeoutConn{Conn: conn, timeout: c.opts.WatchIdleTimeout}, nil
		},
	}
}

// idleTimeoutConn is a connection whose reads fail after timeout without data.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection. It blocks for at most timeout.
func (i *idleTimeoutConn) Read(b []byte) (int, error) {
	if err := i.SetReadDeadline(time.Now().Add(i.timeout)); err != nil {
		return 0, err
	}
	return i.Conn.Read(b)
}

// readEvents decodes the messages of a watch and passes their events to fn
// until the stream ends or fn returns an error.
func readEvents(ctx context.Context, decoder *json.Decoder, fn func(Event) error) error {
	for {
		var message gwWatchMessage
		if err := decoder.Decode(&message); err != nil {
			return watchError(ctx, err)
		}
		result := &message.Result
		switch {
		case message.Error != nil:
			return watchError(ctx, errors.New(message.Error.Message))
		case result.Canceled && result.CompactRevision > 0:
			return errors.Annotatef(ErrCompacted, "compact revision %d", result.CompactRevision)
		case result.Canceled:
			return watchError(ctx, errors.New("watch cancelled by the service"))
		}
		for i := range result.Events {
			if err := fn(result.Events[i].event()); err != nil {
				return err
			}
		}
	}
}

func (e *gwEvent) event() Event {
	event := e.Kv.entry()
	if e.Type == eventDelete {
		event.Value = nil
	}
	return Event{event}
}

// watchError returns the error of ctx when ctx has ended, otherwise err wrapped
// in ErrDown.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, ErrDown) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrDown, err)
}
