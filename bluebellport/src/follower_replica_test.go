package bbport

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// TestReplicaNeverRegresses gives a replica tickets and full states in any
// order. Its number never decreases, and its state is always that of the log at
// its number.
func TestReplicaNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, states := drawLog(t)
		r := newReplica(states[0])
		last := len(states) - 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := r.state.Number
			if rapid.Bool().Draw(t, "full state") {
				r.mergeState(roundTrip(t, states[rapid.IntRange(0, last).Draw(t, "state")]))
			} else {
				r.applyTickets(rapid.SliceOfN(rapid.SampledFrom(log), 1, 5).Draw(t, "tickets"))
			}
			if r.state.Number < before {
				t.Fatalf("state went back from %d to %d", before, r.state.Number)
			}
			requireSameState(t, r.state, states[r.state.Number])
			checkRetained(t, &r)
		}
		r.applyTickets(log)
		requireSameState(t, r.state, states[last])
		if r.hasGap() {
			t.Fatal("tickets are pending after the last one of the log")
		}
	})
}

// drawLog returns a log of tickets and the state after each.
func drawLog(t *rapid.T) ([]bbticket.Ticket, []*bbticket.State) {
	var log []bbticket.Ticket
	states := []*bbticket.State{{}}
	for i := range rapid.IntRange(1, 12).Draw(t, "log") {
		n := bbunit.TicketNumber(i + 1)
		ticket := bbticket.Ticket{Number: n}
		for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 3, rapid.ID).Draw(t, "accounts") {
			ticket.Accounts = append(ticket.Accounts, bbticket.Account{
				ID: bbunit.AccountID(fmt.Sprint(id)), Priority: bbunit.Priority(n), Deleted: rapid.Bool().Draw(t, "deleted"),
			})
		}
		log = append(log, ticket)
		states = append(states, states[i].Apply(ticket))
	}
	return log, states
}

// roundTrip encodes and decodes a state, as on its way to another instance.
func roundTrip(t *rapid.T, s *bbticket.State) *bbticket.State {
	out := &bbticket.State{}
	b, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(b, out)
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func requireSameState(t *rapid.T, got, want *bbticket.State) {
	g, _ := json.Marshal(got.Accounts)
	w, _ := json.Marshal(want.Accounts)
	if got.Number != want.Number || string(g) != string(w) {
		t.Fatalf("state at %d is %s, want %s", got.Number, g, w)
	}
}

// checkRetained checks for each number that, if the replica returns tickets
// above it, these are all of them, in order.
func checkRetained(t *rapid.T, r *replica) {
	for n := range r.state.Number {
		raw, ok := r.ticketsAfter(n)
		if !ok {
			continue
		}
		tickets, err := decodeTickets(raw)
		if err != nil {
			t.Fatal(err)
		}
		for i, ticket := range tickets {
			if ticket.Number != n+bbunit.TicketNumber(i)+1 {
				t.Fatalf("tickets after %d: got %d at index %d", n, ticket.Number, i)
			}
		}
		if len(tickets) != int(r.state.Number-n) {
			t.Fatalf("tickets after %d, up to %d: got %d of them", n, r.state.Number, len(tickets))
		}
	}
}

func TestReplicaBounds(t *testing.T) {
	is := is.New(t)
	r := newReplica(&bbticket.State{})
	r.applyTickets([]bbticket.Ticket{testTicket(maxTicketLookahead + 1), testTicket(2), testTicket(1 << 40)})
	is.Equal(len(r.pending), 1) // those too far ahead are dropped, and requested again later
	for n := 1; n <= 3*maxRetainedTickets; n++ {
		r.applyTickets([]bbticket.Ticket{testTicket(n)})
	}
	is.Equal(len(r.retained), maxRetainedTickets)
	is.Equal(r.state.Number, bbunit.TicketNumber(3*maxRetainedTickets))
	_, ok := r.ticketsAfter(1)
	is.True(!ok)
}
