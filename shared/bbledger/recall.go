package bbledger

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// recall asks grantees of a budget for what they have free, when a want cannot
// be met otherwise. It reports whether the want should wait for their answers.
func (k *Allocator) recall(a *account, w *want) bool {
	if !w.recalled.IsZero() {
		return k.now.Sub(w.recalled) < recallFor
	}
	if !w.urgent || len(k.lenders(a, w.peer)) == 0 {
		return false
	}
	if k.now.Sub(a.recalled) < recallEvery {
		return true
	}
	a.recalled = k.now
	first := w.peer
	for _, x := range k.wants {
		if x.urgent && x.budget == w.budget {
			x.recalled = k.now
			first = lesser(first, x.peer)
		}
	}
	for _, p := range k.lenders(a, first) {
		// What only the marks say that it may have comes back by the same way.
		a.share(p).granted = max(a.share(p).granted, a.share(p).acked)
		k.send(p.ID, &bbwire.GrantTell{
			Slices:  []*bbwire.Slice{a.slice(k.holder, p)},
			Recalls: []*bbwire.Recall{{Budget: string(a.budget), Grantee: first.String()}},
		})
	}
	return true
}

// lesser returns the peer that comes first.
func lesser(p, q Peer) Peer {
	if q.String() < p.String() {
		return q
	}
	return p
}

// lenders lists who else may have something of the account left.
func (k *Allocator) lenders(a *account, but Peer) []Peer {
	var out []Peer
	for _, p := range a.peers() {
		if p != but && a.share(p).lent() > 0 && k.where().alive[p] {
			out = append(out, p)
		}
	}
	return out
}

// lent is what the grantee may still spend, or could if it were told, unless the
// page counts it as stuck.
func (s *share) lent() bbunit.Tokens {
	if s.stranded {
		return 0
	}
	return max(s.granted, s.acked) - s.spent - s.returned
}

// scrape lowers a want that cannot be met to what there is, so that the grantee
// can get the rest in another failure domain. It reports whether there is any.
func (k *Allocator) scrape(a *account, w *want) bool {
	n := k.atHand(a, w)
	if !w.urgent || !k.policy.Borrow || k.where().domains < 2 || n <= 0 {
		return false
	}
	w.least, w.scraped = n, true
	return true
}

// grant tells a grantee what it was granted, and whether that was the last.
func (k *Allocator) grant(w *want, a *account) {
	t := &bbwire.GrantTell{Slices: []*bbwire.Slice{a.slice(k.holder, w.peer)}}
	if w.scraped {
		k.emptyTell(a, t)
	}
	k.send(w.peer.ID, t)
}

// emptyTell adds to an answer that nothing of the account can be granted, and
// what may come back.
func (k *Allocator) emptyTell(a *account, t *bbwire.GrantTell) *bbwire.GrantTell {
	t.Empty = append(t.Empty, string(a.budget))
	left := &bbwire.Left{Budget: string(a.budget), Lent: int64(k.unspent(a))}
	if k.cache != nil {
		e := k.entry(a)
		left.Rest = int64(Remaining(e))
		for _, h := range e.Holders {
			switch {
			case k.closing(h):
				left.Lent += h.Drawn - h.Spent
			case k.policy.Borrow && !slices.Contains(domains(k.view), bbunit.DomainID(h.Domain)):
				left.Rest += h.Drawn - h.Spent // of a failure domain that cannot be asked
			}
		}
	}
	t.Lefts = append(t.Lefts, left)
	return t
}

// closing tells whether a holder of the own failure domain is about to be
// closed, so that what it has left comes back to the page.
func (k *Allocator) closing(h *bbwire.Holder) bool {
	p := HolderPeer(bbunit.HolderID(h.Holder))
	if h.Domain != string(k.self.Domain) || h.Holder == string(k.holder) {
		return false
	}
	return p == k.peer || !alive(k.view, p) && alive(k.view, ParsePeer(h.Witness))
}

// unspent is what of the account's draw is not known to be spent, without what
// grantees have that are gone.
func (k *Allocator) unspent(a *account) bbunit.Tokens {
	n := a.drawn
	for p, s := range a.shares {
		switch {
		case s.stranded:
		case k.where().alive[p]:
			n -= s.spent
		default:
			n -= s.granted - s.returned
		}
	}
	return max(0, n)
}

// entry is the account's entry of the page as it stands with what is in force.
func (k *Allocator) entry(a *account) *bbwire.Entry {
	e := clonePage(&bbwire.Page{Entries: []*bbwire.Entry{entryOrNew(k.cache, a.budget)}}).Entries[0]
	advance(e, k.state)
	return e
}

// atHand is what a want can be given without a recall; the page must not be nil.
func (k *Allocator) atHand(a *account, w *want) bbunit.Tokens {
	s := a.share(w.peer)
	return Remaining(k.entry(a)) + a.headroom() + s.sent - s.granted
}

// recall returns what is free of a budget for another grantee. While requests
// wait here, only what is too little for any of them is returned, and only to
// a grantee that comes before this one: two that are short do not take turns.
func (p *Wallet) recall(now time.Time, r *bbwire.Recall) []Send {
	pot := p.Balance(bbunit.BudgetID(r.Budget))
	a := &pot.asking
	a.recalled = now
	pot.flush()
	if a.waiting == 0 || pot.Free() < a.least && r.Grantee < p.self.String() {
		pot.surrenderSurplus(pot.Free())
	}
	b := asks{self: p.self, to: map[bbunit.InstanceID]*bbwire.GrantAsk{}}
	b.report(pot, true)
	return b.sends()
}

// answer is what a keeper said when it could grant nothing.
type answer struct {
	at   time.Time
	lent bbunit.Tokens
	rest bbunit.Tokens
}

// AllAllocatorsEmpty tells whether every keeper that the policy lets the pot ask has said, not
// long ago, that it can grant nothing.
func (p *Wallet) AllAllocatorsEmpty(now time.Time, v *bbmember.View, pot *Balance) bool {
	_, ok := p.left(now, v, pot)
	return ok
}

// Exhausted tells whether the pot is dry and what may still come back, when open
// requests end, is less than n tokens.
func (p *Wallet) Exhausted(now time.Time, v *bbmember.View, pot *Balance, n bbunit.Tokens) bool {
	left, ok := p.left(now, v, pot)
	return ok && left < n
}

// left sums what the keepers know to be unspent; false when not all of them said
// not long ago that they can grant nothing.
func (p *Wallet) left(now time.Time, v *bbmember.View, pot *Balance) (bbunit.Tokens, bool) {
	var lent, rest bbunit.Tokens
	turns := p.turns(v, PageOf(pot.Budget))
	for _, m := range turns {
		t, ok := pot.asking.empty[m.Domain]
		if !ok || now.Sub(t.at) > emptyFor {
			return 0, false
		}
		lent, rest = saturate(lent+t.lent), max(rest, t.rest)
	}
	return lent + rest, len(turns) > 0
}
