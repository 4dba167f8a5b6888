package bbshare

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// In a large fleet each account has one home in each failure domain, which draws
// from the store for all instances there; the others borrow from it. Then a row
// has as many holders as there are failure domains, and few writes meet in it.

// HomeRule sets what an instance borrows from a home.
type HomeRule struct {
	// Horizon is the demand that a loan is to last for.
	Horizon time.Duration
	// Low is the part of that below which more is borrowed.
	Low float64
}

// DefaultHomeRule borrows for a cut of some seconds.
func DefaultHomeRule() HomeRule { return HomeRule{Horizon: 14 * time.Second, Low: 0.85} }

// SetHome tells where the home of an account is: here, or at another instance,
// which can be reached or not. While it can, nothing is drawn for the account
// here; while it cannot, only what requests need.
func (b *Book) SetHome(id bbunit.AccountID, here, reached bool) {
	l := b.Line(id)
	l.away, l.guest = !here && reached, !here && !reached
}

// Away tells whether the account has its home elsewhere.
func (l *Line) Away() bool { return l.away }

// Ask is what an instance asks of an account's home.
type Ask struct {
	Account bbunit.AccountID
	// Need is asked for by requests that wait, Ahead for those to come.
	Need, Ahead bbunit.Tokens
}

// Asks returns what is to be borrowed from homes. Instances is how many share the
// accounts.
func (b *Book) Asks(rule HomeRule, instances int) []Ask {
	var out []Ask
	for _, l := range b.lines {
		if !l.away || l.paid <= 0 {
			continue
		}
		unmet := l.Purse.unmet.Swap(0)
		have := l.Purse.avail.Load()
		share := 0.0
		if !b.leaving {
			share = b.memberShare(l, rule, instances)
		}
		if unmet > 0 || float64(have) < rule.Low*share {
			out = append(out, Ask{Account: l.Account, Need: bbunit.Tokens(unmet), Ahead: bbunit.Tokens(max(int64(share)-have, 0))})
		}
	}
	return out
}

// memberShare is what an instance that is not the home wants to have: its demand
// for a while, bounded by its part of what is free.
func (b *Book) memberShare(l *Line, rule HomeRule, instances int) float64 {
	share := l.rate * rule.Horizon.Seconds()
	if l.rate > 0 {
		share = max(share, float64(l.largest))
	}
	prior := b.rule.Prior * float64(l.paid)
	own := float64(l.Purse.spent.Load())
	all := max(float64(l.paid-l.left), own) + prior
	if all <= 0 {
		return 0
	}
	return min(share, b.rule.Part*float64(l.left)*(own+prior/float64(max(instances, 1)))/all)
}

// Heard takes what the home tells of an account: how much no holder has been
// granted.
func (l *Line) Heard(left bbunit.Tokens) { l.left = left }

// LendFor gives a member what it asks for, as far as it is available: the need
// whole, what is ahead only up to a part of the rest. A need that cannot be met
// is counted as asked for, so that the next draw brings it.
func (l *Line) LendFor(a Ask) bbunit.Tokens {
	given := l.Lend(a.Need)
	if rest := l.Purse.Available(); given == a.Need && rest > 0 {
		given += l.Lend(min(a.Ahead, rest*lendPart/100))
	}
	l.Purse.asked.Add(int64(given))
	l.Purse.unmet.Add(int64(max(a.Need-given, 0)))
	return given
}

// lendPart is the part of a home's purse that one loan ahead of need may take, in
// percent.
const lendPart = 80
