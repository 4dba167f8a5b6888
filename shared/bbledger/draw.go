package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// serveWants grants wants up to the acknowledged marks and answers those that
// cannot be met. Answered wants leave the queue.
func (al *Allocator) serveWants() {
	if len(al.wants) == 0 {
		return
	}
	kept := make([]*want, 0, len(al.wants))
	for _, w := range al.wants {
		if !al.serveWant(w) {
			kept = append(kept, w)
		}
	}
	al.wants = kept
}

// serveWant reports whether the want was answered.
func (al *Allocator) serveWant(w *want) bool {
	a := al.allocation(w.budget)
	gr := a.grant(w.grantee)
	if grantable := gr.markAcked - gr.granted; grantable >= w.least {
		amount := min(grantable, w.amount)
		gr.granted += amount
		a.demand.add(amount)
		al.sendGrant(w, a)
		return true
	}
	if a.headroom() >= w.least-(gr.markSent-gr.granted) {
		return false // the next mark covers it
	}
	if al.budgetEmpty(a, w) {
		if al.recallUnspent(a, w) || al.lowerToAvailable(a, w) {
			return false
		}
		al.send(w.grantee.ID, al.addEmpty(a, &bbwire.GrantTell{}))
		return true
	}
	if al.storeDown() {
		al.send(w.grantee.ID, &bbwire.GrantTell{})
		return true
	}
	return false
}

// sendSlice sends a grantee its slice of a budget.
func (al *Allocator) sendSlice(p Peer, a *allocation) {
	al.send(p.ID, &bbwire.GrantTell{Slices: []*bbwire.Slice{a.sliceMessage(al.holder, p)}})
}

// budgetEmpty reports whether the budget has too little left for a want according
// to a recently read page. It schedules a read when the page is too old.
func (al *Allocator) budgetEmpty(a *allocation, w *want) bool {
	if al.page == nil || al.writeUncertain || al.callInFlight {
		return false
	}
	if al.available(a, w) >= w.least {
		return false
	}
	if al.now.Sub(al.lastReadAt) > maxPageAge {
		al.needsRead = !al.storeDown()
		return false
	}
	return true
}

// entryOrEmpty returns the budget's entry, or a new one that is not on the page.
func entryOrEmpty(p *bbwire.Page, b bbunit.BudgetID) *bbwire.Entry {
	if e := findEntry(p, b); e != nil {
		return e
	}
	return &bbwire.Entry{Budget: string(b)}
}

// drawHorizon returns how long a draw should last at the current demand.
func (al *Allocator) drawHorizon() time.Duration {
	if al.onPage && al.witness == (Peer{}) {
		return al.policy.UnwitnessedHorizon
	}
	return al.policy.DrawHorizon
}

// editPage makes the allocator's pending changes to a copy of the page and reports
// whether they justify a write.
func (al *Allocator) editPage(p *bbwire.Page) bool {
	changed := false
	for _, e := range p.Entries {
		changed = applyTicket(e, al.state) || changed
	}
	changed = al.editClosings(p) || changed
	changed = al.settleStuck(p) || changed
	changed = al.editWitness(p) || changed
	changed = al.recordStuck(p) || changed
	if !al.retiring {
		changed = al.editDraws(p, changed) || changed
	}
	return changed
}

// editDraws raises and lowers the holder's draws. Changes that are not urgent are
// made only together with an urgent one, or when the page is written anyway.
func (al *Allocator) editDraws(page *bbwire.Page, alreadyWriting bool) bool {
	type drawChange struct {
		a     *allocation
		delta bbunit.Tokens
	}
	var changes []drawChange
	for _, a := range al.sortedAllocations() {
		e := entryOrEmpty(page, a.budget)
		if findEntry(page, a.budget) == nil {
			applyTicket(e, al.state)
		}
		delta, urgent := al.drawDelta(a, e)
		unrecorded := al.spentUnrecorded(a, e)
		if delta != 0 || unrecorded {
			changes = append(changes, drawChange{a, delta})
			alreadyWriting = alreadyWriting || urgent || unrecorded
		}
	}
	if !alreadyWriting {
		return false
	}
	for _, c := range changes {
		al.editDraw(ensureEntry(page, c.a.budget), c.a, c.delta)
	}
	return len(changes) > 0
}

// editDraw changes the holder's draw on one entry.
func (al *Allocator) editDraw(e *bbwire.Entry, a *allocation, delta bbunit.Tokens) {
	applyTicket(e, al.state)
	h := findHolder(e, al.holder)
	if h == nil {
		if delta < 0 {
			return
		}
		h = &bbwire.Holder{Holder: string(al.holder), Instance: string(al.self.ID), Domain: string(al.self.Domain), Witness: al.witnessForDraw().String()}
		e.Holders = append(e.Holders, h)
	}
	if delta < 0 {
		a.surplusSince = time.Time{}
	}
	h.Drawn += int64(delta)
	h.Seq++
	h.Spent = int64(a.reportedSpent(e, al.holder))
}

// drawDelta returns by how much a budget's draw should change, and whether the
// change is urgent enough for a write of its own.
func (al *Allocator) drawDelta(a *allocation, e *bbwire.Entry) (bbunit.Tokens, bool) {
	var amount, least bbunit.Tokens
	for _, w := range al.wants {
		if w.budget == a.budget {
			gr := a.grant(w.grantee)
			amount = saturate(amount + max(0, w.amount-(gr.markSent-gr.granted)))
			least = saturate(least + max(0, w.least-(gr.markSent-gr.granted)))
		}
	}
	headroom := a.headroom()
	if !al.viewSummary().isHome {
		return al.formerHomeDelta(a, e, headroom, least)
	}
	goal := a.demand.expected(al.drawHorizon())
	if headroom < least || headroom < goal-goal/8 {
		return al.drawIncrease(e, amount+goal-headroom, least-headroom), headroom < least || headroom < goal/2
	}
	return al.drawDecrease(a, headroom, goal, least)
}

// drawIncrease returns by how much to raise the draw: by the shortfall, but at most
// by a fair share of the remaining budget, or by least if that is more.
func (al *Allocator) drawIncrease(e *bbwire.Entry, shortfall, least bbunit.Tokens) bbunit.Tokens {
	remaining := Remaining(e)
	fairShare := remaining / bbunit.Tokens(2*al.viewSummary().domainCount)
	return max(0, min(remaining, shortfall, max(fairShare, least)))
}

// drawDecrease returns by how much to lower the draw, as a negative amount, once the
// surplus has lasted for the draw horizon, and whether the change is urgent.
func (al *Allocator) drawDecrease(a *allocation, headroom, goal, least bbunit.Tokens) (bbunit.Tokens, bool) {
	surplus := headroom > 2*goal+least && a.onPage && !al.writeUncertain
	if lasted := a.surplusDuration(al.now, surplus); !surplus || lasted < al.drawHorizon() {
		return 0, false
	}
	return -(headroom - goal - least), goal == 0 || headroom > urgentSurplusFactor*goal
}

// urgentSurplusFactor is how many times its goal the headroom must be for a
// decrease to justify a write of its own.
const urgentSurplusFactor = 4

const tickInterval = 50 * time.Millisecond

// TickInterval is how often the owner should send Tick to allocators and call
// Wallet.DueMessages.
const TickInterval = tickInterval

// witnessForDraw returns the witness to record with a new draw: the next one during
// a change, else the current one, or a candidate when the holder is new.
func (al *Allocator) witnessForDraw() Peer {
	switch {
	case al.witnessChange != nil && al.witnessChange.marksCopied:
		return al.witnessChange.next
	case al.onPage:
		return al.witness
	}
	return al.nextWitness()
}

// nextWitness returns the highest ranked peer of the failure domain that may become
// the witness, or the zero peer.
func (al *Allocator) nextWitness() Peer {
	for _, m := range al.view.Rank(PageHomeKey(al.pageNumber), al.self.Domain, maxWitnessCandidates) {
		p := PeerOf(m)
		if m.ID == al.self.ID || p == al.witness || al.now.Sub(al.suspectedAt[p]) < witnessSuspicion {
			continue
		}
		return p
	}
	return Peer{}
}

const (
	// maxWitnessCandidates is how many instances are considered as witness.
	maxWitnessCandidates = 6
	// witnessSuspicion is how long a witness that did not answer is not chosen
	// again.
	witnessSuspicion = 10 * time.Second
)
