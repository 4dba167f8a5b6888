package bbproxy

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

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

const (
	// slowClientRate is how fast a client on a slow link reads, in bytes a second.
	slowClientRate = 600_000
	// slowClientTime is how long it waits.
	slowClientTime = 20 * time.Second
)

// slowReader reads at slowClientRate.
type slowReader struct{ io.Reader }

// Read reads, and waits for as long as a slow link takes.
func (r slowReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), 32<<10)])
	time.Sleep(time.Duration(n) * time.Second / slowClientRate)
	return n, err
}

// TestSlowClientGetsALargeAnswerWhole guards against a time limit that a large answer on
// a slow link can't keep.
func TestSlowClientGetsALargeAnswerWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 1000)
	h.timeout = slowClientTime
	h.declarePlan(2, 1000)
	h.settings.MemoryMB = 1024
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk", LargeBody: "large", LargeSize: 7 << 20})
	h.start()
	conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(64 << 10))
	begin := time.Now()
	_, err = fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: %s\r\n%s: slow\r\n%s: %s\r\n%s: %d\r\nContent-Length: 5\r\n\r\nlarge",
		testHost, bbplatform.HeaderAttemptID, bbplatform.HeaderAPIKey, testKey, bbplatform.HeaderDeadline, slowClientTime.Milliseconds())
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(slowReader{conn}), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	t.Logf("status %d, %d bytes after %s: %v", resp.StatusCode, len(body), time.Since(begin), err)
	is.NoErr(err)
	is.Equal(string(body), strings.Repeat("x", 7<<20))
}
