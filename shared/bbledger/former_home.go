package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// checkHome makes an allocator whose instance stopped being the page's home hand
// over: it grants its unused marks at once, lowers its draws (see formerHomeDelta),
// and retires the holder after retireDelay, once the last store call succeeded.
func (al *Allocator) checkHome() {
	if al.viewSummary().isHome {
		al.notHomeSince = time.Time{}
		return
	}
	if al.notHomeSince.IsZero() {
		al.notHomeSince = al.now
	}
	al.grantUnusedMarks()
	if al.onPage && al.backoff == 0 && al.now.Sub(al.notHomeSince) >= retireDelay {
		al.retireHolder()
	}
}

// grantUnusedMarks grants each live grantee all of its mark: nobody asks a former
// home for it any more, and only a grantee can spend or return it.
func (al *Allocator) grantUnusedMarks() {
	for _, a := range al.sortedAllocations() {
		for _, p := range a.grantees() {
			if gr := a.grant(p); gr.markAcked > gr.granted && !gr.stuck && al.viewSummary().alivePeers[p] {
				gr.granted = gr.markAcked
				al.sendSlice(p, a)
			}
		}
	}
}

// formerHomeDelta is drawDelta for an instance that is not the page's home: it
// keeps no headroom beyond what wants need, so that the home can draw the rest.
func (al *Allocator) formerHomeDelta(a *allocation, e *bbwire.Entry, headroom, least bbunit.Tokens) (bbunit.Tokens, bool) {
	if headroom < least {
		return al.drawIncrease(e, least-headroom, least-headroom), true
	}
	if !a.onPage || al.writeUncertain {
		return 0, false
	}
	return least - headroom, headroom > least
}

// spentUnrecorded reports whether the entry shows unspent tokens of a former home
// though its grantees have spent them all. The home relies on that amount when it
// answers that the budget is empty.
func (al *Allocator) spentUnrecorded(a *allocation, e *bbwire.Entry) bool {
	if al.viewSummary().isHome || !a.onPage || al.writeUncertain {
		return false
	}
	h := findHolder(e, al.holder)
	return h != nil && h.Drawn > h.Spent && int64(a.reportedSpent(e, al.holder)) >= h.Drawn
}

// formerHomesHold reports whether live instances that are no longer the home of the
// page in this failure domain hold unspent tokens of the budget.
func (al *Allocator) formerHomesHold(a *allocation) bool {
	if al.page == nil {
		return false
	}
	for _, h := range entryOrEmpty(al.page, a.budget).Holders {
		p := HolderPeer(bbunit.HolderID(h.Holder))
		if h.Domain == string(al.self.Domain) && p != al.peer && h.Drawn > h.Spent && alive(al.view, p) {
			return true
		}
	}
	return false
}
