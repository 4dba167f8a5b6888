package bbport

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Ask is what a request asks of the router.
type Ask = bbroute.Ask

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

// Router lets requests in and chooses their targets. Admit, Pick and what they
// return take no lock.
type Router struct {
	p        Parts
	rule     bbroute.ChoiceRule
	table    atomic.Pointer[bbroute.Table]
	building atomic.Bool
	seed     atomic.Uint64

	picks    metrics.Counter
	failures metrics.Counter
	opened   metrics.Counter
}

// NewRouter returns a router over the board's state, and a function that stops
// it.
func NewRouter(p Parts) (*Router, func()) {
	r := &Router{
		p:        p,
		rule:     p.Opts.Route.choice(),
		picks:    metrics.GetOrRegisterCounter("route.picks", p.Metrics),
		failures: metrics.GetOrRegisterCounter("route.attempts.failed", p.Metrics),
		opened:   metrics.GetOrRegisterCounter("route.circuits.opened", p.Metrics),
	}
	r.seed.Store(uint64(p.Now().UnixNano()))
	r.table.Store(&bbroute.Table{})
	return r, func() {}
}

// Pass is the admission of one request; Done must be called once it ended.
type Pass struct {
	Done func()
}

// Admit lets the request in, or returns a Refusal.
func (r *Router) Admit(ask Ask) (*Pass, error) {
	if _, ok := r.current().Group(ask.Service); !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	return &Pass{Done: func() {}}, nil
}

// Pick chooses a target that is not among the tried ones, or returns a Refusal.
func (r *Router) Pick(ask Ask, tried []bbunit.TargetID) (*Attempt, error) {
	now := r.p.Now()
	g, ok := r.current().Group(ask.Service)
	if !ok {
		return nil, &Refusal{Cause: ErrNoTarget}
	}
	c := bbroute.Choice{Now: now, Rand: r.seed.Add(seedStep), Tried: tried}
	place := g.Pick(&ask, &c, &r.rule)
	if place == nil {
		return nil, &Refusal{Cause: ErrNoTarget, RetryAfter: r.rule.Circuit.Open}
	}
	r.picks.Inc(1)
	return r.attempt(g, place, &ask), nil
}

// attempt counts the request at the target until Done.
func (r *Router) attempt(g *bbroute.Group, place *bbroute.Place, ask *Ask) *Attempt {
	work := g.Work(ask)
	place.Known.Begin(work, false)
	var ended atomic.Bool
	return &Attempt{Target: place.Decl, Done: func(end AttemptEnd) {
		if !ended.CompareAndSwap(false, true) {
			return
		}
		place.Known.End(work, false)
		r.ended(g, place.Known, &end)
	}}
}

// ended draws the conclusions from the end of an attempt.
func (r *Router) ended(g *bbroute.Group, t *bbroute.Target, end *AttemptEnd) {
	now := r.p.Now()
	switch {
	case end.Err == nil:
		t.Took(end.Total)
		g.Done(end.Output)
		t.Circuit.Success()
	case errors.Is(end.Err, ErrLeaving):
		t.Leave(now)
	case errors.Is(end.Err, ErrBusy):
		t.Busy(now.Add(busyHold))
	case errors.Is(end.Err, ErrCancelled):
	default:
		r.failures.Inc(1)
		if t.Circuit.Failure(now, &r.rule.Circuit) {
			r.opened.Inc(1)
		}
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
	t = r.table.Load().Next(r.p.Board.State.Load(), bbunit.DomainID(r.p.Opts.Self.Domain), r.p.Now())
	r.table.Store(t)
	return t
}

// Targets returns the service's declared targets.
func (r *Router) Targets(id bbunit.ServiceID) []bbticket.Target {
	g, ok := r.current().Group(id)
	if !ok {
		return nil
	}
	out := make([]bbticket.Target, 0, len(g.Near)+len(g.Far))
	for _, places := range [][]bbroute.Place{g.Near, g.Far} {
		for i := range places {
			out = append(out, places[i].Decl)
		}
	}
	return out
}

const (
	// seedStep moves the seed of the choices on (the golden ratio).
	seedStep = 0x9e3779b97f4a7c15
	// busyHold is how long a target that refused for lack of room is passed over.
	busyHold = 250 * time.Millisecond
)
