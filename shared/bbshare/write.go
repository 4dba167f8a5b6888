package bbshare

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// RowWrite is a compare-and-swap write of one or several rows. Its outcome must be
// passed to Allocator.FinishWrite.
type RowWrite struct {
	Rows    []bbstore.Entry
	changes []grantChange
}

// grantChange is the state of one share once its RowWrite succeeds. closes means that
// the row then lacks the holder, which may still spend granted in all.
type grantChange struct {
	share   *AccountShare
	row     Row
	granted bbunit.Tokens
	closes  bool
}

// uncertainWrites are the writes of one row over its last known revision whose
// outcome is unknown. Each of them may take effect as long as the row is at that
// revision, also after the row has been read again, so the holder relies on no more
// than the least that any of them grants. The zero value is no write.
type uncertainWrites struct {
	any   bool
	least bbunit.Tokens // granted by any of them
}

// add adds a write that grants so much.
func (u *uncertainWrites) add(granted bbunit.Tokens) {
	if !u.any || granted < u.least {
		u.least = granted
	}
	u.any = true
}

// limit returns the part of a grant on which the holder may rely.
func (u *uncertainWrites) limit(granted bbunit.Tokens) bbunit.Tokens {
	if u.any {
		return min(granted, u.least)
	}
	return granted
}

// NextWrite returns the next write, or nil if none is needed. Holders is the number
// of instances that hold shares of the accounts. Without prefetch, there is a
// write only if a request could not be reserved; that write then changes the grants
// of other accounts as well. Tokens that the write gives back are removed from the
// balance at once, so that they cannot be spent while the write is pending.
func (a *Allocator) NextWrite(holders int, prefetch bool) *RowWrite {
	type candidate struct {
		s        *AccountShare
		newGrant bbunit.Tokens
		need     int64 // tokens for requests that wait
	}
	var candidates []candidate
	for _, s := range a.shares {
		if a.mustReassert(s) {
			candidates = append(candidates, candidate{s, s.granted, 0})
			prefetch = true
			continue
		}
		if s.remoteHome {
			if s.surplus > 0 && !s.fenced {
				candidates = append(candidates, candidate{s, s.granted - s.surplus, 0})
			}
			continue
		}
		newGrant, need, worth := a.desiredGrant(s, holders)
		if !worth {
			s.Balance.unmet.clearLoans()
			continue
		}
		candidates = append(candidates, candidate{s, newGrant, need})
		prefetch = prefetch || need > 0
	}
	if len(candidates) == 0 || !prefetch {
		return nil
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.need, x.need), cmp.Compare(x.s.ID, y.s.ID))
	})
	write := &RowWrite{}
	for _, c := range candidates[:min(len(candidates), a.policy.MaxRowsPerWrite)] {
		c.s.surplus = 0
		if surplus := c.s.granted - c.newGrant; surplus > 0 {
			c.s.granted -= bbunit.Tokens(c.s.Balance.takeUpTo(int64(surplus)))
			c.newGrant = c.s.granted
		}
		write.add(a, c.s, c.s.row.withGrant(a.Holder, Grant{Granted: c.newGrant, Spent: bbunit.Tokens(c.s.Balance.spent.Load()), Rate: a.grantRate(c.s), Borrowed: a.grantBorrowed(c.s), Era: a.eras.era}), c.newGrant)
	}
	return write
}

func (w *RowWrite) add(a *Allocator, s *AccountShare, row Row, granted bbunit.Tokens) {
	row = a.stamp(row, s.rev)
	w.Rows = append(w.Rows, bbstore.Entry{Key: a.keyPrefix + string(s.ID), Value: row.Encode(), Rev: s.rev})
	w.changes = append(w.changes, grantChange{share: s, row: row, granted: granted})
}

// FinishWrite applies the outcome of a write: the new revision on success, or the
// error. Current holds the rows that the store returned with ErrConflict; rowErrs
// has an error for each of them that is malformed. After any other error the
// write may have taken effect, or may do so later, so the shares rely on no more
// than it grants until the rows have moved on.
func (a *Allocator) FinishWrite(w *RowWrite, rev bbstore.Revision, current []bbstore.Entry, err error) (rowErrs []error) {
	switch {
	case err == nil:
		a.SetEra(rev.Era())
		for _, c := range w.changes {
			c.share.reassert, c.share.fenced, c.share.uncertain = false, c.closes, uncertainWrites{}
			c.share.refresh = false
			c.share.Balance.unmet.clearLoans()
			c.share.row, c.share.rev, c.share.rowLoaded = c.row, rev, true
			c.share.setGranted(c.granted)
		}
	case errors.Is(err, bbstore.ErrConflict):
		rowErrs = a.ApplyRows(current)
	default:
		for _, c := range w.changes {
			c.share.uncertain.add(c.granted)
		}
	}
	return rowErrs
}

// Drain makes the following writes give back unused tokens and request only what
// unmet requests need.
func (a *Allocator) Drain() { a.draining = true }

// Close returns a write that removes this holder from rows and gives back what it has
// not spent, or nil if no row needs a change. It has at most Policy.MaxRowsPerWrite rows,
// so it is called until it returns nil. Nothing may be reserved after Close.
func (a *Allocator) Close() *RowWrite {
	w := &RowWrite{}
	for _, s := range a.shares {
		_, hasGrant := s.row.Holders[a.Holder]
		if s.fenced || !hasGrant && !s.reassert && !s.uncertain.any && s.Balance.Available() == 0 {
			continue
		}
		if len(w.Rows) == a.policy.MaxRowsPerWrite {
			break
		}
		s.granted -= bbunit.Tokens(s.Balance.takeUpTo(1 << 62))
		w.add(a, s, s.row.withClosed(a.Holder, s.granted), s.granted)
		w.changes[len(w.changes)-1].closes = true
	}
	if len(w.Rows) == 0 {
		return nil
	}
	return w
}
