package bbproxy

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutKind is what a cut does to an instance's own path to targets.
type cutKind int

const (
	cutNone cutKind = iota
	// cutSilent lets all connections hang, new and old, cutReset breaks the old ones.
	cutSilent
	cutReset
	// cutNewRefused refuses new connections; the old ones live on.
	cutNewRefused
)

func (k cutKind) String() string { return [...]string{"none", "silent", "reset", "new refused"}[k] }

// pathCut is an instance's own path to targets, which can be cut.
type pathCut struct {
	mu    sync.Mutex
	kind  cutKind
	hits  func(address string) bool // which targets the cut concerns
	epoch int                       // counts the cuts
	conns map[*cutConn]bool
	dials int // that went through
}

func newPathCut() *pathCut {
	return &pathCut{hits: func(string) bool { return true }, conns: map[*cutConn]bool{}}
}

// set begins a cut of the paths to the addresses that hits names, or ends it.
func (p *pathCut) set(kind cutKind, hits func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind, p.hits = kind, hits
	if kind == cutSilent || kind == cutReset {
		p.epoch++
	}
	for c := range p.conns {
		switch {
		case !hits(c.address):
		case kind == cutSilent:
			c.dead = true
		case kind == cutReset:
			_ = c.TCPConn.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// kindFor returns how the path to an address is cut.
func (p *pathCut) kindFor(address string) cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hits(address) {
		return cutNone
	}
	return p.kind
}

// opened returns how many connections were opened over the path.
func (p *pathCut) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// dial opens a connection over the path.
func (p *pathCut) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.kindFor(address) {
	case cutSilent, cutReset:
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	case cutNewRefused:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{TCPConn: conn.(*net.TCPConn), path: p, address: address}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	p.dials++
	return c, nil
}

// cutConn is a connection over a path. One that a cut has made dead carries nothing any
// more, in both directions.
type cutConn struct {
	*net.TCPConn
	path    *pathCut
	address string
	dead    bool // guarded by the path's lock
}

func (c *cutConn) isDead() bool {
	c.path.mu.Lock()
	defer c.path.mu.Unlock()
	return c.dead
}

// Read reads what arrives, until the deadline.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if !c.isDead() || err != nil {
			return n, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Write writes, or drops what a cut does not let through.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.isDead() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}
