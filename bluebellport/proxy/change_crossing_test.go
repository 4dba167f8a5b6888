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

// TestRequestThatCrossesAnIdleCloseIsNotRead guards against a request that is read and gets
// no answer, as its connection was closed while it was on its way.
func TestRequestThatCrossesAnIdleCloseIsNotRead(t *testing.T) {
	cases := []struct {
		name     string
		requests int // served on the connection before
		stop     bool
	}{
		{"idle timeout", 1, false},
		{"idle timeout, nothing sent yet", 0, false},
		{"stop", 2, true},
		{"stop, nothing sent yet", 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 1000)
			if !c.stop {
				h.shortenIdleTimeout()
			}
			target := h.startTarget(testTarget)
			h.start()
			conn := h.sendPart("")
			br := bufio.NewReader(conn)
			for i := range c.requests {
				_, err := io.WriteString(conn, rawRequest("/book/1", fmt.Sprint("before-", i), "body"))
				is.NoErr(err)
				status, err := nextStatus(br)
				is.NoErr(err)
				is.Equal(status, 200)
			}
			if c.stop {
				h.stop()
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := br.ReadByte()
			is.Equal(err, io.EOF) // the connection is closed
			crossing := rawRequest("/book/1", "crossing", "body")
			_, _ = io.WriteString(conn, crossing)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(conn, crossing)
			is.True(err != nil) // the client learns at once that nobody reads it
			is.True(!ranAt([]*bbplatformstand.Target{target}, "crossing"))
		})
	}
}

// TestRequestWhoseClientLeftHasALogLine guards against a request that ends without an answer
// and without a trace of who ended it.
func TestRequestWhoseClientLeftHasALogLine(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk", BodyPause: true})
	h.start()
	conn := h.sendPart(rawRequest("/book/1", "left", "1s"))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(conn.Close())
	h.eventually("a line", func() bool { return strings.Contains(h.logs.String(), `"msg":"client left"`) })
	is.True(strings.Contains(h.logs.String(), `"read":"EOF","request":"left"`))
}

// TestRequestThatCrossesAnIdleCloseLeavesTheAnswerBeforeItWhole guards against an answer
// that its client has not read whole and that is lost with a connection closed as idle.
func TestRequestThatCrossesAnIdleCloseLeavesTheAnswerBeforeItWhole(t *testing.T) {
	const size = 96 << 10
	for _, buffer := range []int{4 << 10, 16 << 10} { // the first takes over closeReadTimeout to read
		is := is.New(t)
		h := newHarness(t, 1000)
		h.shortenIdleTimeout()
		h.startCutTarget("desk", "t1").set(func(*http.Request) cutAnswer {
			return cutAnswer{text: fmt.Sprintf("%s%s%sContent-Length: %d\r\n\r\n%s", cutOK, cutID, cutSign, size, strings.Repeat("x", size))}
		})
		h.start()
		conn := h.sendPart("").(*net.TCPConn)
		is.NoErr(conn.SetReadBuffer(buffer))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := io.WriteString(conn, rawRequest("/book/1", "slow", "body"))
		is.NoErr(err)
		time.Sleep(500 * time.Millisecond)
		_, err = io.WriteString(conn, rawRequest("/book/1", "crossing", "body"))
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
		begin := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, resp.Body)
		t.Log(buffer, n, time.Since(begin))
		is.NoErr(err)
		is.Equal(n, int64(size))
	}
}

// shortenIdleTimeout lets the plan close connections that are idle for 300 ms.
func (h *harness) shortenIdleTimeout() {
	is := is.New(h.t)
	entry, err := h.mem.Get(h.t.Context(), bbplatform.KeyPlan)
	is.NoErr(err)
	text := strings.Replace(string(entry.Value), `"idle-timeout-ms":5000`, `"idle-timeout-ms":300`, 1)
	_, err = h.mem.CAS(h.t.Context(), bbplatform.KeyPlan, []byte(strings.Replace(text, `"version":1`, `"version":2`, 1)), entry.Rev, 0)
	is.NoErr(err)
}
