package bbproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// brokenPaths are a path of a route of each kind.
var brokenPaths = []string{"/read/1", "/book/1", "/draft/1", "/once/1"}

// answerWith returns the function of a target that reads a request and answers with a text, in
// which $own stands for the header lines of its own.
func answerWith(text string) func(net.Conn, *http.Request, string) {
	return func(c net.Conn, r *http.Request, own string) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "$own", own))
	}
}

// startAnswering starts a plain target and an engine that answer with a function.
func (h *harness) startAnswering(answer func(net.Conn, *http.Request, string)) []*bbplatformstand.Target {
	return []*bbplatformstand.Target{
		h.startTarget(bbplatformstand.TargetOptions{ID: "plain", Service: "desk", Answer: answer}),
		h.startTarget(bbplatformstand.TargetOptions{ID: "engine", Service: "llm", Answer: answer}),
	}
}

// requireBroken fails the test unless the client was told that its request may have run and
// has no answer, or got nothing.
func requireBroken(t *testing.T, name string, r clientResult) {
	t.Helper()
	if r.err != nil || r.status != http.StatusBadGateway || r.outcome != "unknown" || r.header.Get(bbplatform.HeaderSignature) != "" {
		t.Errorf("%s: status %d, outcome %q, %q, %v", name, r.status, r.outcome, r.body, r.err)
	}
}

// TestStatusOutOfRangeIsNoAnswer guards against an answer whose status is none of HTTP and
// that reaches a client, and against a "not run" that only such an answer states.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	const body = "event\n\n"
	forms := map[string]string{
		"length":                "HTTP/1.1 %s Broken\r\n$ownContent-Length: 7\r\n\r\n" + body,
		"no reason":             "HTTP/1.1 %s\r\n$ownContent-Length: 7\r\n\r\n" + body,
		"no length":             "HTTP/1.1 %s \r\n$own\r\n" + body,
		"chunks":                "HTTP/1.1 %s OK\r\n$ownTransfer-Encoding: chunked\r\n\r\n7\r\n" + body + "\r\n0\r\n\r\n",
		"behind a 103":          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 %s OK\r\n$ownContent-Length: 7\r\n\r\n" + body,
		"of an older version":   "HTTP/1.0 %s OK\r\n$own\r\n" + body,
		"a stream":              "HTTP/1.1 %s OK\r\n$ownContent-Type: text/event-stream\r\nContent-Length: 7\r\n\r\n" + body,
		"says that it's no run": "HTTP/1.1 %s Busy\r\n" + bbplatform.HeaderNotExecuted + ": 1\r\n$ownContent-Length: 7\r\n\r\n" + body,
	}
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for name, form := range forms {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, 1_000_000)
				targets := h.startAnswering(answerWith(fmt.Sprintf(form, status)))
				h.start()
				for _, path := range brokenPaths {
					requireBroken(t, path, h.call("POST", path, "body", bbplatform.HeaderTokenUsage, "10,60"))
				}
				if runs := runsByID(targets...); runs["attempt-2"] != 1 {
					t.Errorf("a request that may run once ran %d times", runs["attempt-2"])
				}
			})
		}
	}
}

// TestStatusOutOfRangeIsRetried guards against a request that may be repeated and fails
// although another target answers well.
func TestStatusOutOfRangeIsRetried(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		is := is.New(t)
		h := newHarness(t, 1_000_000)
		broken := h.startAnswering(answerWith("HTTP/1.1 " + status + " OK\r\n$ownContent-Length: 2\r\n\r\nno"))
		h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
		h.start()
		for range 10 {
			is.Equal(h.call("GET", "/read/1", "").status, http.StatusOK) // status
		}
		is.True(len(broken[0].Arrivals()) > 0)
	}
}

// TestStatusWithinRangeIsPassedOn guards against a sound answer that is taken for broken.
func TestStatusWithinRangeIsPassedOn(t *testing.T) {
	status := 0
	h := newHarness(t, 1_000_000)
	h.startAnswering(func(c net.Conn, r *http.Request, own string) {
		answerWith(fmt.Sprintf("HTTP/1.1 %d Fine\r\n$ownConnection: close\r\nContent-Length: 4\r\n\r\nbody", status))(c, r, own)
	})
	h.start()
	for _, status = range []int{200, 206, 299, 300, 404, 418, 499, 500, 599} {
		is := is.New(t)
		r := h.call("POST", "/book/1", "body")
		is.NoErr(r.err)
		is.Equal(r.status, status)
		is.Equal(r.body, "body")
	}
}

// brokenFields are lines of a head that are no fields, each with a name that holds what no name may.
var brokenFields = map[string]string{
	"blank inside":           "Bro ken: a\r\n",
	"blank before the colon": "Broken : a\r\n",
	"tab":                    "Bro\tken: a\r\n",
	"control byte":           "Bro\x01ken: a\r\n",
	"NUL":                    "Bro\x00ken: a\r\n",
	"DEL":                    "Bro\x7fken: a\r\n",
	"carriage return":        "Bro\rken: a\r\n",
	"byte over 0x7f":         "Bro\xffken: a\r\n",
	"folded line":            "Broken: a\r\n b\r\n",
	"empty name":             ": a\r\n",
	"no colon":               "Broken\r\n",
	"length":                 "Content-Length : 2\r\n",
}

// TestBrokenFieldIsNoAnswer guards against an answer that reaches a client with a line that is no
// field in its head, in that of an informational one or in its trailer.
func TestBrokenFieldIsNoAnswer(t *testing.T) {
	const body = "event\n\n"
	for field, line := range brokenFields {
		t.Run(field, func(t *testing.T) {
			t.Parallel()
			for _, text := range []string{
				"HTTP/1.1 200 OK\r\n" + line + "$ownContent-Length: 7\r\n\r\n" + body,
				"HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n$ownContent-Length: 7\r\n\r\n" + body,
				"HTTP/1.1 200 OK\r\n$ownTransfer-Encoding: chunked\r\n\r\n7\r\n" + body + "\r\n0\r\n" + line + "\r\n",
			} {
				h := newHarness(t, 1_000_000)
				h.startAnswering(answerWith(text))
				h.start()
				for _, path := range brokenPaths {
					r := h.call("POST", path, "body", bbplatform.HeaderTokenUsage, "10,60")
					if r.err != nil && (path == "/draft/1" || path == "/once/1") {
						continue // the stream broke off behind an event
					}
					requireBroken(t, path, r)
				}
				h.stop()
			}
		})
	}
}
