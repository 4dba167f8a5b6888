package bbproxy

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
)

// targetConn is a connection to a target. It carries one request at a time.
type targetConn struct {
	net.Conn
	br   *bufio.Reader
	pool *connPool
	// reusable reports that the connection can carry another request.
	reusable    bool
	openedAt    time.Time
	idleTimeout time.Duration // how long the connection may stay in the pool
	idleSince   time.Time
	// requests is how many requests the connection has carried, strays how many
	// responses that were not its latest request's.
	requests, strays int
	// carried reports that a peer carries the connection, for one request.
	carried bool
	// upload is the writing of the latest request.
	upload upload
	// onSilence decides whether to read on after awaitBytes was not answered in time.
	onSilence func() bool
}

// Read reads from the target. A silence after awaitBytes ends it only if onSilence
// says so.
func (c *targetConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && !c.carried {
			c.pool.ways.heard(c.pool.address)
		}
		var netErr net.Error
		if n > 0 || c.onSilence == nil || !errors.As(err, &netErr) || !netErr.Timeout() || !c.onSilence() {
			return n, err
		}
	}
}

// awaitBytes lets reads wait until a time, and asks then whether to read on.
func (c *targetConn) awaitBytes(until time.Time, onSilence func() bool) {
	c.onSilence = onSilence
	_ = c.Conn.SetReadDeadline(until)
}

// SetReadDeadline sets until when reads wait.
func (c *targetConn) SetReadDeadline(t time.Time) error {
	c.onSilence = nil
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets until when reads and writes wait.
func (c *targetConn) SetDeadline(t time.Time) error {
	c.onSilence = nil
	return c.Conn.SetDeadline(t)
}

// onlyRequest reports whether the connection has carried nothing but its latest
// request, so that any response there is that request's.
func (c *targetConn) onlyRequest() bool { return c.requests == 1 && c.strays == 0 }

// connPool keeps idle connections to one target.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*targetConn // the one used last at the end
	// idleTimeout is how long the target last said that it keeps an idle connection,
	// less poolIdleMargin, if it has said so.
	idleTimeout    time.Duration
	hasIdleTimeout bool
	closed         bool
	ways           *targetWays
	onLoad         func(bbplan.TargetLoad) // called with the load that a response reports
}

// get returns an idle connection, or else a new one. If unused, it returns one that
// has carried no request, a new one in place of the idle connection that was used
// last.
func (p *connPool) get(ctx context.Context, unused bool) (*targetConn, error) {
	for !p.ways.usesPeer(p.address) {
		c := p.popIdle()
		if c == nil {
			break
		}
		usable := time.Since(c.idleSince) < c.idleTimeout && openAndQuiet(c.Conn) && c.br.Buffered() == 0
		if usable && (!unused || c.requests == 0) {
			return c, nil
		}
		_ = c.Close()
		if unused {
			break
		}
	}
	return p.dial(ctx)
}

// hasOpenIdle reports whether an idle connection is still open.
func (p *connPool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *targetConn) bool { return openAndQuiet(c.Conn) })
}

// dial opens a connection.
func (p *connPool) dial(ctx context.Context) (*targetConn, error) {
	conn, carried, err := p.ways.connect(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return p.wrap(conn, carried), nil
}

// wrap returns a new connection as one of the pool.
func (p *connPool) wrap(conn net.Conn, carried bool) *targetConn {
	c := &targetConn{Conn: conn, pool: p, carried: carried, openedAt: time.Now(), idleTimeout: defaultPoolIdle}
	c.br = bufio.NewReaderSize(c, bufferSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasIdleTimeout {
		c.idleTimeout = p.idleTimeout
	}
	return c
}

// popIdle removes and returns the idle connection that was used last, nil if
// there is none.
func (p *connPool) popIdle() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// release returns the connection to its pool, or closes it if it can't be
// reused, as after a response to another request: what may follow is not known. It
// also closes connections that have been idle for too long.
func (c *targetConn) release() {
	c.idleSince = time.Now()
	if !c.reusable || c.carried || c.strays > 0 || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.idle[0].idleTimeout {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections, and makes release close the others.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// readHints takes the keep-alive timeout and the target's load from the response to
// the connection's latest request. One of another server at the address tells no
// load.
func (c *targetConn) readHints(resp *Response) {
	f := resp.Fields
	if text, n := f.Get("Keep-Alive"); n > 0 {
		if _, after, ok := strings.Cut(text, "timeout="); ok {
			digits, _, _ := strings.Cut(after, ",")
			if s, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil {
				c.idleTimeout = max(time.Duration(s)*time.Second-poolIdleMargin, 0)
				c.pool.setIdleTimeout(c.idleTimeout)
			}
		}
	}
	if resp.Status == statusMisdirected {
		return
	}
	if load, ok := bbplatform.ParseTargetLoad(f.Value(bbplatform.HeaderTargetLoad)); ok && c.pool.onLoad != nil {
		c.pool.onLoad(load)
	}
}

// setIdleTimeout sets how long connections may stay in the pool that have carried no
// request yet.
func (p *connPool) setIdleTimeout(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout, p.hasIdleTimeout = d, true
}

// openAndQuiet reports whether an idle connection is open with nothing to read:
// bytes that wait there belong to no request, so the connection must not be
// used.
func openAndQuiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return open
}
