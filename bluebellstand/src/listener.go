package bbstand

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener makes connections that can go silent for good while new ones work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is one connection of a listener.
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

// mute silences the open connections, idle ones included, but not the one that
// asks for it.
func (l *listener) mute(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if net.Conn(c) != except {
			c.muted.Store(true)
		}
	}
}

// Read returns nothing more once the connection is silent, until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

// Write drops what is written once the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close keeps a silent connection open, so that the other end is not told.
func (c *conn) Close() error {
	if c.muted.Load() {
		return nil
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
