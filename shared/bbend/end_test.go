package bbend

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// dialPair returns both ends of a connection.
func dialPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	dialed, err := net.Dial("tcp4", ln.Addr().String())
	is.NoErr(err)
	accepted, err := ln.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// moreThanBuffers is how much of a request the buffers of the system do not hold, in bytes.
const moreThanBuffers = 24 << 20

// TestEndIsNotConfirmedWhileMoreIsWritten guards against an end that is believed between two parts
// of a request.
func TestEndIsNotConfirmedWhileMoreIsWritten(t *testing.T) {
	is := is.New(t)
	near, far := dialPair(t)
	_ = far.CloseWrite()
	written := make(chan struct{})
	_, err := near.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(errors.Is(Confirm(near, written, time.Now().Add(20*time.Millisecond)), os.ErrDeadlineExceeded))
	close(written)
	is.NoErr(Confirm(near, written, time.Now().Add(20*time.Millisecond)))
}

// fillBuffers writes more than the buffers hold, which goes on.
func fillBuffers(c net.Conn) {
	go func() { _, _ = c.Write(make([]byte, moreThanBuffers)) }()
	time.Sleep(100 * time.Millisecond)
}

// TestEndIsConfirmed guards against an end that is believed though the connection failed, and
// against one of a peer that closed its side and is not.
func TestEndIsConfirmed(t *testing.T) {
	for _, row := range []struct {
		name string
		// play writes to near, and ends far.
		play func(near, far *net.TCPConn)
		want error
	}{
		{"closed", func(_, far *net.TCPConn) { _ = far.Close() }, nil},
		{"closed after a request", func(near, far *net.TCPConn) {
			_, _ = near.Write([]byte("request"))
			_, _ = io.ReadFull(far, make([]byte, 7))
			_ = far.Close()
		}, nil},
		{"half closed, and reads on", func(near, far *net.TCPConn) {
			_ = far.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = near.Write(make([]byte, moreThanBuffers))
		}, nil},
		{"half closed, and reads late", func(near, far *net.TCPConn) {
			_ = far.CloseWrite()
			_, _ = near.Write(make([]byte, 1<<20))
			go func() {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.Copy(io.Discard, far)
			}()
		}, nil},
		{"closed, then written to", func(near, far *net.TCPConn) {
			_ = far.Close()
			time.Sleep(10 * time.Millisecond)
			_, _ = near.Write([]byte("request"))
			time.Sleep(10 * time.Millisecond)
		}, ErrBroken},
		{"reset, as a write is told", func(near, far *net.TCPConn) {
			time.AfterFunc(20*time.Millisecond, func() {
				_ = far.SetLinger(0)
				_ = far.Close()
			})
			_, _ = near.Write(make([]byte, moreThanBuffers))
		}, ErrBroken},
		{"half closed, and reset after it", func(near, far *net.TCPConn) {
			_ = far.CloseWrite()
			fillBuffers(near)
			time.AfterFunc(20*time.Millisecond, func() { _ = far.Close() })
		}, ErrBroken},
		{"closed here", func(near, far *net.TCPConn) {
			_ = far.Close()
			_ = near.Close()
		}, ErrBroken},
		{"never read", func(near, far *net.TCPConn) {
			_ = far.CloseWrite()
			fillBuffers(near)
		}, os.ErrDeadlineExceeded},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			near, far := dialPair(t)
			row.play(near, far)
			if row.name != "closed here" {
				_, err := near.Read(make([]byte, 1))
				is.Equal(err, io.EOF) // whatever happened
			}
			err := Confirm(near, nil, time.Now().Add(400*time.Millisecond))
			if !errors.Is(err, row.want) && (err != nil || row.want != nil) {
				t.Errorf("the end is told as %v", err)
			}
		})
	}
}
