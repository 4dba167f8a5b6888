package bbport

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

// Admission is the admission of one request; Done must be called once it ended.
type Admission struct {
	Done func()
	// hasSlot tells that the request has a place at the service.
	hasSlot atomic.Bool
}

// Admit lets the request in, or returns a Refusal. It answers at once, but for
// requests that wait their turn for a place: these wait no longer than they are
// expected to be served in time, and end when Cancel is closed.
func (r *Router) Admit(ask RouteRequest) (*Admission, error) {
	pass, err := r.admit(&ask, true)
	if err != nil {
		r.refused.Inc(1)
	}
	return pass, err
}

// AdmitWithoutSlot is Admit without a place at the service, for a request that has to
// be claimed before it may be sent: it would hold the place while it waits.
// Enter takes the place then. It answers at once.
func (r *Router) AdmitWithoutSlot(ask RouteRequest) (*Admission, error) {
	pass, err := r.admit(&ask, false)
	if err != nil {
		r.refused.Inc(1)
	}
	return pass, err
}

// AcquireSlot takes a place for a request that AdmitLimits let in, as Admit does.
func (r *Router) AcquireSlot(ask RouteRequest, p *Admission) error {
	g, ok := r.group(ask.Service)
	if !ok {
		return &Refusal{Cause: ErrNoTarget}
	}
	if err := r.acquireSlot(g, &ask, r.deps.Now()); err != nil {
		r.refused.Inc(1)
		return err
	}
	p.hasSlot.Store(true)
	return nil
}

func (r *Router) admit(ask *RouteRequest, place bool) (*Admission, error) {
	now := r.deps.Now()
	g, ok := r.group(ask.Service)
	switch {
	case !ok:
		return nil, &Refusal{Cause: ErrNoTarget}
	case r.poison.isPoisoned(ask.Fingerprint):
		return nil, &Refusal{Cause: ErrPoisoned}
	case !ask.Deadline.IsZero() && !now.Before(ask.Deadline):
		return nil, &Refusal{Cause: ErrDeadline}
	}
	account, service := r.currentTable().AccountLimiter(ask.Account), g.Limiter()
	if account != nil {
		if err := account.Acquire(now); err != nil {
			return nil, err
		}
	}
	err := service.Acquire(now)
	if err == nil && place {
		if err = r.acquireSlot(g, ask, now); err != nil {
			service.Cancel()
		}
	}
	if err != nil {
		if account != nil {
			account.Cancel()
		}
		return nil, err
	}
	return newAdmission(g.Admission(), account, service, place), nil
}

// newAdmission returns what gives the place and the limits back, once.
func newAdmission(gate *bbroute.AdmissionController, account, service *bbroute.Limiter, placed bool) *Admission {
	var ended atomic.Bool
	p := &Admission{}
	p.hasSlot.Store(placed)
	p.Done = func() {
		if !ended.CompareAndSwap(false, true) {
			return
		}
		if p.hasSlot.Load() {
			gate.Release()
		}
		service.Release()
		if account != nil {
			account.Release()
		}
	}
	return p
}

// acquireSlot takes a place, or lines the request up for one.
func (r *Router) acquireSlot(g *bbroute.Group, ask *RouteRequest, now time.Time) error {
	gate := g.Admission()
	if gate.TryAcquire() {
		return nil
	}
	w := &bbroute.Waiter{
		Priority:         ask.Priority,
		Deadline:         ask.Deadline,
		ExpectedDuration: gate.ExpectedDuration(g.ExpectedWork(ask)),
		Ready:            make(chan error, 1),
	}
	if err := gate.Enqueue(w, now); err != nil {
		return err
	}
	r.queued.Inc(1)
	select {
	case err := <-w.Ready:
		return err
	case <-ask.Cancel:
	}
	if !gate.CancelWait(w) && <-w.Ready == nil {
		gate.Release() // the place came as the caller left
	}
	return &Refusal{Cause: ErrCancelled}
}

// Pick chooses a target that is not among the tried ones, or returns a Refusal.
func (r *Router) Pick(ask RouteRequest, tried []bbunit.TargetID) (*Attempt, error) {
	now := r.deps.Now()
	g, ok := r.group(ask.Service)
	if !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	crashes := r.poison.crashCount(ask.Fingerprint)
	if crashes >= r.poison.policy.CrashThreshold {
		return nil, &Refusal{Cause: ErrPoisoned}
	}
	c := bbroute.PickOptions{Now: now, Rand: rand.Uint64(), Exclude: tried, Suspect: crashes > 0}
	place := g.Pick(&ask, &c, &r.pickPolicy)
	if place == nil {
		return nil, &Refusal{Cause: ErrNoTarget, RetryAfter: r.pickPolicy.Circuit.InitialOpen}
	}
	r.picks.Inc(1)
	return r.newAttempt(g, place, &ask, c.Suspect), nil
}

// PickSame chooses the given target once more, for a DecisionFresh. It returns
// a Refusal when the target has become unusable.
func (r *Router) PickSame(ask RouteRequest, id bbunit.TargetID) (*Attempt, error) {
	g, ok := r.group(ask.Service)
	if !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	place := g.Find(id)
	if place == nil || !place.Allow(r.deps.Now(), &r.pickPolicy) {
		return nil, &Refusal{Cause: ErrNoTarget, RetryAfter: r.pickPolicy.Circuit.InitialOpen}
	}
	return r.newAttempt(g, place, &ask, r.poison.crashCount(ask.Fingerprint) > 0), nil
}
