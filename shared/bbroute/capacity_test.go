package bbroute

import (
	"fmt"
	"testing"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// BenchmarkCapacityWithState measures Table.WithState after a new ticket: one that
// changes a target, and one that changes only a budget.
func BenchmarkCapacityWithState(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		ticket := bbticket.Ticket{Number: 1}
		for i := range 4 {
			ticket.Services = append(ticket.Services, bbticket.Service{ID: bbunit.ServiceID(fmt.Sprintf("model-%d", i))})
		}
		for i := range n {
			ticket.Targets = append(ticket.Targets, bbticket.Target{
				ID: bbunit.TargetID(fmt.Sprintf("target-%05d", i)), Service: ticket.Services[i%4].ID,
				Address: "10.0.0.1:8000", Domain: bbunit.DomainID(fmt.Sprintf("domain-%02d", i%35)), Slots: 8,
			})
		}
		state := (&bbticket.State{}).Apply(ticket)
		now := time.Unix(1000, 0)
		table := (&Table{}).WithState(state, "domain-00", AdmissionPolicy{}, now)
		for name, next := range map[string]bbticket.Ticket{
			"target": {Number: 2, Targets: ticket.Targets[:1]},
			"budget": {Number: 2, Budgets: []bbticket.Budget{{ID: "b"}}},
		} {
			updated := state.Apply(next)
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					table.WithState(updated, "domain-00", AdmissionPolicy{}, now)
				}
			})
		}
	}
}
