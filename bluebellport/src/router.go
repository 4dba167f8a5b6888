package bbport

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Ask is what a request asks of the router.
type Ask = bbroute.Request

// Refusal is the error of a request that is not let through; errors.As finds
// its RetryAfter.
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

// Router lets requests in and chooses their targets. Pick, Retry and the ends of
// requests take no lock, nor does Admit unless the request must wait for a place.
type Router struct {
	p        Parts
	rule     bbroute.PickPolicy
	retry    bbroute.RetryPolicy
	table    atomic.Pointer[bbroute.Table]
	building atomic.Bool
	poison   *poisoner
	limits   *limiter
	poller   *loadPoller
	routerMetrics
}

// routerMetrics are what the router counts.
type routerMetrics struct {
	picks, failures, opened, retries, exhausted metrics.Counter
	refused, dropped, lined                     metrics.Counter
}

func newRouterMetrics(r metrics.Registry) routerMetrics {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("route."+name, r) }
	return routerMetrics{
		picks: c("picks"), failures: c("attempts.failed"), opened: c("circuits.opened"),
		retries: c("retries"), exhausted: c("retries.exhausted"),
		refused: c("refused"), dropped: c("messages.dropped"), lined: c("lined-up"),
	}
}

// NewRouter returns a router over the board's state, and a function that stops
// it.
func NewRouter(p Parts) (*Router, func()) {
	r := newRouter(p, newHTTPProber(p.Now))
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.every(ctx, routeTick, r.tick) })
	wg.Go(func() {
		r.every(ctx, p.Opts.Route.LoadEvery, func() { r.poller.round(ctx, r.poller.mine(r.current())) })
	})
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// newRouter returns a router that does nothing on its own.
func newRouter(p Parts, probe prober) *Router {
	r := &Router{
		p:             p,
		rule:          p.Opts.Route.choice(),
		retry:         p.Opts.Route.retry(),
		poison:        newPoisoner(p.Opts.Route.poison()),
		limits:        newLimiter(p),
		routerMetrics: newRouterMetrics(p.Metrics),
	}
	r.poller = newLoadPoller(p, probe, r.observe)
	r.table.Store(&bbroute.Table{})
	return r
}

// every calls fn at each interval until ctx ends.
func (r *Router) every(ctx context.Context, d time.Duration, fn func()) {
	t := time.NewTicker(d)
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

// tick sets windows and shares anew and forgets what is old.
func (r *Router) tick() {
	now, table := r.p.Now(), r.current()
	r.limits.tick(table, now)
	r.poison.tick(now)
	n := r.limits.peers()
	for _, g := range table.Groups() {
		g.UpdateWindow(now, n)
	}
}

// observe takes load reports. What is bad or unknown is counted and dropped.
func (r *Router) observe(loads []*bbwire.Load) {
	now, table := r.p.Now(), r.current()
	for i, m := range loads {
		t, ok := table.TargetState(bbunit.TargetID(m.GetTarget()))
		if !ok || i >= loadsMost {
			r.dropped.Inc(1)
			continue
		}
		news, err := t.Observe(report(m), now)
		switch {
		case errors.Is(err, bbroute.ErrBadReport):
			r.dropped.Inc(1)
			r.p.Log.WithError(err).WithField("target", t.ID).Warn("load report dropped")
		case news:
			r.p.Log.WithField("target", t.ID).WithField("leaving", m.Leaving).Info("target's own report")
		}
	}
}

// attempt counts the request at the target until Done.
func (r *Router) attempt(g *bbroute.Group, place *bbroute.Candidate, ask *Ask, suspect bool) *Attempt {
	work, fp := g.ExpectedWork(ask), ask.Fingerprint
	t := place.State
	t.Begin(work, suspect)
	var ended atomic.Bool
	return &Attempt{Target: place.Declared, Done: func(end AttemptEnd) {
		if !ended.CompareAndSwap(false, true) {
			return
		}
		t.End(work, suspect)
		r.ended(g, t, fp, &end)
	}}
}

// ended draws the conclusions from the end of an attempt.
func (r *Router) ended(g *bbroute.Group, t *bbroute.TargetState, fp uint64, end *AttemptEnd) {
	now, e := r.p.Now(), coreEnd(end)
	switch {
	case e.Err == nil:
		g.RecordCompletion(t, end.Output, end.Total)
		g.RetryBudget().Earn(&r.retry)
		r.poison.proven.Add(fp)
		t.Circuit.RecordSuccess()
	case errors.Is(e.Err, ErrLeaving):
		if t.MarkLeaving(now) {
			r.p.Log.WithField("target", t.ID).Info("target leaving by its refusal")
		}
	case errors.Is(e.Err, ErrBusy):
		t.MarkBusy(now.Add(busyHold))
	case e.IsTargetFault():
		r.failures.Inc(1)
		if t.Circuit.RecordFailure(now, &r.rule.Circuit) {
			r.opened.Inc(1)
			r.p.Log.WithField("target", t.ID).WithError(e.Err).Warn("circuit open")
		}
	}
	if e.Crashed && r.poison.crashed(fp, t.ID, now) {
		r.alarm([]uint64{fp}, true)
	}
}

// current returns the table of the board's state. One caller builds a new one;
// the others use the old one meanwhile.
func (r *Router) current() *bbroute.Table {
	t := r.table.Load()
	if t.State == r.p.Board.State.Load() || !r.building.CompareAndSwap(false, true) {
		return t
	}
	defer r.building.Store(false)
	now := r.p.Now()
	t = r.table.Load().WithState(r.p.Board.State.Load(), bbunit.DomainID(r.p.Opts.Self.Domain), r.p.Opts.Route.gate(), now)
	r.table.Store(t)
	return t
}

// group returns the service's group. When the table at hand does not know the
// service, it waits for the one that is being built.
func (r *Router) group(id bbunit.ServiceID) (*bbroute.Group, bool) {
	for {
		t := r.current()
		g, ok := t.Group(id)
		if ok || t.State == r.p.Board.State.Load() {
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
	for _, places := range [][]bbroute.Candidate{g.Local, g.Remote} {
		for i := range places {
			out = append(out, places[i].Declared)
		}
	}
	return out
}
