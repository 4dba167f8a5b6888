package bbshare

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// A loan moves money from one holder's purse to another's without the store. The
// lender counts it as spent from then on, so that it cannot be spent twice; the
// borrower gives back in the store what it does not need. A loan that gets lost
// on its way stays counted as spent.

// LendUpTo takes up to n out of what is available here, and returns how much.
func (s *AccountShare) LendUpTo(n bbunit.Tokens) bbunit.Tokens {
	taken := s.Balance.takeUpTo(int64(n))
	s.Balance.spent.Add(taken)
	s.lent += bbunit.Tokens(taken)
	return bbunit.Tokens(taken)
}

// AddLoan adds what another holder has lent. It must be called once for a loan.
func (s *AccountShare) AddLoan(n bbunit.Tokens) {
	s.Balance.available.Add(int64(n))
}

// Lenders returns the addresses of other holders that may have something left,
// those with most first.
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
