package bbproxy

import (
	"bufio"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// overdueConn is a connection whose deadline and bytes have both come while the
// process stood still: the first read tells of the deadline.
type overdueConn struct {
	net.Conn
	read atomic.Bool
}

func (c *overdueConn) Read(b []byte) (int, error) {
	if !c.read.Swap(true) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// TestRequestThatCameBeforeItsIdleConnectionWasClosedIsRead guards against a request
// that is thrown away unread with a connection that is closed as idle.
func TestRequestThatCameBeforeItsIdleConnectionWasClosedIsRead(t *testing.T) {
	for _, sends := range []bool{true, false} {
		is := is.New(t)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		client, err := net.Dial("tcp4", ln.Addr().String())
		is.NoErr(err)
		server, err := ln.Accept()
		is.NoErr(err)
		if sends {
			_, err = client.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			is.NoErr(err)
		}
		p := &Proxy{board: &Board{}}
		p.closing.Store(true)
		late := &overdueConn{Conn: server}
		c := &clientConn{Conn: late, socket: server, br: bufio.NewReader(late), proxy: p}
		is.Equal(c.awaitRequest(), sends)
		_, _, _ = ln.Close(), client.Close(), server.Close()
	}
}
