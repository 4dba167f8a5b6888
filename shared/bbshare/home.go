package bbshare

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// In a large fleet, each account has one home instance per failure domain. Only
// the home gets grants from the store; the other instances of the domain borrow
// from the home. A row then has only one holder per failure domain, which keeps
// write conflicts rare.

// HomePolicy sets how much an instance borrows from a home.
type HomePolicy struct {
	// Horizon is how long the borrowed share should last at the measured demand.
	Horizon time.Duration
	// RefillBelow is the fraction of the desired share below which the instance
	// borrows more.
	RefillBelow float64
}

// DefaultHomePolicy returns a policy whose shares outlast several seconds without
// contact with the home.
func DefaultHomePolicy() HomePolicy { return HomePolicy{Horizon: 8 * time.Second, RefillBelow: 0.7} }

// SetHome sets whether this instance is the home of an account, and whether the
// home can be reached if it is another instance. While a remote home is reachable,
// this instance writes no row for the account. While it is unreachable, the
// instance gets grants from the store, but only for unmet requests.
func (a *Allocator) SetHome(id bbunit.AccountID, local, reachable bool) {
	s := a.Account(id)
	s.remoteHome, s.homeUnreachable = !local && reachable, !local && !reachable
}

// UsesRemoteHome reports whether the account is borrowed from another instance,
// which is its home and reachable.
func (s *AccountShare) UsesRemoteHome() bool { return s.remoteHome }

// LoanRequest asks the home of an account for tokens.
type LoanRequest struct {
	Account bbunit.AccountID
	// Need is for requests that could not be reserved, Prefetch for future ones.
	Need, Prefetch bbunit.Tokens
	// Asker is the state of the instance that asks.
	Asker Demand
}

// LoanRequests returns what to borrow from remote homes now.
func (a *Allocator) LoanRequests(policy HomePolicy) []LoanRequest {
	var out []LoanRequest
	for _, s := range a.shares {
		if !s.remoteHome || s.paid <= 0 {
			continue
		}
		available := s.Balance.available.Load()
		desired := 0.0
		if !a.draining {
			desired = s.desiredLoanShare(policy)
		}
		need := s.neededLoan(available)
		s.Balance.unmet.clearLoans()
		if need > 0 || float64(available) < policy.RefillBelow*desired {
			out = append(out, LoanRequest{Account: s.ID, Need: bbunit.Tokens(need), Prefetch: bbunit.Tokens(max(int64(desired)-available, 0)), Asker: s.Demand()})
		}
		s.planReturn(need, available, desired, a.draining)
	}
	return out
}

// planReturn decides what of the available tokens goes back to the home, which collects
// it, and what to the row, if the home has not answered yet or has left an offer where
// it was. A stopping instance writes what is left with Close.
func (s *AccountShare) planReturn(need, available int64, desired float64, draining bool) {
	offered := s.offer
	s.surplus, s.offer = 0, 0
	excess := available - int64(desired)
	if need > 0 || excess <= 0 {
		return
	}
	if float64(available) > keptFactor*desired {
		s.offer = bbunit.Tokens(excess)
	}
	if most := max(surplusFactor*desired, float64(s.paid)*maxBorrowedUnused); !draining && (offered > 0 || !s.homeAsked) && float64(available) > most {
		s.surplus = bbunit.Tokens(excess)
	}
}

// Offers returns what this instance has of accounts with a remote home beyond what it
// desires, as LoanRequests last found. The home collects it by a loan: an offer moves
// no tokens.
func (a *Allocator) Offers() []LoanRequest {
	var out []LoanRequest
	for _, s := range a.shares {
		if s.remoteHome && s.offer > 0 {
			out = append(out, LoanRequest{Account: s.ID, Prefetch: s.offer})
		}
	}
	return out
}

// What an instance that borrows keeps and assumes, as fractions of what the account
// has paid: what it keeps unused beyond surplusFactor times what it desires, and what
// its home may have at hand beside the free tokens. It offers its home what it has
// beyond keptFactor times what it desires.
const (
	keptFactor        = 1.25
	maxBorrowedUnused = 0.05
	homeShareGuess    = 0.05
)

// neededLoan returns what to borrow for the requests that wait: for all of them, or
// else for the largest, as far as the home may be able to cover it. If it may cover
// none, it is asked for the smallest, so that it says so.
func (s *AccountShare) neededLoan(available int64) int64 {
	limit := int64(s.paid)
	if s.homeAsked {
		limit = available + int64(s.homeFree) + int64(float64(s.paid)*homeShareGuess)
	}
	unmet := s.Balance.unmet.sizes(limit)
	switch {
	case unmet.sum == 0:
		return unmet.smallest
	case unmet.sum <= limit:
		return unmet.sum
	}
	return unmet.largest
}

// desiredLoanShare returns how many tokens an instance that is not the home should
// have: its demand over the horizon, but no more than the home has just been ready to
// lend. The home divides what it has by the demand of those that borrow.
func (s *AccountShare) desiredLoanShare(policy HomePolicy) float64 {
	if s.demand <= 0 || s.paid <= 0 {
		return 0
	}
	desired := max(s.demand*policy.Horizon.Seconds(), float64(s.largestRequest))
	if s.prefetchLimit > 0 {
		desired = min(desired, float64(s.prefetchLimit))
	}
	return desired
}

// prefetchLimitTicks is for how many ticks LimitPrefetch holds.
const prefetchLimitTicks = 2

// LimitPrefetch records that the home lent less than was asked for: for a time
// the instance does not ask for more than it has now.
func (s *AccountShare) LimitPrefetch() {
	s.prefetchLimit, s.prefetchTicks = max(s.Balance.Available(), 1), prefetchLimitTicks
}

// SetHomeRemaining sets the free amount of the account as last reported by its home:
// what no holder has been granted.
func (s *AccountShare) SetHomeRemaining(free bbunit.Tokens) { s.homeFree, s.homeAsked = free, true }

// GrantLoan lends from the balance of the home and returns the amount. It serves
// Need first, then Prefetch so that both last equally long, or up to maxPrefetchPercent
// of the remainder if the asker's demand is not known. Any part of Need that is not available is counted as unmet, so that the next write requests
// it from the store. A Need that the account does not cover as far as is known gets
// nothing, as that would not serve it. Holder is the home.
func (s *AccountShare) GrantLoan(req LoanRequest, holder bbunit.HolderID) bbunit.Tokens {
	if s.rowLoaded && !s.Covers(req.Need, holder) {
		return 0
	}
	lent := s.LendUpTo(req.Need)
	if available := s.Balance.Available(); lent == req.Need && available > 0 {
		most := available * maxPrefetchPercent / 100
		if req.Asker.Rate > 0 {
			asker := Demand{Rate: req.Asker.Rate, Held: req.Asker.Held + lent}
			most = EvenLoan(Demand{Rate: homeWeight * s.servedDemand(), Held: available}, asker)
		}
		lent += s.LendUpTo(min(req.Prefetch, most))
	}
	if !(req.Asker.Rate > 0) { // its demand is not known by other means
		s.Balance.requested.Add(int64(lent))
	}
	if missing := req.Need - lent; missing > 0 {
		s.Balance.unmet.addLoan(int64(missing))
	}
	return lent
}

// homeWeight is how many times longer than its borrowers' tokens a home's would last for
// all of its failure domain.
const homeWeight = 1

// maxPrefetchPercent is the percentage of a home's balance that the Prefetch of
// one loan may take.
const maxPrefetchPercent = 80
