package bbshare

import "bluebellport.example/shared/bbunit"

// A loan moves tokens from one holder's balance to another's without a write to the
// store. The lender counts the loan as spent, so that it cannot be spent twice. The
// borrower returns to the store what it does not need. A loan whose message is lost
// stays counted as spent.

// LendUpTo removes up to n from the available balance, counts the amount removed as
// spent and returns it.
func (s *AccountShare) LendUpTo(n bbunit.Tokens) bbunit.Tokens {
	taken := s.Balance.takeUpTo(int64(n))
	s.Balance.spent.Add(taken)
	s.lent += bbunit.Tokens(taken)
	return bbunit.Tokens(taken)
}

// AddLoan adds a loan from another holder to the balance. Each loan must be added
// only once.
func (s *AccountShare) AddLoan(n bbunit.Tokens) {
	s.Balance.available.Add(int64(n))
}

// ToBorrow returns how many tokens to borrow from lenders so that a request of n can
// be reserved here, 0 if loans do not help: with the rest drawn from the free tokens,
// or with loans alone if the store is not reached. What the row tells is then old, so
// a request that is large beside what the account has left borrows nothing: if the
// lenders' tokens do not reach, they would be held here in vain.
func (a *Allocator) ToBorrow(s *AccountShare, lenders []Lender, n bbunit.Tokens, rowIsFresh bool) bbunit.Tokens {
	available, free := max(s.Balance.Available(), 0), max(s.Remaining(), 0)
	if !rowIsFresh {
		if left := available + free + s.UnspentByOthers(a.Holder); float64(n) > a.policy.MaxHeld*float64(left) {
			return 0
		}
		return max(n-available, 0)
	}
	missing := n - available - free
	if missing <= 0 {
		missing = n - available // a draw did not come in time
	}
	lendable := bbunit.Tokens(0)
	for _, l := range lenders {
		lendable += l.Unspent
	}
	if lendable < missing {
		return 0
	}
	return max(missing, 0)
}
