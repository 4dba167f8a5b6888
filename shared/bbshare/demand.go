package bbshare

import (
	"cmp"
	"maps"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// Demand is how many tokens of an account an instance has and how fast it uses them. For
// a home, the rate is that of its failure domain.
type Demand struct {
	Rate float64 // tokens per second; 0 if unknown
	Held bbunit.Tokens
}

const (
	// borrowerTTL is for how many ticks the report of a borrower is used. Borrowers with
	// demand ask more often.
	borrowerTTL = 10
	// rateDecay is what remains of a borrower's reported rate after each tick without a
	// report. A borrower asks as requests come, when its moving average is highest, so
	// those with few requests would count with several times their demand otherwise.
	rateDecay = 0.9
	// maxBorrowers bounds the borrowers of one account.
	maxBorrowers = 4096
	// maxRate bounds the demand that a peer or a row may tell, in tokens per second.
	maxRate = 1e12
)

// borrower is what an instance reported with its last request for a loan, plus that loan.
type borrower struct {
	Demand
	ticks int // since then
}

// borrowers holds the instances that borrow an account from this one. The zero value has
// none.
type borrowers struct {
	byID map[bbunit.InstanceID]*borrower
}

// report records the state of a borrower. One without a rate is an older build: its
// demand is measured by its loans.
func (b *borrowers) report(id bbunit.InstanceID, d Demand) {
	if !(d.Rate > 0) || d.Held < 0 {
		delete(b.byID, id)
		return
	}
	if b.byID == nil {
		b.byID = map[bbunit.InstanceID]*borrower{}
	}
	if b.byID[id] == nil && len(b.byID) >= maxBorrowers {
		return
	}
	b.byID[id] = &borrower{Demand: d}
}

// tick estimates the state of the borrowers a second later and forgets those that have not
// asked for a while.
func (b *borrowers) tick() {
	for id, e := range b.byID {
		e.Held = max(e.Held-bbunit.Tokens(e.Rate), 0)
		e.Rate *= rateDecay
		if e.ticks++; e.ticks > borrowerTTL {
			delete(b.byID, id)
		}
	}
}

// rate returns the demand of all borrowers, in tokens per second.
func (b *borrowers) rate() (sum float64) {
	for _, e := range b.byID {
		sum += e.Rate
	}
	return sum
}

// held returns what all borrowers are estimated to have left of what they reported and
// borrowed, in tokens.
func (b *borrowers) held() (sum int64) {
	for _, e := range b.byID {
		sum += int64(e.Held)
	}
	return sum
}

// RecordBorrower records the state of an instance that borrows here, including the loan
// that it has just got.
func (s *AccountShare) RecordBorrower(id bbunit.InstanceID, d Demand) {
	d.Rate = min(d.Rate, maxRate)
	s.borrowers.report(id, d)
}

// RichestBorrowers returns up to n of the instances that borrow here, those first whose
// tokens last longest.
func (s *AccountShare) RichestBorrowers(n int) []bbunit.InstanceID {
	ids := slices.Sorted(maps.Keys(s.borrowers.byID))
	lasts := func(id bbunit.InstanceID) float64 {
		e := s.borrowers.byID[id]
		return float64(e.Held) / e.Rate
	}
	ids = slices.DeleteFunc(ids, func(id bbunit.InstanceID) bool { return lasts(id) <= 0 })
	slices.SortStableFunc(ids, func(x, y bbunit.InstanceID) int { return cmp.Compare(lasts(y), lasts(x)) })
	return ids[:min(len(ids), n)]
}

// servedDemand returns the demand that this instance serves, in tokens per second: its own
// and that of the instances that borrow from it.
func (s *AccountShare) servedDemand() float64 { return s.demand + s.borrowers.rate() }

// Demand returns the demand that this instance serves and what it has available.
func (s *AccountShare) Demand() Demand {
	return Demand{Rate: s.servedDemand(), Held: max(s.Balance.Available(), 0)}
}

// IsLow reports whether what is available lasts for less than a number of seconds.
func (s *AccountShare) IsLow(seconds float64) bool {
	d := s.Demand()
	return d.Rate > 0 && float64(d.Held) < seconds*d.Rate
}

// grantRate returns the rate that a row records for this holder. Only homes record one:
// that of an instance that could not reach its home is served by the home again later.
func (a *Allocator) grantRate(s *AccountShare) bbunit.Tokens {
	if !a.usesHomes || s.remoteHome || s.homeUnreachable {
		return 0
	}
	return bbunit.Tokens(min(s.servedDemand(), maxRate))
}

// grantBorrowed returns what a row records as the unspent part of this holder's loans.
func (a *Allocator) grantBorrowed(s *AccountShare) bbunit.Tokens {
	if !a.usesHomes || s.remoteHome {
		return 0
	}
	return bbunit.Tokens(s.borrowers.held())
}

// equalWeight is the part of what may be held that is the same for all holders, so that a
// home whose demand has just begun has something.
const equalWeight = 0.1

// SetDomainPeers sets the instances of this instance's failure domain, as holders name
// them. What the row says of their demand is what they served as homes.
func (a *Allocator) SetDomainPeers(peers map[bbunit.InstanceID]bool) { a.domainPeers = peers }

// demandWeight returns this holder's fraction of what all holders may have at hand: equal
// parts of equalWeight, and the rest by the demand that each failure domain has. It returns
// weight if no holder has told any demand.
func (a *Allocator) demandWeight(s *AccountShare, weight float64, holders int) float64 {
	own := s.servedDemand()
	all := own
	for id, g := range s.row.Holders {
		if id != a.Holder && !a.domainPeers[addressOf(id)] {
			all += min(max(float64(g.Rate), 0), maxRate)
		}
	}
	if all <= 0 {
		return weight
	}
	return equalWeight/float64(max(holders, 1)) + (1-equalWeight)*own/all
}

// maxLoanPart is the largest part of what a lender has that one loan for future requests
// may take: the loan is lost if its message is.
const maxLoanPart = 0.75

// EvenLoan returns how much a lender lends for future requests so that what both have
// lasts equally long at their demand, but at most maxLoanPart of what the lender has.
func EvenLoan(lender, asker Demand) bbunit.Tokens {
	if !(asker.Rate > 0) || lender.Held <= 0 {
		return 0
	}
	lenderRate, askerRate := min(max(lender.Rate, 0), maxRate), min(asker.Rate, maxRate)
	even := (float64(lender.Held)*askerRate - float64(max(asker.Held, 0))*lenderRate) / (lenderRate + askerRate)
	return bbunit.Tokens(min(max(even, 0), maxLoanPart*float64(lender.Held)))
}

// maxUrgentPart is the largest part of what a lender has that goes to waiting requests of
// another instance although the lender then has less, by demand, than the asker.
const maxUrgentPart = 0.25

// LendForDemand lends to an instance that does not borrow here otherwise, of this failure
// domain or another: what makes both last equally long, or a part of what it needs now.
func (s *AccountShare) LendForDemand(need, prefetch bbunit.Tokens, asker Demand) bbunit.Tokens {
	own := s.Demand()
	urgent := min(need, bbunit.Tokens(maxUrgentPart*float64(own.Held)))
	return s.LendUpTo(min(max(EvenLoan(own, asker), urgent), need+prefetch))
}
