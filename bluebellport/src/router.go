package bbport

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// RouteRequest describes a request to the router.
type RouteRequest = bbroute.Request

// Refusal is the error of a request that the router does not admit; errors.As
// finds its RetryAfter.
type Refusal = bbroute.Refusal

// Sentinel errors of the router.
const (
	ErrLimit     = bbroute.ErrLimit
	ErrOverload  = bbroute.ErrOverload
	ErrNoTarget  = bbroute.ErrNoTarget
	ErrDeadline  = bbroute.ErrDeadline
	ErrPoisoned  = bbroute.ErrPoisoned
	ErrCancelled = bbroute.ErrCancelled
	ErrLeaving   = bbroute.ErrLeaving
	ErrBusy      = bbroute.ErrBusy
)

// Router admits requests and chooses their targets. Pick and Retry take no lock,
// nor does Attempt.Done unless the target crashed. Admit and Admission.Done take
// one only if requests queue for a slot.
type Router struct {
	deps        Deps
	pickPolicy  bbroute.PickPolicy
	retryPolicy bbroute.RetryPolicy
	table       atomic.Pointer[bbroute.Table]
	building    atomic.Bool // a caller is building the next table
	crashes     *bbcrash.Tracker
	limits      *sharedLimits
	poller      *loadPoller
	routerMetrics
}

type routerMetrics struct {
	picks, failedAttempts, openedCircuits, retries, exhaustedRetries metrics.Counter
	refused, droppedMessages, queued                                 metrics.Counter
}

func newRouterMetrics(r metrics.Registry) routerMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("route."+name, r) }
	return routerMetrics{
		picks: counter("picks"), failedAttempts: counter("attempts.failed"), openedCircuits: counter("circuits.opened"),
		retries: counter("retries"), exhaustedRetries: counter("retries.exhausted"),
		refused: counter("refused"), droppedMessages: counter("messages.dropped"), queued: counter("lined-up"),
	}
}

// NewRouter returns a router for the board's state, and a function that stops
// it.
func NewRouter(deps Deps) (*Router, func()) {
	r := newRouter(deps, newHTTPLoadFetcher(deps.Now))
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.runEvery(ctx, routeTickInterval, r.tick) })
	wg.Go(func() { r.crashes.Run(ctx) })
	wg.Go(func() {
		r.runEvery(ctx, deps.Opts.Route.LoadPollInterval, func() { r.poller.pollOnce(ctx, r.poller.homeTargets(r.currentTable())) })
	})
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// newRouter returns a router without background goroutines.
func newRouter(deps Deps, fetcher loadFetcher) *Router {
	r := &Router{
		deps:          deps,
		pickPolicy:    deps.Opts.Route.pickPolicy(),
		retryPolicy:   deps.Opts.Route.retryPolicy(),
		crashes:       newCrashTracker(deps),
		limits:        newSharedLimits(deps),
		routerMetrics: newRouterMetrics(deps.Metrics),
	}
	r.poller = newLoadPoller(deps, fetcher, r.observeLoads)
	r.table.Store(&bbroute.Table{})
	return r
}

// newCrashTracker returns the part that knows the requests that crash targets.
func newCrashTracker(deps Deps) *bbcrash.Tracker {
	return bbcrash.New(bbcrash.Config{
		Threshold: deps.Opts.Route.PoisonCrashThreshold, Network: crashNetwork{deps}, Store: deps.Store, StoreKey: refusedRequestsKey,
		Now: deps.Now, Log: deps.Log, Metrics: deps.Metrics,
	})
}

// crashNetwork implements bbcrash.Network. Without a bus, the instance has no
// peers.
type crashNetwork struct{ deps Deps }

func (n crashNetwork) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	if n.deps.Bus == nil {
		return ErrPeerUnreachable
	}
	return n.deps.Bus.Send(to, e)
}

func (n crashNetwork) Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope) {
	if n.deps.Bus != nil {
		n.deps.Bus.Handle(sample, fn)
	}
}

func (n crashNetwork) View() *bbmember.View { return n.deps.Board.View.Load() }

// runEvery calls fn at each interval until ctx ends.
func (r *Router) runEvery(ctx context.Context, interval time.Duration, fn func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn()
		}
	}
}

// tick updates the admission windows and this instance's shares of the limits.
func (r *Router) tick() {
	now, table := r.deps.Now(), r.currentTable()
	r.limits.tick(table, now)
	n := r.limits.domainInstances()
	for _, g := range table.Groups() {
		g.UpdateWindow(now, n)
	}
}

// observeLoads applies load reports. Invalid reports and reports on unknown
// targets are counted and dropped.
func (r *Router) observeLoads(loads []*bbwire.Load) {
	now, table := r.deps.Now(), r.currentTable()
	for i, m := range loads {
		t, ok := table.TargetState(bbunit.TargetID(m.GetTarget()))
		if !ok || i >= maxLoadsPerMessage {
			r.droppedMessages.Inc(1)
			continue
		}
		changed, err := t.Observe(newLoadReport(m), now)
		switch {
		case errors.Is(err, bbroute.ErrBadReport):
			r.droppedMessages.Inc(1)
			r.deps.Log.WithError(err).WithField("target", t.ID).Warn("load report dropped")
		case changed:
			r.deps.Log.WithField("target", t.ID).WithField("leaving", m.Leaving).Info("target's own report")
		}
	}
}

// newAttempt counts the request as in flight at the target until Done is called.
func (r *Router) newAttempt(g *bbroute.Group, candidate *bbroute.Candidate, req *RouteRequest, suspect bool) *Attempt {
	work, fingerprint, sentAt := g.ExpectedWork(req), req.Fingerprint, r.deps.Now()
	t := candidate.State
	t.Begin(work, suspect)
	var ended atomic.Bool
	return &Attempt{Target: candidate.Declared, Done: func(result AttemptResult) {
		if !ended.CompareAndSwap(false, true) {
			return
		}
		t.End(work, suspect)
		r.recordAttempt(g, t, fingerprint, sentAt, &result)
	}}
}

// recordAttempt updates the target's circuit, the retry budget and the crash
// records after an attempt.
func (r *Router) recordAttempt(g *bbroute.Group, t *bbroute.TargetState, fingerprint uint64, sentAt time.Time, result *AttemptResult) {
	now, routeRes := r.deps.Now(), routeResult(result)
	switch {
	case routeRes.Err == nil:
		g.RecordCompletion(t, result.OutputTokens, result.Total)
		g.RetryBudget().Earn(&r.retryPolicy)
		r.crashes.RecordAnswer(fingerprint, nil, sentAt)
		t.Circuit.RecordSuccess()
	case errors.Is(routeRes.Err, ErrLeaving):
		if t.MarkLeaving(now) {
			r.deps.Log.WithField("target", t.ID).Info("target leaving by its refusal")
		}
	case errors.Is(routeRes.Err, ErrBusy):
		t.MarkBusy(now.Add(busyBackoff))
	case routeRes.IsTargetFault():
		r.failedAttempts.Inc(1)
		if t.Circuit.RecordFailure(now, &r.pickPolicy.Circuit) {
			r.openedCircuits.Inc(1)
			r.deps.Log.WithField("target", t.ID).WithError(routeRes.Err).Warn("circuit open")
		}
	}
	if routeRes.Crashed {
		r.crashes.RecordCrash(bbcrash.Observation{Fingerprint: fingerprint, Run: bbcrash.TargetRun{ID: t.ID}, SentAt: sentAt, BrokenAt: now})
	}
}

// currentTable returns the routing table for the board's state. After a change
// of state one caller builds the new table; the others get the old one
// meanwhile.
func (r *Router) currentTable() *bbroute.Table {
	t := r.table.Load()
	if t.State == r.deps.Board.State.Load() || !r.building.CompareAndSwap(false, true) {
		return t
	}
	defer r.building.Store(false)
	now := r.deps.Now()
	t = r.table.Load().WithState(r.deps.Board.State.Load(), bbunit.DomainID(r.deps.Opts.Self.Domain), r.deps.Opts.Route.admissionPolicy(), now)
	r.table.Store(t)
	return t
}

// group returns the service's group. If the old table does not contain the
// service, group waits for the table that another caller is building.
func (r *Router) group(id bbunit.ServiceID) (*bbroute.Group, bool) {
	for {
		t := r.currentTable()
		g, ok := t.Group(id)
		if ok || t.State == r.deps.Board.State.Load() {
			return g, ok
		}
		runtime.Gosched()
	}
}

// Targets returns the service's declared targets.
func (r *Router) Targets(id bbunit.ServiceID) []bbticket.Target {
	g, ok := r.group(id)
	if !ok {
		return nil
	}
	out := make([]bbticket.Target, 0, len(g.Local)+len(g.Remote))
	for _, candidates := range [][]bbroute.Candidate{g.Local, g.Remote} {
		for i := range candidates {
			out = append(out, candidates[i].Declared)
		}
	}
	return out
}
