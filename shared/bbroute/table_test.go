package bbroute

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// TestWithStateRebuildsRoutes checks that routes are kept for a ticket that
// changes only budgets and rebuilt for any other, also when the state was
// decoded from another instance.
func TestWithStateRebuildsRoutes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	target := func(id bbunit.TargetID) bbticket.Target {
		return bbticket.Target{ID: id, Service: "s", Address: "10.0.0.1:1", Domain: "d"}
	}
	routedTargets := func(table *Table) int {
		g, ok := table.Group("s")
		is.True(ok)
		return len(g.Local) + len(g.Remote)
	}
	state := (&bbticket.State{}).Apply(bbticket.Ticket{Number: 1, Services: []bbticket.Service{{ID: "s"}}, Targets: []bbticket.Target{target("a")}})
	first := (&Table{}).WithState(state, "d", AdmissionPolicy{}, now)
	is.Equal(routedTargets(first), 1)
	state = state.Apply(bbticket.Ticket{Number: 2, Budgets: []bbticket.Budget{{ID: "b"}}})
	kept := first.WithState(state, "d", AdmissionPolicy{}, now)
	is.Equal(routedTargets(kept), 1)
	is.Equal(kept.State, state)
	state = state.Apply(bbticket.Ticket{Number: 3, Targets: []bbticket.Target{target("c")}})
	is.Equal(routedTargets(kept.WithState(state, "d", AdmissionPolicy{}, now)), 2)

	data, err := json.Marshal(state)
	is.NoErr(err)
	var decoded bbticket.State
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(routedTargets(kept.WithState(kept.State.Merge(&decoded), "d", AdmissionPolicy{}, now)), 2)
	state = state.Apply(bbticket.Ticket{Number: 4, Services: []bbticket.Service{{ID: "s2"}}})
	_, ok := kept.WithState(state, "d", AdmissionPolicy{}, now).Group("s2")
	is.True(ok)
}
