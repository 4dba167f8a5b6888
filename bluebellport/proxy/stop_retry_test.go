package bbproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// TestRetryThatCannotEndBeforeAStopIsNotSent guards against a request that is sent
// to a second target late in a stop and cut there.
func TestRetryThatCannotEndBeforeAStopIsNotSent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.timeout = time.Minute
	h.declarePlan(2, 1000)
	h.settings.GracePeriod = 2 * time.Second
	play := stopPlay{path: "/read/1", deadline: 7 * time.Second, work: []time.Duration{time.Second}, warm: 2}
	var targets []*bbplatformstand.Target
	for _, id := range []string{"t1", "t2"} {
		targets = append(targets, h.startTarget(bbplatformstand.TargetOptions{ID: id, Service: "desk", BodyPause: true}))
	}
	h.start()
	h.warmUp(&play)
	begin := time.Now()
	h.stop()
	time.Sleep(time.Until(begin.Add(350 * time.Millisecond)))
	for _, target := range targets {
		target.SetFault(bbplatformstand.FaultReset, 1)
	}
	// It breaks off after 0.25 s, when the intake period is over.
	is.Equal(h.stopRequest(&play, &stopCall{id: "late"}, 240*time.Millisecond), stopCut)
	is.True(time.Since(begin) < 900*time.Millisecond) // at once
	runs := 0
	for _, target := range targets {
		for _, e := range target.Executions() {
			if e.AttemptID == "late" {
				runs++
			}
		}
	}
	is.Equal(runs, 1)
}

// TestRequestThatCrossesTheCloseIsAnsweredOrNotRead guards against a connection that
// is closed as idle although its request has just been read. Seed 1.
func TestRequestThatCrossesTheCloseIsAnsweredOrNotRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.settings.GracePeriod = 1600 * time.Millisecond // idle connections are closed after 0.8 s
	var targets []*bbplatformstand.Target
	for i := range stopTargets {
		targets = append(targets, h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprintf("t%d", i), Service: "desk", BodyPause: true}))
	}
	h.start()
	random := rand.New(rand.NewPCG(1, 1))
	calls := make([]*stopCall, 200)
	for i := range calls {
		conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
		is.NoErr(err)
		calls[i] = &stopCall{id: fmt.Sprintf("x%d", i), conn: conn, at: 790*time.Millisecond + time.Duration(random.IntN(20_000))*time.Microsecond}
	}
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	h.stop()
	play := stopPlay{path: "/book/1", deadline: 300 * time.Millisecond}
	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(c.at)))
			c.outcome = h.stopRequest(&play, c, time.Millisecond)
		})
	}
	wg.Wait()
	for _, target := range targets {
		for _, e := range target.Executions() {
			for _, c := range calls {
				if c.id == e.AttemptID {
					is.True(c.outcome == stopServed || c.outcome == stopLate) // what ran is answered
				}
			}
		}
	}
	t.Log(countCalls(calls, 0, time.Second))
}

// TestStreamThatEndsWithAStopLooksIncomplete guards against a stream that looks
// complete, or is left open, as the instance stops.
func TestStreamThatEndsWithAStopLooksIncomplete(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	h.timeout = time.Minute
	h.declarePlan(2, 100_000)
	h.settings.GracePeriod = time.Second
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 1000, Pause: 20 * time.Millisecond})
	h.start()
	got := make(chan clientResult, 1)
	go func() {
		got <- h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200", bbplatform.HeaderDeadline, "30000")
	}()
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	h.stop()
	r := <-got
	is.True(time.Since(begin) < h.settings.GracePeriod)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.err, io.ErrUnexpectedEOF)
	is.NoErr(<-h.serveErr)
	h.serveErr <- nil
	row, err := h.mem.Get(t.Context(), sharesPrefix+"a")
	is.NoErr(err)
	is.True(len(row.Value) > 0)
}
