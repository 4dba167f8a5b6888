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
func (l *AccountShare) LendUpTo(n bbunit.Tokens) bbunit.Tokens {
	part := l.Balance.takeUpTo(int64(n))
	l.Balance.spent.Add(part)
	l.lent += bbunit.Tokens(part)
	return bbunit.Tokens(part)
}

// AddLoan adds what another holder has lent. It must be called once for a loan.
func (l *AccountShare) AddLoan(n bbunit.Tokens) {
	l.Balance.avail.Add(int64(n))
}

// Lenders returns the addresses of other holders that may have something left,
// those with most first.
func (l *AccountShare) Lenders(holder bbunit.HolderID) []bbunit.InstanceID {
	type left struct {
		at bbunit.InstanceID
		n  bbunit.Tokens
	}
	var all []left
	for id, g := range l.row.Holders {
		if n := g.Granted - g.Spent; id != holder && n > 0 && addressOf(id) != "" {
			all = append(all, left{addressOf(id), n})
		}
	}
	slices.SortFunc(all, func(a, b left) int { return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(a.at, b.at)) })
	out := make([]bbunit.InstanceID, len(all))
	for i, a := range all {
		out[i] = a.at
	}
	return out
}
