package bbport

import (
	"encoding/json"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// history keeps the latest tickets in force, to pass them on, and those that
// came before the one they follow on. The zero value is empty.
type history struct {
	held  map[bbunit.TicketNumber]bbticket.Ticket
	last  bbunit.TicketNumber // number of the newest of kept
	kept  [][]byte            // JSON of the tickets up to last, without gaps
	bytes int                 // size of kept
}

// hold keeps tickets above a number until they can be put in force; those too
// far ahead are left to be asked for again.
func (h *history) hold(above bbunit.TicketNumber, tickets []bbticket.Ticket) {
	if h.held == nil {
		h.held = map[bbunit.TicketNumber]bbticket.Ticket{}
	}
	for _, t := range tickets {
		if t.Number > above && t.Number-above <= maxHeld {
			h.held[t.Number] = t
		}
	}
}

// waiting tells whether tickets are held beyond a gap.
func (h *history) waiting() bool { return len(h.held) > 0 }

// next takes out the ticket that follows on a number.
func (h *history) next(n bbunit.TicketNumber) (bbticket.Ticket, bool) {
	t, ok := h.held[n+1]
	if !ok {
		return t, false
	}
	delete(h.held, n+1)
	h.keep(t)
	return t, true
}

func (h *history) keep(t bbticket.Ticket) {
	b, err := json.Marshal(t)
	if err != nil || t.Number != h.last+1 {
		h.kept, h.bytes = nil, 0
	}
	h.last = t.Number
	if err != nil {
		return
	}
	h.kept = append(h.kept, b)
	h.bytes += len(b)
	for len(h.kept) > 1 && (len(h.kept) > maxKept || h.bytes > maxKeptBytes) {
		h.bytes -= len(h.kept[0])
		h.kept = append([][]byte(nil), h.kept[1:]...)
	}
}

// reset forgets the tickets kept, and those held that a whole state covers.
func (h *history) reset() { *h = history{} }

// after returns the JSON of the tickets above a number up to the one in force,
// and false when not all are kept.
func (h *history) after(n, force bbunit.TicketNumber) ([][]byte, bool) {
	if h.last != force || n >= force || force-n > bbunit.TicketNumber(len(h.kept)) {
		return nil, false
	}
	tail := h.kept[len(h.kept)-int(force-n):]
	return append([][]byte(nil), tail...), true
}
