package bbport

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// testTicket returns a ticket that writes two accounts: one that no other
// ticket writes, and one that every ticket writes.
func testTicket(n int) bbticket.Ticket {
	key := func(s string) []string { return []string{fmt.Sprintf("sha256:%064s", s)} }
	return bbticket.Ticket{Number: bbunit.TicketNumber(n), Accounts: []bbticket.Account{
		{ID: bbunit.AccountID(fmt.Sprintf("own%d", n)), Keys: key(fmt.Sprintf("%d", n))},
		{ID: "shared", Keys: key("f"), Priority: bbunit.Priority(n)},
	}}
}

func acceptTicket(t testing.TB, store bbstore.Store, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := bbticket.NewLog(store).Accept(ctx, testTicket(n), fmt.Sprint("nonce", n), time.Now()); err != nil {
		t.Fatal(err)
	}
}

func TestTicketReachesEveryInstance(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	acceptTicket(t, store, 1)
	var instances []*testInstance
	for i := range 6 {
		instances = append(instances, startInstance(t, fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%2), l, store))
	}
	all := func(n bbunit.TicketNumber) func() bool {
		return func() bool {
			for _, inst := range instances {
				if inst.number() != n || !inst.deps.Board.Ready.Load() || len(inst.view().Members) != len(instances) {
					return false
				}
			}
			return true
		}
	}
	within(t, 10*time.Second, "ticket 1 everywhere", all(1))
	acceptTicket(t, store, 2)
	within(t, 2*time.Second, "ticket 2 everywhere", all(2))
	for _, inst := range instances {
		is.Equal(inst.deps.Board.State.Load().Accounts["shared"].Object.Priority, bbunit.Priority(2))
	}
	within(t, 2*time.Second, "one open watch for each failure domain", func() bool { return store.Counts().OpenWatches == 2 })
}
