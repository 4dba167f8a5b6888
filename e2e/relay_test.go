package bbe2e

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// helloSize is how much of what a dialer sends first is searched for its name.
const helloSize = 4096

// relay passes TCP connections on to a target, but not those from cut callers:
// they stay open and nothing passes any more, in either direction.
type relay struct {
	l      net.Listener
	target string
	names  []string // callers told apart by what they send first

	mu    sync.Mutex
	conns map[*relayConn]bool
	cuts  map[string]bool // by caller; "" cuts all
}

type relayConn struct {
	caller   string
	in, out  net.Conn
	mu       sync.Mutex
	isSilent bool
}

func startRelay(t *testing.T, target string, names ...string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l: l, target: target, names: names, conns: map[*relayConn]bool{}, cuts: map[string]bool{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass relays one connection until an end closes it.
func (r *relay) pass(in net.Conn) {
	c := &relayConn{in: in}
	r.add(c)
	var first []byte
	if len(r.names) > 0 {
		first = make([]byte, helloSize)
		n := 0
		for c.caller == "" && n < helloSize {
			k, err := in.Read(first[n:])
			if err != nil {
				r.remove(c)
				return
			}
			n += k
			c.caller = r.callerIn(first[:n])
		}
		first = first[:n]
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		r.remove(c)
		return
	}
	c.mu.Lock()
	c.out = out
	c.mu.Unlock()
	r.check(c)
	if c.write(out, first) != nil {
		r.remove(c)
		return
	}
	go r.copy(c, in, out)
	r.copy(c, out, in)
}

func (r *relay) callerIn(b []byte) string {
	for _, n := range r.names {
		if bytes.Contains(b, []byte(n)) {
			return n
		}
	}
	return ""
}

func (r *relay) copy(c *relayConn, from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil || c.write(to, b[:n]) != nil {
			r.remove(c)
			return
		}
	}
}

func (c *relayConn) write(to io.Writer, b []byte) error {
	c.mu.Lock()
	silent := c.isSilent
	c.mu.Unlock()
	if silent {
		return nil
	}
	_, err := to.Write(b)
	return err
}

func (r *relay) add(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	c.isSilent = r.cuts[""]
}

// check silences the connection if its caller is cut.
func (r *relay) check(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cuts[""] || r.cuts[c.caller] {
		c.silence()
	}
}

func (c *relayConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = true
}

// remove closes both ends; a silent connection stays open, so that neither end
// is told.
func (r *relay) remove(c *relayConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSilent {
		return
	}
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.in.Close()
	if c.out != nil {
		_ = c.out.Close()
	}
}

// cut silences the connections of the callers, or of all, for good, and those
// that they open until it is healed. It returns how many were open.
func (r *relay) cut(callers ...string) int {
	silenced := 0
	if len(callers) == 0 {
		callers = []string{""}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range callers {
		r.cuts[name] = true
		for c := range r.conns {
			if name == "" || c.caller == name {
				c.silence()
				silenced++
			}
		}
	}
	return silenced
}

// heal lets new connections pass again; silent ones are closed.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	for c := range r.conns {
		c.mu.Lock()
		if c.isSilent {
			_ = c.in.Close()
			if c.out != nil {
				_ = c.out.Close()
			}
			delete(r.conns, c)
		}
		c.mu.Unlock()
	}
}

func (r *relay) close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.in.Close()
		if c.out != nil {
			_ = c.out.Close()
		}
	}
}

func TestRelay(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r := startRelay(t, l.Addr().String(), "anna", "bo")
	dial := func(name string) net.Conn {
		c, err := net.Dial("tcp", r.address())
		is.NoErr(err)
		_, err = c.Write([]byte(name))
		is.NoErr(err)
		return c
	}
	echoes := func(c net.Conn) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, _ := c.Read(make([]byte, 10))
		return n > 0
	}
	a, b := dial("anna"), dial("bo")
	is.True(echoes(a))
	is.True(echoes(b))
	for echoes(a) { // what is under way may still come
		r.cut("anna")
	}
	is.True(!echoes(a))
	is.True(echoes(b))
	is.True(!echoes(dial("anna")))
	r.heal()
	is.True(!echoes(a))
	is.True(echoes(dial("anna")))
	r.cut()
	is.True(!echoes(dial("bo")))
}
