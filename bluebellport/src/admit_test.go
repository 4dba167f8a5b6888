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
		set  func(tr *testRouter)
		ask  RouteRequest
		err  error
		back bool
	}{
		{name: "unknown service", ask: RouteRequest{Service: "none"}, err: ErrNoTarget},
		{name: "deadline over", ask: RouteRequest{Service: "s1", Deadline: time.Unix(1000, 0)}, err: ErrDeadline},
		{name: "poisoned", ask: RouteRequest{Service: "s1", Fingerprint: 9}, err: ErrPoisoned, set: func(tr *testRouter) {
			tr.router.Take("i2", &bbwire.Gossip{Poisons: []*bbwire.Poison{{Print: 9, Targets: []string{"a", "b"}}}})
		}},
		{name: "account's rate", ask: RouteRequest{Service: "s1", Account: "few"}, err: ErrLimit, back: true, set: func(tr *testRouter) {
			_, _ = tr.router.Admit(RouteRequest{Service: "s1", Account: "few"})
		}},
		{name: "no room in time", ask: RouteRequest{Service: "s1", Deadline: time.Unix(1000, 1)}, err: ErrOverload, back: true, set: func(tr *testRouter) {
			tr.reportLoad("a", 100, 100)
			for range 8 {
				_, _ = tr.router.Admit(RouteRequest{Service: "s1", Deadline: time.Unix(1000, 1)})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
			if c.set != nil {
				c.set(tr)
			}
			_, err := tr.router.Admit(c.ask)
			is.True(errors.Is(err, c.err))
			var r *Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.RetryAfter > 0, c.back)
		})
	}
}

// reportLoad reports a load of the target to the router.
func (tr *testRouter) reportLoad(id bbunit.TargetID, running, waiting int32) {
	tr.router.observeLoads([]*bbwire.Load{{Target: string(id), Running: running, Waiting: waiting, Slots: 4, At: tr.now.UnixMilli()}})
	tr.router.tick()
}

func TestAdmissionReleasesOnce(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	admission, err := tr.router.Admit(RouteRequest{Service: "s1", Account: "one"}) // one open request
	is.NoErr(err)
	_, err = tr.router.Admit(RouteRequest{Service: "s1", Account: "one"})
	is.True(errors.Is(err, ErrLimit))
	admission.Done()
	admission.Done()
	_, err = tr.router.Admit(RouteRequest{Service: "s1", Account: "one"})
	is.NoErr(err)
	g, _ := tr.router.currentTable().Group("s1")
	is.Equal(g.Admission().InFlight(), 1)
}

func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	tr.reportLoad("a", 100, 100)
	first, err := tr.router.Admit(RouteRequest{Service: "s1"})
	is.NoErr(err)
	callerLeft := make(chan struct{})
	close(callerLeft)
	_, err = tr.router.Admit(RouteRequest{Service: "s1", Cancel: callerLeft})
	is.True(errors.Is(err, ErrCancelled))
	first.Done()
	g, _ := tr.router.currentTable().Group("s1")
	is.Equal(g.Admission().InFlight(), 0)
	is.Equal(g.Admission().Queued(), 0)
	is.Equal(g.Limiter().UpdateUsage(0).InFlight, 0)
}

// TestOnlyPoisonIsRefusedAfterCrashes crashes targets with a poison and an innocent request
// in flight together: the poison is refused for good here and, by gossip, at
// another instance; the innocent is tried again apart from it and stays free.
func TestOnlyPoisonIsRefusedAfterCrashes(t *testing.T) {
	is := is.New(t)
	targets := []bbticket.Target{{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d1"}, {ID: "c", Domain: "d1"}}
	tr, other := newTestRouter(t, targets...), newTestRouter(t, targets...)
	poison, innocent := RouteRequest{Service: "s1", Fingerprint: 666, Idempotent: true}, RouteRequest{Service: "s1", Fingerprint: 7, Idempotent: true}
	crash := AttemptResult{Err: errors.New("broken"), Sent: true, Crashed: true}
	tried := []bbunit.TargetID{"b", "c"}
	p1, err := tr.router.Pick(poison, tried)
	is.NoErr(err)
	i1, err := tr.router.Pick(innocent, tried)
	is.NoErr(err)
	p1.Done(crash)
	i1.Done(crash)
	p2, err := tr.router.Pick(poison, []bbunit.TargetID{"a"})
	is.NoErr(err)
	i2, err := tr.router.Pick(innocent, []bbunit.TargetID{"a"})
	is.NoErr(err)
	is.True(p2.Target.ID != i2.Target.ID) // suspects keep apart
	p2.Done(crash)
	var s RetryState
	is.Equal(tr.router.Retry(&s, poison, crash), DecisionStop)
	_, err = tr.router.Pick(poison, nil)
	is.True(errors.Is(err, ErrPoisoned))
	i2.Done(AttemptResult{Total: time.Second})
	_, err = tr.router.Pick(innocent, nil)
	is.NoErr(err)

	g := &bbwire.Gossip{}
	tr.router.Fill(g)
	other.router.Take("i1", g)
	_, err = other.router.Admit(poison)
	is.True(errors.Is(err, ErrPoisoned))
	_, err = other.router.Admit(innocent)
	is.NoErr(err)
}

// TestKnownGoodRequestIsNotPoisoned holds that a request that ran whole not long
// ago is not marked when its targets crash for another reason.
func TestKnownGoodRequestIsNotPoisoned(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"}, bbticket.Target{ID: "b", Domain: "d1"})
	ask := RouteRequest{Service: "s1", Fingerprint: 7, Idempotent: true}
	at, err := tr.router.Pick(ask, nil)
	is.NoErr(err)
	at.Done(AttemptResult{Total: time.Second})
	for _, other := range []bbunit.TargetID{"a", "b"} {
		at, err := tr.router.Pick(ask, []bbunit.TargetID{other})
		is.NoErr(err)
		at.Done(AttemptResult{Err: errors.New("broken"), Sent: true, Crashed: true})
	}
	_, err = tr.router.Pick(ask, nil)
	is.NoErr(err)
}

func TestRetryStopsWhenItsBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	end := AttemptResult{Err: errors.New("broken")}
	retries := 0
	for range 20 {
		var s RetryState
		if tr.router.Retry(&s, RouteRequest{Service: "s1"}, end) != DecisionStop {
			retries++
		}
	}
	is.Equal(retries, 10) // what the floor has at once
	var s RetryState
	is.Equal(tr.router.Retry(&s, RouteRequest{Service: "s1"}, AttemptResult{Err: ErrLeaving, Sent: true}), DecisionRetryOther)
}

// TestRetryOnSameTargetIsNotCounted holds that trying a target again over a fresh
// connection leaves the request its other targets.
func TestRetryOnSameTargetIsNotCounted(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	ask := RouteRequest{Service: "s1", Idempotent: true}
	end := AttemptResult{Err: errors.New("silent"), Sent: true, ConnReused: true}
	var s RetryState
	var got []Decision
	for range 6 {
		got = append(got, tr.router.Retry(&s, ask, end))
	}
	is.Equal(got, []Decision{DecisionRetrySame, DecisionRetryOther, DecisionRetrySame, DecisionRetryOther, DecisionStop, DecisionStop})
}

func TestFailureOnReusedConnectionIsNotCounted(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	for range 10 {
		at, err := tr.router.Pick(RouteRequest{Service: "s1"}, nil)
		is.NoErr(err)
		at.Done(AttemptResult{Err: errors.New("silent"), Sent: true, ConnReused: true})
	}
	at, err := tr.router.PickSame(RouteRequest{Service: "s1"}, "a")
	is.NoErr(err)
	at.Done(AttemptResult{Err: ErrLeaving})
	_, err = tr.router.PickSame(RouteRequest{Service: "s1"}, "a")
	is.True(errors.Is(err, ErrNoTarget))
}

// TestClaimedRequestAcquiresSlotAfterClaim: a request that waits for its claim
// keeps no place from others, and gives back what it took, once.
func TestClaimedRequestAcquiresSlotAfterClaim(t *testing.T) {
	is := is.New(t)
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1", Slots: 4})
	tr.reportLoad("a", 100, 100) // room for one
	callerLeft := make(chan struct{})
	close(callerLeft)
	req := RouteRequest{Service: "s1", Cancel: callerLeft}
	claimed, err := tr.router.AdmitWithoutSlot(req)
	is.NoErr(err)
	other, err := tr.router.Admit(req)
	is.NoErr(err)
	is.True(errors.Is(tr.router.AcquireSlot(req, claimed), ErrCancelled)) // it would have to wait
	other.Done()
	is.NoErr(tr.router.AcquireSlot(req, claimed))
	_, err = tr.router.Admit(req)
	is.True(errors.Is(err, ErrCancelled))
	claimed.Done()
	claimed.Done()
	g, _ := tr.router.currentTable().Group("s1")
	is.Equal(g.Admission().InFlight(), 0)
	is.Equal(g.Limiter().UpdateUsage(0).InFlight, 0)
	withoutSlot, err := tr.router.AdmitWithoutSlot(req)
	is.NoErr(err)
	withoutSlot.Done()
	is.Equal(g.Admission().InFlight(), 0)
}
