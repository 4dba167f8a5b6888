package bbshare

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// Policy sets how much of each account an instance reserves for itself.
type Policy struct {
	// Horizon is how long a share should last at the measured demand.
	Horizon time.Duration
	// RefillBelow is the fraction of the desired share below which the instance
	// requests a larger grant.
	RefillBelow float64
	// MinShare is the share of an account without demand, as a fraction of what
	// the account has paid. It lets a request succeed while the store is
	// unreachable.
	MinShare float64
	// MaxHeld bounds the shares of all holders together, as a fraction of the free
	// tokens. Each holder's part of it is proportional to what it has spent.
	MaxHeld float64
	// LossLimit and MinScale lower MaxHeld by the tokens lost with killed instances,
	// so that instances that keep crashing get small shares: linearly down to 0 at a
	// loss of LossLimit, a fraction of what the account has paid, but not below
	// MinScale times MaxHeld.
	LossLimit, MinScale float64
	// PriorSpent is the spending that all holders together are assumed to have
	// before any is recorded, as a fraction of what the account has paid.
	PriorSpent float64
	// MaxRowsPerWrite is the largest number of accounts in one write.
	MaxRowsPerWrite int
}

// The policy of a large fleet, where homes serve the other instances of their failure
// domain. What a failure domain holds is bounded by time and by the balance: enough for
// a partition from the store of some 9 s, no more than homeMaxHeld of what is free.
const (
	homeHorizon = 12 * time.Second
	homeMaxHeld = 0.4
	// homeRefillBelow is Policy.RefillBelow of a home: a partition may begin just before the
	// next draw.
	homeRefillBelow = 0.8
	// homeReserve is the part of what its failure domain holds that a home has itself,
	// whatever its borrowers have: it serves those that have run out.
	homeReserve = 0.25
)

// SetUsesHomes sets whether the accounts have homes.
func (a *Allocator) SetUsesHomes(uses bool) {
	policy := DefaultPolicy()
	a.usesHomes, a.policy.Horizon, a.policy.RefillBelow, a.policy.MaxHeld = uses, policy.Horizon, policy.RefillBelow, policy.MaxHeld
	if uses {
		a.policy.Horizon, a.policy.RefillBelow, a.policy.MaxHeld = homeHorizon, homeRefillBelow, homeMaxHeld
	}
}

// DefaultPolicy returns the policy of a small fleet, where no account has a home
// and each instance gets its grants from the store.
func DefaultPolicy() Policy {
	return Policy{Horizon: 15 * time.Second, RefillBelow: 0.7, MinShare: 0.005, MaxHeld: 0.25, LossLimit: 0.1, MinScale: 0.2, PriorSpent: 0.016, MaxRowsPerWrite: 32}
}

// A share is given back above surplusFactor times what is desired, or above maxSurplus
// times what may be held.
const (
	surplusFactor = 3
	maxSurplus    = 1.25
)

// unmetPrefetchFactor is the least desired share as a multiple of the unmet demand.
// It matters while the measured demand lags behind the real one.
const unmetPrefetchFactor = 3

// desiredGrant returns what the grant of a share should become, and whether the
// change is worth a write. Need is above 0 if requests wait for the write: what is
// drawn for them, or the size of one of them.
func (a *Allocator) desiredGrant(s *AccountShare, holders int) (newGrant bbunit.Tokens, need int64, worth bool) {
	if s.fenced || s.remoteHome || s.paid <= 0 && s.granted == 0 {
		return 0, 0, false
	}
	free := int64(max(s.Remaining(), 0))
	if !s.rowLoaded {
		free = 0 // the write at revision 0 either creates the row or returns it with a conflict
	}
	available := s.Balance.available.Load()
	usable := free + max(available, 0)
	need = a.neededDraw(s, usable, holders)
	held := a.maxHeld(s, usable-need, holders)
	borrowed := s.borrowers.held()
	desired := s.servedDemand()*a.policy.Horizon.Seconds() - float64(borrowed)
	desired = max(desired, float64(a.largestRequest), float64(s.paid)*a.policy.MinShare, float64(unmetPrefetchFactor*need))
	desired = min(desired, held)
	if a.draining || s.homeUnreachable {
		desired = 0
	}
	goal := int64(desired) + need
	newGrant = min(s.granted+bbunit.Tokens(goal-available), s.granted+bbunit.Tokens(free))
	if a.eras.settling {
		newGrant = min(newGrant, s.granted)
	}
	waiting := s.Balance.unmet.sizes(0).smallest
	switch {
	case need > 0 && newGrant > s.granted:
		return newGrant, need, true
	case waiting > 0 && (!s.rowLoaded || s.refresh):
		return max(newGrant, s.granted), waiting, true
	case newGrant > s.granted:
		// What borrowers hold counts, so that loans alone cause no write.
		return newGrant, 0, float64(available+borrowed) < a.policy.RefillBelow*(desired+float64(borrowed)) || float64(available) < homeReserve*desired
	case newGrant < s.granted && s.homeUnreachable:
		return newGrant, 0, false
	case newGrant < s.granted:
		return newGrant, 0, a.draining || float64(available-need+borrowed) > mostKept(held+float64(borrowed), goal+borrowed)
	}
	return newGrant, 0, false
}

// mostKept returns above how many available tokens a share is given back.
func mostKept(held float64, goal int64) float64 {
	return min(maxSurplus*held, surplusFactor*float64(goal))
}

// neededDraw returns how much of the usable tokens is drawn for requests that wait:
// for all of them as far as that is within what may be held, but at least for the
// largest. For one that the usable tokens do not cover nothing is drawn, since that
// would not serve it.
func (a *Allocator) neededDraw(s *AccountShare, usable int64, holders int) int64 {
	unmet := s.Balance.unmet.sizes(usable)
	return min(unmet.sum, max(unmet.largest, int64(a.maxHeld(s, usable, holders))))
}

// maxHeld returns the most that this holder keeps at hand of the usable tokens: its
// own and the free ones. What instances that borrow here hold is a part of it.
func (a *Allocator) maxHeld(s *AccountShare, usable int64, holders int) float64 {
	weight := a.spendingWeight(s, holders)
	if a.usesHomes {
		weight = a.demandWeight(s, weight, holders)
	}
	borrowed := s.borrowers.held()
	most := a.maxHeldFraction(s) * float64(usable+borrowed) * weight
	return max(most-float64(borrowed), homeReserve*most)
}

// maxHeldFraction returns the fraction of the free tokens that all holders
// together may hold. It falls with the tokens already lost with killed instances.
func (a *Allocator) maxHeldFraction(s *AccountShare) float64 {
	if s.paid <= 0 {
		return a.policy.MaxHeld
	}
	lossRatio := float64(s.row.Lost) / (a.policy.LossLimit * float64(s.paid))
	return a.policy.MaxHeld * max(1-lossRatio, a.policy.MinScale)
}

// spendingWeight returns this instance's fraction of what all current holders have
// spent, including the assumed prior spending.
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
	weight := (ownSpent + prior) / (others + ownSpent)
	if a.usesHomes { // homes change with restarts: a new one has a part before it has spent
		weight = (weight + 1/float64(max(holders, 1))) / 2
	}
	return weight
}
