package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// account is a keeper's side of one budget under its present holder.
type account struct {
	budget   bbunit.BudgetID
	open     bool          // the page names the holder here
	drawn    bbunit.Tokens // what may be handed out, never above what the page may say
	seq      uint64
	shares   map[Peer]*share
	rate     rate
	calm     time.Time // since when the account has had surplus
	marks    bool      // a mark may have to be sent
	recalled time.Time // when grantees were last asked for what they have free
}

// share is one grantee's part of an account.
type share struct {
	granted  bbunit.Tokens
	spent    bbunit.Tokens
	returned bbunit.Tokens

	sent     bbunit.Tokens // highest mark ever sent to a witness
	acked    bbunit.Tokens // highest mark that the witness acknowledged
	ackedRet bbunit.Tokens // what the witness knows to be returned

	gone     time.Time // when the grantee was last seen, or first missed
	stranded bool      // the page counts it as stuck; nothing more is granted
}

func (a *account) share(p Peer) *share {
	s := a.shares[p]
	if s == nil {
		s = &share{}
		a.shares[p] = s
	}
	return s
}

// peers returns the grantees in order.
func (a *account) peers() []Peer {
	out := make([]Peer, 0, len(a.shares))
	for p := range a.shares {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// report merges what a grantee says of its slice; amounts beyond what was
// granted are ignored.
func (a *account) report(p Peer, m *bbwire.Slice) {
	s := a.share(p)
	if s.stranded || m.Spent < 0 || m.Returned < 0 || m.Spent > int64(s.granted) || m.Returned > int64(s.granted)-m.Spent {
		return
	}
	s.spent = max(s.spent, bbunit.Tokens(m.Spent))
	if bbunit.Tokens(m.Returned) > s.returned {
		s.returned = bbunit.Tokens(m.Returned)
		a.marks = true
	}
}

// committed is the most that all grantees may have, by the marks that a witness
// may name.
func (a *account) committed() bbunit.Tokens {
	var n bbunit.Tokens
	for _, s := range a.shares {
		if !s.stranded {
			n += s.sent - s.ackedRet
		}
	}
	return n
}

// headroom is what may still be put into marks.
func (a *account) headroom() bbunit.Tokens { return a.drawn - a.committed() }

// spentOn is what grantees reported as spent, but for those that the entry
// counts as stuck.
func (a *account) spentOn(e *bbwire.Entry, h bbunit.HolderID) bbunit.Tokens {
	var n bbunit.Tokens
	for p, s := range a.shares {
		if findStuck(e, h, p) == nil {
			n += s.spent
		}
	}
	return n
}

// usable lowers what may be handed out to what a write in flight would leave.
func (a *account) usable(h *bbwire.Holder) {
	after := bbunit.Tokens(0)
	if h != nil {
		after = bbunit.Tokens(h.Drawn)
	}
	a.drawn = min(a.drawn, after)
}

// slice returns a grantee's share as a message.
func (a *account) slice(h bbunit.HolderID, p Peer) *bbwire.Slice {
	s := a.share(p)
	return &bbwire.Slice{
		Budget: string(a.budget), Holder: string(h), Grantee: p.String(),
		Granted: int64(s.granted), Spent: int64(s.spent), Returned: int64(s.returned),
	}
}
