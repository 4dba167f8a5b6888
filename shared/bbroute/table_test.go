package bbroute

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// TestNextSeesEveryRoute: a table is kept over tickets on budgets and rebuilt
// for any other, also when the state came whole from elsewhere.
func TestNextSeesEveryRoute(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	target := func(id bbunit.TargetID) bbticket.Target {
		return bbticket.Target{ID: id, Service: "s", Address: "10.0.0.1:1", Domain: "d"}
	}
	routed := func(table *Table) int {
		g, ok := table.Group("s")
		is.True(ok)
		return len(g.Local) + len(g.Remote)
	}
	s := (&bbticket.State{}).Apply(bbticket.Ticket{Number: 1, Services: []bbticket.Service{{ID: "s"}}, Targets: []bbticket.Target{target("a")}})
	one := (&Table{}).WithState(s, "d", AdmissionPolicy{}, now)
	is.Equal(routed(one), 1)
	s = s.Apply(bbticket.Ticket{Number: 2, Budgets: []bbticket.Budget{{ID: "b"}}})
	kept := one.WithState(s, "d", AdmissionPolicy{}, now)
	is.Equal(routed(kept), 1)
	is.Equal(kept.State, s)
	s = s.Apply(bbticket.Ticket{Number: 3, Targets: []bbticket.Target{target("c")}})
	is.Equal(routed(kept.WithState(s, "d", AdmissionPolicy{}, now)), 2)

	v, err := json.Marshal(s)
	is.NoErr(err)
	var sent bbticket.State
	is.NoErr(json.Unmarshal(v, &sent))
	is.Equal(routed(kept.WithState(kept.State.Merge(&sent), "d", AdmissionPolicy{}, now)), 2)
	s = s.Apply(bbticket.Ticket{Number: 4, Services: []bbticket.Service{{ID: "s2"}}})
	_, ok := kept.WithState(s, "d", AdmissionPolicy{}, now).Group("s2")
	is.True(ok)
}
