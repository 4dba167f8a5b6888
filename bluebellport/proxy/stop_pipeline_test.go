package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	bbplatformstand "bluebellport.example/platform/stand"
)

// TestRequestBehindAResponseThatKeepsTheConnectionIsAnswered guards against a
// request that is dropped as a stop begins during the response before it.
func TestRequestBehindAResponseThatKeepsTheConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5, Pause: 100 * time.Millisecond})
	h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "desk"})
	h.start()
	conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	send := func(id, path string) {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: "+testHost+"\r\nAttempt-Id: %s\r\nCredential: "+testKey+"\r\nToken-Usage: 100,50\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nx", path, id)
		is.NoErr(err)
	}
	br := bufio.NewReader(conn)
	send("first", "/once/1")
	first, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.True(!first.Close) // it promised to keep the connection
	send("second", "/book/1")
	time.Sleep(50 * time.Millisecond)
	h.stop()
	_, err = io.ReadAll(first.Body)
	is.NoErr(err)
	second, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.ReadAll(second.Body)
	is.NoErr(err)
	is.Equal(second.Header.Get("Attempt-Id"), "second")
	is.True(second.Close)
}
