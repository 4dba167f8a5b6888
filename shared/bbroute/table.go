package bbroute

import (
	"sort"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Table is what may be routed where: an immutable snapshot of one state of the
// tickets. The zero value routes nothing.
type Table struct {
	State  *bbticket.State
	groups map[bbunit.ServiceID]*Group
	known  map[bbunit.TargetID]declared
	limits map[bbunit.AccountID]*Limiter
}

// declared is a target with the ticket and the address that declared it.
type declared struct {
	number  bbunit.TicketNumber
	address string
	target  *TargetState
}

// Group returns the service's targets.
func (t *Table) Group(id bbunit.ServiceID) (*Group, bool) {
	g, ok := t.groups[id]
	return g, ok
}

// Groups returns all services' groups, sorted by id.
func (t *Table) Groups() []*Group {
	out := make([]*Group, 0, len(t.groups))
	for _, g := range t.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service.ID < out[j].Service.ID })
	return out
}

// AccountLimiter returns the limiter of an account, nil when it has no limit.
func (t *Table) AccountLimiter(id bbunit.AccountID) *Limiter { return t.limits[id] }

// Limiters returns all limiters that limit anything, sorted by key.
func (t *Table) Limiters() []*Limiter {
	var out []*Limiter
	for _, l := range t.limits {
		out = append(out, l)
	}
	for _, g := range t.groups {
		if g.limiter.Limited() {
			out = append(out, g.limiter)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// TargetState returns what is known of a target.
func (t *Table) TargetState(id bbunit.TargetID) (*TargetState, bool) {
	d, ok := t.known[id]
	return d.target, ok
}

// TargetStates returns all targets, sorted by id.
func (t *Table) TargetStates() []*TargetState {
	out := make([]*TargetState, 0, len(t.known))
	for _, d := range t.known {
		out = append(out, d.target)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// WithState returns the table of a newer state, seen from failure domain home. What
// is known of a target stays with it while its address stays.
func (t *Table) WithState(state *bbticket.State, home bbunit.DomainID, rule AdmissionPolicy, now time.Time) *Table {
	if t.State != nil && state.LastRoutingChange > 0 && t.State.LastRoutingChange == state.LastRoutingChange {
		return &Table{State: state, groups: t.groups, known: t.known, limits: t.limits}
	}
	next := &Table{
		State:  state,
		groups: make(map[bbunit.ServiceID]*Group, len(state.Services)),
		known:  make(map[bbunit.TargetID]declared, len(state.Targets)),
		limits: make(map[bbunit.AccountID]*Limiter),
	}
	for id, s := range state.Services {
		if !s.Object.Deleted {
			next.groups[id] = t.group(s.Object, rule)
		}
	}
	for id, a := range state.Accounts {
		if !a.Object.Deleted && (a.Object.Limit.Rate > 0 || a.Object.Limit.MaxInFlight > 0) {
			next.limits[id] = keepLimiter(t.limits[id], "account/"+string(id), a.Object.Limit)
		}
	}
	for _, id := range sortedTargets(state) {
		n := state.Targets[id]
		g, ok := next.groups[n.Object.Service]
		if n.Object.Deleted || !ok {
			continue
		}
		p := Candidate{Declared: n.Object, State: t.keep(next, n, now), gate: g.gate}
		if n.Object.Domain == home {
			g.Local = append(g.Local, p)
		} else {
			g.Remote = append(g.Remote, p)
			g.farRoom += float64(p.mostFar())
			g.farSlots += p.slotsOr(unlimited)
		}
	}
	return next
}

// group returns a service's group without targets; what is known of the service
// stays with it.
func (t *Table) group(s bbticket.Service, rule AdmissionPolicy) *Group {
	key := "service/" + string(s.ID)
	old, ok := t.groups[s.ID]
	if !ok {
		return &Group{
			Service: s, turn: &atomic.Uint64{}, output: &gauge{}, gate: NewAdmissionController(rule),
			limiter: NewLimiter(key, s.Limit), retries: &RetryBudget{},
		}
	}
	return &Group{
		Service: s, turn: old.turn, output: old.output, gate: old.gate,
		limiter: keepLimiter(old.limiter, key, s.Limit), retries: old.retries,
	}
}

// keepLimiter returns the limiter there was, under the limit as declared now.
func keepLimiter(old *Limiter, key string, limit bbticket.Limit) *Limiter {
	if old == nil {
		return NewLimiter(key, limit)
	}
	old.SetLimit(limit)
	return old
}

// keep carries what is known of a target over to the next table.
func (t *Table) keep(next *Table, n bbticket.Numbered[bbticket.Target], now time.Time) *TargetState {
	d, ok := t.known[n.Object.ID]
	switch {
	case !ok || d.address != n.Object.Address:
		d.target = NewTargetState(n.Object.ID, now)
		if t.State == nil || t.State.Number == 0 {
			d.target.since.Store(0) // all are new to an instance that starts
		}
	case d.number != n.Number:
		d.target.leave.since.Store(0) // a newer ticket outweighs an older word
	}
	next.known[n.Object.ID] = declared{number: n.Number, address: n.Object.Address, target: d.target}
	return d.target
}

func sortedTargets(state *bbticket.State) []bbunit.TargetID {
	ids := make([]bbunit.TargetID, 0, len(state.Targets))
	for id := range state.Targets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
