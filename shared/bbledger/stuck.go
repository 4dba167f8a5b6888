package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// watchGrantees notes which grantees are gone. What they had is not taken back:
// it moves from the holder to the budget's stuck amounts, where operators see
// it and where a grantee that was only cut off can still account for it.
func (k *Allocator) watchGrantees() {
	if k.watched == k.view && !k.missing {
		return
	}
	k.watched, k.missing, k.strands = k.view, false, false
	for _, a := range k.order {
		for p, s := range a.shares {
			switch {
			case k.where().alive[p]:
				s.gone = time.Time{}
			case s.gone.IsZero():
				s.gone = k.now
			}
			k.missing = k.missing || !s.gone.IsZero() && s.outstanding() > 0
			k.strands = k.strands || k.strandable(s)
		}
	}
}

// strandable tells whether a share is to be moved to the stuck amounts.
func (k *Allocator) strandable(s *share) bool {
	return s.outstanding() > 0 && !s.gone.IsZero() && k.now.Sub(s.gone) >= strandAfter
}

// outstanding is what the grantee may still spend, unless the page counts it as
// stuck.
func (s *share) outstanding() bbunit.Tokens {
	if s.stranded {
		return 0
	}
	return s.granted - s.spent - s.returned
}

// canStrand tells whether the page may take the stuck amounts now.
func (k *Allocator) canStrand() bool { return k.strands && k.opened && !k.limbo && k.move == nil }

// editStrand moves what gone grantees have to the stuck amounts.
func (k *Allocator) editStrand(p *bbwire.Page) bool {
	if !k.canStrand() {
		return false
	}
	changed := false
	for _, a := range k.ordered() {
		e := findEntry(p, a.budget)
		h := findHolder(e, k.holder)
		if h == nil {
			continue
		}
		for _, g := range a.peers() {
			if s := a.share(g); k.strandable(s) {
				h.Drawn -= int64(s.granted - s.returned)
				h.Seq++
				addStuck(e, k.holder, g, int64(s.granted-s.returned-s.spent), int64(s.spent))
				h.Spent = int64(a.spentOn(e, k.holder))
				changed = true
			}
		}
	}
	return changed
}

// adoptStrands takes over which shares the page counts as stuck.
func (k *Allocator) adoptStrands(a *account) {
	e := findEntry(k.cache, a.budget)
	for g, s := range a.shares {
		s.stranded = s.stranded || e != nil && findStuck(e, k.holder, g) != nil
	}
}
