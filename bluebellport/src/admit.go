package bbport

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

// Admission is held by an admitted request. Done must be called when the request
// has ended.
type Admission struct {
	Done func()
	// hasSlot is set if the request has an admission slot of the service.
	hasSlot atomic.Bool
}

// Admit admits the request or returns a Refusal. It returns at once unless the
// request has to queue for a slot. A request queues only while it can be
// expected to be served before its deadline, and until req.Cancel is closed.
func (r *Router) Admit(req RouteRequest) (*Admission, error) {
	admission, err := r.admit(&req, true)
	if err != nil {
		r.refused.Inc(1)
	}
	return admission, err
}

// AdmitWithoutSlot is Admit without the slot, for a request that must be claimed
// before it is sent and would hold the slot while it waits for the claim.
// AcquireSlot takes the slot afterwards. AdmitWithoutSlot returns at once.
func (r *Router) AdmitWithoutSlot(req RouteRequest) (*Admission, error) {
	admission, err := r.admit(&req, false)
	if err != nil {
		r.refused.Inc(1)
	}
	return admission, err
}

// AcquireSlot takes a slot for a request admitted by AdmitWithoutSlot. Like
// Admit, it may queue the request.
func (r *Router) AcquireSlot(req RouteRequest, admission *Admission) error {
	g, ok := r.group(req.Service)
	if !ok {
		return &Refusal{Cause: ErrNoTarget}
	}
	if err := r.acquireSlot(g, &req, r.deps.Now()); err != nil {
		r.refused.Inc(1)
		return err
	}
	admission.hasSlot.Store(true)
	return nil
}

func (r *Router) admit(req *RouteRequest, withSlot bool) (*Admission, error) {
	now := r.deps.Now()
	g, ok := r.group(req.Service)
	switch {
	case !ok:
		return nil, &Refusal{Cause: ErrNoTarget}
	case r.crashes.IsRefused(req.Fingerprint):
		return nil, &Refusal{Cause: ErrPoisoned}
	case !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return nil, &Refusal{Cause: ErrDeadline}
	}
	account, service := r.currentTable().AccountLimiter(req.Account), g.Limiter()
	if account != nil {
		if err := account.Acquire(now); err != nil {
			return nil, err
		}
	}
	err := service.Acquire(now)
	if err == nil && withSlot {
		if err = r.acquireSlot(g, req, now); err != nil {
			service.Cancel()
		}
	}
	if err != nil {
		if account != nil {
			account.Cancel()
		}
		return nil, err
	}
	return newAdmission(g.Admission(), account, service, withSlot), nil
}

// newAdmission returns an admission whose Done releases the slot and the limits,
// once.
func newAdmission(controller *bbroute.AdmissionController, account, service *bbroute.Limiter, hasSlot bool) *Admission {
	var ended atomic.Bool
	admission := &Admission{}
	admission.hasSlot.Store(hasSlot)
	admission.Done = func() {
		if !ended.CompareAndSwap(false, true) {
			return
		}
		if admission.hasSlot.Load() {
			controller.Release()
		}
		service.Release()
		if account != nil {
			account.Release()
		}
	}
	return admission
}

// acquireSlot takes a slot, or queues the request until it gets one.
func (r *Router) acquireSlot(g *bbroute.Group, req *RouteRequest, now time.Time) error {
	controller := g.Admission()
	if controller.TryAcquire() {
		return nil
	}
	waiter := &bbroute.Waiter{
		Priority:         req.Priority,
		Deadline:         req.Deadline,
		ExpectedDuration: controller.ExpectedDuration(g.ExpectedWork(req)),
		Ready:            make(chan error, 1),
	}
	if err := controller.Enqueue(waiter, now); err != nil {
		return err
	}
	r.queued.Inc(1)
	select {
	case err := <-waiter.Ready:
		return err
	case <-req.Cancel:
	}
	if !controller.CancelWait(waiter) && <-waiter.Ready == nil {
		controller.Release() // the slot was assigned while the caller left
	}
	return &Refusal{Cause: ErrCancelled}
}

// Pick chooses a target that is not in tried, or returns a Refusal.
func (r *Router) Pick(req RouteRequest, tried []bbunit.TargetID) (*Attempt, error) {
	now := r.deps.Now()
	g, ok := r.group(req.Service)
	if !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	if r.crashes.IsRefused(req.Fingerprint) {
		return nil, &Refusal{Cause: ErrPoisoned}
	}
	opts := bbroute.PickOptions{Now: now, Rand: rand.Uint64(), Exclude: tried, Suspect: r.crashes.IsSuspect(req.Fingerprint)}
	candidate := g.Pick(&req, &opts, &r.pickPolicy)
	if candidate == nil {
		return nil, &Refusal{Cause: ErrNoTarget, RetryAfter: r.pickPolicy.Circuit.InitialOpen}
	}
	r.picks.Inc(1)
	return r.newAttempt(g, candidate, &req, opts.Suspect), nil
}

// PickSame chooses the given target again, for DecisionRetrySame. It returns a
// Refusal if the target has become unusable.
func (r *Router) PickSame(req RouteRequest, id bbunit.TargetID) (*Attempt, error) {
	g, ok := r.group(req.Service)
	if !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	candidate := g.Find(id)
	if candidate == nil || !candidate.Allow(r.deps.Now(), &r.pickPolicy) {
		return nil, &Refusal{Cause: ErrNoTarget, RetryAfter: r.pickPolicy.Circuit.InitialOpen}
	}
	return r.newAttempt(g, candidate, &req, r.crashes.IsSuspect(req.Fingerprint)), nil
}
