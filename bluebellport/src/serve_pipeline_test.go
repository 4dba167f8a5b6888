package bbport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestBehindAnotherIsAnsweredAsAnInstanceLeaves guards against a request that was
// read behind another one, and is dropped as the answer to that one closes the connection.
func TestRequestBehindAnotherIsAnsweredAsAnInstanceLeaves(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, workingTarget(300*time.Millisecond))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	text := fmt.Sprintf("POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", testKey)
	_, err = io.WriteString(conn, text+text)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	f.deps.Board.Leaving.Store(true)
	br := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
}
