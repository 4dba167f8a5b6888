package bbproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// TestEarlyAnswerThatBreaksOffIsNotWhole guards against a part of an answer that reaches a client
// as the whole one: the target answers without a length while the request is written to it, and
// breaks off.
func TestEarlyAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	forEachEarly(earlyUploads[1:], func(way string, carried bool, upload int) {
		for name, breaking := range breakings {
			if upload < breaking.least {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d bytes, %s", name, upload, way), func(t *testing.T) {
				t.Parallel()
				h, start := newEarlyHarness(t, breaking.dial(), carried)
				targets := h.startAnswering(breakOff(breaking.play))
				start()
				for i := range earlyTries * len(brokenPaths) {
					path := brokenPaths[i%len(brokenPaths)]
					r := h.callEarly(path, upload)
					ran := runsByID(targets...)[fmt.Sprintf("attempt-%d", h.calls)]
					switch {
					case r.err == nil && r.status == http.StatusOK:
						t.Errorf("%s: told as whole: %q", path, r.body)
					case r.err == nil && (r.outcome == "not-run") != (ran == 0):
						t.Errorf("%s: told %q, ran %d times", path, r.body, ran)
					case path == "/book/1" && ran > 1:
						t.Errorf("ran %d times", ran)
					}
				}
				h.requireCarried(carried)
			})
		}
	})
}

// TestEarlyAnswerThatEndsIsWhole guards against a sound answer that is taken for broken: the
// target ends its side of the connection, and reads the request to its end, soon or slowly, or
// has read it before.
func TestEarlyAnswerThatEndsIsWhole(t *testing.T) {
	answers := map[string]func(net.Conn, *http.Request, string){
		"ends, then reads": func(c net.Conn, r *http.Request, own string) {
			_, _ = fmt.Fprintf(c, earlyHead+earlyEvent, own)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"ends, then reads late": func(c net.Conn, r *http.Request, own string) {
			_, _ = fmt.Fprintf(c, earlyHead+earlyEvent, own)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"reads, then ends": func(c net.Conn, r *http.Request, own string) {
			_, _ = fmt.Fprintf(c, earlyHead, own)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, earlyEvent)
		},
		"has a length, then breaks off": func(c net.Conn, _ *http.Request, own string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", own, len(earlyEvent), earlyEvent)
			time.Sleep(earlyPause)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	forEachEarly(earlyUploads, func(way string, carried bool, upload int) {
		for name, answer := range answers {
			t.Run(fmt.Sprintf("%s, %d bytes, %s", name, upload, way), func(t *testing.T) {
				t.Parallel()
				h, start := newEarlyHarness(t, dialTCP, carried)
				h.startAnswering(answer)
				start()
				for _, path := range brokenPaths {
					if r := h.callEarly(path, upload); r.err != nil || r.status != http.StatusOK || r.body != earlyEvent {
						t.Errorf("%s: status %d, %q, %v", path, r.status, r.body, r.err)
					}
				}
				h.requireCarried(carried)
			})
		}
	})
}

// TestEarlyAnswerThatBreaksOffIsTriedAgain guards against a request that may be repeated, or a
// stream that may be resumed, and that ends where its first answer broke off.
func TestEarlyAnswerThatBreaksOffIsTriedAgain(t *testing.T) {
	goOn := func(c net.Conn, r *http.Request, own string) {
		text := "id: 2\ndata: last\n\n"
		if r.Header.Get(bbplatform.HeaderLastEventID) == "" {
			text = earlyEvent + text
		}
		answerWith(fmt.Sprintf("HTTP/1.1 200 OK\r\n$ownConnection: close\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(text), text))(c, r, own)
	}
	forEachEarly(earlyUploads[1:], func(way string, carried bool, upload int) {
		for name, breaking := range breakings {
			if (upload < earlyUploads[2]) != breaking.paced {
				continue
			}
			t.Run(name+", "+way, func(t *testing.T) {
				is := is.New(t)
				h, start := newEarlyHarness(t, breaking.dial(), carried)
				broken := h.startAnswering(breakOff(breaking.play))
				h.startTarget(bbplatformstand.TargetOptions{ID: "e1", Service: "llm", Answer: goOn})
				h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk", Answer: goOn})
				start()
				for i, path := range []string{"/read/1", "/draft/1"} {
					for tries := 0; len(broken[i].Arrivals()) == 0; tries++ {
						is.True(tries < 100) // the target is not used
						r := h.callEarly(path, upload)
						is.NoErr(r.err)
						is.Equal(r.status, http.StatusOK) // path
						is.Equal(r.body, earlyEvent+"id: 2\ndata: last\n\n")
					}
				}
			})
		}
	})
}
