package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// allocation is a keeper's side of one budget under its present holder.
type allocation struct {
	budget       bbunit.BudgetID
	onPage       bool          // the page names the holder here
	drawLimit    bbunit.Tokens // what may be handed out, never above what the page may say
	seq          uint64
	grants       map[Peer]*grant
	demand       demandRate
	surplusSince time.Time // since when the account has had surplus
	marksPending bool      // a mark may have to be sent
	lastRecallAt time.Time // when grantees were last asked for what they have free
}

// grant is one grantee's part of an account.
type grant struct {
	granted  bbunit.Tokens
	spent    bbunit.Tokens
	returned bbunit.Tokens

	markSent      bbunit.Tokens // highest mark ever sent to a witness
	markAcked     bbunit.Tokens // highest mark that the witness acknowledged
	returnedAcked bbunit.Tokens // what the witness knows to be returned

	missingSince time.Time // when the grantee was last seen, or first missed
	stuck        bool      // the page counts it as stuck; nothing more is granted
}

func (a *allocation) grant(p Peer) *grant {
	gr := a.grants[p]
	if gr == nil {
		gr = &grant{}
		a.grants[p] = gr
	}
	return gr
}

// grantees returns the grantees in order.
func (a *allocation) grantees() []Peer {
	out := make([]Peer, 0, len(a.grants))
	for p := range a.grants {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// mergeReport merges what a grantee says of its slice; amounts beyond what was
// granted are ignored.
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

// exposure is the most that all grantees may have, by the marks that a witness
// may name.
func (a *allocation) exposure() bbunit.Tokens {
	var n bbunit.Tokens
	for _, gr := range a.grants {
		if !gr.stuck {
			n += gr.markSent - gr.returnedAcked
		}
	}
	return n
}

// headroom is what may still be put into marks.
func (a *allocation) headroom() bbunit.Tokens { return a.drawLimit - a.exposure() }

// reportedSpent is what grantees reported as spent, but for those that the entry
// counts as stuck.
func (a *allocation) reportedSpent(e *bbwire.Entry, h bbunit.HolderID) bbunit.Tokens {
	var n bbunit.Tokens
	for p, gr := range a.grants {
		if findStuck(e, h, p) == nil {
			n += gr.spent
		}
	}
	return n
}

// lowerDrawLimit lowers what may be handed out to what a write in flight would leave.
func (a *allocation) lowerDrawLimit(h *bbwire.Holder) {
	limit := bbunit.Tokens(0)
	if h != nil {
		limit = bbunit.Tokens(h.Drawn)
	}
	a.drawLimit = min(a.drawLimit, limit)
}

// sliceMessage returns a grantee's share as a message.
func (a *allocation) sliceMessage(h bbunit.HolderID, p Peer) *bbwire.Slice {
	gr := a.grant(p)
	return &bbwire.Slice{
		Budget: string(a.budget), Holder: string(h), Grantee: p.String(),
		Granted: int64(gr.granted), Spent: int64(gr.spent), Returned: int64(gr.returned),
	}
}
