package bbledger

import (
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// viewSummary caches what an allocator derives from a view.
type viewSummary struct {
	view        *bbmember.View
	isHome      bool // this instance is the page's home in its failure domain
	domainCount int  // at least 1
	alivePeers  map[Peer]bool
}

// pageSummary caches what an allocator derives from its page. It is valid for one
// page, view, state and holder.
type pageSummary struct {
	page   *bbwire.Page
	view   *bbmember.View
	state  *bbticket.State
	holder bbunit.HolderID

	entries         map[bbunit.BudgetID]*bbwire.Entry
	deadHolders     []*bbwire.Holder // holders that this allocator must close, without duplicates
	hasStuck        bool             // an entry has stuck amounts
	hasOutdated     bool             // an entry is behind the tickets in force
	hasSettledStuck bool             // an entry has a stuck amount of 0 that can be dropped
}

// viewSummary returns the summary of the current view.
func (al *Allocator) viewSummary() *viewSummary {
	if al.viewCache.view != al.view {
		m, ok := al.view.Home(PageHomeKey(al.pageNumber), al.self.Domain)
		al.viewCache = viewSummary{view: al.view, isHome: ok && m.ID == al.self.ID, domainCount: max(1, len(domainsOf(al.view))), alivePeers: make(map[Peer]bool, len(al.view.Members))}
		for _, m := range al.view.Members {
			al.viewCache.alivePeers[PeerOf(m)] = true
		}
	}
	return &al.viewCache
}

// pageSummary returns the summary of the page, which must not be nil.
func (al *Allocator) pageSummary() *pageSummary {
	s := al.summaryCache
	if s != nil && s.page == al.page && s.view == al.view && s.state == al.state && s.holder == al.holder {
		return s
	}
	s = &pageSummary{page: al.page, view: al.view, state: al.state, holder: al.holder, entries: make(map[bbunit.BudgetID]*bbwire.Entry, len(al.page.Entries))}
	seen := map[string]bool{}
	for _, e := range al.page.Entries {
		s.entries[bbunit.BudgetID(e.Budget)] = e
		s.hasStuck = s.hasStuck || len(e.Stuck) > 0
		s.hasOutdated = s.hasOutdated || outdated(e, al.state)
		for _, x := range e.Stuck {
			s.hasSettledStuck = s.hasSettledStuck || x.Amount == 0 && findHolder(e, bbunit.HolderID(x.Holder)) == nil
		}
		for _, h := range e.Holders {
			if !seen[h.Holder] && al.mustClose(h) {
				s.deadHolders = append(s.deadHolders, h)
			}
			seen[h.Holder] = true
		}
	}
	al.summaryCache = s
	return s
}

// needsWrite reports whether editPage may change the page. Unlike editPage, it needs
// no copy of the page.
func (al *Allocator) needsWrite() bool {
	s := al.pageSummary()
	if s.hasOutdated || s.hasSettledStuck || al.canRecordStuck() || s.hasStuck && len(al.finalReports) > 0 || al.witnessChange != nil && al.witnessChange.marksCopied {
		return true
	}
	for _, c := range al.closings {
		if al.readyToSettle(c) {
			return true
		}
	}
	return !al.retiring && al.needsDrawWrite(s)
}

// needsDrawWrite reports whether any draw needs an urgent change.
func (al *Allocator) needsDrawWrite(s *pageSummary) bool {
	for _, a := range al.sortedAllocations() {
		e := s.entries[a.budget]
		if e == nil {
			e = &bbwire.Entry{Budget: string(a.budget)}
			applyTicket(e, al.state)
		}
		if delta, urgent := al.drawDelta(a, e); urgent && delta != 0 || al.spentUnrecorded(a, e) {
			return true
		}
	}
	return false
}

// surplusDuration records whether there is a surplus now and returns for how long
// there has been one.
func (a *allocation) surplusDuration(now time.Time, surplus bool) time.Duration {
	if !surplus {
		a.surplusSince = time.Time{}
		return 0
	}
	if a.surplusSince.IsZero() {
		a.surplusSince = now
	}
	return now.Sub(a.surplusSince)
}
