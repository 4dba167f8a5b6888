package bbroute

import (
	"sort"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Table is the routing table: the services' targets and limits at one state of
// the tickets, immutable but for counters and target states. The zero value
// routes nothing.
type Table struct {
	State           *bbticket.State
	groups          map[bbunit.ServiceID]*Group
	targets         map[bbunit.TargetID]trackedTarget
	accountLimiters map[bbunit.AccountID]*Limiter
}

// trackedTarget is the state of a target, with the number of the ticket and the
// address that declared it.
type trackedTarget struct {
	number  bbunit.TicketNumber
	address string
	state   *TargetState
}

// Group returns the service's group, and whether the service exists.
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
func (t *Table) AccountLimiter(id bbunit.AccountID) *Limiter { return t.accountLimiters[id] }

// Limiters returns the limiters of all accounts and services that have a limit,
// sorted by key.
func (t *Table) Limiters() []*Limiter {
	var out []*Limiter
	for _, l := range t.accountLimiters {
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

// TargetState returns the state of a target, and whether the target exists.
func (t *Table) TargetState(id bbunit.TargetID) (*TargetState, bool) {
	tracked, ok := t.targets[id]
	return tracked.state, ok
}

// TargetStates returns the states of all targets, sorted by id.
func (t *Table) TargetStates() []*TargetState {
	out := make([]*TargetState, 0, len(t.targets))
	for _, tracked := range t.targets {
		out = append(out, tracked.state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// WithState returns the table for a newer state of the tickets. Targets in
// localDomain become Local, others Remote. A target that keeps its address
// keeps its state.
func (t *Table) WithState(state *bbticket.State, localDomain bbunit.DomainID, policy AdmissionPolicy, now time.Time) *Table {
	if t.State != nil && state.LastRoutingChange > 0 && t.State.LastRoutingChange == state.LastRoutingChange {
		return &Table{State: state, groups: t.groups, targets: t.targets, accountLimiters: t.accountLimiters}
	}
	next := &Table{
		State:           state,
		groups:          make(map[bbunit.ServiceID]*Group, len(state.Services)),
		targets:         make(map[bbunit.TargetID]trackedTarget, len(state.Targets)),
		accountLimiters: make(map[bbunit.AccountID]*Limiter),
	}
	for id, s := range state.Services {
		if !s.Object.Deleted {
			next.groups[id] = t.serviceGroup(s.Object, policy)
		}
	}
	for id, a := range state.Accounts {
		if !a.Object.Deleted && (a.Object.Limit.Rate > 0 || a.Object.Limit.MaxInFlight > 0) {
			next.accountLimiters[id] = updateLimiter(t.accountLimiters[id], "account/"+string(id), a.Object.Limit)
		}
	}
	for _, id := range sortedTargets(state) {
		target := state.Targets[id]
		g, ok := next.groups[target.Object.Service]
		if target.Object.Deleted || !ok {
			continue
		}
		candidate := Candidate{Declared: target.Object, State: t.trackTarget(next, target, now), admission: g.admission}
		if target.Object.Domain == localDomain {
			g.Local = append(g.Local, candidate)
		} else {
			g.Remote = append(g.Remote, candidate)
			g.remoteRoom += float64(candidate.maxRemoteInFlight())
			g.remoteSlots += candidate.slotsOr(unlimited)
		}
	}
	return next
}

// serviceGroup returns a service's group without targets. Counters of a known
// service are carried over.
func (t *Table) serviceGroup(s bbticket.Service, policy AdmissionPolicy) *Group {
	key := "service/" + string(s.ID)
	old, ok := t.groups[s.ID]
	if !ok {
		return &Group{
			Service: s, roundRobin: &atomic.Uint64{}, meanOutput: &atomicFloat{}, admission: NewAdmissionController(policy),
			limiter: NewLimiter(key, s.Limit), retryBudget: &RetryBudget{},
		}
	}
	return &Group{
		Service: s, roundRobin: old.roundRobin, meanOutput: old.meanOutput, admission: old.admission,
		limiter: updateLimiter(old.limiter, key, s.Limit), retryBudget: old.retryBudget,
	}
}

// updateLimiter returns the old limiter with the new limit, or a new limiter if
// there is no old one.
func updateLimiter(old *Limiter, key string, limit bbticket.Limit) *Limiter {
	if old == nil {
		return NewLimiter(key, limit)
	}
	old.SetLimit(limit)
	return old
}

// trackTarget adds the target to next, with its old state if it keeps its
// address, and returns the state.
func (t *Table) trackTarget(next *Table, target bbticket.Numbered[bbticket.Target], now time.Time) *TargetState {
	tracked, ok := t.targets[target.Object.ID]
	switch {
	case !ok || tracked.address != target.Object.Address:
		tracked.state = NewTargetState(target.Object.ID, now)
		if t.State == nil || t.State.Number == 0 {
			tracked.state.slowStartAt.Store(0) // no slow start: after a start of the instance all targets are new
		}
	case tracked.number != target.Number:
		tracked.state.leaving.since.Store(0) // a newer ticket overrides an older mark
	}
	next.targets[target.Object.ID] = trackedTarget{number: target.Number, address: target.Object.Address, state: tracked.state}
	return tracked.state
}

func sortedTargets(state *bbticket.State) []bbunit.TargetID {
	ids := make([]bbunit.TargetID, 0, len(state.Targets))
	for id := range state.Targets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
