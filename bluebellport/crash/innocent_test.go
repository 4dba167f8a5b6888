package bbcrash

import (
	"fmt"
	"testing"
	"time"
)

const (
	innocentTargets  = 94
	innocentInFlight = 24 // requests in flight at each target
	innocentDuration = 400 * time.Millisecond
	innocentAttempts = 3
	popularRequests  = 4 // fingerprints that a tenth of the requests have
)

// simTarget is a target that crashes at a time, if at all, and is back later.
type simTarget struct {
	run       TargetRun
	crashesAt time.Time
}

// workload sends innocent requests to targets.
type workload struct {
	*simulation
	targets  []*simTarget
	sent     map[uint64]bool
	refusals map[uint64]bool
}

func (w *workload) up(target *simTarget) bool {
	return target.crashesAt.IsZero() || w.Now().Before(target.crashesAt)
}

// request sends a request to a random target, and again where it crashes.
func (w *workload) request(fingerprint uint64, n *simNode, attempts int) {
	w.sent[fingerprint] = true
	if n.tracker.IsRefused(fingerprint) {
		w.refusals[fingerprint] = true
		return
	}
	target := w.targets[w.Rand.IntN(len(w.targets))]
	for !w.up(target) {
		target = w.targets[w.Rand.IntN(len(w.targets))]
	}
	run, sentAt := target.run, w.Now()
	duration := time.Duration(w.Rand.Int64N(int64(2 * innocentDuration)))
	if target.crashesAt.IsZero() || sentAt.Add(duration).Before(target.crashesAt) {
		w.After(duration, func() { n.tracker.RecordAnswer(fingerprint, nil, time.Time{}) })
		return
	}
	w.After(target.crashesAt.Sub(sentAt)+simCrashDelay, func() {
		n.tracker.RecordCrash(Observation{Fingerprint: fingerprint, Run: run, SentAt: sentAt, BrokenAt: target.crashesAt})
		if attempts > 1 {
			w.request(fingerprint, w.randomNode(), attempts-1)
		}
	})
}

// play sends innocent requests while a quarter of the targets crash at times
// spread over a span.
func (w *workload) play(span time.Duration) {
	for range innocentTargets {
		w.targets = append(w.targets, &simTarget{run: w.newRun()})
	}
	start := w.Now().Add(2 * time.Second)
	for _, i := range w.Rand.Perm(len(w.targets))[:len(w.targets)/4] {
		w.targets[i].crashesAt = start.Add(time.Duration(w.Rand.Int64N(int64(span) + 1)))
	}
	interval := innocentDuration / (innocentTargets * innocentInFlight)
	end, next := start.Add(span+2*time.Second), uint64(1000)
	var again func()
	again = func() {
		if w.Now().After(end) {
			return
		}
		w.After(interval, again)
		fingerprint := uint64(w.Rand.IntN(10*popularRequests)) + 1
		if fingerprint > popularRequests {
			next++
			fingerprint = next
		}
		w.request(fingerprint, w.randomNode(), innocentAttempts)
	}
	again()
	w.Run(end.Sub(w.Now()) + 4*time.Second)
}

func TestInnocentRequestsAreNotRefusedForAMassCrash(t *testing.T) {
	for _, span := range []time.Duration{0, time.Second, 6 * time.Second} {
		t.Run(fmt.Sprintf("a quarter of the targets crash within %s", span), func(t *testing.T) {
			sent, refused := 0, 0
			for seed := range *simSeeds {
				w := &workload{simulation: newSimulation(84, 0.3, seed), sent: map[uint64]bool{}, refusals: map[uint64]bool{}}
				w.Run(3 * time.Second)
				w.play(span)
				sent, refused = sent+len(w.sent), refused+len(w.refusals)
				for _, n := range w.nodes {
					for fingerprint := range n.tracker.snapshot.Load().refused {
						if fingerprint <= popularRequests {
							t.Errorf("seed %d: a popular request is refused in the end", seed)
						}
					}
				}
			}
			t.Logf("%d of %d requests refused", refused, sent)
			if refused > 0 {
				t.Errorf("%d of %d innocent requests were refused", refused, sent)
			}
		})
	}
}
