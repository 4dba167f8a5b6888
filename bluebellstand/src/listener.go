package bbstand

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener simulates network failures. It can make all open connections silent
// for good, while new connections work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is a connection of a listener.
type conn struct {
	net.Conn
	l     *listener
	muted atomic.Bool
}

func listen(addr string) (*listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, conns: map[*conn]bool{}}, nil
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// silenceConns makes all open connections silent, including idle ones, except the one
// on which the fault was requested.
func (l *listener) silenceConns(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if net.Conn(c) != except {
			c.muted.Store(true)
		}
	}
}

// Read discards all data once the connection is silent. It then returns only
// with an error, as when the other end closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

// Write discards b if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close does not close a silent connection, so that the other end does not
// notice.
func (c *conn) Close() error {
	if c.muted.Load() {
		return nil
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
