package bbledger

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// recallUnspent asks grantees of a budget for what they have free, when a want cannot
// be met otherwise. It reports whether the want should wait for their answers.
func (al *Allocator) recallUnspent(a *allocation, w *want) bool {
	if !w.recalledAt.IsZero() {
		return al.now.Sub(w.recalledAt) < recallWait
	}
	if !w.urgent || len(al.recallableGrantees(a, w.grantee)) == 0 {
		return false
	}
	if al.now.Sub(a.lastRecallAt) < recallInterval {
		return true
	}
	a.lastRecallAt = al.now
	first := w.grantee
	for _, x := range al.wants {
		if x.urgent && x.budget == w.budget {
			x.recalledAt = al.now
			first = smallerPeer(first, x.grantee)
		}
	}
	for _, p := range al.recallableGrantees(a, first) {
		// What only the marks say that it may have comes back by the same way.
		a.grant(p).granted = max(a.grant(p).granted, a.grant(p).markAcked)
		al.send(p.ID, &bbwire.GrantTell{
			Slices:  []*bbwire.Slice{a.sliceMessage(al.holder, p)},
			Recalls: []*bbwire.Recall{{Budget: string(a.budget), Grantee: first.String()}},
		})
	}
	return true
}

// smallerPeer returns the peer that comes first.
func smallerPeer(p, q Peer) Peer {
	if q.String() < p.String() {
		return q
	}
	return p
}

// recallableGrantees lists who else may have something of the account left.
func (al *Allocator) recallableGrantees(a *allocation, except Peer) []Peer {
	var out []Peer
	for _, p := range a.grantees() {
		if p != except && a.grant(p).maxUnspent() > 0 && al.viewSummary().alivePeers[p] {
			out = append(out, p)
		}
	}
	return out
}

// maxUnspent is what the grantee may still spend, or could if it were told, unless the
// page counts it as stuck.
func (gr *grant) maxUnspent() bbunit.Tokens {
	if gr.stuck {
		return 0
	}
	return max(gr.granted, gr.markAcked) - gr.spent - gr.returned
}

// lowerToAvailable lowers a want that cannot be met to what there is, so that the grantee
// can get the rest in another failure domain. It reports whether there is any.
func (al *Allocator) lowerToAvailable(a *allocation, w *want) bool {
	n := al.available(a, w)
	if !w.urgent || !al.policy.Borrow || al.viewSummary().domainCount < 2 || n <= 0 {
		return false
	}
	w.least, w.partial = n, true
	return true
}

// sendGrant tells a grantee what it was granted, and whether that was the last.
func (al *Allocator) sendGrant(w *want, a *allocation) {
	tell := &bbwire.GrantTell{Slices: []*bbwire.Slice{a.sliceMessage(al.holder, w.grantee)}}
	if w.partial {
		al.addEmpty(a, tell)
	}
	al.send(w.grantee.ID, tell)
}

// addEmpty adds to an answer that nothing of the account can be granted, and
// what may come back.
func (al *Allocator) addEmpty(a *allocation, tell *bbwire.GrantTell) *bbwire.GrantTell {
	tell.Empty = append(tell.Empty, string(a.budget))
	left := &bbwire.Left{Budget: string(a.budget), Lent: int64(al.unspentDraw(a))}
	if al.page != nil {
		e := al.currentEntry(a)
		left.Rest = int64(Remaining(e))
		for _, h := range e.Holders {
			switch {
			case al.willBeClosed(h):
				left.Lent += h.Drawn - h.Spent
			case al.policy.Borrow && !slices.Contains(domainsOf(al.view), bbunit.DomainID(h.Domain)):
				left.Rest += h.Drawn - h.Spent // of a failure domain that cannot be asked
			}
		}
	}
	tell.Lefts = append(tell.Lefts, left)
	return tell
}

// willBeClosed tells whether a holder of the own failure domain is about to be
// closed, so that what it has left comes back to the page.
func (al *Allocator) willBeClosed(h *bbwire.Holder) bool {
	p := HolderPeer(bbunit.HolderID(h.Holder))
	if h.Domain != string(al.self.Domain) || h.Holder == string(al.holder) {
		return false
	}
	return p == al.peer || !alive(al.view, p) && alive(al.view, ParsePeer(h.Witness))
}

// unspentDraw is what of the account's draw is not known to be spent, without what
// grantees have that are gone.
func (al *Allocator) unspentDraw(a *allocation) bbunit.Tokens {
	n := a.drawLimit
	for p, gr := range a.grants {
		switch {
		case gr.stuck:
		case al.viewSummary().alivePeers[p]:
			n -= gr.spent
		default:
			n -= gr.granted - gr.returned
		}
	}
	return max(0, n)
}

// currentEntry is the account's entry of the page as it stands with what is in force.
func (al *Allocator) currentEntry(a *allocation) *bbwire.Entry {
	e := clonePage(&bbwire.Page{Entries: []*bbwire.Entry{entryOrEmpty(al.page, a.budget)}}).Entries[0]
	applyTicket(e, al.state)
	return e
}

// available is what a want can be given without a recall; the page must not be nil.
func (al *Allocator) available(a *allocation, w *want) bbunit.Tokens {
	gr := a.grant(w.grantee)
	return Remaining(al.currentEntry(a)) + a.headroom() + gr.markSent - gr.granted
}

// handleRecall returns what is free of a budget for another grantee. While requests
// wait here, only what is too little for any of them is returned, and only to
// a grantee that comes before this one: two that are short do not take turns.
func (w *Wallet) handleRecall(now time.Time, r *bbwire.Recall) []Send {
	bal := w.Balance(bbunit.BudgetID(r.Budget))
	refill := &bal.refill
	refill.recalledAt = now
	bal.attributeSpent()
	if refill.waitingTotal == 0 || bal.Free() < refill.smallestWait && r.Grantee < w.self.String() {
		bal.returnFree(bal.Free())
	}
	batch := requestBatch{self: w.self, byInstance: map[bbunit.InstanceID]*bbwire.GrantAsk{}}
	batch.addReport(bal, true)
	return batch.messages()
}

// emptyReply is what a keeper said when it could grant nothing.
type emptyReply struct {
	receivedAt time.Time
	unspent    bbunit.Tokens
	remaining  bbunit.Tokens
}

// AllAllocatorsEmpty tells whether every keeper that the policy lets the pot ask has said, not
// long ago, that it can grant nothing.
func (w *Wallet) AllAllocatorsEmpty(now time.Time, v *bbmember.View, bal *Balance) bool {
	_, ok := w.possibleRefill(now, v, bal)
	return ok
}

// Exhausted tells whether the pot is dry and what may still come back, when open
// requests end, is less than n tokens.
func (w *Wallet) Exhausted(now time.Time, v *bbmember.View, bal *Balance, n bbunit.Tokens) bool {
	possible, ok := w.possibleRefill(now, v, bal)
	return ok && possible < n
}

// possibleRefill sums what the keepers know to be unspent; false when not all of them said
// not long ago that they can grant nothing.
func (w *Wallet) possibleRefill(now time.Time, v *bbmember.View, bal *Balance) (bbunit.Tokens, bool) {
	var unspent, remaining bbunit.Tokens
	allocators := w.allocators(v, PageOf(bal.Budget))
	for _, m := range allocators {
		reply, ok := bal.refill.emptyReplies[m.Domain]
		if !ok || now.Sub(reply.receivedAt) > emptyReplyTTL {
			return 0, false
		}
		unspent, remaining = saturate(unspent+reply.unspent), max(remaining, reply.remaining)
	}
	return unspent + remaining, len(allocators) > 0
}
