package bbticket

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

// TestApplyAnyOrder gives one set of tickets in two orders, some twice: the
// state is the same and no object goes back.
func TestApplyAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Ticket
		n := rapid.IntRange(1, 12).Draw(t, "tickets")
		for i := range n {
			id := rapid.SampledFrom([]bbunit.BudgetID{"a", "b", "c"}).Draw(t, "budget")
			account := rapid.SampledFrom([]bbunit.AccountID{"x", "y"}).Draw(t, "account")
			paid := rapid.Int64Range(0, 100).Draw(t, "paid")
			gone := rapid.Bool().Draw(t, "gone")
			list = append(list, Ticket{
				Number:  bbunit.TicketNumber(i + 1),
				Budgets: []Budget{{ID: id, Account: account, Paid: bbunit.Tokens(paid), Deleted: gone}},
			})
		}
		ordered, mixed := &State{}, &State{}
		for _, k := range list {
			ordered = ordered.Apply(k)
		}
		for _, k := range append(rapid.Permutation(list).Draw(t, "order"), list[rapid.IntRange(0, n-1).Draw(t, "again")]) {
			was := mixed
			mixed = mixed.Apply(k)
			for id, o := range was.Budgets.All() {
				if now := mixed.Budgets.Get(id).Number; now < o.Number {
					t.Fatalf("budget %s went back from %d to %d", id, o.Number, now)
				}
			}
		}
		whole := &State{Number: mixed.Number, Budgets: mixed.Budgets}
		whole.Reindex()
		if !reflect.DeepEqual(whole.ByAccount, mixed.ByAccount) {
			t.Fatalf("index kept step by step differs from a rebuilt one:\n%+v\n%+v", mixed.ByAccount, whole.ByAccount)
		}
		if !reflect.DeepEqual(ordered, mixed) {
			t.Fatalf("states differ:\n%+v\n%+v", ordered, mixed)
		}
	})
}
