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
	g, _ := (&Table{}).Next(s, "d1", GateRule{Most: 8, Longest: time.Second}, testNow).Group("s")
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
		for _, places := range [][]Place{g.Near, g.Far} {
			for i := range places {
				p := &places[i]
				switch rapid.IntRange(0, 4).Draw(t, "condition") {
				case 0:
					p.Decl.Leaving = true
				case 1:
					p.Known.Leave(testNow)
				case 2:
					for range modelRule.Circuit.Fails {
						p.Known.Circuit.Failure(testNow, &modelRule.Circuit)
					}
				case 3:
					tried = append(tried, p.Known.ID)
				default:
					usable[p.Known.ID] = true
					p.Known.Begin(int64(rapid.IntRange(0, 20).Draw(t, "load"))*workUnit, false)
				}
			}
		}
		ask := &Ask{Service: "s", Prefix: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefix")}
		c := &Choice{Now: testNow, Rand: rapid.Uint64().Draw(t, "rand"), Tried: tried, Suspect: rapid.Bool().Draw(t, "suspect")}
		p := g.Pick(ask, c, &modelRule)
		if (p != nil) != (len(usable) > 0) {
			t.Fatalf("picked %v with %d usable", p, len(usable))
		}
		if p != nil && !usable[p.Known.ID] {
			t.Fatalf("picked unusable %s", p.Known.ID)
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
				g.Near[0].Known.Begin(workUnit, false)
			}
			for range c.far {
				g.Far[0].Known.Begin(workUnit, false)
			}
			if c.down {
				g.Near[0].Known.Leave(testNow)
			}
			p := g.Pick(&Ask{}, &Choice{Now: testNow}, &modelRule)
			is.Equal(p.Known.ID, c.want)
		})
	}
}

func TestAffinityHoldsUpToItsBound(t *testing.T) {
	is := is.New(t)
	g := testGroup("d1", "d1", "d1", "d1")
	ask := &Ask{Prefix: []uint64{7, 42}}
	pick := func(r uint64) *Target { return g.Pick(ask, &Choice{Now: testNow, Rand: r}, &modelRule).Known }
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
	g.Near[0].Known.since.Store(testNow.UnixNano())
	picks := map[*Target]int{}
	for r := range uint64(40) {
		p := g.Pick(&Ask{}, &Choice{Now: testNow.Add(time.Second), Rand: r}, &modelRule)
		p.Known.Begin(workUnit, false)
		picks[p.Known]++
	}
	is.True(picks[g.Near[0].Known] <= 8)
}

func TestSuspectsKeepApart(t *testing.T) {
	is := is.New(t)
	g := testGroup("d1", "d1", "d1")
	g.Near[0].Known.Begin(workUnit, true)
	g.Near[1].Known.Begin(workUnit, true)
	for r := range uint64(20) {
		p := g.Pick(&Ask{}, &Choice{Now: testNow, Rand: r, Suspect: true}, &modelRule)
		is.Equal(p.Known.ID, bbunit.TargetID("t2"))
	}
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	rule := &CircuitRule{Fails: 2, Open: time.Second, Longest: 3 * time.Second, Probe: 5 * time.Second}
	c := &Circuit{}
	is.True(!c.Failure(testNow, rule))
	is.True(!c.Success())
	is.True(!c.Failure(testNow, rule)) // a success between starts anew
	is.True(c.Failure(testNow, rule))
	is.True(!c.Enter(testNow.Add(999*time.Millisecond), rule))
	probe := testNow.Add(time.Second)
	is.True(c.Enter(probe, rule))
	is.True(!c.Enter(probe, rule)) // one probe at a time
	is.True(c.Enter(probe.Add(rule.Probe), rule))
	for _, open := range []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second} {
		is.True(c.Failure(probe, rule))
		is.True(!c.Enter(probe.Add(open-1), rule)) // doubles up to the longest
		probe = probe.Add(open)
		is.True(c.Enter(probe, rule))
	}
	is.True(c.Success())
	is.True(c.Enter(probe, rule) && c.Enter(probe, rule))
}
