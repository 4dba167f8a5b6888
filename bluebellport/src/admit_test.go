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
		set  func(rig *testRouter)
		ask  RouteRequest
		err  error
		back bool
	}{
		{name: "unknown service", ask: RouteRequest{Service: "none"}, err: ErrNoTarget},
		{name: "deadline over", ask: RouteRequest{Service: "s1", Deadline: time.Unix(1000, 0)}, err: ErrDeadline},
		{name: "poisoned", ask: RouteRequest{Service: "s1", Fingerprint: 9}, err: ErrPoisoned, set: func(rig *testRouter) {
			rig.router.Take("i2", &bbwire.Gossip{Poisons: []*bbwire.Poison{{Print: 9, Targets: []string{"a", "b"}}}})
		}},
		{name: "account's rate", ask: RouteRequest{Service: "s1", Account: "few"}, err: ErrLimit, back: true, set: func(rig *testRouter) {
			_, _ = rig.router.Admit(RouteRequest{Service: "s1", Account: "few"})
		}},
		{name: "no room in time", ask: RouteRequest{Service: "s1", Deadline: time.Unix(1000, 1)}, err: ErrOverload, back: true, set: func(rig *testRouter) {
			rig.reportLoad("a", 100, 100)
			for range 8 {
				_, _ = rig.router.Admit(RouteRequest{Service: "s1", Deadline: time.Unix(1000, 1)})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
			if c.set != nil {
				c.set(rig)
			}
			_, err := rig.router.Admit(c.ask)
			is.True(errors.Is(err, c.err))
			var r *Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.RetryAfter > 0, c.back)
		})
	}
}

// reportLoad reports a load of the target to the router.
func (rig *testRouter) reportLoad(id bbunit.TargetID, running, waiting int32) {
	rig.router.observeLoads([]*bbwire.Load{{Target: string(id), Running: running, Waiting: waiting, Slots: 4, At: rig.now.UnixMilli()}})
	rig.router.tick()
}

func TestAdmitGivesBackWhatItTook(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	one, err := rig.router.Admit(RouteRequest{Service: "s1", Account: "one"}) // one open request
	is.NoErr(err)
	_, err = rig.router.Admit(RouteRequest{Service: "s1", Account: "one"})
	is.True(errors.Is(err, ErrLimit))
	one.Done()
	one.Done()
	_, err = rig.router.Admit(RouteRequest{Service: "s1", Account: "one"})
	is.NoErr(err)
	g, _ := rig.router.currentTable().Group("s1")
	is.Equal(g.Admission().InFlight(), 1)
}

func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	rig.reportLoad("a", 100, 100)
	first, err := rig.router.Admit(RouteRequest{Service: "s1"})
	is.NoErr(err)
	left := make(chan struct{})
	close(left)
	_, err = rig.router.Admit(RouteRequest{Service: "s1", Cancel: left})
	is.True(errors.Is(err, ErrCancelled))
	first.Done()
	g, _ := rig.router.currentTable().Group("s1")
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
	rig, other := newTestRouter(t, targets...), newTestRouter(t, targets...)
	poison, innocent := RouteRequest{Service: "s1", Fingerprint: 666, Idempotent: true}, RouteRequest{Service: "s1", Fingerprint: 7, Idempotent: true}
	crash := AttemptResult{Err: errors.New("broken"), Sent: true, Crashed: true}
	tried := []bbunit.TargetID{"b", "c"}
	p1, err := rig.router.Pick(poison, tried)
	is.NoErr(err)
	i1, err := rig.router.Pick(innocent, tried)
	is.NoErr(err)
	p1.Done(crash)
	i1.Done(crash)
	p2, err := rig.router.Pick(poison, []bbunit.TargetID{"a"})
	is.NoErr(err)
	i2, err := rig.router.Pick(innocent, []bbunit.TargetID{"a"})
	is.NoErr(err)
	is.True(p2.Target.ID != i2.Target.ID) // suspects keep apart
	p2.Done(crash)
	var s RetryState
	is.Equal(rig.router.Retry(&s, poison, crash), DecisionStop)
	_, err = rig.router.Pick(poison, nil)
	is.True(errors.Is(err, ErrPoisoned))
	i2.Done(AttemptResult{Total: time.Second})
	_, err = rig.router.Pick(innocent, nil)
	is.NoErr(err)

	g := &bbwire.Gossip{}
	rig.router.Fill(g)
	other.router.Take("i1", g)
	_, err = other.router.Admit(poison)
	is.True(errors.Is(err, ErrPoisoned))
	_, err = other.router.Admit(innocent)
	is.NoErr(err)
}

// TestProvenRequestIsNotPoisoned holds that a request that ran whole not long
// ago is not marked when its targets crash for another reason.
func TestProvenRequestIsNotPoisoned(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"}, bbticket.Target{ID: "b", Domain: "d1"})
	ask := RouteRequest{Service: "s1", Fingerprint: 7, Idempotent: true}
	at, err := rig.router.Pick(ask, nil)
	is.NoErr(err)
	at.Done(AttemptResult{Total: time.Second})
	for _, other := range []bbunit.TargetID{"a", "b"} {
		at, err := rig.router.Pick(ask, []bbunit.TargetID{other})
		is.NoErr(err)
		at.Done(AttemptResult{Err: errors.New("broken"), Sent: true, Crashed: true})
	}
	_, err = rig.router.Pick(ask, nil)
	is.NoErr(err)
}

func TestRetryStopsWhenItsBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	end := AttemptResult{Err: errors.New("broken")}
	again := 0
	for range 20 {
		var s RetryState
		if rig.router.Retry(&s, RouteRequest{Service: "s1"}, end) != DecisionStop {
			again++
		}
	}
	is.Equal(again, 10) // what the floor has at once
	var s RetryState
	is.Equal(rig.router.Retry(&s, RouteRequest{Service: "s1"}, AttemptResult{Err: ErrLeaving, Sent: true}), DecisionRetryOther)
}

// TestFreshTryIsNotATarget holds that trying a target again over a fresh
// connection leaves the request its other targets.
func TestFreshTryIsNotATarget(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	ask := RouteRequest{Service: "s1", Idempotent: true}
	end := AttemptResult{Err: errors.New("silent"), Sent: true, ConnReused: true}
	var s RetryState
	var got []Decision
	for range 6 {
		got = append(got, rig.router.Retry(&s, ask, end))
	}
	is.Equal(got, []Decision{DecisionRetrySame, DecisionRetryOther, DecisionRetrySame, DecisionRetryOther, DecisionStop, DecisionStop})
}

func TestReusedConnectionIsNotBlamed(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	for range 10 {
		at, err := rig.router.Pick(RouteRequest{Service: "s1"}, nil)
		is.NoErr(err)
		at.Done(AttemptResult{Err: errors.New("silent"), Sent: true, ConnReused: true})
	}
	at, err := rig.router.PickSame(RouteRequest{Service: "s1"}, "a")
	is.NoErr(err)
	at.Done(AttemptResult{Err: ErrLeaving})
	_, err = rig.router.PickSame(RouteRequest{Service: "s1"}, "a")
	is.True(errors.Is(err, ErrNoTarget))
}

// TestClaimedRequestsTakeTheirPlaceLate: a request that waits for its claim
// keeps no place from others, and gives back what it took, once.
func TestClaimedRequestsTakeTheirPlaceLate(t *testing.T) {
	is := is.New(t)
	rig := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	rig.reportLoad("a", 100, 100) // room for one
	left := make(chan struct{})
	close(left)
	ask := RouteRequest{Service: "s1", Cancel: left}
	claimed, err := rig.router.AdmitWithoutSlot(ask)
	is.NoErr(err)
	read, err := rig.router.Admit(ask)
	is.NoErr(err)
	is.True(errors.Is(rig.router.AcquireSlot(ask, claimed), ErrCancelled)) // it would have to wait
	read.Done()
	is.NoErr(rig.router.AcquireSlot(ask, claimed))
	_, err = rig.router.Admit(ask)
	is.True(errors.Is(err, ErrCancelled))
	claimed.Done()
	claimed.Done()
	g, _ := rig.router.currentTable().Group("s1")
	is.Equal(g.Admission().InFlight(), 0)
	is.Equal(g.Limiter().UpdateUsage(0).InFlight, 0)
	unplaced, err := rig.router.AdmitWithoutSlot(ask)
	is.NoErr(err)
	unplaced.Done()
	is.Equal(g.Admission().InFlight(), 0)
}
