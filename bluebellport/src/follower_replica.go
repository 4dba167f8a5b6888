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
	state *bbticket.State
	held  map[bbunit.TicketNumber]bbticket.Ticket // beyond a gap
	last  bbunit.TicketNumber                     // number of the newest of kept
	kept  [][]byte                                // JSON of the tickets up to last, without gaps
	bytes int                                     // size of kept
}

// newReplica returns a replica that goes on from a state.
func newReplica(s *bbticket.State) replica {
	return replica{state: s, held: map[bbunit.TicketNumber]bbticket.Ticket{}}
}

// tickets puts tickets in force as far as they follow on without a gap and
// holds the others; it returns whether the state rose.
func (r *replica) tickets(tickets []bbticket.Ticket) bool {
	for _, t := range tickets {
		if t.Number > r.state.Number && t.Number-r.state.Number <= maxHeld {
			r.held[t.Number] = t
		}
	}
	return r.advance()
}

// whole joins a whole state, object by object, if it is newer; it returns
// whether the state rose.
func (r *replica) whole(s *bbticket.State) bool {
	if s.Number <= r.state.Number {
		return false
	}
	r.state = r.state.Merge(s)
	for n := range r.held {
		if n <= r.state.Number {
			delete(r.held, n)
		}
	}
	r.advance()
	return true
}

func (r *replica) advance() bool {
	was := r.state.Number
	for {
		t, ok := r.held[r.state.Number+1]
		if !ok {
			return r.state.Number > was
		}
		delete(r.held, t.Number)
		r.state = r.state.Apply(t)
		r.keep(t)
	}
}

// gap tells whether tickets are held that do not follow on.
func (r *replica) gap() bool { return len(r.held) > 0 }

// keep remembers a ticket in force to pass it on.
func (r *replica) keep(t bbticket.Ticket) {
	b, err := json.Marshal(t)
	if err != nil || t.Number != r.last+1 {
		r.kept, r.bytes = nil, 0
	}
	r.last = t.Number
	if err != nil {
		return
	}
	r.kept = append(r.kept, b)
	r.bytes += len(b)
	for len(r.kept) > 1 && (len(r.kept) > maxKept || r.bytes > maxKeptBytes) {
		r.bytes -= len(r.kept[0])
		r.kept = append([][]byte(nil), r.kept[1:]...)
	}
}

// after returns the JSON of the tickets above a number, and false when not all
// of them are kept.
func (r *replica) after(n bbunit.TicketNumber) ([][]byte, bool) {
	force := r.state.Number
	if r.last != force || n >= force || force-n > bbunit.TicketNumber(len(r.kept)) {
		return nil, false
	}
	tail := r.kept[len(r.kept)-int(force-n):]
	return append([][]byte(nil), tail...), true
}
