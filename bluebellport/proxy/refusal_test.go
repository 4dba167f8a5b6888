package bbproxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// TestCallersRefusedTogetherComeBackApart guards against one Retry-After for all.
func TestCallersRefusedTogetherComeBackApart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 0)
	h.start()
	seen := map[string]bool{}
	for range 20 {
		seen[h.call("GET", "/read/1", "").header.Get("Retry-After")] = true // no target is known
	}
	is.True(len(seen) > 5)
	for _, random := range []float64{0, 0.5, 1} {
		is.Equal(spreadRetryAfter(0, random), time.Duration(0))
		is.True(spreadRetryAfter(time.Second, random) >= time.Second)
		is.True(spreadRetryAfter(maxRetryAfter, random) <= maxRetryAfter)
	}
}

// TestAnswerToHeadHasNoBody guards against bytes behind the head of an answer to HEAD,
// which belong to no answer.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1_000_000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "e", Service: "llm", Engine: true, EventCount: 3})
	h.start()
	for _, path := range []string{"/once/1", "/read/1", "/nowhere/1"} { // a stream, no target, no route
		c, err := net.Dial("tcp4", h.settings.FrontendAddress)
		is.NoErr(err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = fmt.Fprintf(c, "HEAD %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: head\r\nConnection: close\r\n\r\n", path, testHost, bbplatform.HeaderAPIKey, testKey, bbplatform.HeaderAttemptID)
		is.NoErr(err)
		answer, _ := io.ReadAll(c)
		is.True(strings.HasSuffix(string(answer), "\r\n\r\n")) // and nothing behind it
		is.Equal(strings.Count(string(answer), "\r\n\r\n"), 1)
		_ = c.Close()
	}
}
