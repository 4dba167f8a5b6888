package bbroute

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
)

// newQueueModel returns the model of 8 routers before 10 targets of 8 slots.
func newQueueModel(policy string, load float64, seed uint64) *queueModel {
	return &queueModel{
		routers: 8, targets: 10, slots: 8,
		service: 0.5, spread: 0.6,
		report: 250 * time.Millisecond, lag: 250 * time.Millisecond,
		warm: 10 * time.Second, length: 40 * time.Second,
		load: load, seed: seed, policy: policy,
	}
}

const (
	benchSeed = 1
	benchOwn  = "bluebellport"
)

var (
	benchPolicies = []string{benchOwn, "random", "round robin"}
	benchLoads    = []float64{0.5, 0.8, 1.0, 1.5, 3}
	benchCases    = []struct {
		name string
		set  func(m *queueModel)
	}{
		{"even targets", func(*queueModel) {}},
		{"one router gets half of the requests", func(m *queueModel) { m.skew = true }},
		{"every third target at half its pace", func(m *queueModel) { m.slow = true }},
		{"others keep half of every third target", func(m *queueModel) { m.outside = true }},
		{"2 routers, 3 targets", func(m *queueModel) { m.routers, m.targets = 2, 3 }},
		{"targets run on when callers give up", func(m *queueModel) { m.deaf = true }},
		{"24 routers, 40 targets of 16 slots", func(m *queueModel) {
			m.routers, m.targets, m.slots = 24, 40, 16
			m.warm, m.length = 5*time.Second, 10*time.Second
		}},
	}
)

// TestBenchRouting prints waits and goodput beside two baselines and holds the
// bound under overload. Run it with -v.
func TestBenchRouting(t *testing.T) {
	t.Logf("seed %d; waits in ms of requests that ran; goodput in parts of the capacity", benchSeed)
	for _, c := range benchCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			t.Logf("%-13s %5s %8s %8s %8s %8s %8s", "policy", "load", "p50", "p95", "p99", "goodput", "refused")
			var peak, at3 float64
			for _, policy := range benchPolicies {
				for _, load := range benchLoads {
					m := newQueueModel(policy, load, benchSeed)
					c.set(m)
					good := benchRow(t, m)
					if policy != benchOwn {
						continue
					}
					peak = max(peak, good)
					if load == 3 {
						at3 = good
					}
				}
			}
			is.True(at3 >= 0.9*peak) // goodput at 3 times capacity
		})
	}
}

// benchRow runs the model, prints its row and returns its goodput.
func benchRow(t *testing.T, m *queueModel) float64 {
	t.Helper()
	r := m.run()
	good := float64(r.good) / m.length.Seconds() / m.capacity()
	refused := 0
	for _, n := range r.refused {
		refused += n
	}
	t.Logf("%-13s %5.1f %8.1f %8.1f %8.1f %8.3f %8.3f", m.policy, m.load,
		1000*r.quantile(0.5), 1000*r.quantile(0.95), 1000*r.quantile(0.99), good, float64(refused)/float64(r.offered))
	if refused > 0 {
		t.Logf("%13s refused by priority 0, 1, 2: %d of %d, %d of %d, %d of %d", "",
			r.refused[0], r.asked[0], r.refused[1], r.asked[1], r.refused[2], r.asked[2])
	}
	return good
}

// TestOverloadShedsLowPriorityFirst holds that at 3 times capacity nearly all
// of what is refused is of the lower priorities.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	is := is.New(t)
	r := newQueueModel(benchOwn, 3, benchSeed).run()
	part := func(p int) float64 {
		return float64(r.refused[bbunit.Priority(p)]) / float64(r.asked[bbunit.Priority(p)])
	}
	is.True(part(0) > part(1))
	is.True(part(1) > part(2))
	is.True(part(2) < 0.35)
}
