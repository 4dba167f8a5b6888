package bbledger

import (
	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// storeDown reports whether at least two store calls in a row failed.
func (al *Allocator) storeDown() bool { return al.backoff > minBackoff }

// startBackoff doubles the pause before the next store call.
func (al *Allocator) startBackoff() {
	al.backoff = min(max(2*al.backoff, minBackoff), maxBackoff)
	al.retryAt = al.now.Add(al.backoff)
}

// startStoreCall starts the next Load or Save, if one is needed.
func (al *Allocator) startStoreCall() {
	if al.callInFlight || al.now.Before(al.retryAt) {
		return
	}
	if al.needsRead || al.page == nil && (len(al.wants) > 0 || al.onPage || al.maybeOnPage || len(al.closings) > 0) {
		al.needsRead, al.callInFlight = false, true
		al.actions = append(al.actions, Load{})
		return
	}
	if al.page == nil {
		return
	}
	if !al.needsWrite() {
		return
	}
	next := clonePage(al.page)
	if !al.editPage(next) {
		return
	}
	for _, a := range al.allocations {
		a.lowerDrawLimit(findHolder(findEntry(next, a.budget), al.holder))
	}
	al.callInFlight, al.pendingPage = true, next
	al.actions = append(al.actions, Save{Page: next, Prev: al.rev})
}

// handleLoaded handles the outcome of a read.
func (al *Allocator) handleLoaded(e Loaded) {
	al.callInFlight = false
	if e.Err != nil {
		al.needsRead = true
		al.startBackoff()
		return
	}
	al.backoff = 0
	unchanged := al.writeUncertain && e.Rev == al.rev
	al.page, al.rev, al.lastReadAt = e.Page, e.Rev, al.now
	if unchanged {
		return // the uncertain write has not taken effect, but still may
	}
	al.writeUncertain = false
	al.adoptPage()
}

// handleSaved handles the outcome of a write.
func (al *Allocator) handleSaved(e Saved) {
	written := al.pendingPage
	al.callInFlight, al.pendingPage = false, nil
	switch {
	case e.Err == nil:
		al.backoff = 0
		al.page, al.rev, al.lastReadAt, al.writeUncertain = written, e.Rev, al.now, false
		al.adoptPage()
	case errors.Is(e.Err, bbstore.ErrConflict):
		al.backoff = 0
		al.needsRead = true
	case errors.Is(e.Err, bbstore.ErrDown), errors.Is(e.Err, bbstore.ErrTooLarge):
		al.startBackoff()
		if !al.writeUncertain {
			al.adoptPage()
		}
	default:
		al.writeUncertain, al.needsRead = true, true
		al.maybeOnPage = al.maybeOnPage || namesHolder(written, al.holder)
		al.startBackoff()
	}
}

// namesHolder reports whether any entry of the page lists the holder.
func namesHolder(p *bbwire.Page, h bbunit.HolderID) bool {
	for _, e := range p.Entries {
		if findHolder(e, h) != nil {
			return true
		}
	}
	return false
}

// adoptPage updates the allocations from the page. It must be called only when no
// write of this allocator can still take effect.
func (al *Allocator) adoptPage() {
	listed, removed := false, false
	var witness Peer
	for _, a := range al.sortedAllocations() {
		h := findHolder(findEntry(al.page, a.budget), al.holder)
		if h == nil {
			removed = removed || a.onPage
			a.drawLimit = 0
			continue
		}
		listed, a.onPage = true, true
		a.drawLimit, a.seq = bbunit.Tokens(h.Drawn), h.Seq
		al.adoptStuck(a)
		witness = ParsePeer(h.Witness)
	}
	if removed || al.maybeOnPage && !listed {
		al.retireHolder()
		return
	}
	al.maybeOnPage, al.onPage = false, listed
	if listed {
		al.finishWitnessChange(witness)
	}
	al.pruneClosings()
}
