package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// holderClosing closes one holder: its witness is frozen, its grantees surrender, then the
// page is settled by one write.
type holderClosing struct {
	holder         bbunit.HolderID
	witness        Peer
	own            bool // a holder of this very instance: no witness is needed
	frozen         bool
	marks          []*bbwire.Slice
	finalReports   map[Peer][]*bbwire.Slice
	surrenderSince time.Time // of the surrender
	sentAt         time.Time
}

// granteeKey names a grantee's account of a closed holder.
type granteeKey struct {
	holder  bbunit.HolderID
	grantee Peer
}

// retireHolder gives the present holder id up for good. What it granted is closed by
// a job; new draws use a new id.
func (al *Allocator) retireHolder() {
	old := al.holder
	if al.onPage || al.maybeOnPage {
		al.retiredSlices[old] = al.grantedSlices()
		al.closings[old] = &holderClosing{holder: old, own: true, frozen: true, marks: al.retiredSlices[old], surrenderSince: al.now, finalReports: map[Peer][]*bbwire.Slice{}}
	}
	al.holder = NewHolder(al.peer, al.pageNumber, al.nextHolderNumber())
	al.onPage, al.maybeOnPage = false, false
	al.pendingMark, al.witnessChange, al.witness = nil, nil, Peer{}
	for _, a := range al.allocations {
		a.onPage, a.drawLimit, a.seq, a.surplusSince, a.marksPending = false, 0, 0, time.Time{}, false
		a.grants = map[Peer]*grant{}
	}
	al.needsRead = true
}

// grantedSlices lists what the present holder has handed out.
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

// mustClose tells whether a holder on the page must be closed by this keeper: an old
// one of its own, or one of its failure domain whose instance is gone.
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
	return al.page != nil && len(al.summary().deadHolders) > 0
}

func (al *Allocator) hasStuck() bool {
	return al.page != nil && al.summary().hasStuck
}

// closeDeadHolders starts and drives the jobs that close dead holders.
func (al *Allocator) closeDeadHolders() {
	if al.page != nil && !al.writeUncertain {
		for _, h := range al.summary().deadHolders {
			al.ensureClosing(h)
		}
	}
	for _, c := range al.sortedClosings() {
		al.driveClosing(c)
	}
}

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

// driveClosing sends a job's next messages, again when they are not answered.
func (al *Allocator) driveClosing(c *holderClosing) {
	if !c.own && alive(al.view, HolderPeer(c.holder)) {
		delete(al.closings, c.holder) // it came back before it was closed
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

// grantees lists who may have a slice of the job's holder.
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

// handleFrozen takes the promise of a witness, if it is the one that the page names.
func (al *Allocator) handleFrozen(e Frozen) {
	c := al.closings[bbunit.HolderID(e.Msg.Holder)]
	if c == nil || c.own || c.frozen || e.From != c.witness {
		return
	}
	c.frozen, c.marks, c.surrenderSince, c.sentAt = true, e.Msg.Slices, al.now, time.Time{}
	al.driveClosing(c)
}

// handleSurrendered takes a grantee's account of a closed holder.
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
		al.retireHolder() // a closer has been here
	}
}

// reportToClosing merges a grantee's report into the job that closes its holder,
// for a grantee that leaves before it is asked to surrender.
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

// readyToSettle tells whether the job's write may be made: every grantee answered, or
// those that can be reached had their time.
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

// editClosings settles the holders whose jobs are ready.
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

// settle takes the holder off the entry: what its grantees spent is settled,
// what they may still spend is stuck, and the rest is the budget's again.
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

// sliceOf returns the slice of a budget, or an empty one.
func sliceOf(slices []*bbwire.Slice, budget string) *bbwire.Slice {
	for _, s := range slices {
		if s.Budget == budget {
			return s
		}
	}
	return &bbwire.Slice{}
}

// pruneClosings drops the jobs whose holder the page names no more, and accounts
// that nothing waits for.
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

// requestStuckReports asks grantees of closed holders again for their final account.
func (al *Allocator) requestStuckReports() {
	if al.page == nil || al.now.Sub(al.stuckAskedAt) < stuckRetryInterval || !al.summary().hasStuck || !al.viewSummary().isHome && !al.retiring {
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

// settleStuck settles stuck amounts whose grantee has given its final account, and
// lowers those that shrank. While the holder is on the entry an amount of 0
// stays, so that closing the holder does not count the grantee again.
func (al *Allocator) settleStuck(p *bbwire.Page) bool {
	changed := false
	for _, e := range p.Entries {
		for _, key := range stuckKeys(e) {
			changed = al.settleStuckGrant(e, key) || changed
		}
	}
	return changed
}

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
