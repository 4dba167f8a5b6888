package bbport

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// TestAdmitRefuses is the table of refusals: the sentinel, and whether there is
// a time to come back.
func TestAdmitRefuses(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(rig *routerRig)
		ask  Ask
		err  error
		back bool
	}{
		{name: "unknown service", ask: Ask{Service: "none"}, err: ErrNoTarget},
		{name: "deadline over", ask: Ask{Service: "s1", Deadline: time.Unix(1000, 0)}, err: ErrDeadline},
		{name: "poisoned", ask: Ask{Service: "s1", Fingerprint: 9}, err: ErrPoisoned, set: func(rig *routerRig) {
			rig.r.Take("i2", &bbwire.Gossip{Poisons: []*bbwire.Poison{{Print: 9, Targets: []string{"a", "b"}}}})
		}},
		{name: "account's rate", ask: Ask{Service: "s1", Account: "few"}, err: ErrLimit, back: true, set: func(rig *routerRig) {
			_, _ = rig.r.Admit(Ask{Service: "s1", Account: "few"})
		}},
		{name: "no room in time", ask: Ask{Service: "s1", Deadline: time.Unix(1000, 1)}, err: ErrOverload, back: true, set: func(rig *routerRig) {
			rig.load("a", 100, 100)
			for range 8 {
				_, _ = rig.r.Admit(Ask{Service: "s1", Deadline: time.Unix(1000, 1)})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
			if c.set != nil {
				c.set(rig)
			}
			_, err := rig.r.Admit(c.ask)
			is.True(errors.Is(err, c.err))
			var r *Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.RetryAfter > 0, c.back)
		})
	}
}

// load reports a load of the target to the router.
func (rig *routerRig) load(id bbunit.TargetID, running, waiting int32) {
	rig.r.observe([]*bbwire.Load{{Target: string(id), Running: running, Waiting: waiting, Slots: 4, At: rig.now.UnixMilli()}})
	rig.r.tick()
}

func TestAdmitGivesBackWhatItTook(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	one, err := rig.r.Admit(Ask{Service: "s1", Account: "one"}) // one open request
	is.NoErr(err)
	_, err = rig.r.Admit(Ask{Service: "s1", Account: "one"})
	is.True(errors.Is(err, ErrLimit))
	one.Done()
	one.Done()
	_, err = rig.r.Admit(Ask{Service: "s1", Account: "one"})
	is.NoErr(err)
	g, _ := rig.r.current().Group("s1")
	is.Equal(g.Admission().InFlight(), 1)
}

func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	rig.load("a", 100, 100)
	first, err := rig.r.Admit(Ask{Service: "s1"})
	is.NoErr(err)
	left := make(chan struct{})
	close(left)
	_, err = rig.r.Admit(Ask{Service: "s1", Cancel: left})
	is.True(errors.Is(err, ErrCancelled))
	first.Done()
	g, _ := rig.r.current().Group("s1")
	is.Equal(g.Admission().InFlight(), 0)
	is.Equal(g.Admission().Queued(), 0)
	is.Equal(g.Limiter().UpdateUsage(0).InFlight, 0)
}

// TestPoisonAndInnocents crashes targets with a poison and an innocent request
// in flight together: the poison is refused for good here and, by gossip, at
// another instance; the innocent is tried again apart from it and stays free.
func TestPoisonAndInnocents(t *testing.T) {
	is := is.New(t)
	targets := []bbticket.Target{{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d1"}, {ID: "c", Domain: "d1"}}
	rig, other := newRouterRig(t, targets...), newRouterRig(t, targets...)
	poison, innocent := Ask{Service: "s1", Fingerprint: 666, Idempotent: true}, Ask{Service: "s1", Fingerprint: 7, Idempotent: true}
	crash := AttemptEnd{Err: errors.New("broken"), Sent: true, Crashed: true}
	tried := []bbunit.TargetID{"b", "c"}
	p1, err := rig.r.Pick(poison, tried)
	is.NoErr(err)
	i1, err := rig.r.Pick(innocent, tried)
	is.NoErr(err)
	p1.Done(crash)
	i1.Done(crash)
	p2, err := rig.r.Pick(poison, []bbunit.TargetID{"a"})
	is.NoErr(err)
	i2, err := rig.r.Pick(innocent, []bbunit.TargetID{"a"})
	is.NoErr(err)
	is.True(p2.Target.ID != i2.Target.ID) // suspects keep apart
	p2.Done(crash)
	var s RetryState
	is.Equal(rig.r.Retry(&s, poison, crash), DecisionStop)
	_, err = rig.r.Pick(poison, nil)
	is.True(errors.Is(err, ErrPoisoned))
	i2.Done(AttemptEnd{Total: time.Second})
	_, err = rig.r.Pick(innocent, nil)
	is.NoErr(err)

	g := &bbwire.Gossip{}
	rig.r.Fill(g)
	other.r.Take("i1", g)
	_, err = other.r.Admit(poison)
	is.True(errors.Is(err, ErrPoisoned))
	_, err = other.r.Admit(innocent)
	is.NoErr(err)
}

// TestProvenRequestIsNotPoisoned holds that a request that ran whole not long
// ago is not marked when its targets crash for another reason.
func TestProvenRequestIsNotPoisoned(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1"}, bbticket.Target{ID: "b", Domain: "d1"})
	ask := Ask{Service: "s1", Fingerprint: 7, Idempotent: true}
	at, err := rig.r.Pick(ask, nil)
	is.NoErr(err)
	at.Done(AttemptEnd{Total: time.Second})
	for _, other := range []bbunit.TargetID{"a", "b"} {
		at, err := rig.r.Pick(ask, []bbunit.TargetID{other})
		is.NoErr(err)
		at.Done(AttemptEnd{Err: errors.New("broken"), Sent: true, Crashed: true})
	}
	_, err = rig.r.Pick(ask, nil)
	is.NoErr(err)
}

func TestRetryStopsWhenItsBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1"})
	end := AttemptEnd{Err: errors.New("broken")}
	again := 0
	for range 20 {
		var s RetryState
		if rig.r.Retry(&s, Ask{Service: "s1"}, end) != DecisionStop {
			again++
		}
	}
	is.Equal(again, 10) // what the floor has at once
	var s RetryState
	is.Equal(rig.r.Retry(&s, Ask{Service: "s1"}, AttemptEnd{Err: ErrLeaving, Sent: true}), DecisionElsewhere)
}

// TestFreshTryIsNotATarget holds that trying a target again over a fresh
// connection leaves the request its other targets.
func TestFreshTryIsNotATarget(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1"})
	ask := Ask{Service: "s1", Idempotent: true}
	end := AttemptEnd{Err: errors.New("silent"), Sent: true, Reused: true}
	var s RetryState
	var got []Decision
	for range 6 {
		got = append(got, rig.r.Retry(&s, ask, end))
	}
	is.Equal(got, []Decision{DecisionFresh, DecisionElsewhere, DecisionFresh, DecisionElsewhere, DecisionStop, DecisionStop})
}

func TestReusedConnectionIsNotBlamed(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1"})
	for range 10 {
		at, err := rig.r.Pick(Ask{Service: "s1"}, nil)
		is.NoErr(err)
		at.Done(AttemptEnd{Err: errors.New("silent"), Sent: true, Reused: true})
	}
	at, err := rig.r.PickSame(Ask{Service: "s1"}, "a")
	is.NoErr(err)
	at.Done(AttemptEnd{Err: ErrLeaving})
	_, err = rig.r.PickSame(Ask{Service: "s1"}, "a")
	is.True(errors.Is(err, ErrNoTarget))
}

// TestClaimedRequestsTakeTheirPlaceLate: a request that waits for its claim
// keeps no place from others, and gives back what it took, once.
func TestClaimedRequestsTakeTheirPlaceLate(t *testing.T) {
	is := is.New(t)
	rig := newRouterRig(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	rig.load("a", 100, 100) // room for one
	left := make(chan struct{})
	close(left)
	ask := Ask{Service: "s1", Cancel: left}
	claimed, err := rig.r.AdmitLimits(ask)
	is.NoErr(err)
	read, err := rig.r.Admit(ask)
	is.NoErr(err)
	is.True(errors.Is(rig.r.Enter(ask, claimed), ErrCancelled)) // it would have to wait
	read.Done()
	is.NoErr(rig.r.Enter(ask, claimed))
	_, err = rig.r.Admit(ask)
	is.True(errors.Is(err, ErrCancelled))
	claimed.Done()
	claimed.Done()
	g, _ := rig.r.current().Group("s1")
	is.Equal(g.Admission().InFlight(), 0)
	is.Equal(g.Limiter().UpdateUsage(0).InFlight, 0)
	unplaced, err := rig.r.AdmitLimits(ask)
	is.NoErr(err)
	unplaced.Done()
	is.Equal(g.Admission().InFlight(), 0)
}
