package bbport

import (
	"encoding/json"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// replica is the state in force as it grows from tickets and whole states that
// come in any order, late or twice: it goes only forward. It has no clock and
// no I/O, and is not safe for concurrent use. The zero value is empty.
type replica struct {
	state         *bbticket.State
	pending       map[bbunit.TicketNumber]bbticket.Ticket // beyond a gap
	lastRetained  bbunit.TicketNumber                     // number of the newest of kept
	retained      [][]byte                                // JSON of the tickets up to last, without gaps
	retainedBytes int                                     // size of kept
}

// newReplica returns a replica that goes on from a state.
func newReplica(s *bbticket.State) replica {
	return replica{state: s, pending: map[bbunit.TicketNumber]bbticket.Ticket{}}
}

// applyTickets puts tickets in force as far as they follow on without a gap and
// holds the others; it returns whether the state rose.
func (r *replica) applyTickets(tickets []bbticket.Ticket) bool {
	for _, t := range tickets {
		if t.Number > r.state.Number && t.Number-r.state.Number <= maxTicketLookahead {
			r.pending[t.Number] = t
		}
	}
	return r.advance()
}

// mergeState joins a whole state, object by object, if it is newer; it returns
// whether the state rose.
func (r *replica) mergeState(s *bbticket.State) bool {
	if s.Number <= r.state.Number {
		return false
	}
	r.state = r.state.Merge(s)
	for n := range r.pending {
		if n <= r.state.Number {
			delete(r.pending, n)
		}
	}
	r.advance()
	return true
}

func (r *replica) advance() bool {
	before := r.state.Number
	for {
		t, ok := r.pending[r.state.Number+1]
		if !ok {
			return r.state.Number > before
		}
		delete(r.pending, t.Number)
		r.state = r.state.Apply(t)
		r.retain(t)
	}
}

// hasGap tells whether tickets are held that do not follow on.
func (r *replica) hasGap() bool { return len(r.pending) > 0 }

// retain remembers a ticket in force to pass it on.
func (r *replica) retain(t bbticket.Ticket) {
	b, err := json.Marshal(t)
	if err != nil || t.Number != r.lastRetained+1 {
		r.retained, r.retainedBytes = nil, 0
	}
	r.lastRetained = t.Number
	if err != nil {
		return
	}
	r.retained = append(r.retained, b)
	r.retainedBytes += len(b)
	for len(r.retained) > 1 && (len(r.retained) > maxRetainedTickets || r.retainedBytes > maxRetainedBytes) {
		r.retainedBytes -= len(r.retained[0])
		r.retained = append([][]byte(nil), r.retained[1:]...)
	}
}

// ticketsAfter returns the JSON of the tickets above a number, and false when not all
// of them are kept.
func (r *replica) ticketsAfter(n bbunit.TicketNumber) ([][]byte, bool) {
	current := r.state.Number
	if r.lastRetained != current || n >= current || current-n > bbunit.TicketNumber(len(r.retained)) {
		return nil, false
	}
	tail := r.retained[len(r.retained)-int(current-n):]
	return append([][]byte(nil), tail...), true
}
