package bbledger

import (
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// place is what a view means for a keeper.
type place struct {
	view    *bbmember.View
	home    bool
	domains int
	alive   map[Peer]bool
}

// scan is what the page means for a keeper, worked out once for each page, view,
// state and holder.
type scan struct {
	page   *bbwire.Page
	view   *bbmember.View
	state  *bbticket.State
	holder bbunit.HolderID

	entries map[bbunit.BudgetID]*bbwire.Entry
	dead    []*bbwire.Holder // holders that this keeper must close, each once
	stuck   bool             // an entry has stuck amounts
	behind  bool             // an entry is older than what is in force
	spare   bool             // an entry has a stuck amount of 0 that is not needed any more
}

// where returns what the present view means.
func (k *Allocator) where() *place {
	if k.place.view != k.view {
		m, ok := k.view.Home(PageHomeKey(k.page), k.self.Domain)
		k.place = place{view: k.view, home: ok && m.ID == k.self.ID, domains: max(1, len(domains(k.view))), alive: make(map[Peer]bool, len(k.view.Members))}
		for _, m := range k.view.Members {
			k.place.alive[PeerOf(m)] = true
		}
	}
	return &k.place
}

// scanned returns what the cached page means; the page must not be nil.
func (k *Allocator) scanned() *scan {
	s := k.scan
	if s != nil && s.page == k.cache && s.view == k.view && s.state == k.state && s.holder == k.holder {
		return s
	}
	s = &scan{page: k.cache, view: k.view, state: k.state, holder: k.holder, entries: make(map[bbunit.BudgetID]*bbwire.Entry, len(k.cache.Entries))}
	seen := map[string]bool{}
	for _, e := range k.cache.Entries {
		s.entries[bbunit.BudgetID(e.Budget)] = e
		s.stuck = s.stuck || len(e.Stuck) > 0
		s.behind = s.behind || behind(e, k.state)
		for _, x := range e.Stuck {
			s.spare = s.spare || x.Amount == 0 && findHolder(e, bbunit.HolderID(x.Holder)) == nil
		}
		for _, h := range e.Holders {
			if !seen[h.Holder] && k.dead(h) {
				s.dead = append(s.dead, h)
			}
			seen[h.Holder] = true
		}
	}
	k.scan = s
	return s
}

// needsWrite tells, without a copy of the page, whether edit may change it.
func (k *Allocator) needsWrite() bool {
	s := k.scanned()
	if s.behind || s.spare || k.canStrand() || s.stuck && len(k.finals) > 0 || k.move != nil && k.move.ready {
		return true
	}
	for _, j := range k.jobs {
		if k.ready(j) {
			return true
		}
	}
	return !k.retiring && k.needsDraw(s)
}

// needsDraw tells whether an account's draw should change by a write of its own.
func (k *Allocator) needsDraw(s *scan) bool {
	for _, a := range k.ordered() {
		e := s.entries[a.budget]
		if e == nil {
			e = &bbwire.Entry{Budget: string(a.budget)}
			advance(e, k.state)
		}
		if delta, urgent := k.delta(a, e); urgent && delta != 0 {
			return true
		}
	}
	return false
}

// calmFor notes whether an account has surplus now and returns for how long it
// has had.
func (a *account) calmFor(now time.Time, surplus bool) time.Duration {
	if !surplus {
		a.calm = time.Time{}
		return 0
	}
	if a.calm.IsZero() {
		a.calm = now
	}
	return now.Sub(a.calm)
}
