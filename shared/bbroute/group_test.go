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

// newTestGroup returns the group of a service with targets t0, t1, ... in the
// given failure domains; d1 is the local one.
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

// TestPickReturnsOnlyUsableTargets checks that Pick never returns a target that
// is leaving, excluded or has an open circuit, and that it finds a usable one
// if there is one.
func TestPickReturnsOnlyUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		g := newTestGroup(rapid.SliceOfN(rapid.SampledFrom([]bbunit.DomainID{"d1", "d2"}), n, n).Draw(t, "domains")...)
		usable := map[bbunit.TargetID]bool{}
		var excluded []bbunit.TargetID
		for _, candidates := range [][]Candidate{g.Local, g.Remote} {
			for i := range candidates {
				candidate := &candidates[i]
				switch rapid.IntRange(0, 4).Draw(t, "condition") {
				case 0:
					candidate.Declared.Leaving = true
				case 1:
					candidate.State.MarkLeaving(testNow)
				case 2:
					for range testPickPolicy.Circuit.FailureThreshold {
						candidate.State.Circuit.RecordFailure(testNow, &testPickPolicy.Circuit)
					}
				case 3:
					excluded = append(excluded, candidate.State.ID)
				default:
					usable[candidate.State.ID] = true
					candidate.State.Begin(int64(rapid.IntRange(0, 20).Draw(t, "load"))*meanRequestWork, false)
				}
			}
		}
		req := &Request{Service: "s", PrefixHashes: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefix")}
		opts := &PickOptions{Now: testNow, Rand: rapid.Uint64().Draw(t, "rand"), Exclude: excluded, Suspect: rapid.Bool().Draw(t, "suspect")}
		candidate := g.Pick(req, opts, &testPickPolicy)
		if (candidate != nil) != (len(usable) > 0) {
			t.Fatalf("picked %v with %d usable", candidate, len(usable))
		}
		if candidate != nil && !usable[candidate.State.ID] {
			t.Fatalf("picked unusable %s", candidate.State.ID)
		}
	})
}

func TestSpillOver(t *testing.T) {
	for _, c := range []struct {
		name       string
		localLoad  int // requests at the local target
		remoteLoad int
		localDown  bool // the local target is unusable
		want       bbunit.TargetID
	}{
		{name: "local when idle", want: "t0"},
		{name: "local up to the spill wait", localLoad: 9, want: "t0"},
		{name: "remote when the local wait is long", localLoad: 20, want: "t1"},
		{name: "local when remote is at its maximum", localLoad: 20, remoteLoad: 1, want: "t0"},
		{name: "remote without a maximum when local is down", remoteLoad: 30, localDown: true, want: "t1"},
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
			candidate := g.Pick(&Request{}, &PickOptions{Now: testNow}, &testPickPolicy)
			is.Equal(candidate.State.ID, c.want)
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
		is.Equal(pick(r), preferred) // the same prefix gets the same target
	}
	for range 4 {
		preferred.Begin(meanRequestWork, false)
	}
	for r := range uint64(20) {
		is.True(pick(r) != preferred) // above its load bound
	}
}

func TestSlowStartLimitsNewTargets(t *testing.T) {
	is := is.New(t)
	g := newTestGroup("d1", "d1")
	g.Local[0].State.slowStartAt.Store(testNow.UnixNano())
	picks := map[*TargetState]int{}
	for r := range uint64(40) {
		candidate := g.Pick(&Request{}, &PickOptions{Now: testNow.Add(time.Second), Rand: r}, &testPickPolicy)
		candidate.State.Begin(meanRequestWork, false)
		picks[candidate.State]++
	}
	is.True(picks[g.Local[0].State] <= 8)
}

func TestSuspectsUseSeparateTargets(t *testing.T) {
	is := is.New(t)
	g := newTestGroup("d1", "d1", "d1")
	g.Local[0].State.Begin(meanRequestWork, true)
	g.Local[1].State.Begin(meanRequestWork, true)
	for r := range uint64(20) {
		candidate := g.Pick(&Request{}, &PickOptions{Now: testNow, Rand: r, Suspect: true}, &testPickPolicy)
		is.Equal(candidate.State.ID, bbunit.TargetID("t2"))
	}
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	policy := &CircuitPolicy{FailureThreshold: 2, InitialOpen: time.Second, MaxOpen: 3 * time.Second, ProbeTimeout: 5 * time.Second}
	c := &Circuit{}
	is.True(!c.RecordFailure(testNow, policy))
	is.True(!c.RecordSuccess())
	is.True(!c.RecordFailure(testNow, policy)) // the success has reset the count
	is.True(c.RecordFailure(testNow, policy))
	is.True(!c.Allow(testNow.Add(999*time.Millisecond), policy))
	probeAt := testNow.Add(time.Second)
	is.True(c.Allow(probeAt, policy))
	is.True(!c.Allow(probeAt, policy)) // one probe at a time
	is.True(c.Allow(probeAt.Add(policy.ProbeTimeout), policy))
	for _, openFor := range []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second} {
		is.True(c.RecordFailure(probeAt, policy))
		is.True(!c.Allow(probeAt.Add(openFor-1), policy)) // doubles up to MaxOpen
		probeAt = probeAt.Add(openFor)
		is.True(c.Allow(probeAt, policy))
	}
	is.True(c.RecordSuccess())
	is.True(c.Allow(probeAt, policy) && c.Allow(probeAt, policy))
}
