package bbstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbhead"
)

const (
	defaultTimeout   = 2 * time.Second
	defaultWatchIdle = 15 * time.Second
	defaultMaxConns  = 64
)

// errDial means that no connection could be opened, so that nothing was sent.
const errDial = errors.ConstError("dial failed")

// ClientOptions configure a Client. Zero fields get defaults.
type ClientOptions struct {
	// Timeout limits every call except a watch, in addition to the deadline of
	// the caller's context.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may receive nothing before its
	// connection counts as broken. It must be longer than the interval of the
	// service's progress notifications.
	WatchIdleTimeout time.Duration
	// MaxConns limits the open connections, not counting those of watches.
	MaxConns int
}

// Client is a Store that uses the JSON gateway of etcd v3 over HTTP.
type Client struct {
	addr string
	opts ClientOptions
	http *fasthttp.HostClient
	wg   conc.WaitGroup
}

// NewClient returns a client of the service at addr (host:port), and a function
// that closes its idle connections and waits for its running calls. It connects
// on the first call.
func NewClient(addr string, opts ClientOptions) (*Client, func()) {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.WatchIdleTimeout <= 0 {
		opts.WatchIdleTimeout = defaultWatchIdle
	}
	if opts.MaxConns <= 0 {
		opts.MaxConns = defaultMaxConns
	}
	c := &Client{addr: addr, opts: opts}
	c.http = &fasthttp.HostClient{
		Addr:                          addr,
		Name:                          "bbstore",
		MaxConns:                      opts.MaxConns,
		MaxConnWaitTimeout:            opts.Timeout,
		MaxResponseBodySize:           1 << 30,
		DisableHeaderNamesNormalizing: true,
		DialTimeout:                   dial,
	}
	return c, func() {
		c.http.CloseIdleConnections()
		c.wg.Wait()
	}
}

// dial opens a TCP connection. Its error is errDial.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > defaultTimeout {
		timeout = defaultTimeout
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return &bbhead.Conn{Conn: conn}, nil
}

// Get returns the entry, with Rev 0 and no error when the key is absent.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var resp gwRangeResponse
	if err := c.read(ctx, &gwRangeRequest{Key: []byte(key)}, &resp); err != nil {
		return Entry{}, err
	}
	if len(resp.Kvs) == 0 {
		return Entry{Key: key}, nil
	}
	return resp.Kvs[0].entry(), nil
}

// List returns the entries under the prefix in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var resp gwRangeResponse
	if err := c.read(ctx, &gwRangeRequest{Key: rangeKey(prefix), RangeEnd: rangeEnd(prefix)}, &resp); err != nil {
		return nil, 0, err
	}
	var entries []Entry
	for i := range resp.Kvs {
		entries = append(entries, resp.Kvs[i].entry())
	}
	return entries, Revision(resp.Header.Revision), nil
}

func (k *gwKeyValue) entry() Entry {
	e := Entry{Key: string(k.Key), Value: k.Value, Rev: Revision(k.ModRevision)}
	if e.Value == nil {
		e.Value = []byte{}
	}
	return e
}

// CAS writes value if the key is at revision prev; a nil value deletes the key.
func (c *Client) CAS(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Annotatef(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	op := gwOp{Put: &gwPut{Key: []byte(key), Value: value, Lease: int64(lease)}}
	if value == nil {
		op = gwOp{Delete: &gwRangeRequest{Key: []byte(key)}}
	}
	txn := gwTxnRequest{
		Compare: []gwCompare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(prev)}},
		Success: []gwOp{op},
	}
	var resp gwTxnResponse
	if err := c.write(ctx, pathTxn, &txn, &resp); err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		return 0, errors.Annotatef(ErrConflict, "%s: not at revision %d", key, prev)
	}
	return Revision(resp.Header.Revision), nil
}

// Grant creates a lease of ttl, rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var lease gwLease
	err := c.write(ctx, pathGrant, &gwLease{TTL: seconds}, &lease)
	return LeaseID(lease.ID), err
}

// Renew extends a lease to its full duration. It returns ErrLeaseNotFound when
// the lease has expired.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	var resp gwKeepAliveResponse
	if err := c.write(ctx, pathKeepAlive, &gwLease{ID: int64(id)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return ErrLeaseNotFound
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.write(ctx, pathRevoke, &gwLease{ID: int64(id)}, &gwLease{})
}

// read sends a read. It retries once when the server had closed the kept-alive
// connection.
func (c *Client) read(ctx context.Context, in *gwRangeRequest, out *gwRangeResponse) error {
	err := c.call(ctx, pathRange, in, out)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		err = c.call(ctx, pathRange, in, out)
	}
	if err == nil || errors.Is(err, ErrDown) || errors.Is(err, ErrLeaseNotFound) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrDown, err)
}

// write sends a write. Any error that leaves open whether the write took effect
// becomes ErrUnknown.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	err := c.call(ctx, path, in, out)
	if err == nil || errors.Is(err, ErrDown) || errors.Is(err, ErrLeaseNotFound) || errors.Is(err, ErrTooLarge) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// call sends one request. It returns ErrDown only when nothing was written.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrDown, ctx.Err())
	}
	deadline := time.Now().Add(c.opts.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	c.wg.Go(func() { done <- c.post(path, body, deadline, out) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post sends one request, waits for its response until the deadline and decodes
// it into out.
func (c *Client) post(path string, body []byte, deadline time.Time, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, path, body)
	err := c.http.DoDeadline(req, resp, deadline)
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrDialTimeout), errors.Is(err, fasthttp.ErrNoFreeConns):
		return fmt.Errorf("%w: %w", ErrDown, err)
	case err != nil:
		return err
	case resp.StatusCode() != http.StatusOK:
		return statusError(resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), out)
}

func (c *Client) prepare(req *fasthttp.Request, path string, body []byte) {
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + c.addr + path)
	req.SetBody(body)
}

// statusError returns the error for a status other than 200. It does not return
// ErrDown for a 503 whose message reports a timeout or a broken connection
// behind the gateway, since a write may then have taken effect.
func statusError(status int, body []byte) error {
	var e gwError
	_ = json.Unmarshal(body, &e)
	text := fmt.Sprintf("status %d: %s", status, e.Message)
	switch {
	case status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w: %s", ErrDown, ErrRateLimited, text)
	case status == http.StatusServiceUnavailable && !strings.Contains(e.Message, "timed out") && !strings.Contains(e.Message, "connection"):
		return errors.Annotate(ErrDown, text)
	case e.Code == codeNotFound:
		return errors.Annotate(ErrLeaseNotFound, text)
	case e.Code == codeInvalidArgument && strings.Contains(e.Message, "too large"):
		return errors.Annotate(ErrTooLarge, text)
	}
	return errors.New(text)
}
