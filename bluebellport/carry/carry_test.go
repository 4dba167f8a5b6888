package bbcarry

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// carryTest is an asker, a carrying peer and a target in one process.
type carryTest struct {
	t      *testing.T
	server *Server
	begun  bool // whether a connection may be carried
	err    error
	target chan net.Conn // the target's ends of the connections
	mu     sync.Mutex
	open   int
}

func newCarryTest(t *testing.T) *carryTest {
	c := &carryTest{t: t, begun: true, target: make(chan net.Conn, 1)}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	c.server = NewServer(ServerConfig{
		Begin: func(string) bool {
			c.count(1)
			return c.begun
		},
		End: func() { c.count(-1) },
		Connect: func(string) (net.Conn, error) {
			if c.err != nil {
				return nil, c.err
			}
			near, err := net.Dial("tcp4", ln.Addr().String())
			if err == nil {
				far, _ := ln.Accept()
				c.target <- far
			}
			return near, err
		},
		Metrics: metrics.NewRegistry(),
	})
	return c
}

func (c *carryTest) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += n
}

// stream returns the asker's end of a stream that the peer serves, and the peer's.
func (c *carryTest) stream() (near, far net.Conn) {
	near, far = net.Pipe()
	go func() {
		c.server.Serve(far)
		_ = far.Close()
	}()
	return near, far
}

// dial opens a carried connection and returns the target's end, too.
func (c *carryTest) dial() (conn, target, peer net.Conn) {
	near, far := c.stream()
	conn, err := Dial(near, "10.0.0.1:80", time.Minute, time.Now().Add(time.Second))
	is.New(c.t).NoErr(err)
	return conn, <-c.target, far
}

// TestEndOfACarriedConnectionIsTold guards against an answer that broke off and is taken for
// whole, and against a peer's failure that is taken for the target's.
func TestEndOfACarriedConnectionIsTold(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(target, peer net.Conn)
		want error
	}{
		{"closed", func(target, _ net.Conn) { _ = target.Close() }, io.EOF},
		{"reset", func(target, _ net.Conn) {
			_ = target.(*net.TCPConn).SetLinger(0)
			_ = target.Close()
		}, ErrBroken},
		{"peer lost", func(_, peer net.Conn) { _ = peer.Close() }, ErrStreamLost},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			conn, target, peer := newCarryTest(t).dial()
			text := bytes.Repeat([]byte("answer "), 10_000)
			go func() { _, _ = target.Write(text) }()
			got := make([]byte, len(text))
			_, err := io.ReadFull(conn, got)
			is.NoErr(err)
			is.True(bytes.Equal(got, text))
			row.end(target, peer)
			_, err = conn.Read(got)
			is.True(errors.Is(err, row.want))
			_, err = conn.Read(got)
			is.True(err != nil)
		})
	}
}

// TestReadOfACarriedConnectionGoesOnAfterItsDeadline guards against bytes that are lost when
// a read ends in the middle of a frame.
func TestReadOfACarriedConnectionGoesOnAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	c := &conn{Conn: near}
	frames := []byte{0, 0, 0, 3, 'a', 'b', 'c', 0, 0, 0, 1, 'd', 0, 0, 0, 0}
	go func() {
		for _, b := range frames {
			time.Sleep(3 * time.Millisecond)
			_, _ = far.Write([]byte{b})
		}
	}()
	var got []byte
	timeouts := 0
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		b := make([]byte, 8)
		n, err := c.Read(b)
		got = append(got, b[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			timeouts++
			continue
		}
		if err != nil {
			is.Equal(err, io.EOF)
			break
		}
	}
	is.Equal(string(got), "abcd")
	is.True(timeouts > 0)
}

// TestAskerThatLeavesEndsTheTargetsWork guards against a target that works on for a caller
// that has left, and against a peer that counts the connection for ever.
func TestAskerThatLeavesEndsTheTargetsWork(t *testing.T) {
	is := is.New(t)
	c := newCarryTest(t)
	conn, target, _ := c.dial()
	_, err := conn.Write([]byte("request"))
	is.NoErr(err)
	got := make([]byte, 7)
	_, err = io.ReadFull(target, got)
	is.NoErr(err)
	is.Equal(string(got), "request")
	_ = conn.Close()
	_ = target.SetReadDeadline(time.Now().Add(time.Second))
	_, err = target.Read(got)
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	for end := time.Now().Add(time.Second); c.server.open.Load() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(c.server.open.Load(), int64(0))
}

// TestQuestionIsAnsweredAsItIs guards against a target that is taken for dead since a peer
// does not carry.
func TestQuestionIsAnsweredAsItIs(t *testing.T) {
	for _, row := range []struct {
		name  string
		begun bool
		err   error
		want  error
	}{
		{"the peer does not carry", false, nil, ErrBusy},
		{"nothing listens", true, syscall.ECONNREFUSED, syscall.ECONNREFUSED},
		{"no answer", true, context.DeadlineExceeded, ErrUnreachable},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCarryTest(t)
			c.begun, c.err = row.begun, row.err
			near, _ := c.stream()
			_, err := Dial(near, "10.0.0.1:80", time.Minute, time.Now().Add(time.Second))
			is.True(errors.Is(err, row.want))
		})
	}
	t.Run("the peer is silent", func(t *testing.T) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		_, err := Dial(near, "10.0.0.1:80", time.Minute, time.Now().Add(20*time.Millisecond))
		is.New(t).True(errors.Is(err, ErrStreamLost))
	})
}

// TestPeerCarriesNoMoreThanItsMost guards against a peer whose memory others use up.
func TestPeerCarriesNoMoreThanItsMost(t *testing.T) {
	is := is.New(t)
	c := newCarryTest(t)
	c.server.open.Store(maxCarried)
	near, _ := c.stream()
	_, err := Dial(near, "10.0.0.1:80", time.Minute, time.Now().Add(time.Second))
	is.True(errors.Is(err, ErrBusy))
	is.Equal(c.server.open.Load(), int64(maxCarried))
}
