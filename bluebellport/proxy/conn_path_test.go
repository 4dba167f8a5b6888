package bbproxy

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	bbplatformstand "bluebellport.example/platform/stand"
)

// connPath passes the connections of one instance on to the store. Each of them can fall
// silent by itself: it stays open and carries nothing more in either direction.
type connPath struct {
	mu    sync.Mutex
	conns map[*pathConn]bool
}

// pathConn is a connection over a connPath.
type pathConn struct {
	mu     sync.Mutex
	silent bool
	waits  string // the head of the request that has no answer yet
}

// newConnPath serves a store behind a path. It returns the path and its address.
func newConnPath(t *testing.T, stand *bbplatformstand.Store) (*connPath, string) {
	is := is.New(t)
	serverLn, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	p := &connPath{conns: map[*pathConn]bool{}}
	go func() { _ = (&fasthttp.Server{Handler: stand.Handle}).Serve(serverLn) }()
	go p.accept(ln, serverLn.Addr().String())
	t.Cleanup(func() {
		_ = ln.Close()
		_ = serverLn.Close()
	})
	return p, ln.Addr().String()
}

// silence makes connections silent on which a call waits for changes under a prefix, all
// if it is empty. It returns how many.
func (p *connPath) silence(waiting string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if c.silence(waiting) {
			n++
		}
	}
	return n
}

func (c *pathConn) silence(waiting string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent || waiting != "" && !waitsFor(c.waits, waiting) {
		return false
	}
	c.silent = true
	return true
}

// carries notes what a connection is about to carry, and reports whether it does.
func (c *pathConn) carries(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.waits = request
	}
	return !c.silent
}

func (p *connPath) accept(ln net.Listener, to string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &pathConn{}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go func() {
			c.copy(far, near, true)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.conns, c)
		}()
		go c.copy(near, far, false)
	}
}

// copy copies what arrives until a connection ends, and drops it once it is silent.
func (c *pathConn) copy(to, from net.Conn, requests bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, linkSegment)
	for {
		n, err := from.Read(buf)
		time.Sleep(storeLatency)
		request := ""
		if requests {
			request = string(buf[:n])
		}
		if c.carries(request) {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
