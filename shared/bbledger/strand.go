package bbledger

import (
	"bluebellport.example/shared/bbwire"
)

// watchGrantees notes which grantees are gone. What they had is not taken back:
// it moves from the holder to the budget's stuck amounts, where operators see
// it and where a grantee that was only cut off can still account for it.
func (k *Keeper) watchGrantees() {
	for _, a := range k.accounts {
		for p, s := range a.shares {
			if alive(k.view, p) {
				s.gone = k.now
			} else if s.gone.IsZero() {
				s.gone = k.now
			}
		}
	}
}

// strandable tells whether a share is to be moved to the stuck amounts.
func (k *Keeper) strandable(p Peer, s *share) bool {
	return !s.stranded && s.granted > s.spent+s.returned && !s.gone.IsZero() && !alive(k.view, p) && k.now.Sub(s.gone) >= strandAfter
}

// editStrand moves what gone grantees have to the stuck amounts.
func (k *Keeper) editStrand(p *bbwire.Page) bool {
	if !k.opened || k.limbo || k.move != nil {
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
			if s := a.share(g); k.strandable(g, s) {
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
func (k *Keeper) adoptStrands(a *account) {
	e := findEntry(k.cache, a.budget)
	for g, s := range a.shares {
		s.stranded = s.stranded || e != nil && findStuck(e, k.holder, g) != nil
	}
}
