package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// TestAnswerOfATargetThatFallsSilentIsAwaited guards against an answer that is given
// up as its sound target is silent for a while, though no other target can give it.
func TestAnswerOfATargetThatFallsSilentIsAwaited(t *testing.T) {
	cases := []struct {
		name    string
		targets int
		retries bool
		path    string
	}{
		{"stream, one target", 1, true, "/draft/1"},
		{"stream, no retry left", 3, false, "/draft/1"},
		{"whole answer, one target", 1, true, "/read/1"},
		{"whole answer, no retry left", 3, false, "/read/1"},
	}
	for _, c := range cases {
		for _, silence := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(c.name, ", ", silence), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, 10_000)
				h.timeout = 10 * time.Second
				h.declarePlan(2, 10_000)
				if !c.retries {
					h.settings.RetryRatio, h.settings.RetryExtra = 0, 0
				}
				for i := range c.targets {
					h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("llm", i), Service: "llm", Engine: true, EventCount: 3, Pause: silence})
					h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("desk", i), Service: "desk", BodyPause: true})
				}
				h.startWithVersions()
				r := h.call("POST", c.path, silence.String(), bbplatform.HeaderTokenUsage, "100,30", bbplatform.HeaderDeadline, "9000")
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusOK)
				if strings.HasPrefix(c.path, "/draft") {
					is.Equal(strings.Count(r.body, "id: "), 3)
				}
			})
		}
	}
}

// TestSilentTargetIsLeftForAnotherOne guards against a request that stays at a target
// that is silent for good though another one could answer it.
func TestSilentTargetIsLeftForAnotherOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 10_000)
	h.timeout = 10 * time.Second
	h.declarePlan(2, 10_000)
	silent := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	silent.SetFault(bbplatformstand.FaultNoResponse, -1)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "desk"})
	h.start()
	for range 6 {
		begin := time.Now()
		is.Equal(h.call("POST", "/read/1", "x", bbplatform.HeaderDeadline, "9000").status, http.StatusOK)
		is.True(time.Since(begin) < 2*time.Second)
	}
}

// TestRequestsThatLeaveSilentTargetsTogetherAreAnswered guards against a sound answer that
// is given up for another target, which the other requests that move make unusable.
func TestRequestsThatLeaveSilentTargetsTogetherAreAnswered(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 10_000)
	h.timeout = 10 * time.Second
	h.declarePlan(2, 10_000)
	for i := range 2 {
		h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("desk", i), Service: "desk", BodyPause: true, Slots: 64})
	}
	h.start()
	for round := range 5 {
		statuses := make([]int, 24)
		var wg sync.WaitGroup
		for i := range statuses {
			wg.Go(func() {
				conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, rawRequest("/read/1", fmt.Sprint("m", round, "-", i), "400ms"))
				statuses[i], _ = nextStatus(bufio.NewReader(conn))
			})
		}
		wg.Wait()
		for _, status := range statuses {
			is.Equal(status, http.StatusOK)
		}
		time.Sleep(1100 * time.Millisecond) // the targets may be used again
	}
}
