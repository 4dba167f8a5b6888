package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// checkGrantees records since when grantees are missing from the view. Tokens of a
// missing grantee are not taken back, since it may still spend them. They move
// from the holder to the budget's stuck amounts, where operators see them, and
// where a grantee that was only unreachable can still account for them.
func (al *Allocator) checkGrantees() {
	if al.checkedView == al.view && !al.granteeMissing {
		return
	}
	al.checkedView, al.granteeMissing, al.granteeLost = al.view, false, false
	for _, a := range al.allocationList {
		for p, gr := range a.grants {
			switch {
			case al.viewSummary().alivePeers[p]:
				gr.missingSince = time.Time{}
			case gr.missingSince.IsZero():
				gr.missingSince = al.now
			}
			al.granteeMissing = al.granteeMissing || !gr.missingSince.IsZero() && gr.outstanding() > 0
			al.granteeLost = al.granteeLost || al.becomesStuck(gr)
		}
	}
}

// becomesStuck reports whether a grant must be moved to the stuck amounts.
func (al *Allocator) becomesStuck(gr *grant) bool {
	return gr.outstanding() > 0 && !gr.missingSince.IsZero() && al.now.Sub(gr.missingSince) >= stuckDelay
}

// outstanding returns what the grantee may still spend; 0 when it is recorded as stuck.
func (gr *grant) outstanding() bbunit.Tokens {
	if gr.stuck {
		return 0
	}
	return gr.granted - gr.spent - gr.returned
}

// canRecordStuck reports whether there are stuck amounts that may be written now.
func (al *Allocator) canRecordStuck() bool {
	return al.granteeLost && al.onPage && !al.writeUncertain && al.witnessChange == nil
}

// recordStuck moves the grants of lost grantees to the stuck amounts.
func (al *Allocator) recordStuck(p *bbwire.Page) bool {
	if !al.canRecordStuck() {
		return false
	}
	changed := false
	for _, a := range al.sortedAllocations() {
		e := findEntry(p, a.budget)
		h := findHolder(e, al.holder)
		if h == nil {
			continue
		}
		for _, g := range a.grantees() {
			if gr := a.grant(g); al.becomesStuck(gr) {
				h.Drawn -= int64(gr.granted - gr.returned)
				h.Seq++
				addStuck(e, al.holder, g, int64(gr.granted-gr.returned-gr.spent), int64(gr.spent))
				h.Spent = int64(a.reportedSpent(e, al.holder))
				changed = true
			}
		}
	}
	return changed
}

// adoptStuck marks the grants that the page lists as stuck.
func (al *Allocator) adoptStuck(a *allocation) {
	e := findEntry(al.page, a.budget)
	for g, gr := range a.grants {
		gr.stuck = gr.stuck || e != nil && findStuck(e, al.holder, g) != nil
	}
}
