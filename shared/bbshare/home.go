package bbshare

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// In a large fleet each account has one home in each failure domain, which draws
// from the store for all instances there; the others borrow from it. Then a row
// has as many holders as there are failure domains, and few writes meet in it.

// HomePolicy sets what an instance borrows from a home.
type HomePolicy struct {
	// Horizon is the demand that a loan is to last for.
	Horizon time.Duration
	// RefillBelow is the part of that below which more is borrowed.
	RefillBelow float64
}

// DefaultHomePolicy borrows for a cut of some seconds.
func DefaultHomePolicy() HomePolicy { return HomePolicy{Horizon: 14 * time.Second, RefillBelow: 0.85} }

// SetHome tells where the home of an account is: here, or at another instance,
// which can be reached or not. While it can, nothing is drawn for the account
// here; while it cannot, only what requests need.
func (a *Allocator) SetHome(id bbunit.AccountID, local, reachable bool) {
	s := a.Account(id)
	s.remoteHome, s.homeUnreachable = !local && reachable, !local && !reachable
}

// UsesRemoteHome tells whether the account has its home elsewhere.
func (s *AccountShare) UsesRemoteHome() bool { return s.remoteHome }

// LoanRequest is what an instance asks of an account's home.
type LoanRequest struct {
	Account bbunit.AccountID
	// Need is asked for by requests that wait, Ahead for those to come.
	Need, Prefetch bbunit.Tokens
}

// LoanRequests returns what is to be borrowed from homes. Instances is how many share the
// accounts.
func (a *Allocator) LoanRequests(policy HomePolicy, instances int) []LoanRequest {
	var out []LoanRequest
	for _, s := range a.shares {
		if !s.remoteHome || s.paid <= 0 {
			continue
		}
		unmet := s.Balance.unmet.Swap(0)
		available := s.Balance.available.Load()
		target := 0.0
		if !a.draining {
			target = a.memberTarget(s, policy, instances)
		}
		if unmet > 0 || float64(available) < policy.RefillBelow*target {
			out = append(out, LoanRequest{Account: s.ID, Need: bbunit.Tokens(unmet), Prefetch: bbunit.Tokens(max(int64(target)-available, 0))})
		}
	}
	return out
}

// memberTarget is what an instance that is not the home wants to have: its demand
// for a while, bounded by its part of what is free.
func (a *Allocator) memberTarget(s *AccountShare, policy HomePolicy, instances int) float64 {
	desired := s.demand * policy.Horizon.Seconds()
	if s.demand > 0 {
		desired = max(desired, float64(s.largestRequest))
	}
	prior := a.policy.PriorSpent * float64(s.paid)
	ownSpent := float64(s.Balance.spent.Load())
	allSpent := max(float64(s.paid-s.homeFree), ownSpent) + prior
	if allSpent <= 0 {
		return 0
	}
	return min(desired, a.policy.MaxHeld*float64(s.homeFree)*(ownSpent+prior/float64(max(instances, 1)))/allSpent)
}

// SetHomeFree takes what the home tells of an account: how much no holder has been
// granted.
func (s *AccountShare) SetHomeFree(free bbunit.Tokens) { s.homeFree = free }

// GrantLoan gives a member what it asks for, as far as it is available: the need
// whole, what is ahead only up to a part of the rest. A need that cannot be met
// is counted as asked for, so that the next draw brings it.
func (s *AccountShare) GrantLoan(req LoanRequest) bbunit.Tokens {
	lent := s.LendUpTo(req.Need)
	if available := s.Balance.Available(); lent == req.Need && available > 0 {
		lent += s.LendUpTo(min(req.Prefetch, available*maxPrefetchPercent/100))
	}
	s.Balance.requested.Add(int64(lent))
	s.Balance.unmet.Add(int64(max(req.Need-lent, 0)))
	return lent
}

// maxPrefetchPercent is the part of a home's purse that one loan ahead of need may take, in
// percent.
const maxPrefetchPercent = 80
