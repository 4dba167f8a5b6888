package bbproxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// heldAhead returns what the holders of the account have at hand by its row, and
// what is left of it in all.
func (h *harness) heldAhead(paid bbunit.Tokens) (held, left bbunit.Tokens) {
	h.t.Helper()
	is := is.New(h.t)
	entry, err := h.mem.Get(h.t.Context(), sharesPrefix+"a")
	is.NoErr(err)
	row, err := bbshare.ParseRow(entry.Value)
	is.NoErr(err)
	held = row.UnspentByOthers("")
	return held, paid - row.TotalGranted() + held
}

// TestRequestLargerThanTheBalanceDrawsNothing guards against a whole budget that is
// lost with one kill: requests that are refused have drawn it into a share.
func TestRequestLargerThanTheBalanceDrawsNothing(t *testing.T) {
	const paid = 100_000
	for _, c := range []struct {
		name  string
		usage string
		tries int
	}{
		{"more than was paid", "100,100000", 60},
		{"a little more than was paid", "100,99910", 60},
		{"a little more than is left", "100,99500", 60},
		{"much more than was paid, once", "100,1000000", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, paid)
			h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5})
			h.start()
			small := func() int {
				return h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "500,200").status
			}
			is.Equal(small(), http.StatusOK)
			begin := time.Now()
			for range c.tries {
				is.Equal(h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, c.usage).status, http.StatusPaymentRequired)
			}
			is.True(time.Since(begin) < time.Duration(c.tries)*100*time.Millisecond) // at once
			held, left := h.heldAhead(paid)
			is.True(held <= left/4)
			is.Equal(small(), http.StatusOK)
		})
	}
}

// TestWhatALargeRequestDidNotUseIsGivenBack guards against a large part of a budget
// that stays in one share after a request that used little of it.
func TestWhatALargeRequestDidNotUseIsGivenBack(t *testing.T) {
	is := is.New(t)
	const paid = 100_000
	h := newHarness(t, paid)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5})
	h.start()
	is.Equal(h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "500,80000").status, http.StatusOK)
	h.eventually("the rest is given back", func() bool {
		held, left := h.heldAhead(paid)
		return left > paid*9/10 && held <= left*5/16
	})
}
