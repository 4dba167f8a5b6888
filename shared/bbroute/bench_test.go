package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
)

// newSimulation returns a simulation of 8 routers in front of 10 targets with 8
// slots each. The load is a fraction of the capacity.
func newSimulation(policy string, load float64, seed uint64) *simulation {
	return &simulation{
		routerCount: 8, targetCount: 10, slots: 8,
		meanServiceTime: 0.5, serviceTimeSigma: 0.6,
		reportInterval: 250 * time.Millisecond, reportLag: 250 * time.Millisecond,
		warmUp: 10 * time.Second, duration: 40 * time.Second,
		offeredLoad: load, seed: seed, policy: policy,
	}
}

const (
	benchSeed = 1
	ownPolicy = "bluebellport"
)

var (
	benchPolicies = []string{ownPolicy, "random", "round robin"}
	benchLoads    = []float64{0.5, 0.8, 1.0, 1.5, 3}
	benchCases    = []struct {
		name      string
		configure func(s *simulation)
	}{
		{"even", func(*simulation) {}},
		{"one router gets half of the requests", func(s *simulation) { s.skewedArrivals = true }},
		{"every third target at half its pace", func(s *simulation) { s.slowTargets = true }},
		{"others keep half of every third target", func(s *simulation) { s.externalLoad = true }},
		{"targets run on when callers give up", func(s *simulation) { s.ignoreCancel = true }},
		{"2 routers 3 targets", func(s *simulation) { s.routerCount, s.targetCount = 2, 3 }},
		{"reports every 4 s", func(s *simulation) { s.reportInterval = 4 * time.Second }},
		{"24 routers 40 targets of 16 slots", func(s *simulation) {
			s.routerCount, s.targetCount, s.slots = 24, 40, 16
			s.warmUp, s.duration = 5*time.Second, 10*time.Second
		}},
	}
)

// BenchmarkRouting compares the routing policy with random choice and round
// robin. It reports the time until a request runs, in ms, and the goodput as a
// fraction of the capacity.
func BenchmarkRouting(b *testing.B) {
	b.Logf("seed %d", benchSeed)
	for _, c := range benchCases {
		for _, load := range benchLoads {
			for _, policy := range benchPolicies {
				s := newSimulation(policy, load, benchSeed)
				c.configure(s)
				var r *simulationResult
				b.Run(fmt.Sprintf("%s/load %.1f/%s", c.name, load, policy), func(b *testing.B) {
					if r == nil {
						r = s.run()
					}
					b.ReportMetric(1000*r.quantile(0.5), "p50-ms")
					b.ReportMetric(1000*r.quantile(0.95), "p95-ms")
					b.ReportMetric(1000*r.quantile(0.99), "p99-ms")
					b.ReportMetric(s.goodput(), "goodput")
					b.ReportMetric(r.refusedFraction(), "refused")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// TestGoodputUnderOverload checks that goodput at 3 times the capacity is at
// least 90% of its peak, also where targets continue to run requests whose
// callers have left.
func TestGoodputUnderOverload(t *testing.T) {
	for _, c := range benchCases[:len(benchCases)-1] {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var peak, last float64
			for _, load := range benchLoads {
				s := newSimulation(ownPolicy, load, benchSeed)
				s.warmUp, s.duration = 5*time.Second, 10*time.Second
				c.configure(s)
				s.run()
				last = s.goodput()
				peak = max(peak, last)
			}
			t.Logf("seed %d: goodput %.3f of the capacity, peak %.3f", benchSeed, last, peak)
			is.True(peak > 0.95)
			is.True(last >= 0.9*peak)
		})
	}
}

// TestOverloadShedsLowPriorityFirst checks that at 3 times the capacity lower
// priorities are refused more often than higher ones.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	is := is.New(t)
	r := newSimulation(ownPolicy, 3, benchSeed).run()
	refusedFraction := func(p bbunit.Priority) float64 {
		return float64(r.refusedByPriority[p]) / float64(r.offeredByPriority[p])
	}
	is.True(refusedFraction(0) > refusedFraction(1))
	is.True(refusedFraction(1) > refusedFraction(2))
	is.True(refusedFraction(2) < 0.35)
}
