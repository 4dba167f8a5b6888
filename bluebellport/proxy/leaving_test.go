package bbproxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// callFor sends requests for a while, one after the other, to a route of each
// kind that the plain service has.
func (h *harness) callFor(duration time.Duration, status int) {
	h.t.Helper()
	for began := time.Now(); time.Since(began) < duration; {
		for _, path := range []string{"/read/1", "/book/1"} {
			if got := h.call("POST", path, "x"); got.status != status {
				h.t.Fatalf("%s: status %d %s, want %d", path, got.status, got.body, status)
			}
		}
	}
}

// callUntilReached sends requests until one has reached a target.
func (h *harness) callUntilReached(target *bbplatformstand.Target) {
	h.t.Helper()
	for i := 0; len(target.Arrivals()) == 0; i++ {
		if i == 1000 {
			h.t.Fatal("no request reaches the target")
		}
		h.call("GET", "/read/1", "")
	}
}

// TestTargetThatSaysItLeavesGetsNoMoreRequests guards against requests that reach
// a target after it has said in an answer that it leaves.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	h := newHarness(t, 0)
	leaving := h.startTarget(testTarget)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "desk"})
	leaving.SetLeaving("1")
	h.start()
	h.callUntilReached(leaving)
	h.callFor(2500*time.Millisecond, http.StatusOK)
	if later := len(leaving.Arrivals()) - 1; later > 0 {
		t.Errorf("%d requests reached it after the first answer", later)
	}
}

// TestAllTargetsLeavingIsRefusedAtOnce guards against callers that are held while
// nobody can serve them, and against a new run that is taken for one that leaves.
func TestAllTargetsLeavingIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 0)
	leaving := h.startTarget(testTarget)
	leaving.SetLeaving("1")
	h.start()
	is.Equal(h.call("POST", "/book/1", "x").status, http.StatusOK) // its answer is passed on
	for _, path := range []string{"/read/1", "/book/1"} {
		began := time.Now()
		got := h.call("POST", path, "x")
		is.True(time.Since(began) < 200*time.Millisecond)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.outcome, "not-run")
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(len(leaving.Arrivals()), 1)
	h.startTarget(testTarget) // started later, at another address
	h.eventually("the new run is used", func() bool { return h.call("GET", "/read/1", "").status == http.StatusOK })
}

// TestAnswerOfALeavingTargetArrivesWhole guards against streams that are cut as
// their target says that it leaves.
func TestAnswerOfALeavingTargetArrivesWhole(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	leaving := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 20, Pause: 20 * time.Millisecond})
	leaving.SetLeaving("1")
	h.start()
	got := h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(strings.Count(got.body, "data:"), 20)
}

// TestTargetThatLeavesByAPeersWordGetsNoRequest guards against requests that reach
// a target that has told another instance that it leaves, also if they were
// waiting for it as the news came.
func TestTargetThatLeavesByAPeersWordGetsNoRequest(t *testing.T) {
	is := is.New(t)
	network := &fakeNetwork{peers: map[bbunit.InstanceID]*fakePeer{}}
	h := newHarness(t, 0)
	h.peers = network.newPeer("i1", "uppsala")
	leaving := h.limitedTargets("1", "t1")[0]
	entry, err := bbplatform.ParseTarget(leaving.Entry("ready"))
	is.NoErr(err)
	h.startWarm()
	is.Equal(h.call("GET", "/read/1", "").status, http.StatusOK)
	wait := h.callAtOnce(4)
	msg := &bbwire.Leavings{Entries: []*bbwire.Leaving{{Target: string(entry.ID), Born: entry.StartedAtMillis}}}
	_, err = network.newPeer("i2", "orebro").deliver(t.Context(), "i1", &bbwire.Envelope{Body: &bbwire.Envelope_Leavings{Leavings: msg}})
	is.NoErr(err)
	known := time.Now()
	wait()
	is.Equal(h.call("GET", "/read/1", "").status, http.StatusServiceUnavailable)
	for _, at := range leaving.Arrivals() {
		is.True(at.Before(known.Add(100 * time.Millisecond)))
	}
}

// TestRetriesAndResumedStreamsReachNoTargetThatLeaves guards against attempts
// other than the first that reach a target that leaves or wants no requests.
func TestRetriesAndResumedStreamsReachNoTargetThatLeaves(t *testing.T) {
	for name, withdraw := range map[string]func(target *bbplatformstand.Target){
		"leaves": func(target *bbplatformstand.Target) { target.SetLeaving("1") },
		"pauses": func(target *bbplatformstand.Target) {
			target.SetFault(bbplatformstand.FaultNotExecuted, -1)
			target.SetRetryAfter("30")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 100_000)
			withdrawn := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 4})
			withdraw(withdrawn)
			h.start()
			draft := func() clientResult { return h.call("POST", "/draft/1", "prompt", bbplatform.HeaderTokenUsage, "10,40") }
			draft()
			is.Equal(len(withdrawn.Arrivals()), 1)
			broken := h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "llm", Engine: true, EventCount: 4})
			broken.SetFault(bbplatformstand.FaultTruncated, -1)
			h.eventually("the broken target is used", func() bool {
				draft()
				return len(broken.Arrivals()) > 0
			})
			time.Sleep(1100 * time.Millisecond) // an open circuit lets a trial request through then
			draft()
			is.True(len(broken.Arrivals()) > 1)
			is.Equal(len(withdrawn.Arrivals()), 1)
		})
	}
}
