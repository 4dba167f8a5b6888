package bbhead

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbend"
)

// TestEndOfAResponseIsConfirmed guards against a part of a response that is taken for whole, as
// its connection broke while the request was on its way, and against other ends that are changed.
func TestEndOfAResponseIsConfirmed(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nbody"
	for _, row := range []struct {
		name     string
		response string
		end      func(far *net.TCPConn)
		want     error
	}{
		{"end, and a reset", response, func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = far.Close()
		}, bbend.ErrBroken},
		{"end, and the request is read", response, func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, far)
		}, nil},
		{"end without a response", "", func(far *net.TCPConn) { _ = far.CloseWrite() }, nil},
		{"end, and the request is not read", response, func(far *net.TCPConn) { _ = far.CloseWrite() }, errTimeout},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			near, err := Dial(ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = near.Close() }()
			far, err := ln.Accept()
			is.NoErr(err)
			defer func() { _ = far.Close() }()
			_, err = near.Write(make([]byte, 900_000))
			is.NoErr(err)
			_, err = io.WriteString(far, row.response)
			is.NoErr(err)
			go row.end(far.(*net.TCPConn))
			is.NoErr(near.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
			got, err := io.ReadAll(near)
			is.Equal(string(got), row.response)
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				err = errTimeout
			}
			is.True(err == row.want || errors.Is(err, row.want))
		})
	}
}

// errTimeout stands for an error at a deadline.
const errTimeout = errors.ConstError("timeout")
