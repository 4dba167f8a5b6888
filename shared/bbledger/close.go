package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// holderClosing is the state of closing one holder: freeze its witness, have its
// grantees surrender their slices, then settle the page in one write.
type holderClosing struct {
	holder         bbunit.HolderID
	witness        Peer
	own            bool            // a former holder id of this allocator: the marks are known without the witness
	frozen         bool            // marks is final
	marks          []*bbwire.Slice // what each grantee may hold at most
	finalReports   map[Peer][]*bbwire.Slice
	surrenderSince time.Time // when grantees were first asked
	sentAt         time.Time // when the last message was sent
}

// granteeKey identifies what one holder granted to one grantee.
type granteeKey struct {
	holder  bbunit.HolderID
	grantee Peer
}

// retireHolder gives up the current holder id for good and starts closing it. Later
// draws use a new id.
func (al *Allocator) retireHolder() {
	old := al.holder
	if al.onPage || al.maybeOnPage {
		al.retiredSlices[old] = al.grantedSlices()
		al.closings[old] = &holderClosing{holder: old, own: true, frozen: true, marks: al.retiredSlices[old], surrenderSince: al.now, finalReports: map[Peer][]*bbwire.Slice{}}
	}
	al.holder = NewHolderID(al.peer, al.pageNumber, al.nextHolderNumber())
	al.onPage, al.maybeOnPage = false, false
	al.pendingMark, al.witnessChange, al.witness = nil, nil, Peer{}
	for _, a := range al.allocations {
		a.onPage, a.drawLimit, a.seq, a.surplusSince, a.marksPending = false, 0, 0, time.Time{}, false
		a.grants = map[Peer]*grant{}
	}
	al.needsRead = true
}

// grantedSlices lists the current holder's grants without the stuck ones.
func (al *Allocator) grantedSlices() []*bbwire.Slice {
	var out []*bbwire.Slice
	for _, a := range al.sortedAllocations() {
		for _, p := range a.grantees() {
			if a.grant(p).granted > 0 && !a.grant(p).stuck {
				out = append(out, a.sliceMessage(al.holder, p))
			}
		}
	}
	return out
}

// mustClose reports whether this allocator must close a holder on the page: a former
// one of its own or, when it is the page's home, one of its failure domain whose
// instance is gone.
func (al *Allocator) mustClose(h *bbwire.Holder) bool {
	id := bbunit.HolderID(h.Holder)
	if id == al.holder {
		return false
	}
	p := HolderPeer(id)
	if p == al.peer {
		return true
	}
	return h.Domain == string(al.self.Domain) && !alive(al.view, p) && al.viewSummary().isHome
}

func (al *Allocator) hasDeadHolder() bool {
	return al.page != nil && len(al.pageSummary().deadHolders) > 0
}

func (al *Allocator) hasStuck() bool {
	return al.page != nil && al.pageSummary().hasStuck
}

// closeDeadHolders starts and advances the closing of dead holders.
func (al *Allocator) closeDeadHolders() {
	if al.page != nil && !al.writeUncertain {
		for _, h := range al.pageSummary().deadHolders {
			al.ensureClosing(h)
		}
	}
	for _, c := range al.sortedClosings() {
		al.driveClosing(c)
	}
}

// ensureClosing starts closing a holder, or starts over with the witness that the
// page names when that has changed. For a holder of another instance, the first
// message is sent after closeDelay, in case the instance comes back.
func (al *Allocator) ensureClosing(h *bbwire.Holder) {
	id := bbunit.HolderID(h.Holder)
	w := ParsePeer(h.Witness)
	c := al.closings[id]
	if c == nil {
		own := HolderPeer(id) == al.peer
		c = &holderClosing{holder: id, witness: w, own: own, frozen: own, marks: al.retiredSlices[id], surrenderSince: al.now, sentAt: al.now.Add(closeDelay - resendInterval), finalReports: map[Peer][]*bbwire.Slice{}}
		if own {
			c.sentAt = time.Time{}
		}
		al.closings[id] = c
		return
	}
	if !c.own && c.witness != w {
		c.witness, c.frozen, c.marks = w, false, nil
	}
}

func (al *Allocator) sortedClosings() []*holderClosing {
	out := make([]*holderClosing, 0, len(al.closings))
	for _, c := range al.closings {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].holder < out[j].holder })
	return out
}

// driveClosing sends the next messages of a closing, and repeats unanswered ones.
func (al *Allocator) driveClosing(c *holderClosing) {
	if !c.own && alive(al.view, HolderPeer(c.holder)) {
		delete(al.closings, c.holder) // its instance came back before it was closed
		return
	}
	if al.now.Sub(c.sentAt) < resendInterval {
		return
	}
	if !c.frozen {
		if alive(al.view, c.witness) {
			c.sentAt = al.now
			al.send(c.witness.ID, &bbwire.Freeze{Holder: string(c.holder)})
		}
		return
	}
	c.sentAt = al.now
	for _, g := range c.grantees() {
		if c.finalReports[g] == nil && alive(al.view, g) {
			al.send(g.ID, &bbwire.Surrender{Holder: string(c.holder)})
		}
	}
}

// grantees lists who may have a slice of the holder, sorted by name.
func (c *holderClosing) grantees() []Peer {
	seen := map[Peer]bool{}
	var out []Peer
	for _, m := range c.marks {
		if p := ParsePeer(m.Grantee); !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// handleFrozen stores the final marks if they come from the holder's witness.
func (al *Allocator) handleFrozen(e Frozen) {
	c := al.closings[bbunit.HolderID(e.Msg.Holder)]
	if c == nil || c.own || c.frozen || e.From != c.witness {
		return
	}
	c.frozen, c.marks, c.surrenderSince, c.sentAt = true, e.Msg.Slices, al.now, time.Time{}
	al.driveClosing(c)
}

// handleSurrendered stores a grantee's final report on a closed holder.
func (al *Allocator) handleSurrendered(e Surrendered) {
	h := bbunit.HolderID(e.Msg.Holder)
	slices := []*bbwire.Slice{}
	for _, s := range e.Msg.Slices {
		if s.Holder == e.Msg.Holder && s.Grantee == e.From.String() {
			slices = append(slices, s)
		}
	}
	if c := al.closings[h]; c != nil && c.frozen {
		c.finalReports[e.From] = slices
	}
	al.finalReports[granteeKey{h, e.From}] = slices
	if h == al.holder {
		al.retireHolder() // another allocator is closing it
	}
}

// reportToClosing merges a grantee's report into the closing of its holder, in case
// the grantee leaves before it is asked to surrender.
func (al *Allocator) reportToClosing(s *bbwire.Slice) {
	c := al.closings[bbunit.HolderID(s.Holder)]
	if c == nil {
		return
	}
	for _, m := range c.marks {
		if m.Budget == s.Budget && m.Grantee == s.Grantee && s.Spent >= 0 && s.Returned >= 0 && s.Spent+s.Returned <= m.Granted {
			m.Spent, m.Returned = max(m.Spent, s.Spent), max(m.Returned, s.Returned)
		}
	}
}

// readyToSettle reports whether the holder may be settled: its marks are final, and
// every reachable grantee has answered or surrenderTimeout has passed.
func (al *Allocator) readyToSettle(c *holderClosing) bool {
	if !c.frozen {
		return false
	}
	if al.now.Sub(c.surrenderSince) >= surrenderTimeout {
		return true
	}
	for _, g := range c.grantees() {
		if c.finalReports[g] == nil && alive(al.view, g) {
			return false
		}
	}
	return true
}

// editClosings settles the holders that are ready for it and reports whether the page
// changed.
func (al *Allocator) editClosings(p *bbwire.Page) bool {
	changed := false
	for _, c := range al.sortedClosings() {
		if !al.readyToSettle(c) {
			continue
		}
		for _, e := range p.Entries {
			if h := findHolder(e, c.holder); h != nil && (c.own || ParsePeer(h.Witness) == c.witness) {
				c.settle(e)
				changed = true
			}
		}
	}
	return changed
}

// settle removes the holder from the entry. What its grantees spent is settled,
// what they may still spend becomes stuck, and the budget gets the rest back.
func (c *holderClosing) settle(e *bbwire.Entry) {
	for _, m := range c.marks {
		g := ParsePeer(m.Grantee)
		if m.Budget != e.Budget || findStuck(e, c.holder, g) != nil {
			continue
		}
		if slices, ok := c.finalReports[g]; ok {
			m = sliceOf(slices, e.Budget)
		}
		unspent := m.Granted - m.Returned - m.Spent
		if unspent > 0 {
			addStuck(e, c.holder, g, unspent, m.Spent)
			continue
		}
		e.Settled += m.Spent
	}
	dropHolder(e, c.holder)
}

// sliceOf returns the slice of the budget, or an empty one.
func sliceOf(slices []*bbwire.Slice, budget string) *bbwire.Slice {
	for _, s := range slices {
		if s.Budget == budget {
			return s
		}
	}
	return &bbwire.Slice{}
}

// pruneClosings drops closings whose holder is no longer on the page, and final
// reports that are no longer needed.
func (al *Allocator) pruneClosings() {
	for id := range al.closings {
		if !namesHolder(al.page, id) {
			delete(al.closings, id)
		}
	}
	stuck := map[granteeKey]bool{}
	for _, e := range al.page.Entries {
		for _, key := range stuckKeys(e) {
			stuck[key] = true
		}
	}
	for key := range al.finalReports {
		if !stuck[key] && al.closings[key.holder] == nil {
			delete(al.finalReports, key)
		}
	}
}

// requestStuckReports asks live grantees with stuck amounts for a final report.
func (al *Allocator) requestStuckReports() {
	if al.page == nil || al.now.Sub(al.stuckAskedAt) < stuckRetryInterval || !al.pageSummary().hasStuck || !al.viewSummary().isHome && !al.retiring {
		return
	}
	al.stuckAskedAt = al.now
	seen := map[granteeKey]bool{}
	for _, e := range al.page.Entries {
		for _, key := range stuckKeys(e) {
			if !seen[key] && findStuck(e, key.holder, key.grantee).Amount > 0 && alive(al.view, key.grantee) {
				seen[key] = true
				al.send(key.grantee.ID, &bbwire.Surrender{Holder: string(key.holder)})
			}
		}
	}
}

// settleStuck settles stuck amounts whose grantee has sent its final report, and
// lowers those of which the report leaves less. While the holder is on the entry,
// a stuck amount of 0 stays behind, so that closing the holder does not charge
// the grantee again.
func (al *Allocator) settleStuck(p *bbwire.Page) bool {
	changed := false
	for _, e := range p.Entries {
		for _, key := range stuckKeys(e) {
			changed = al.settleStuckGrant(e, key) || changed
		}
	}
	return changed
}

// settleStuckGrant does the work of settleStuck for one stuck amount and reports
// whether the entry changed.
func (al *Allocator) settleStuckGrant(e *bbwire.Entry, key granteeKey) bool {
	stuck, holderOnEntry := findStuck(e, key.holder, key.grantee), findHolder(e, key.holder) != nil
	if stuck.Amount == 0 {
		if !holderOnEntry {
			dropStuck(e, key.holder, key.grantee)
		}
		return !holderOnEntry
	}
	finals, ok := al.finalReports[key]
	if !ok {
		return false
	}
	final := sliceOf(finals, e.Budget)
	unspent := final.Granted - final.Returned - final.Spent
	if unspent > 0 && unspent >= stuck.Amount {
		return false
	}
	dropStuck(e, key.holder, key.grantee)
	switch {
	case unspent > 0:
		addStuck(e, key.holder, key.grantee, unspent, final.Spent)
	case holderOnEntry:
		e.Settled += final.Spent
		addStuck(e, key.holder, key.grantee, 0, 0)
	default:
		e.Settled += final.Spent
	}
	return true
}
