package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

var testNow = time.Unix(1_000_000, 0)

// testGroup returns service s with targets t0, t1, ... in the failure domains.
func testGroup(domains ...bbunit.DomainID) *Group {
	s := &bbticket.State{
		Services: map[bbunit.ServiceID]bbticket.Numbered[bbticket.Service]{"s": {Object: bbticket.Service{ID: "s"}}},
		Targets:  map[bbunit.TargetID]bbticket.Numbered[bbticket.Target]{},
	}
	for i, d := range domains {
		id := bbunit.TargetID(fmt.Sprintf("t%d", i))
		s.Targets[id] = bbticket.Numbered[bbticket.Target]{Object: bbticket.Target{ID: id, Service: "s", Domain: d, Slots: 8}}
	}
	g, _ := (&Table{}).WithState(s, "d1", AdmissionPolicy{MaxQueued: 8, MaxWait: time.Second}, testNow).Group("s")
	return g
}

// TestPickNeverTakesUnusable draws targets in any condition: one that leaves,
// is tried or has an open circuit is never picked, and a usable one is found.
func TestPickNeverTakesUnusable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		g := testGroup(rapid.SliceOfN(rapid.SampledFrom([]bbunit.DomainID{"d1", "d2"}), n, n).Draw(t, "domains")...)
		usable := map[bbunit.TargetID]bool{}
		var tried []bbunit.TargetID
		for _, places := range [][]Candidate{g.Local, g.Remote} {
			for i := range places {
				p := &places[i]
				switch rapid.IntRange(0, 4).Draw(t, "condition") {
				case 0:
					p.Declared.Leaving = true
				case 1:
					p.State.MarkLeaving(testNow)
				case 2:
					for range modelRule.Circuit.FailureThreshold {
						p.State.Circuit.RecordFailure(testNow, &modelRule.Circuit)
					}
				case 3:
					tried = append(tried, p.State.ID)
				default:
					usable[p.State.ID] = true
					p.State.Begin(int64(rapid.IntRange(0, 20).Draw(t, "load"))*workUnit, false)
				}
			}
		}
		ask := &Request{Service: "s", PrefixHashes: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefix")}
		c := &PickOptions{Now: testNow, Rand: rapid.Uint64().Draw(t, "rand"), Exclude: tried, Suspect: rapid.Bool().Draw(t, "suspect")}
		p := g.Pick(ask, c, &modelRule)
		if (p != nil) != (len(usable) > 0) {
			t.Fatalf("picked %v with %d usable", p, len(usable))
		}
		if p != nil && !usable[p.State.ID] {
			t.Fatalf("picked unusable %s", p.State.ID)
		}
	})
}

func TestSpillOver(t *testing.T) {
	for _, c := range []struct {
		name string
		near int // requests at the near target
		far  int
		down bool // the near target is unusable
		want bbunit.TargetID
	}{
		{name: "near when idle", want: "t0"},
		{name: "near up to the spill wait", near: 9, want: "t0"},
		{name: "far when near waits long", near: 20, want: "t1"},
		{name: "near when far has its part", near: 20, far: 1, want: "t0"},
		{name: "far without bound when near is down", far: 30, down: true, want: "t1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := testGroup("d1", "d2")
			for range c.near {
				g.Local[0].State.Begin(workUnit, false)
			}
			for range c.far {
				g.Remote[0].State.Begin(workUnit, false)
			}
			if c.down {
				g.Local[0].State.MarkLeaving(testNow)
			}
			p := g.Pick(&Request{}, &PickOptions{Now: testNow}, &modelRule)
			is.Equal(p.State.ID, c.want)
		})
	}
}

func TestAffinityHoldsUpToItsBound(t *testing.T) {
	is := is.New(t)
	g := testGroup("d1", "d1", "d1", "d1")
	ask := &Request{PrefixHashes: []uint64{7, 42}}
	pick := func(r uint64) *TargetState { return g.Pick(ask, &PickOptions{Now: testNow, Rand: r}, &modelRule).State }
	home := pick(1)
	for r := range uint64(20) {
		is.Equal(pick(r), home) // one prefix, one target
	}
	for range 4 {
		home.Begin(workUnit, false)
	}
	for r := range uint64(20) {
		is.True(pick(r) != home) // above its part of the load
	}
}

func TestSlowStartHoldsBackNewTargets(t *testing.T) {
	is := is.New(t)
	g := testGroup("d1", "d1")
	g.Local[0].State.since.Store(testNow.UnixNano())
	picks := map[*TargetState]int{}
	for r := range uint64(40) {
		p := g.Pick(&Request{}, &PickOptions{Now: testNow.Add(time.Second), Rand: r}, &modelRule)
		p.State.Begin(workUnit, false)
		picks[p.State]++
	}
	is.True(picks[g.Local[0].State] <= 8)
}

func TestSuspectsKeepApart(t *testing.T) {
	is := is.New(t)
	g := testGroup("d1", "d1", "d1")
	g.Local[0].State.Begin(workUnit, true)
	g.Local[1].State.Begin(workUnit, true)
	for r := range uint64(20) {
		p := g.Pick(&Request{}, &PickOptions{Now: testNow, Rand: r, Suspect: true}, &modelRule)
		is.Equal(p.State.ID, bbunit.TargetID("t2"))
	}
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	rule := &CircuitPolicy{FailureThreshold: 2, InitialOpen: time.Second, MaxOpen: 3 * time.Second, ProbeTimeout: 5 * time.Second}
	c := &Circuit{}
	is.True(!c.RecordFailure(testNow, rule))
	is.True(!c.RecordSuccess())
	is.True(!c.RecordFailure(testNow, rule)) // a success between starts anew
	is.True(c.RecordFailure(testNow, rule))
	is.True(!c.Allow(testNow.Add(999*time.Millisecond), rule))
	probe := testNow.Add(time.Second)
	is.True(c.Allow(probe, rule))
	is.True(!c.Allow(probe, rule)) // one probe at a time
	is.True(c.Allow(probe.Add(rule.ProbeTimeout), rule))
	for _, open := range []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second} {
		is.True(c.RecordFailure(probe, rule))
		is.True(!c.Allow(probe.Add(open-1), rule)) // doubles up to the longest
		probe = probe.Add(open)
		is.True(c.Allow(probe, rule))
	}
	is.True(c.RecordSuccess())
	is.True(c.Allow(probe, rule) && c.Allow(probe, rule))
}
