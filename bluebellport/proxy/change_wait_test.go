package bbproxy

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
)

// TestRequestThatWaitsAsAStopBeginsIsAnswered guards against a connection that just ends
// while its request waits for a newer plan, a share or a permit and the instance stops.
func TestRequestThatWaitsAsAStopBeginsIsAnswered(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name, path string
		grace      time.Duration
		wait       func(*lagPlay, *bbplatformstand.Target) // what the requests wait for
		comes      func(*lagPlay)                          // ends the wait in the stop; nil: nothing does
		statuses   []int
	}{
		{"a newer plan", "/added/1", 4000 * ms, newerPlan, nil, []int{503}},
		{"a newer plan, the stop ends", "/added/1", 700 * ms, newerPlan, nil, []int{503}},
		{"a newer plan that comes", "/added/1", 4000 * ms, newerPlan, func(p *lagPlay) { p.declareLater(0, strings.NewReplacer("/open/", "/added/")) }, []int{200, 503}},
		{"a newer plan that drops the route", "/gone/1", 4000 * ms, newerPlan, func(p *lagPlay) { p.declareLater(0, strings.NewReplacer("/open/", "/added/")) }, []int{404, 503}},
		{"a share", "/draft/1", 4000 * ms, slowStore, nil, []int{200, 402, 503}},
		{"a share, the stop ends", "/draft/1", 500 * ms, slowStore, nil, []int{402, 503}},
		{"a permit", "/book/1", 4000 * ms, limitTarget, nil, []int{200, 503}},
		{"a permit, the stop ends", "/book/1", 700 * ms, limitTarget, nil, []int{200, 503}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			network := newFakeNetwork()
			p := &lagPlay{harness: newHarness(t, 1_000_000), peer: network.newPeer("other", "gavle")}
			p.peers, p.settings.GracePeriod = network.newPeer("i1", "uppsala"), c.grace
			target := p.startTarget(testTarget)
			engine := p.startTarget(bbplatformstand.TargetOptions{ID: "llm", Service: "llm", Engine: true, EventCount: 3})
			p.startWithVersions()
			c.wait(p, target)
			statuses := make([]int, 12)
			var wg sync.WaitGroup
			for i := range statuses {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 25 * ms)
					conn := p.sendPart(rawRequest(c.path, fmt.Sprint("w", i), "x", bbplatform.HeaderTokenUsage, "100,30"))
					_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
					statuses[i], _ = nextStatus(bufio.NewReader(conn))
				})
			}
			time.Sleep(110 * ms)
			stopAt := time.Now()
			p.stop()
			if c.comes != nil {
				time.Sleep(150 * ms)
				c.comes(p)
			}
			wg.Wait()
			is.True(time.Since(stopAt) < c.grace)
			t.Log(statuses, len(target.Executions()), len(engine.Executions()))
			for i, status := range statuses {
				is.True(slices.Contains(c.statuses, status)) // a whole answer or a refusal
				if status == http.StatusServiceUnavailable {
					is.True(!ranAt([]*bbplatformstand.Target{target, engine}, fmt.Sprint("w", i)))
				}
			}
		})
	}
}

// TestRequestsBehindOneThatWaitsForAPlanAreAnsweredAsAStopEnds guards against a wait for a
// newer plan that begins after the end of the stop and outlasts the connection.
func TestRequestsBehindOneThatWaitsForAPlanAreAnsweredAsAStopEnds(t *testing.T) {
	is := is.New(t)
	network := newFakeNetwork()
	p := &lagPlay{harness: newHarness(t, 1_000_000), peer: network.newPeer("other", "gavle")}
	p.peers, p.settings.GracePeriod = network.newPeer("i1", "uppsala"), 700*time.Millisecond
	target := p.startTarget(testTarget)
	p.startTarget(bbplatformstand.TargetOptions{ID: "llm", Service: "llm", Engine: true, EventCount: 3})
	p.startWithVersions()
	newerPlan(p, target)
	text, statuses := "", make([]int, 4)
	for i := range statuses {
		text += rawRequest("/added/1", fmt.Sprint("b", i), "x")
	}
	conn := p.sendPart(text)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	time.Sleep(100 * time.Millisecond)
	p.stop()
	br := bufio.NewReader(conn)
	for i := range statuses {
		statuses[i], _ = nextStatus(br)
	}
	is.Equal(statuses, []int{503, 503, 503, 503})
}

// newerPlan lets the instance know of a newer plan that does not come.
func newerPlan(p *lagPlay, _ *bbplatformstand.Target) { p.tellNewer() }

// slowStore lets the instance wait for each share.
func slowStore(p *lagPlay, _ *bbplatformstand.Target) {
	p.mem.SetFaults(bbstore.Faults{Latency: 5 * time.Second})
}

// limitTarget lets the target name a limit of one request a second, and uses it up.
func limitTarget(p *lagPlay, target *bbplatformstand.Target) {
	time.Sleep(permitWarmup)
	target.SetLimit("1")
	for range 3 {
		_ = p.call("GET", "/read/1", "")
	}
}
