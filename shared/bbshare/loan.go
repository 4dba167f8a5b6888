package bbshare

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

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

// Lenders returns the addresses of other holders that may have unspent tokens, in
// descending order of the amount.
func (s *AccountShare) Lenders(holder bbunit.HolderID) []bbunit.InstanceID {
	type lender struct {
		address bbunit.InstanceID
		unspent bbunit.Tokens
	}
	var lenders []lender
	for id, g := range s.row.Holders {
		if unspent := g.Granted - g.Spent; id != holder && unspent > 0 && addressOf(id) != "" {
			lenders = append(lenders, lender{addressOf(id), unspent})
		}
	}
	slices.SortFunc(lenders, func(x, y lender) int {
		return cmp.Or(cmp.Compare(y.unspent, x.unspent), cmp.Compare(x.address, y.address))
	})
	addresses := make([]bbunit.InstanceID, len(lenders))
	for i, x := range lenders {
		addresses[i] = x.address
	}
	return addresses
}
