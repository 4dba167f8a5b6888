package bbport

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

// slowCloseConn is a connection that takes a while to close, as when the
// process does not get the CPU.
type slowCloseConn struct{ net.Conn }

const slowCloseDelay = 400 * time.Millisecond

func (c slowCloseConn) Close() error {
	time.Sleep(slowCloseDelay)
	return c.Conn.Close()
}

// testCPUTime returns the CPU time that this process has used.
func testCPUTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	is.New(t).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestReaderBlocksWhileSessionCloses guards against a reader that spins while
// its session is being closed, and so takes the CPU from the goroutine that
// closes it.
func TestReaderBlocksWhileSessionCloses(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	closing, err := startMux(slowCloseConn{a}, true, io.Discard)
	is.NoErr(err)
	peer, err := startMux(b, false, io.Discard)
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	_, err = openStream(peer, envelopeStreamKind)
	is.NoErr(err)
	in, err := acceptStream(t.Context(), closing)
	is.NoErr(err)
	_, err = readStreamKind(in)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func(in *yamux.Stream) {
		_, err := in.Read(make([]byte, 1))
		ended <- err
	}(in)
	time.Sleep(20 * time.Millisecond) // until the reader blocks
	before := testCPUTime(t)
	_ = closing.Close()
	is.True(<-ended != nil)
	cpuUsed := testCPUTime(t) - before
	t.Log("CPU time:", cpuUsed)
	is.True(cpuUsed < slowCloseDelay/2)
}
