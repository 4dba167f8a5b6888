package bbport

import (
	"encoding/json"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// replica builds the state from tickets and full states, which may arrive in
// any order, late or more than once. The state's number never decreases. A
// replica has no clock and does no I/O. It is not safe for concurrent use.
type replica struct {
	state         *bbticket.State
	pending       map[bbunit.TicketNumber]bbticket.Ticket // received, not applied as earlier ones are missing
	lastRetained  bbunit.TicketNumber                     // number of the last ticket in retained
	retained      [][]byte                                // JSON of consecutive applied tickets
	retainedBytes int                                     // size of retained
}

// newReplica returns a replica that starts with a state.
func newReplica(s *bbticket.State) replica {
	return replica{state: s, pending: map[bbunit.TicketNumber]bbticket.Ticket{}}
}

// applyTickets applies the tickets that follow the state without a gap, and
// keeps the others, up to maxTicketLookahead, until the gap is closed. It
// returns whether the state has advanced.
func (r *replica) applyTickets(tickets []bbticket.Ticket) bool {
	for _, t := range tickets {
		if t.Number > r.state.Number && t.Number-r.state.Number <= maxTicketLookahead {
			r.pending[t.Number] = t
		}
	}
	return r.advance()
}

// mergeState merges a full state, object by object, if it is newer. It returns
// whether the state has advanced.
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

// advance applies the pending tickets that follow the state without a gap.
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

// hasGap reports whether tickets are pending that do not follow the state.
func (r *replica) hasGap() bool { return len(r.pending) > 0 }

// retain keeps an applied ticket to send it to other instances.
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

// ticketsAfter returns the JSON of the applied tickets above a number. It
// returns false if there are none, or if not all of them are retained.
func (r *replica) ticketsAfter(n bbunit.TicketNumber) ([][]byte, bool) {
	current := r.state.Number
	if r.lastRetained != current || n >= current || current-n > bbunit.TicketNumber(len(r.retained)) {
		return nil, false
	}
	tail := r.retained[len(r.retained)-int(current-n):]
	return append([][]byte(nil), tail...), true
}
