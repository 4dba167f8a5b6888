package bbproxy

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	bbplatformstand "bluebellport.example/platform/stand"
)

var (
	lateRates = flag.Bool("late-rates", false, "play late answers at all rates, numbers of connections and shedding")
	lateKind  = flag.Int("late-kind", int(bbplatformstand.LateBusy), "kind of the late answers")
)

// lateRate is one play of late answers.
type lateRate struct {
	conns      int // callers, each with one request at a time
	rate, shed float64
	noID       bool
}

// lateCounts is what the callers were told, compared with what ran.
type lateCounts struct {
	requests, served, sent, late, conns int
	falseRefusals                       int // told not run, and ran
	trueRefusals                        int // told not run by a target, or at once
	falseUnknowns                       int // told unknown, and no target ran it
	steadyFalseUnknowns                 int // of these, not as the shedding began
	ranTwice                            int // may run once, and ran more often
	unknowns                            int // told unknown, and ran
}

// playLate sends requests from several callers to targets that answer late, and
// that begin to refuse requests after a quarter of the time.
func playLate(t *testing.T, play lateRate, within time.Duration) lateCounts {
	h := newHarness(t, 0)
	var targets []*bbplatformstand.Target
	for i := range play.conns/4 + 2 {
		target := h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("t", i), Service: "desk", Pause: time.Millisecond})
		targets = append(targets, target)
	}
	setShed := func(shed float64) {
		for i, target := range targets {
			target.SetLate(bbplatformstand.LateOptions{Kind: bbplatformstand.LateKind(*lateKind), Rate: play.rate, Shed: shed, NoID: play.noID, Seed: uint64(i)})
		}
	}
	setShed(0)
	h.start()
	statuses, steady, once := make([]map[string]int, play.conns), make([]map[string]bool, play.conns), make([]map[string]bool, play.conns)
	transport := &http.Transport{MaxIdleConnsPerHost: play.conns}
	defer transport.CloseIdleConnections()
	end := time.Now().Add(within)
	shedding := time.AfterFunc(within/4, func() { setShed(play.shed) })
	defer shedding.Stop()
	var wg sync.WaitGroup
	for caller := range play.conns {
		statuses[caller], steady[caller], once[caller] = map[string]int{}, map[string]bool{}, map[string]bool{}
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("c%d-%d", caller, i)
				steady[caller][id] = time.Until(end) < within*3/4-sheddingOnset
				once[caller][id] = i%2 == 0
				status := h.callOver(transport, []string{"/book/1", "/read/1"}[i%2], id).status
				statuses[caller][id] = status
				if status == http.StatusServiceUnavailable {
					time.Sleep(unprovenBackoff)
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(20 * time.Millisecond) // what was refused may still run
	runs := runsByID(targets...)
	counts := lateCounts{}
	for _, target := range targets {
		counts.late += target.LateAnswers()
		counts.sent += len(target.Arrivals())
		counts.conns += target.AcceptedConns()
	}
	for caller, byID := range statuses {
		for id, status := range byID {
			counts.add(status, runs[id] > 0)
			if runs[id] > 1 && once[caller][id] {
				counts.ranTwice++
			}
			if steady[caller][id] && status != http.StatusOK && status != http.StatusServiceUnavailable && runs[id] == 0 {
				counts.steadyFalseUnknowns++
			}
		}
	}
	return counts
}

// add counts one request.
func (c *lateCounts) add(status int, ran bool) {
	c.requests++
	switch {
	case status == http.StatusOK:
		c.served++
	case status == http.StatusServiceUnavailable && ran:
		c.falseRefusals++
	case status == http.StatusServiceUnavailable:
		c.trueRefusals++
	case ran:
		c.unknowns++
	default:
		c.falseUnknowns++
	}
}

// sheddingOnset is how long after targets begin to shed requests may still be sent
// on used connections.
const sheddingOnset = 300 * time.Millisecond

// maxFalseUnknowns is how many requests of 10,000 may be told unknown though no
// target ran them.
const maxFalseUnknowns = 5

// TestLateAnswersUnderLoad guards against false promises, and against true
// refusals that are told unknown, over many connections and under shedding.
func TestLateAnswersUnderLoad(t *testing.T) {
	plays := []lateRate{{30, 0.5, 0.3, false}, {5, 0.5, 0.3, true}, {5, 0, 0.8, true}}
	if *lateRates {
		plays = nil
		for _, noID := range []bool{false, true} {
			for _, shed := range []float64{0, 0.3, 0.8} {
				for _, conns := range []int{1, 10, 100, 300} {
					for _, rate := range []float64{0, 0.01, 0.1, 0.5, 1} {
						plays = append(plays, lateRate{conns, rate, shed, noID})
					}
				}
			}
		}
	}
	for _, play := range plays {
		t.Run(fmt.Sprintf("%+v", play), func(t *testing.T) {
			is := is.New(t)
			c := playLate(t, play, 2*time.Second)
			t.Logf("%+v %+v", play, c)
			is.Equal(c.falseRefusals, 0)
			is.Equal(c.steadyFalseUnknowns, 0)
			is.Equal(c.ranTwice, 0)
			is.True(c.falseUnknowns*10_000 <= maxFalseUnknowns*max(c.requests, 10_000)) // a handful of 10,000
		})
	}
}
