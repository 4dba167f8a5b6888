package bbroute

import (
	"sort"
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
}

// declared is a target with the ticket and the address that declared it.
type declared struct {
	number  bbunit.TicketNumber
	address string
	target  *Target
}

// Group returns the service's targets.
func (t *Table) Group(id bbunit.ServiceID) (*Group, bool) {
	g, ok := t.groups[id]
	return g, ok
}

// Target returns what is known of a target.
func (t *Table) Target(id bbunit.TargetID) (*Target, bool) {
	d, ok := t.known[id]
	return d.target, ok
}

// Targets returns all targets, sorted by id.
func (t *Table) Targets() []*Target {
	out := make([]*Target, 0, len(t.known))
	for _, d := range t.known {
		out = append(out, d.target)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Next returns the table of a newer state, seen from failure domain home. What
// is known of a target stays with it while its address stays.
func (t *Table) Next(state *bbticket.State, home bbunit.DomainID, now time.Time) *Table {
	next := &Table{
		State:  state,
		groups: make(map[bbunit.ServiceID]*Group, len(state.Services)),
		known:  make(map[bbunit.TargetID]declared, len(state.Targets)),
	}
	for id, s := range state.Services {
		if s.Object.Gone {
			continue
		}
		g := &Group{Service: s.Object, output: &gauge{}}
		if old, ok := t.groups[id]; ok {
			g.output = old.output
		}
		next.groups[id] = g
	}
	for _, id := range sortedTargets(state) {
		n := state.Targets[id]
		g, ok := next.groups[n.Object.Service]
		if n.Object.Gone || !ok {
			continue
		}
		p := Place{Decl: n.Object, Known: t.keep(next, n, now)}
		if n.Object.Domain == home {
			g.Near = append(g.Near, p)
		} else {
			g.Far = append(g.Far, p)
		}
	}
	return next
}

// keep carries what is known of a target over to the next table.
func (t *Table) keep(next *Table, n bbticket.Numbered[bbticket.Target], now time.Time) *Target {
	d, ok := t.known[n.Object.ID]
	switch {
	case !ok || d.address != n.Object.Address:
		d.target = NewTarget(n.Object.ID, now)
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
