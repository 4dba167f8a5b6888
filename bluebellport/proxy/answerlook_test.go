package bbproxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbunit"
)

// crashParts names a part that crashes targets and one of the request alone.
var crashParts = []string{bbplatform.HeaderPromptParts, "c:10,own:10", bbplatform.HeaderTokenUsage, "20,100"}

// Guards against taking an answer without length and chunks for whole although its
// target crashed, which ends such an answer like its end.
func TestUnframedAnswersOfCrashedTargetsAreEvidence(t *testing.T) {
	for _, c := range []struct {
		name, path string
		options    bbplatformstand.TargetOptions
	}{
		{"plain", "/book/1", bbplatformstand.TargetOptions{Service: "desk"}},
		{"stream", "/once/1", bbplatformstand.TargetOptions{Service: "llm", Engine: true, EventCount: 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 100_000)
			c.options.Unframed, c.options.CrashByClose, c.options.CrashParts = true, true, []string{"c"}
			targets := h.startCrashTargets(c.options)
			h.start()
			for n := 1; n <= 2; n++ {
				r := h.call("POST", c.path, "body", crashParts...)
				is.Equal(r.status, http.StatusOK) // passed on as it came
				h.eventually("the crash is recorded", func() bool { return strings.Count(h.logs.String(), `"msg":"crash recorded"`) >= n })
			}
			r := h.call("POST", c.path, "body", crashParts...)
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.outcome, "not-run")
			n := 0
			for _, target := range targets {
				n += len(target.Executions())
			}
			is.Equal(n, 2)
		})
	}
}

// Guards against taking a request for sound because of an answer that does not show
// that a target ran it to its end.
func TestOnlyWholeAnswersExcuseARequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		options bbplatformstand.TargetOptions
		fault   bbplatformstand.Fault
		path    string
		excused bool
	}{
		{"length", bbplatformstand.TargetOptions{Service: "desk"}, bbplatformstand.FaultNone, "/book/1", true},
		{"chunks", bbplatformstand.TargetOptions{Service: "llm", Engine: true, EventCount: 4}, bbplatformstand.FaultNone, "/once/1", true},
		{"status 413", bbplatformstand.TargetOptions{Service: "desk"}, bbplatformstand.FaultEarlyResponse, "/book/1", false},
		{"refused", bbplatformstand.TargetOptions{Service: "desk"}, bbplatformstand.FaultNotExecuted, "/book/1", false},
		{"until the connection ends, target still there", bbplatformstand.TargetOptions{Service: "desk", Unframed: true}, bbplatformstand.FaultNone, "/book/1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 100_000)
			c.options.ID = "sound"
			sound := h.startTarget(c.options)
			sound.SetFault(c.fault, -1)
			h.start()
			fields := []string{bbplatform.HeaderTokenUsage, "10,100"}
			h.call("POST", c.path, crashBody, fields...)
			time.Sleep(3 * answerLookDelay)
			is.NoErr(sound.Register(t.Context(), h.mem, "draining"))
			crashing := c.options
			crashing.ID, crashing.CrashBody, crashing.Unframed = "crashing", crashBody, false
			target := h.startTarget(crashing)
			h.eventually("the other target crashes", func() bool {
				h.call("POST", c.path, crashBody, fields...)
				return len(target.Crashes()) == 1
			})
			h.eventually("the crash is recorded", func() bool { return strings.Contains(h.logs.String(), `"msg":"crash recorded"`) })
			is.True(strings.Contains(h.logs.String(), fmt.Sprintf(`"excused":%v`, c.excused)))
		})
	}
}

// Guards against taking a stream without length and chunks for whole that ends
// inside an event.
func TestUnframedStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 4, Unframed: true})
	target.SetFault(bbplatformstand.FaultTruncated, 1)
	h.start()
	fields := []string{bbplatform.HeaderTokenUsage, "10,100"}
	is.True(h.call("POST", "/once/1", "body", fields...).err != nil)
	r := h.call("POST", "/once/1", "body", fields...)
	is.NoErr(r.err)
	is.True(strings.Contains(r.body, "id: 4\n"))
}

// Guards against one more connection for each answer without length and chunks of a
// target that lives.
func TestLooksAtLivingTargetsCostFewConnections(t *testing.T) {
	const calls, allowed = 60, 2
	for _, interval := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1000)
			target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk", Unframed: true})
			h.start()
			for range calls {
				is.Equal(h.call("POST", "/book/1", "body").status, http.StatusOK)
				time.Sleep(interval)
			}
			time.Sleep(3 * answerLookDelay)
			extra := target.AcceptedConns() - calls
			t.Logf("%d calls, %d connections more", calls, extra)
			is.True(extra >= 1) // it was looked at
			is.True(extra <= allowed)
		})
	}
}

// newLookWatch returns a crashWatch whose looks find what look returns, and the
// requests that it blames and clears.
func newLookWatch(look func(mayDial func() bool) lookResult) (w *crashWatch, blamed, cleared chan bbcrash.Observation) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	blamed, cleared = make(chan bbcrash.Observation, 100), make(chan bbcrash.Observation, 100)
	w = newCrashWatch(&Board{}, time.Now, log, func(o bbcrash.Observation) { blamed <- o })
	w.look = func(_ *Target, mayDial func() bool) lookResult { return look(mayDial) }
	w.answered = func(o bbcrash.Observation) { cleared <- o }
	return w, blamed, cleared
}

// endAnswer makes an answer end now that had neither a length nor chunks.
func endAnswer(w *crashWatch, run bbcrash.TargetRun, succeeded bool) {
	now := time.Now()
	w.answerEnded(&Target{}, endedAttempt{succeeded: succeeded, Observation: bbcrash.Observation{Fingerprint: 1, Run: run, SentAt: now.Add(-time.Second), BrokenAt: now}})
}

// Guards against drawing more from a look than it shows.
func TestLooksAfterAnswers(t *testing.T) {
	run := bbcrash.TargetRun{ID: "t1", StartedAtMillis: 1}
	for _, c := range []struct {
		name            string
		found           lookResult
		succeeded       bool
		then            func(w *crashWatch)
		blamed, cleared int
	}{
		{"refused", lookRefused, true, nil, 1, 0},
		{"a failure, refused", lookRefused, false, nil, 1, 0},
		{"accepted", lookAccepted, true, nil, 0, 1},
		{"a failure, accepted", lookAccepted, false, nil, 0, 0},
		{"an idle connection is open", lookOpen, true, nil, 0, 0},
		{"not reachable", lookUnclear, true, nil, 0, 0},
		{"not reachable, the run ends", lookUnclear, true, func(w *crashWatch) { w.targetEnded(run) }, 0, 0},
		{"accepted, down later", lookAccepted, true, func(w *crashWatch) { w.targetDown(run) }, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, blamed, cleared := newLookWatch(func(func() bool) lookResult { return c.found })
			endAnswer(w, run, c.succeeded)
			time.Sleep(2 * answerLookDelay)
			if c.then != nil {
				c.then(w)
			}
			is.Equal(len(blamed), c.blamed)
			is.Equal(len(cleared), c.cleared)
		})
	}
}

// Guards against a connection for each answer while no target crashes, and against
// answers that nobody looks at once one has.
func TestLooksAreLimitedUntilATargetCrashes(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	w, _, _ := newLookWatch(func(mayDial func() bool) lookResult {
		if !mayDial() {
			return lookUnclear
		}
		dials.Add(1)
		return lookAccepted
	})
	const targets, burst = 100, 10
	for i := range targets {
		endAnswer(w, bbcrash.TargetRun{ID: bbunit.TargetID(fmt.Sprint(i))}, true)
	}
	time.Sleep(3 * answerLookDelay)
	is.True(float64(dials.Load()) <= burst+1+answerLookPolicy.Ratio*targets)
	is.True(dials.Load() > 0)
	w.targetEnded(bbcrash.TargetRun{ID: "another"})
	await(t, "all are looked at", time.Second, func() bool { return dials.Load() == targets })
}
