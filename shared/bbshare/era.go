package bbshare

import (
	"time"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// The store can come back from an older copy of its data, in a new era. The rows
// then lack the grants of the seconds before, and would give the same tokens out
// again. In a new era, each holder therefore keeps what it was granted and writes
// it into the rows again, together with what it remembers of other holders. Until
// all that are alive have done so, nobody is granted more.

// settleTime is how long a holder gets no larger grants after it has learned of a
// new era. A holder that does not use the store learns of it when it renews its
// entry in the list of instances, every 2.5 s.
const settleTime = 6 * time.Second

// eraState is what an Allocator knows of the store's eras.
type eraState struct {
	era, settledFor bbstore.Era // settledFor is the latest for which settling was begun
	known           bool
	settling        bool
	settleUntil     time.Time // zero until the first Tick since settling began
}

// SetEra tells the store's era, as any of its answers names it.
func (a *Allocator) SetEra(era bbstore.Era) {
	if a.eras.known && era <= a.eras.era {
		return
	}
	wasKnown := a.eras.known
	a.eras.era, a.eras.known = era, true
	if wasKnown {
		a.settle()
	}
}

// settle begins the time in which grants do not grow, once in an era.
func (a *Allocator) settle() {
	if a.eras.settledFor == a.eras.era {
		return
	}
	a.eras.settledFor, a.eras.settling, a.eras.settleUntil = a.eras.era, true, time.Time{}
}

// tick ends the time in which grants do not grow.
func (e *eraState) tick(now time.Time) {
	switch {
	case !e.settling:
	case e.settleUntil.IsZero():
		e.settleUntil = now.Add(settleTime)
	case !now.Before(e.settleUntil):
		e.settling = false
	}
}

// isOld reports whether a row is of an era that is over.
func (a *Allocator) isOld(e bbstore.Entry) bool { return e.Rev != 0 && e.Rev.Era() < a.eras.era }

// wasSetBack reports whether a row of the store may lack grants that were written
// to it in an earlier era.
func (a *Allocator) wasSetBack(s *AccountShare, e bbstore.Entry) bool {
	return s.rowLoaded && (s.reassert || s.rev != 0 && (e.Rev == 0 || e.Rev.Era() > s.rev.Era()) && s.rev.Era() < a.eras.era)
}

// applySetBack takes a row that was set back: this holder keeps its grant and adds
// to the row what it remembers.
func (a *Allocator) applySetBack(s *AccountShare, row Row, rev bbstore.Revision) {
	if s.reassert || !row.includes(s.rev, rev) {
		row = row.merge(s.row, a.eras.era, a.Holder)
	}
	own, hasGrant := row.Holders[a.Holder]
	if rev != s.rev {
		s.uncertain = uncertainWrites{}
	}
	s.row, s.rev = row, rev
	s.fenced = s.fenced || !hasGrant && row.hasIncarnation(a.Holder)
	s.reassert = !s.fenced && (s.granted != 0 || hasGrant) && (own.Granted != s.granted || own.Era != a.eras.era)
}

// mustReassert reports whether the share has to be written because its row was, or
// may have been, set back.
func (a *Allocator) mustReassert(s *AccountShare) bool {
	if s.fenced || !s.rowLoaded {
		return false
	}
	return s.reassert || s.rev != 0 && s.rev.Era() < a.eras.era && (s.granted != 0 || !s.remoteHome)
}

// stamp returns the row as this holder writes it over the one at a revision.
func (a *Allocator) stamp(row Row, over bbstore.Revision) Row {
	if row.WrittenIn != a.eras.era {
		row.Base, row.WrittenIn = bbstore.NewRevision(row.WrittenIn, over.Counter()), a.eras.era
	}
	if !a.eras.settling {
		row.SettledIn = a.eras.era
	}
	return row
}

// includes reports whether a row, read at a revision, was made from one that was
// written at or after an earlier revision.
func (r Row) includes(earlier, rev bbstore.Revision) bool {
	base := r.Base
	if r.WrittenIn != rev.Era() {
		base = bbstore.NewRevision(r.WrittenIn, rev.Counter())
	}
	return base.Era() == earlier.Era() && base >= earlier
}

// merge returns a copy that has at least the grants of a remembered row. Grants
// that their holders have written in the given era are right as they are, and so
// is what the holder itself knows of its own.
func (r Row) merge(remembered Row, era bbstore.Era, self bbunit.HolderID) Row {
	next := r
	next.Closed, next.Lost = max(r.Closed, remembered.Closed), max(r.Lost, remembered.Lost)
	next.Holders = map[bbunit.HolderID]Grant{}
	for id, g := range r.Holders {
		next.Holders[id] = g
	}
	for id, g := range remembered.Holders {
		old, ok := next.Holders[id]
		if id != self && (!ok || old.Era != era) {
			next.Holders[id] = Grant{Granted: max(old.Granted, g.Granted), Spent: max(old.Spent, g.Spent), Era: max(old.Era, g.Era)}
		}
	}
	return next
}

// hasIncarnation reports whether the row has another incarnation of a holder's
// instance.
func (r Row) hasIncarnation(id bbunit.HolderID) bool {
	for other := range r.Holders {
		if other != id && instanceOf(other) == instanceOf(id) {
			return true
		}
	}
	return false
}
