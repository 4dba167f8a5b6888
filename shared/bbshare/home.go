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
func (b *Allocator) SetHome(id bbunit.AccountID, here, reached bool) {
	l := b.Account(id)
	l.away, l.guest = !here && reached, !here && !reached
}

// UsesRemoteHome tells whether the account has its home elsewhere.
func (l *AccountShare) UsesRemoteHome() bool { return l.away }

// LoanRequest is what an instance asks of an account's home.
type LoanRequest struct {
	Account bbunit.AccountID
	// Need is asked for by requests that wait, Ahead for those to come.
	Need, Prefetch bbunit.Tokens
}

// LoanRequests returns what is to be borrowed from homes. Instances is how many share the
// accounts.
func (b *Allocator) LoanRequests(rule HomePolicy, instances int) []LoanRequest {
	var out []LoanRequest
	for _, l := range b.lines {
		if !l.away || l.paid <= 0 {
			continue
		}
		unmet := l.Balance.unmet.Swap(0)
		have := l.Balance.avail.Load()
		share := 0.0
		if !b.leaving {
			share = b.memberShare(l, rule, instances)
		}
		if unmet > 0 || float64(have) < rule.RefillBelow*share {
			out = append(out, LoanRequest{Account: l.ID, Need: bbunit.Tokens(unmet), Prefetch: bbunit.Tokens(max(int64(share)-have, 0))})
		}
	}
	return out
}

// memberShare is what an instance that is not the home wants to have: its demand
// for a while, bounded by its part of what is free.
func (b *Allocator) memberShare(l *AccountShare, rule HomePolicy, instances int) float64 {
	share := l.rate * rule.Horizon.Seconds()
	if l.rate > 0 {
		share = max(share, float64(l.largest))
	}
	prior := b.rule.PriorSpent * float64(l.paid)
	own := float64(l.Balance.spent.Load())
	all := max(float64(l.paid-l.left), own) + prior
	if all <= 0 {
		return 0
	}
	return min(share, b.rule.MaxHeld*float64(l.left)*(own+prior/float64(max(instances, 1)))/all)
}

// SetHomeFree takes what the home tells of an account: how much no holder has been
// granted.
func (l *AccountShare) SetHomeFree(left bbunit.Tokens) { l.left = left }

// GrantLoan gives a member what it asks for, as far as it is available: the need
// whole, what is ahead only up to a part of the rest. A need that cannot be met
// is counted as asked for, so that the next draw brings it.
func (l *AccountShare) GrantLoan(a LoanRequest) bbunit.Tokens {
	given := l.LendUpTo(a.Need)
	if rest := l.Balance.Available(); given == a.Need && rest > 0 {
		given += l.LendUpTo(min(a.Prefetch, rest*lendPart/100))
	}
	l.Balance.asked.Add(int64(given))
	l.Balance.unmet.Add(int64(max(a.Need-given, 0)))
	return given
}

// lendPart is the part of a home's purse that one loan ahead of need may take, in
// percent.
const lendPart = 80
