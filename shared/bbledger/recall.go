package bbledger

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// recallUnspent asks the other grantees of a budget to return free tokens, for a want
// that cannot be met otherwise. It reports whether the want should wait for them.
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
		tell := &bbwire.GrantTell{Recalls: []*bbwire.Recall{{Budget: string(a.budget), Grantee: first.String()}}}
		if gr := a.grants[p]; gr != nil && !gr.stuck {
			// Grant up to the mark first, so that the grantee returns that part too.
			gr.granted = max(gr.granted, gr.markAcked)
			tell.Slices = []*bbwire.Slice{a.sliceMessage(al.holder, p)}
		}
		al.send(p.ID, tell)
	}
	return true
}

// smallerPeer returns the peer whose name sorts first.
func smallerPeer(p, q Peer) Peer {
	if q.String() < p.String() {
		return q
	}
	return p
}

// recallableGrantees lists the live grantees, except one, that may have tokens left.
// While a former home of this failure domain has unspent tokens, they are all its
// live instances: any of them may hold such tokens, or have spent them unreported.
func (al *Allocator) recallableGrantees(a *allocation, except Peer) []Peer {
	var out []Peer
	if al.formerHomesHold(a) {
		for _, m := range al.view.Members {
			if m.Domain == al.self.Domain {
				out = append(out, PeerOf(m))
			}
		}
		return out
	}
	for _, p := range a.grantees() {
		if p != except && a.grant(p).maxUnspent() > 0 && al.viewSummary().alivePeers[p] {
			out = append(out, p)
		}
	}
	return out
}

// maxUnspent returns what the grantee may still spend if it were granted all of its mark;
// 0 when it is recorded as stuck.
func (gr *grant) maxUnspent() bbunit.Tokens {
	if gr.stuck {
		return 0
	}
	return max(gr.granted, gr.markAcked) - gr.spent - gr.returned
}

// lowerToAvailable lowers a want that cannot be met to all that is available, so that
// the grantee can borrow the rest from another failure domain. It reports false
// when nothing is available or borrowing is not possible.
func (al *Allocator) lowerToAvailable(a *allocation, w *want) bool {
	n := al.available(a, w)
	if !w.urgent || !al.policy.Borrow || al.viewSummary().domainCount < 2 || n <= 0 {
		return false
	}
	w.least, w.partial = n, true
	return true
}

// sendGrant sends a grantee its slice, and for a lowered want also that the budget
// is empty.
func (al *Allocator) sendGrant(w *want, a *allocation) {
	tell := &bbwire.GrantTell{Slices: []*bbwire.Slice{a.sliceMessage(al.holder, w.grantee)}}
	if w.partial {
		al.addEmpty(a, tell)
	}
	al.send(w.grantee.ID, tell)
}

// addEmpty adds to an answer that the budget is empty, and how much of it may still
// be returned: Lent by grantees and closing holders of this failure domain, Rest by
// the page and by holders that nobody can ask.
func (al *Allocator) addEmpty(a *allocation, tell *bbwire.GrantTell) *bbwire.GrantTell {
	tell.Empty = append(tell.Empty, string(a.budget))
	left := &bbwire.Left{Budget: string(a.budget), Lent: int64(al.unspentDraw(a))}
	if al.page != nil {
		e := al.currentEntry(a)
		left.Rest = int64(Remaining(e))
		for _, h := range e.Holders {
			switch {
			case al.willReturn(h):
				left.Lent += h.Drawn - h.Spent
			case al.policy.Borrow && !slices.Contains(domainsOf(al.view), bbunit.DomainID(h.Domain)):
				left.Rest += h.Drawn - h.Spent // the holder's failure domain has no instance to ask
			}
		}
	}
	tell.Lefts = append(tell.Lefts, left)
	return tell
}

// willReturn reports whether a holder of the own failure domain is about to retire,
// since its instance is no longer the page's home, or to be closed, so that its
// unspent tokens return to the page.
func (al *Allocator) willReturn(h *bbwire.Holder) bool {
	p := HolderPeer(bbunit.HolderID(h.Holder))
	if h.Domain != string(al.self.Domain) || h.Holder == string(al.holder) {
		return false
	}
	return p == al.peer || alive(al.view, p) || alive(al.view, ParsePeer(h.Witness))
}

// unspentDraw returns how much of the draw is not reported as spent, without what
// missing grantees hold.
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

// currentEntry returns a copy of the budget's entry with the tickets in force applied.
// The page must not be nil.
func (al *Allocator) currentEntry(a *allocation) *bbwire.Entry {
	e := clonePage(&bbwire.Page{Entries: []*bbwire.Entry{entryOrEmpty(al.page, a.budget)}}).Entries[0]
	applyTicket(e, al.state)
	return e
}

// available returns what a want can be granted without a recall. The page must not
// be nil.
func (al *Allocator) available(a *allocation, w *want) bbunit.Tokens {
	gr := a.grant(w.grantee)
	return Remaining(al.currentEntry(a)) + a.headroom() + gr.markSent - gr.granted
}

// handleRecall returns free tokens of a budget for another grantee. While requests
// wait here, it does so only when the tokens are too few for any of them and the
// other grantee sorts first: otherwise two grantees that are short could pass the
// tokens back and forth.
func (w *Wallet) handleRecall(now time.Time, r *bbwire.Recall) []Send {
	bal := w.Balance(bbunit.BudgetID(r.Budget))
	refill := &bal.refill
	refill.recalledAt = now
	bal.attributeSpent()
	if refill.waitingTotal == 0 || bal.Available() < refill.smallestWait && r.Grantee < w.self.String() {
		bal.returnFree(bal.Available())
	}
	batch := requestBatch{self: w.self, byInstance: map[bbunit.InstanceID]*bbwire.GrantAsk{}}
	batch.addReport(bal, true)
	return batch.messages()
}

// emptyReply is an allocator's answer that a budget is empty. unspent and remaining
// are the message's lent and rest.
type emptyReply struct {
	receivedAt time.Time
	unspent    bbunit.Tokens
	remaining  bbunit.Tokens
}

// AllAllocatorsEmpty reports whether every allocator that the policy allows to ask
// has recently answered that the budget is empty.
func (w *Wallet) AllAllocatorsEmpty(now time.Time, v *bbmember.View, bal *Balance) bool {
	_, ok := w.possibleRefill(now, v, bal)
	return ok
}

// Exhausted reports whether AllAllocatorsEmpty holds and fewer than n tokens may still
// be returned when open requests end.
func (w *Wallet) Exhausted(now time.Time, v *bbmember.View, bal *Balance, n bbunit.Tokens) bool {
	possible, ok := w.possibleRefill(now, v, bal)
	return ok && possible < n
}

// possibleRefill sums what may still be returned according to the allocators. It
// reports false unless all of them recently answered that the budget is empty.
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
