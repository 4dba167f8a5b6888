package bbproxy

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bluebellport.example/platform"
)

// targetConn is one connection to a target. It carries one request at a time.
type targetConn struct {
	net.Conn
	br   *bufio.Reader
	pool *pool
	// keep tells that the target will take another request.
	keep   bool
	idle   time.Duration
	parked time.Time
}

// pool keeps the connections to one target.
type pool struct {
	address string
	mu      sync.Mutex
	free    []*targetConn
	closed  bool
	meter   *meter
	load    func(running, waiting, slots int)
}

// take returns a connection that was kept, or else a new one.
func (p *pool) take(ctx context.Context) (*targetConn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if time.Since(c.parked) < c.idle && quiet(c.Conn) && c.br.Buffered() == 0 {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}}
	conn, err := d.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, err
	}
	conn = p.meter.wrap(conn)
	return &targetConn{Conn: conn, br: bufio.NewReaderSize(conn, bufferSize), pool: p, idle: poolTime}, nil
}

func (p *pool) pop() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.free)
	if n == 0 {
		return nil
	}
	c := p.free[n-1]
	p.free = p.free[:n-1]
	return c
}

// park keeps a connection for the next request, or closes it.
func (c *targetConn) park() {
	c.parked = time.Now()
	if !c.keep || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
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
	for len(p.free) > 0 && time.Since(p.free[0].parked) >= p.free[0].idle {
		_ = p.free[0].Close()
		p.free = p.free[1:]
	}
	p.free = append(p.free, c)
}

// shut closes the kept connections, and those that come back.
func (p *pool) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.free {
		_ = c.Close()
	}
	p.free = nil
}

// learn reads what an answer says of its connection and of the target's load.
func (c *targetConn) learn(f Fields) {
	if text, n := f.Get("Keep-Alive"); n > 0 {
		if _, after, ok := strings.Cut(text, "timeout="); ok {
			digits, _, _ := strings.Cut(after, ",")
			if s, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil {
				c.idle = max(time.Duration(s)*time.Second-poolSlack, 0)
			}
		}
	}
	if running, waiting, slots, ok := bbplatform.Load(f.Value(bbplatform.HeaderLoad)); ok && c.pool.load != nil {
		c.pool.load(running, waiting, slots)
	}
}

// quiet tells that a kept connection is open and has nothing to read: bytes that
// wait there belong to no request.
func quiet(conn net.Conn) bool {
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
