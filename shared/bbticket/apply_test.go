package bbticket

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

// TestApplyAnyOrder applies the same tickets in order and in random order with
// one repeated. The states must be equal, and no object may get a lower number.
func TestApplyAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tickets []Ticket
		n := rapid.IntRange(1, 12).Draw(t, "tickets")
		for i := range n {
			id := rapid.SampledFrom([]bbunit.BudgetID{"a", "b", "c"}).Draw(t, "budget")
			account := rapid.SampledFrom([]bbunit.AccountID{"x", "y"}).Draw(t, "account")
			paid := rapid.Int64Range(0, 100).Draw(t, "paid")
			deleted := rapid.Bool().Draw(t, "gone")
			tickets = append(tickets, Ticket{
				Number:  bbunit.TicketNumber(i + 1),
				Budgets: []Budget{{ID: id, Account: account, Paid: bbunit.Tokens(paid), Deleted: deleted}},
			})
		}
		ordered, shuffled := &State{}, &State{}
		for _, ticket := range tickets {
			ordered = ordered.Apply(ticket)
		}
		for _, ticket := range append(rapid.Permutation(tickets).Draw(t, "order"), tickets[rapid.IntRange(0, n-1).Draw(t, "again")]) {
			before := shuffled
			shuffled = shuffled.Apply(ticket)
			for id, o := range before.Budgets.All() {
				if after := shuffled.Budgets.Get(id).Number; after < o.Number {
					t.Fatalf("budget %s was reverted from ticket %d to ticket %d", id, o.Number, after)
				}
			}
		}
		rebuilt := &State{Number: shuffled.Number, Budgets: shuffled.Budgets}
		rebuilt.Reindex()
		if !reflect.DeepEqual(rebuilt.ByAccount, shuffled.ByAccount) {
			t.Fatalf("incrementally updated index differs from a rebuilt one:\n%+v\n%+v", shuffled.ByAccount, rebuilt.ByAccount)
		}
		if !reflect.DeepEqual(ordered, shuffled) {
			t.Fatalf("states differ:\n%+v\n%+v", ordered, shuffled)
		}
	})
}
