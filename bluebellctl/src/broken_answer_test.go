package bbctl

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// startBrokenAdmin starts an instance that answers each request on its address for operators
// with a status and a body, and returns the address.
func startBrokenAdmin(t *testing.T, status, body string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// TestStatusOutOfRangeIsNoSuccess guards against an instance's answer whose status is none of
// HTTP and that an operator is shown as a success.
func TestStatusOutOfRangeIsNoSuccess(t *testing.T) {
	for status, want := range map[string]int{"200": 0, "000": 1, "001": 1, "600": 1} {
		is := is.New(t)
		f := newCLIFixture(t)
		code, _, _ := f.run("--admin", startBrokenAdmin(t, status, `{"instance":"i1"}`), "status")
		is.Equal(code, want) // status
		code, _, stderr := f.run("--admin", startBrokenAdmin(t, status, `{"fence":7}`), "order", "t", "load")
		t.Log(stderr)
		is.Equal(code, want) // order
	}
}
