package bbshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// Policy sets how much an instance draws.
type Policy struct {
	// Horizon is the demand that a share is to last for.
	Horizon time.Duration
	// RefillBelow is the part of that below which more is drawn.
	RefillBelow float64
	// MinShare is the least share of an account without demand, in parts of what
	// it has paid, so that a request that comes while the store is out of reach
	// finds some.
	MinShare float64
	// MaxHeld bounds the shares of all holders together, in parts of what is free;
	// each gets of it as much as its part of what was spent.
	MaxHeld float64
	// LossLimit is how much kills may waste, in parts of what the account has paid,
	// before Part shrinks to its Least part: where instances keep dying, their
	// shares are small.
	LossLimit, MinScale float64
	// PriorSpent is what all holders together count as having spent before they have,
	// in parts of what the account has paid.
	PriorSpent float64
	// MaxRows is the most accounts in one write.
	MaxRows int
}

// HomeHorizon is the demand that the share of a home is to last for: its members
// hold shares of their own.
const HomeHorizon = 8 * time.Second

// SetHorizon changes how long shares are to last.
func (a *Allocator) SetHorizon(d time.Duration) { a.policy.Horizon = d }

// DefaultPolicy draws for a few seconds of demand.
func DefaultPolicy() Policy {
	return Policy{Horizon: 15 * time.Second, RefillBelow: 0.7, MinShare: 0.005, MaxHeld: 0.25, LossLimit: 0.1, MinScale: 0.2, PriorSpent: 0.016, MaxRows: 32}
}

// unmetPrefetchFactor is how many times what is asked for in vain is drawn ahead, while
// the demand is not yet known.
const unmetPrefetchFactor = 3

// demandSmoothing is how far one second of demand moves the mean.
const demandSmoothing = 0.4

// Allocator holds an instance's accounts. All its methods but those of the purses
// belong to one controller.
type Allocator struct {
	Holder    bbunit.HolderID
	policy    Policy
	keyPrefix string
	shares    map[bbunit.AccountID]*AccountShare
	// largestRequest is the largest request of late, of any account.
	largestRequest int64
	// draining tells that nothing is drawn ahead any more.
	draining bool
}

// NewAllocator returns an empty book whose rows stand under prefix.
func NewAllocator(holder bbunit.HolderID, keyPrefix string, policy Policy) *Allocator {
	return &Allocator{Holder: holder, policy: policy, keyPrefix: keyPrefix, shares: map[bbunit.AccountID]*AccountShare{}}
}

// AccountShare is one account in a book.
type AccountShare struct {
	ID      bbunit.AccountID
	Balance *Balance
	paid    bbunit.Tokens

	row       Row
	rev       bbstore.Revision
	rowLoaded bool          // the row has been read
	granted   bbunit.Tokens // what this instance counts as granted
	// remoteHome tells that the home of the account is elsewhere; left is what the
	// home said that is free.
	remoteHome bool
	homeFree   bbunit.Tokens
	// homeUnreachable tells that the home is elsewhere and out of reach.
	homeUnreachable bool
	// lent is the sum of loans over this life.
	lent bbunit.Tokens

	fenced         bool    // this life has been closed
	writeUncertain bool    // a write may have taken effect
	demand         float64 // tokens a second that requests ask for
	lastRequested  int64
	measuredAt     time.Time
	largestRequest int64
}

// Account returns an account's line, which it makes when there is none.
func (a *Allocator) Account(id bbunit.AccountID) *AccountShare {
	s := a.shares[id]
	if s == nil {
		s = &AccountShare{ID: id, Balance: &Balance{}}
		a.shares[id] = s
	}
	return s
}

// SetPaid sets what an account has paid in all.
func (a *Allocator) SetPaid(id bbunit.AccountID, paid bbunit.Tokens) { a.Account(id).paid = paid }

// Free returns what no holder has been granted, as far as the row is known.
func (s *AccountShare) Free() bbunit.Tokens { return s.paid - s.row.TotalGranted() }

// RowLoaded tells whether the row has been read.
func (s *AccountShare) RowLoaded() bool { return s.rowLoaded }

// Covers tells whether the account may still cover n: as far as known, what is
// free and what other holders may give back reach it.
func (s *AccountShare) Covers(n bbunit.Tokens, holder bbunit.HolderID) bool {
	return s.Free()+s.Balance.Available()+s.row.UnspentByOthers(holder) >= n
}

// UnspentByOthers returns what other holders may still have, as far as known.
func (s *AccountShare) UnspentByOthers(holder bbunit.HolderID) bbunit.Tokens {
	return s.row.UnspentByOthers(holder)
}

// ApplyRows takes rows as they stand in the store. Rows that cannot be read are left
// out and named in bad.
func (a *Allocator) ApplyRows(entries []bbstore.Entry) (rowErrs []error) {
	for _, e := range entries {
		if len(e.Key) <= len(a.keyPrefix) || e.Key[:len(a.keyPrefix)] != a.keyPrefix {
			continue
		}
		s := a.Account(bbunit.AccountID(e.Key[len(a.keyPrefix):]))
		if err := a.applyRow(s, e); err != nil {
			rowErrs = append(rowErrs, errors.Annotate(err, e.Key))
		}
	}
	return rowErrs
}

func (a *Allocator) applyRow(s *AccountShare, e bbstore.Entry) error {
	if s.rowLoaded && e.Rev < s.rev {
		return nil // older than what is known
	}
	row, err := ParseRow(e.Value)
	if err != nil {
		return err
	}
	_, hadGrant := s.row.Holders[a.Holder]
	s.row, s.rev, s.rowLoaded = row, e.Rev, true
	grant, hasGrant := row.Holders[a.Holder]
	if !hasGrant && s.granted != 0 && (hadGrant || s.writeUncertain) {
		s.fenced = true // closed, by this life or a later one
	}
	s.writeUncertain = false
	if !s.fenced {
		s.setGranted(grant.Granted)
	}
	return nil
}

// setGranted makes what is granted here what the row says: no earlier write can
// still take effect, since the row has moved on from what it expected.
func (s *AccountShare) setGranted(granted bbunit.Tokens) {
	s.Balance.available.Add(int64(granted - s.granted))
	s.granted = granted
}

// Tick measures demand; it is called about once a second.
func (a *Allocator) Tick(now time.Time) {
	a.largestRequest = a.largestRequest * 95 / 100
	for _, s := range a.shares {
		s.measureDemand(now)
		a.largestRequest = max(a.largestRequest, s.largestRequest)
	}
}

func (s *AccountShare) measureDemand(now time.Time) {
	requested := s.Balance.requested.Load()
	if elapsed := now.Sub(s.measuredAt).Seconds(); !s.measuredAt.IsZero() && elapsed > 0 {
		weight := min(demandSmoothing*elapsed, 1)
		s.demand += weight * (float64(requested-s.lastRequested)/elapsed - s.demand)
	}
	s.lastRequested, s.measuredAt = requested, now
	s.largestRequest = max(s.Balance.largestRequest.Swap(0), s.largestRequest*9/10)
}

// RowWrite is one write that a book asks for.
type RowWrite struct {
	Rows    []bbstore.Entry
	changes []grantChange
}

// grantChange is what a write changes for one line.
type grantChange struct {
	share   *AccountShare
	row     Row
	granted bbunit.Tokens // granted
}

// NextWrite returns the write that is due, nil when none is. Holders is how many draw
// from the accounts. Unless ahead, only a request that waits makes a write due;
// it then serves the other accounts too. What the write gives back is set aside
// at once.
func (a *Allocator) NextWrite(holders int, prefetch bool) *RowWrite {
	type candidate struct {
		s        *AccountShare
		newGrant bbunit.Tokens
		unmet    int64
	}
	var candidates []candidate
	for _, s := range a.shares {
		if s.remoteHome {
			continue
		}
		unmet := s.Balance.unmet.Swap(0)
		if newGrant, ok := a.targetGrant(s, unmet, holders); ok {
			candidates = append(candidates, candidate{s, newGrant, unmet})
			prefetch = prefetch || unmet > 0
		}
	}
	if len(candidates) == 0 || !prefetch {
		return nil
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.unmet, x.unmet), cmp.Compare(x.s.ID, y.s.ID))
	})
	write := &RowWrite{}
	for _, c := range candidates[:min(len(candidates), a.policy.MaxRows)] {
		if surplus := c.s.granted - c.newGrant; surplus > 0 {
			c.s.granted -= bbunit.Tokens(c.s.Balance.takeUpTo(int64(surplus)))
			c.newGrant = c.s.granted
		}
		write.add(a, c.s, c.s.row.withGrant(a.Holder, Grant{Granted: c.newGrant, Spent: bbunit.Tokens(c.s.Balance.spent.Load())}), c.newGrant)
	}
	return write
}

func (w *RowWrite) add(a *Allocator, s *AccountShare, row Row, granted bbunit.Tokens) {
	w.Rows = append(w.Rows, bbstore.Entry{Key: a.keyPrefix + string(s.ID), Value: row.Encode(), Rev: s.rev})
	w.changes = append(w.changes, grantChange{share: s, row: row, granted: granted})
}

// targetGrant returns what the line's grant should become, and whether a write is
// worth it.
func (a *Allocator) targetGrant(s *AccountShare, unmet int64, holders int) (bbunit.Tokens, bool) {
	if s.fenced || s.remoteHome || s.paid <= 0 && s.granted == 0 {
		return 0, false
	}
	free := max(s.Free(), 0)
	if !s.rowLoaded {
		free = 0 // a write with the unknown row's revision reads it
	}
	desired := s.demand * a.policy.Horizon.Seconds()
	desired = max(desired, float64(a.largestRequest), float64(s.paid)*a.policy.MinShare, unmetPrefetchFactor*float64(unmet))
	available := s.Balance.available.Load()
	desired = min(desired, a.maxHeldFraction(s)*float64(free+bbunit.Tokens(max(available, 0)))*a.spendingWeight(s, holders))
	if a.draining || s.homeUnreachable {
		desired = 0
	}
	goal := int64(desired) + unmet
	newGrant := min(s.granted+bbunit.Tokens(goal-available), s.granted+free)
	switch {
	case unmet > 0:
		return newGrant, !s.rowLoaded || newGrant > s.granted
	case newGrant > s.granted:
		return newGrant, float64(available) < a.policy.RefillBelow*desired
	case newGrant < s.granted && s.homeUnreachable:
		return newGrant, false
	case newGrant < s.granted:
		return newGrant, a.draining || available > 3*goal+int64(s.largestRequest)
	}
	return newGrant, false
}

// maxHeldFraction is how much of what is free all holders together may have: the less, the
// more kills have wasted of the account already.
func (a *Allocator) maxHeldFraction(s *AccountShare) float64 {
	if s.paid <= 0 {
		return a.policy.MaxHeld
	}
	lossRatio := float64(s.row.Lost) / (a.policy.LossLimit * float64(s.paid))
	return a.policy.MaxHeld * max(1-lossRatio, a.policy.MinScale)
}

// spendingWeight is this instance's part of what has been spent, as the row tells.
func (a *Allocator) spendingWeight(s *AccountShare, holders int) float64 {
	others := a.policy.PriorSpent * float64(s.paid)
	prior := others / float64(max(holders, 1))
	for id, g := range s.row.Holders {
		if id != a.Holder {
			others += float64(g.Spent)
		}
	}
	ownSpent := float64(s.Balance.spent.Load())
	if others+ownSpent <= 0 {
		return 1 / float64(max(holders, 1))
	}
	return (ownSpent + prior) / (others + ownSpent)
}

// FinishWrite takes the outcome of a write: its revision, or the error and the rows
// that the store returned with a conflict.
func (a *Allocator) FinishWrite(w *RowWrite, rev bbstore.Revision, current []bbstore.Entry, err error) (rowErrs []error) {
	switch {
	case err == nil:
		for _, c := range w.changes {
			c.share.row, c.share.rev, c.share.rowLoaded = c.row, rev, true
			c.share.setGranted(c.granted)
		}
	case errors.Is(err, bbstore.ErrConflict):
		rowErrs = a.ApplyRows(current)
	default:
		for _, c := range w.changes {
			c.share.writeUncertain = true
		}
	}
	return rowErrs
}

// Drain makes the book give back what lies unused, and draw no more than
// requests ask for.
func (a *Allocator) Drain() { a.draining = true }

// Close returns the write that ends this holder and gives back what is unspent;
// nil when there is nothing to end. Nothing may be reserved any more.
func (a *Allocator) Close() *RowWrite {
	w := &RowWrite{}
	for _, s := range a.shares {
		_, hasGrant := s.row.Holders[a.Holder]
		if s.fenced || !hasGrant && s.Balance.Available() == 0 {
			continue
		}
		s.granted -= bbunit.Tokens(s.Balance.takeUpTo(1 << 62))
		w.add(a, s, s.row.withClosed(a.Holder, s.granted), 0)
	}
	if len(w.Rows) == 0 {
		return nil
	}
	return w
}

// Status is what one line holds.
type Status struct {
	Account   bbunit.AccountID `json:"account"`
	Paid      bbunit.Tokens    `json:"paid"`
	Free      bbunit.Tokens    `json:"free"`
	Available bbunit.Tokens    `json:"here"` // available to this instance
	Spent     bbunit.Tokens    `json:"spent"`
	Rate      bbunit.Tokens    `json:"rate"` // asked for here, a second
	Lent      bbunit.Tokens    `json:"lent,omitempty"`
	Granted   bbunit.Tokens    `json:"granted"`
	Closed    bbunit.Tokens    `json:"closed"` // of holders that are no more
}

// Status returns what each line holds, by account.
func (a *Allocator) Status() []Status {
	out := make([]Status, 0, len(a.shares))
	for _, s := range a.shares {
		out = append(out, Status{
			Account: s.ID, Paid: s.paid, Free: s.Free(), Available: s.Balance.Available(),
			Spent: bbunit.Tokens(s.Balance.spent.Load()), Rate: bbunit.Tokens(s.demand),
			Lent: s.lent, Granted: s.granted, Closed: s.row.Closed,
		})
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Account, y.Account) })
	return out
}
