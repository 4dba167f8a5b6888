package bblimit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"bluebellport.example/bluebellport/emulate"
)

var simSeeds = flag.Uint64("limit-seeds", 1, "seeds of each simulated fleet")

// simTime is how long a simulated fleet is watched.
var simTime = flag.Duration("limit-time", 12*time.Second, "time for which a simulated fleet is watched")

// usedShare is the least part of a limit that is to be used under steady load.
const usedShare = 0.9

// limitRow is a row of TestTargetGetsNoMoreThanItNamesFromTheWholeFleet.
type limitRow struct {
	name      string
	instances int
	loss      float64
	trouble   func(s *simulation)
	wantUse   bool
}

func limitRows() []limitRow {
	calm := func(*simulation) {}
	oneInstance := func(s *simulation) { s.entry = func() *bbemulate.Node { return s.Nodes[0] } }
	kills := func(s *simulation) {
		for i := range 3 {
			s.After(time.Duration(4+6*i)*time.Second, func() { s.KillShare(0.6, 2*time.Second) })
		}
	}
	lags := func(s *simulation) {
		s.Lag = 2 * time.Second
		kills(s)
	}
	cut := func(s *simulation) {
		s.After(4*time.Second, func() { s.CutDomain("d1", 9*time.Second) })
	}
	joins := func(s *simulation) {
		for i := range len(s.Nodes) / 2 {
			s.After(time.Duration(i)*100*time.Millisecond, s.Add)
		}
	}
	var rows []limitRow
	for _, n := range []int{6, 8, 30, 84, 300} {
		rows = append(rows,
			limitRow{"steady", n, 0, calm, true},
			limitRow{"all callers at one instance", n, 0, oneInstance, true},
			limitRow{"messages lost", n, 0.3, calm, false},
			limitRow{"six in ten killed, messages lost", n, 0.3, kills, false},
			limitRow{"six in ten killed, lists that lag", n, 0, lags, false},
			limitRow{"a domain cut off", n, 0.1, cut, false},
			limitRow{"new instances", n, 0.1, joins, false},
		)
	}
	return rows
}

func TestTargetGetsNoMoreThanItNamesFromTheWholeFleet(t *testing.T) {
	t.Parallel()
	const limit = 3.1
	for _, c := range limitRows() {
		t.Run(fmt.Sprintf("%s, %d instances, loss %g", c.name, c.instances, c.loss), func(t *testing.T) {
			t.Parallel()
			most, mostOfAll, least := 0, 0, 2.0
			for seed := range *simSeeds {
				s := newSimulation(c.instances, c.loss, seed, limit, limit)
				s.open = true
				s.Run(time.Second)
				s.load(40, 0, time.Hour)
				c.trouble(s)
				s.Run(simContact)
				since := s.Now()
				s.Run(*simTime)
				m, all := s.checkLimits(t, limit, since)
				most, mostOfAll = max(most, m), max(mostOfAll, all)
				for _, target := range s.targets {
					least = min(least, target.used(limit, since, s.Now()))
				}
				if s.refused > 0 {
					t.Errorf("seed %d: %d requests refused though a target is open", seed, s.refused)
				}
			}
			t.Logf("most in 4 s %d, of all instances %d (allowed %d); least part of the limit used %.2f", most, mostOfAll, allowed(limit), least)
			if c.wantUse && least < usedShare {
				t.Errorf("only %.2f of the limit was used", least)
			}
		})
	}
}

// TestLimitThatFallsAndEndsIsFollowed guards against permits of a higher limit
// that are still used, and against limits that outlive the last answer that
// named them.
func TestLimitThatFallsAndEndsIsFollowed(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 8, 30, 84, 300} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			for seed := range *simSeeds {
				s := newSimulation(n, 0.1, seed, 24, 24)
				s.open = true
				s.load(80, 0, time.Hour)
				s.Run(8 * time.Second)
				for _, target := range s.targets {
					target.limit = 2.4
				}
				s.Run(simContact)
				since := s.Now()
				s.Run(8 * time.Second)
				most, _ := s.checkLimits(t, 2.4, since)
				s.targets[0].limit, s.targets[1].limit = 24, 0
				s.Run(simContact)
				since = s.Now()
				s.Run(8 * time.Second)
				risen, ended := s.targets[0].used(24, since, s.Now()), s.targets[1].used(24, since, s.Now())
				t.Logf("seed %d: most in 4 s %d after the fall (allowed %d); %.2f of the risen limit used; %.2f of the ended one", seed, most, allowed(2.4), risen, ended)
				if risen < 0.8 || ended < 1 {
					t.Errorf("seed %d: the targets are kept from requests that they would take", seed)
				}
			}
		})
	}
}

// TestAllTargetsLimited guards against limits that are not used, callers that
// are refused late, and one account that gets all permits.
func TestAllTargetsLimited(t *testing.T) {
	t.Parallel()
	const limit, patience = 3.1, 700 * time.Millisecond
	for _, n := range []int{6, 8, 30, 84, 300} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			for seed := range *simSeeds {
				s := newSimulation(n, 0, seed, limit, limit)
				s.account = func() uint64 { // account 1 sends nine tenths, account 2 two a second
					if s.Rand.IntN(10) > 0 {
						return 1
					}
					return 2
				}
				s.Run(time.Second)
				s.load(20, patience, time.Hour)
				s.Run(simContact)
				since := s.Now()
				s.offered, s.ran, s.slowestRefusal = map[uint64]int{}, map[uint64]int{}, 0
				s.Run(2 * *simTime)
				most, _ := s.checkLimits(t, limit, since)
				used := min(s.targets[0].used(limit, since, s.Now()), s.targets[1].used(limit, since, s.Now()))
				light := float64(s.ran[2]) / float64(s.offered[2])
				t.Logf("seed %d: most in 4 s %d (allowed %d), %.2f of the limit used, refused after %s at most; of account 1 %d of %d ran, of account 2 %d of %d",
					seed, most, allowed(limit), used, s.slowestRefusal, s.ran[1], s.offered[1], s.ran[2], s.offered[2])
				if used < usedShare {
					t.Errorf("seed %d: only %.2f of the limit was used", seed, used)
				}
				if s.slowestRefusal > 2*quickTimeout {
					t.Errorf("seed %d: a caller waited %s to be refused", seed, s.slowestRefusal)
				}
				if light < 0.8 {
					t.Errorf("seed %d: an account under its part got %.2f of what it asked for", seed, light)
				}
			}
		})
	}
}

// TestRetryAfterOfALimitComesTrue guards against callers that come back as told
// and are refused again.
func TestRetryAfterOfALimitComesTrue(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 8, 30, 84, 300} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			returned, servedAgain := 0, 0
			for seed := range *simSeeds {
				s := newSimulation(n, 0, seed, 3.1, 3.1)
				s.Run(time.Second)
				s.load(4, 700*time.Millisecond, 4*time.Second)
				s.Run(4 * time.Second)
				s.comeBack = true
				s.load(20, 700*time.Millisecond, 2*time.Second)
				s.Run(15 * time.Second)
				returned, servedAgain = returned+s.returned, servedAgain+s.servedAgain
			}
			t.Logf("of %d refused callers that came back %d were served", returned, servedAgain)
			if returned < 10 || float64(servedAgain) < 0.9*float64(returned) {
				t.Error("Retry-After did not come true")
			}
		})
	}
}

// TestLargeLimitIsUsed guards against limits that an instance asks for one
// permit at a time.
func TestLargeLimitIsUsed(t *testing.T) {
	t.Parallel()
	const limit = 400
	for _, n := range []int{6, 84} {
		s := newSimulation(n, 0, 1, limit)
		s.open = true
		s.load(1500, 0, time.Hour)
		s.Run(simContact)
		since := s.Now()
		s.Run(6 * time.Second)
		most, _ := s.checkLimits(t, limit, since)
		used := s.targets[0].used(limit, since, s.Now())
		t.Logf("%d instances: most in 4 s %d (allowed %d), %.2f of the limit used", n, most, allowed(limit), used)
		if used < usedShare {
			t.Errorf("%d instances: only %.2f of the limit was used", n, used)
		}
	}
}

// TestMessagesOfLimitsAreBounded guards against news and questions that grow with
// the fleet.
func TestMessagesOfLimitsAreBounded(t *testing.T) {
	t.Parallel()
	for _, n := range []int{84, 1500} {
		s := newSimulation(n, 0, 1, 3.1, 3.1, 3.1)
		s.open = true
		s.Run(5 * time.Second)
		s.Messages, s.Bytes = 0, 0
		s.Run(2 * time.Second)
		if s.Messages > 0 {
			t.Errorf("%d instances: %d messages while no target has a limit", n, s.Messages)
		}
		s.load(5*float64(n), 0, time.Hour)
		s.Run(3 * time.Second)
		s.Messages, s.Bytes = 0, 0
		s.Run(2 * time.Second)
		perNode := func(v int) float64 { return float64(v) / 2 / float64(n) }
		t.Logf("%d instances, three limits, five requests a second at each: %.1f messages and %.0f bytes a second for each", n, perNode(s.Messages), perNode(s.Bytes))
		if perNode(s.Messages) > 20 || perNode(s.Bytes) > 2000 {
			t.Errorf("%d instances: too many messages or bytes", n)
		}
	}
}

// TestStartedInstanceLearnsLimits guards against instances that send freely until
// a target tells them itself.
func TestStartedInstanceLearnsLimits(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 84} {
		s := newSimulation(n, 0, 1, 3.1)
		s.open = true
		s.load(40, 0, 2*time.Second)
		s.Run(4 * time.Second)
		s.Add()
		s.Run(500 * time.Millisecond)
		if !s.keepers[s.Nodes[n]].IsLimited(s.targets[0].run) {
			t.Errorf("%d instances: one that started does not know of the limit", n)
		}
	}
}
