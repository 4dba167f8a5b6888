package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// allocation is an allocator's record of one budget under its current holder id.
type allocation struct {
	budget       bbunit.BudgetID
	onPage       bool          // the budget's entry on the page lists the holder
	drawLimit    bbunit.Tokens // upper bound of what may be granted; never above what the page may record as drawn
	seq          uint64        // sequence number of the holder on the entry
	grants       map[Peer]*grant
	demand       demandRate
	surplusSince time.Time // when headroom began to exceed demand; zero without surplus
	marksPending bool      // a grantee may have amounts that the witness does not know
	lastRecallAt time.Time // when grantees were last asked to return free tokens
}

// grant is the record of one grantee's slice of an allocation. All amounts are
// cumulative.
type grant struct {
	granted  bbunit.Tokens
	spent    bbunit.Tokens
	returned bbunit.Tokens

	markSent      bbunit.Tokens // highest granted amount sent to a witness
	markAcked     bbunit.Tokens // highest granted amount that the witness acknowledged
	returnedAcked bbunit.Tokens // returned amount that the witness acknowledged

	missingSince time.Time // when the grantee was first missing from the view; zero while it is there
	stuck        bool      // recorded as stuck on the page; no further grants
}

// grant returns the grantee's record, adding an empty one if there is none.
func (a *allocation) grant(p Peer) *grant {
	gr := a.grants[p]
	if gr == nil {
		gr = &grant{}
		a.grants[p] = gr
	}
	return gr
}

// grantees returns the grantees sorted by name.
func (a *allocation) grantees() []Peer {
	out := make([]Peer, 0, len(a.grants))
	for p := range a.grants {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// mergeReport merges a grantee's report on its slice. Reports above the granted
// amount are ignored.
func (a *allocation) mergeReport(p Peer, m *bbwire.Slice) {
	gr := a.grant(p)
	if gr.stuck || m.Spent < 0 || m.Returned < 0 || m.Spent > int64(gr.granted) || m.Returned > int64(gr.granted)-m.Spent {
		return
	}
	gr.spent = max(gr.spent, bbunit.Tokens(m.Spent))
	if bbunit.Tokens(m.Returned) > gr.returned {
		gr.returned = bbunit.Tokens(m.Returned)
		a.marksPending = true
	}
}

// exposure returns the most that all grantees together may hold according to the
// marks that a witness may report.
func (a *allocation) exposure() bbunit.Tokens {
	var n bbunit.Tokens
	for _, gr := range a.grants {
		if !gr.stuck {
			n += gr.markSent - gr.returnedAcked
		}
	}
	return n
}

// headroom returns by how much marks may still be raised.
func (a *allocation) headroom() bbunit.Tokens { return a.drawLimit - a.exposure() }

// reportedSpent returns what the grantees reported as spent, without grantees that
// the entry lists as stuck.
func (a *allocation) reportedSpent(e *bbwire.Entry, h bbunit.HolderID) bbunit.Tokens {
	var n bbunit.Tokens
	for p, gr := range a.grants {
		if findStuck(e, h, p) == nil {
			n += gr.spent
		}
	}
	return n
}

// lowerDrawLimit lowers the limit to the draw that a write in flight would leave.
// h is the holder's record in that write, nil if the write removes the holder.
func (a *allocation) lowerDrawLimit(h *bbwire.Holder) {
	limit := bbunit.Tokens(0)
	if h != nil {
		limit = bbunit.Tokens(h.Drawn)
	}
	a.drawLimit = min(a.drawLimit, limit)
}

// sliceMessage returns a grantee's slice as a message.
func (a *allocation) sliceMessage(h bbunit.HolderID, p Peer) *bbwire.Slice {
	gr := a.grant(p)
	return &bbwire.Slice{
		Budget: string(a.budget), Holder: string(h), Grantee: p.String(),
		Granted: int64(gr.granted), Spent: int64(gr.spent), Returned: int64(gr.returned),
	}
}
