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

// newTestGroup returns service s with targets t0, t1, ... in the failure domains.
func newTestGroup(domains ...bbunit.DomainID) *Group {
	state := &bbticket.State{
		Services: map[bbunit.ServiceID]bbticket.Numbered[bbticket.Service]{"s": {Object: bbticket.Service{ID: "s"}}},
		Targets:  map[bbunit.TargetID]bbticket.Numbered[bbticket.Target]{},
	}
	for i, domain := range domains {
		id := bbunit.TargetID(fmt.Sprintf("t%d", i))
		state.Targets[id] = bbticket.Numbered[bbticket.Target]{Object: bbticket.Target{ID: id, Service: "s", Domain: domain, Slots: 8}}
	}
	g, _ := (&Table{}).WithState(state, "d1", AdmissionPolicy{MaxQueued: 8, MaxWait: time.Second}, testNow).Group("s")
	return g
}

// TestPickReturnsOnlyUsableTargets draws targets in any condition: one that leaves,
// is tried or has an open circuit is never picked, and a usable one is found.
func TestPickReturnsOnlyUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		g := newTestGroup(rapid.SliceOfN(rapid.SampledFrom([]bbunit.DomainID{"d1", "d2"}), n, n).Draw(t, "domains")...)
		usable := map[bbunit.TargetID]bool{}
		var tried []bbunit.TargetID
		for _, candidates := range [][]Candidate{g.Local, g.Remote} {
			for i := range candidates {
				p := &candidates[i]
				switch rapid.IntRange(0, 4).Draw(t, "condition") {
				case 0:
					p.Declared.Leaving = true
				case 1:
					p.State.MarkLeaving(testNow)
				case 2:
					for range testPickPolicy.Circuit.FailureThreshold {
						p.State.Circuit.RecordFailure(testNow, &testPickPolicy.Circuit)
					}
				case 3:
					tried = append(tried, p.State.ID)
				default:
					usable[p.State.ID] = true
					p.State.Begin(int64(rapid.IntRange(0, 20).Draw(t, "load"))*meanRequestWork, false)
				}
			}
		}
		req := &Request{Service: "s", PrefixHashes: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefix")}
		opts := &PickOptions{Now: testNow, Rand: rapid.Uint64().Draw(t, "rand"), Exclude: tried, Suspect: rapid.Bool().Draw(t, "suspect")}
		p := g.Pick(req, opts, &testPickPolicy)
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
		name       string
		localLoad  int // requests at the near target
		remoteLoad int
		localDown  bool // the near target is unusable
		want       bbunit.TargetID
	}{
		{name: "near when idle", want: "t0"},
		{name: "near up to the spill wait", localLoad: 9, want: "t0"},
		{name: "far when near waits long", localLoad: 20, want: "t1"},
		{name: "near when far has its part", localLoad: 20, remoteLoad: 1, want: "t0"},
		{name: "far without bound when near is down", remoteLoad: 30, localDown: true, want: "t1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup("d1", "d2")
			for range c.localLoad {
				g.Local[0].State.Begin(meanRequestWork, false)
			}
			for range c.remoteLoad {
				g.Remote[0].State.Begin(meanRequestWork, false)
			}
			if c.localDown {
				g.Local[0].State.MarkLeaving(testNow)
			}
			p := g.Pick(&Request{}, &PickOptions{Now: testNow}, &testPickPolicy)
			is.Equal(p.State.ID, c.want)
		})
	}
}

func TestAffinityRespectsLoadBound(t *testing.T) {
	is := is.New(t)
	g := newTestGroup("d1", "d1", "d1", "d1")
	req := &Request{PrefixHashes: []uint64{7, 42}}
	pick := func(r uint64) *TargetState {
		return g.Pick(req, &PickOptions{Now: testNow, Rand: r}, &testPickPolicy).State
	}
	preferred := pick(1)
	for r := range uint64(20) {
		is.Equal(pick(r), preferred) // one prefix, one target
	}
	for range 4 {
		preferred.Begin(meanRequestWork, false)
	}
	for r := range uint64(20) {
		is.True(pick(r) != preferred) // above its part of the load
	}
}

func TestSlowStartLimitsNewTargets(t *testing.T) {
	is := is.New(t)
	g := newTestGroup("d1", "d1")
	g.Local[0].State.slowStartAt.Store(testNow.UnixNano())
	picks := map[*TargetState]int{}
	for r := range uint64(40) {
		p := g.Pick(&Request{}, &PickOptions{Now: testNow.Add(time.Second), Rand: r}, &testPickPolicy)
		p.State.Begin(meanRequestWork, false)
		picks[p.State]++
	}
	is.True(picks[g.Local[0].State] <= 8)
}

func TestSuspectsUseSeparateTargets(t *testing.T) {
	is := is.New(t)
	g := newTestGroup("d1", "d1", "d1")
	g.Local[0].State.Begin(meanRequestWork, true)
	g.Local[1].State.Begin(meanRequestWork, true)
	for r := range uint64(20) {
		p := g.Pick(&Request{}, &PickOptions{Now: testNow, Rand: r, Suspect: true}, &testPickPolicy)
		is.Equal(p.State.ID, bbunit.TargetID("t2"))
	}
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	policy := &CircuitPolicy{FailureThreshold: 2, InitialOpen: time.Second, MaxOpen: 3 * time.Second, ProbeTimeout: 5 * time.Second}
	c := &Circuit{}
	is.True(!c.RecordFailure(testNow, policy))
	is.True(!c.RecordSuccess())
	is.True(!c.RecordFailure(testNow, policy)) // a success between starts anew
	is.True(c.RecordFailure(testNow, policy))
	is.True(!c.Allow(testNow.Add(999*time.Millisecond), policy))
	probeAt := testNow.Add(time.Second)
	is.True(c.Allow(probeAt, policy))
	is.True(!c.Allow(probeAt, policy)) // one probe at a time
	is.True(c.Allow(probeAt.Add(policy.ProbeTimeout), policy))
	for _, open := range []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second} {
		is.True(c.RecordFailure(probeAt, policy))
		is.True(!c.Allow(probeAt.Add(open-1), policy)) // doubles up to the longest
		probeAt = probeAt.Add(open)
		is.True(c.Allow(probeAt, policy))
	}
	is.True(c.RecordSuccess())
	is.True(c.Allow(probeAt, policy) && c.Allow(probeAt, policy))
}
