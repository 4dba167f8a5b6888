package bbspread

import (
	"fmt"
	"testing"
	"time"
)

// TestWholeFleetHasALargeValueInTime guards against versions that come late, changed or
// not at all where the value is large, the fleet large or an instance in need.
func TestWholeFleetHasALargeValueInTime(t *testing.T) {
	growth := func(s *simulation) { s.addRoutes(1400); s.write(); s.check(simBound + time.Second) }
	rows := []simRow{
		{"small", 30, 0, growth},
		{"grows", 4200, 0, growth},
		{"one route changes", 5600, 0, func(s *simulation) { s.routes[100] = s.routes[200]; s.write(); s.check(simBound + time.Second) }},
		{"one route is dropped", 5600, 0, func(s *simulation) {
			s.routes = append(s.routes[:900], s.routes[901:]...)
			s.write()
			s.check(simBound + time.Second)
		}},
		{"grows each second", 1400, 0, func(s *simulation) {
			for range 3 {
				s.addRoutes(1400)
				s.write()
				s.check(time.Second)
			}
			s.write()
			s.check(simBound + time.Second)
		}},
		{"3 in 100 messages lost", 4200, 0.03, growth},
		{"watchers end while they send", 4200, 0, func(s *simulation) {
			s.addRoutes(1400)
			s.write()
			s.After(1300*time.Millisecond, func() {
				for _, n := range s.Nodes[:4] {
					s.Kill(n)
				}
			})
			s.check(simBound + time.Second)
		}},
		{"watchers are silent while they send", 4200, 0, func(s *simulation) {
			s.addRoutes(1400)
			s.write()
			s.After(1300*time.Millisecond, func() {
				for _, n := range s.Nodes[:4] {
					n.Cut, n.CalmSince = true, s.Now()
				}
			})
			s.After(4*time.Second, func() {
				for _, n := range s.Nodes[:4] {
					n.Cut, n.CalmSince = false, s.Now()
				}
			})
			s.check(simBound + 6*time.Second)
		}},
		{"messages are spoiled", 4200, 0, func(s *simulation) {
			s.spoil = true
			growth(s)
			s.routes[1] = s.routes[2]
			s.write()
			s.check(simBound + time.Second)
		}},
		{"three in ten are killed", 4200, 0, func(s *simulation) {
			s.addRoutes(1400)
			s.write()
			s.After(200*time.Millisecond, func() { s.KillShare(0.3, time.Second) })
			s.check(simBound + 6*time.Second)
		}},
		{"a domain is cut off", 4200, 0, func(s *simulation) {
			s.CutDomain("d2", 3*time.Second)
			s.addRoutes(1400)
			s.write()
			s.check(simBound + 6*time.Second)
		}},
		{"one in six has a tenth of the link", 4200, 0, func(s *simulation) {
			for i, n := range s.Nodes {
				if i%6 == 5 && i > 5 {
					n.LinkRate = simRate / 10
				}
			}
			growth(s)
		}},
	}
	runSimulations(t, simBound, rows)
}

// simRow is a play of a simulated fleet.
type simRow struct {
	name   string
	routes int
	loss   float64
	play   func(s *simulation)
}

// runSimulations runs plays with fleets of several sizes. Each version has to be in force
// within a bound.
func runSimulations(t *testing.T, bound time.Duration, rows []simRow) {
	sizes := []int{8, 30, 84}
	if *simLarge {
		sizes = append(sizes, 300)
	}
	for _, instances := range sizes {
		for _, row := range rows {
			t.Run(fmt.Sprintf("%d instances/%s", instances, row.name), func(t *testing.T) {
				t.Parallel()
				for seed := range *simSeeds {
					s := newSimulation(t, instances, row.routes, row.loss, seed)
					s.bound = bound
					s.Run(simContact + time.Second)
					s.Messages, s.Bytes, s.reads = 0, 0, 0
					for _, n := range s.Nodes {
						n.Sent = 0
					}
					row.play(s)
					most := 0
					for _, n := range s.Nodes {
						most = max(most, n.Sent)
					}
					t.Logf("seed %d: %d bytes, last in force after %s; %d messages, %d kB, at most %d kB by one instance, %d reads of the store", seed, len(s.versions[len(s.versions)-1].Text), s.slowest, s.Messages, s.Bytes/1000, most/1000, s.reads)
				}
			})
		}
	}
}

// TestValueIsInForceInTimeWithoutWaitingForSlowLinks guards against a fleet that waits for a
// reader of the store with a slow link.
func TestValueIsInForceInTimeWithoutWaitingForSlowLinks(t *testing.T) {
	growth := func(s *simulation) { s.addRoutes(1400); s.write(); s.check(simBound) }
	runSimulations(t, simCalmBound, []simRow{
		{"grows", 4200, 0, growth},
		{"grows to the largest size", 8000, 0, growth},
		{"one route changes", 8000, 0, func(s *simulation) { s.routes[100] = s.routes[200]; s.write(); s.check(simBound) }},
		{"written again right behind", 4200, 0, func(s *simulation) {
			s.addRoutes(1400)
			s.write()
			s.check(300 * time.Millisecond)
			s.write()
			s.check(simBound)
		}},
		{"grows four times a second", 1400, 0, func(s *simulation) {
			for range 8 {
				s.addRoutes(350)
				s.write()
				s.check(250 * time.Millisecond)
			}
			s.check(simBound)
		}},
		{"3 in 100 messages lost", 4200, 0.03, growth},
	})
}
