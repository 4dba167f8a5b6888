package bbproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
