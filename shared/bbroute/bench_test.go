package bbroute

import (
	"fmt"
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
		{"even", func(*queueModel) {}},
		{"one router gets half of the requests", func(m *queueModel) { m.skew = true }},
		{"every third target at half its pace", func(m *queueModel) { m.slow = true }},
		{"others keep half of every third target", func(m *queueModel) { m.outside = true }},
		{"targets run on when callers give up", func(m *queueModel) { m.deaf = true }},
		{"2 routers 3 targets", func(m *queueModel) { m.routers, m.targets = 2, 3 }},
		{"reports every 4 s", func(m *queueModel) { m.report = 4 * time.Second }},
		{"24 routers 40 targets of 16 slots", func(m *queueModel) {
			m.routers, m.targets, m.slots = 24, 40, 16
			m.warm, m.length = 5*time.Second, 10*time.Second
		}},
	}
)

// BenchmarkRouting measures waits of the requests that ran, in ms, and goodput
// in parts of the capacity, beside random choice and round robin.
func BenchmarkRouting(b *testing.B) {
	b.Logf("seed %d", benchSeed)
	for _, c := range benchCases {
		for _, load := range benchLoads {
			for _, policy := range benchPolicies {
				m := newQueueModel(policy, load, benchSeed)
				c.set(m)
				var r *modelResult
				b.Run(fmt.Sprintf("%s/load %.1f/%s", c.name, load, policy), func(b *testing.B) {
					if r == nil {
						r = m.run()
					}
					b.ReportMetric(1000*r.quantile(0.5), "p50-ms")
					b.ReportMetric(1000*r.quantile(0.95), "p95-ms")
					b.ReportMetric(1000*r.quantile(0.99), "p99-ms")
					b.ReportMetric(m.goodput(), "goodput")
					b.ReportMetric(r.refusedPart(), "refused")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// TestGoodputUnderOverload holds that goodput at 3 times capacity is at least
// 90% of the peak, also where targets run on when callers give up.
func TestGoodputUnderOverload(t *testing.T) {
	for _, c := range benchCases[:len(benchCases)-1] {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var peak, last float64
			for _, load := range benchLoads {
				m := newQueueModel(benchOwn, load, benchSeed)
				m.warm, m.length = 5*time.Second, 10*time.Second
				c.set(m)
				m.run()
				last = m.goodput()
				peak = max(peak, last)
			}
			t.Logf("seed %d: goodput %.3f of the capacity, peak %.3f", benchSeed, last, peak)
			is.True(peak > 0.95)
			is.True(last >= 0.9*peak)
		})
	}
}

// TestOverloadShedsLowPriorityFirst holds that at 3 times capacity most of what
// is refused is of the lower priorities.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	is := is.New(t)
	r := newQueueModel(benchOwn, 3, benchSeed).run()
	part := func(p bbunit.Priority) float64 { return float64(r.refused[p]) / float64(r.asked[p]) }
	is.True(part(0) > part(1))
	is.True(part(1) > part(2))
	is.True(part(2) < 0.35)
}
