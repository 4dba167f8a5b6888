// Package bbshare decides how one instance draws shares of prepaid sums from
// rows in the platform's store, by compare-and-swap alone. What a row grants to
// all holders never exceeds what the account has paid, and an instance never
// spends more than it was granted: so no cut, pause, kill or lost answer can
// overspend. It keeps no clock and does no input or output.
package bbshare

import (
	"sync/atomic"

	"bluebellport.example/shared/bbunit"
)

// Balance is what one instance may spend of one account. Reserve and End take no
// lock and may be called at once. The zero value is empty.
type Balance struct {
	avail atomic.Int64 // granted here, neither spent nor set aside
	spent atomic.Int64 // of requests that ended
	asked atomic.Int64 // all that requests asked for
	unmet atomic.Int64 // asked for in vain since the last draw
	most  atomic.Int64 // largest request since the last draw
}

// Reserve sets n aside, or notes that it could not.
func (p *Balance) Reserve(n bbunit.Tokens) bool {
	if int64(n) > p.most.Load() {
		p.most.Store(int64(n))
	}
	if p.take(int64(n)) {
		p.asked.Add(int64(n))
		return true
	}
	p.unmet.Add(int64(n))
	return false
}

// Settle ends a reservation of n of which used was spent.
func (p *Balance) Settle(n, used bbunit.Tokens) {
	used = min(max(used, 0), n)
	p.spent.Add(int64(used))
	p.avail.Add(int64(n - used))
}

// Available returns what may be set aside now.
func (p *Balance) Available() bbunit.Tokens { return bbunit.Tokens(p.avail.Load()) }

// take removes n from what is available if there is that much.
func (p *Balance) take(n int64) bool {
	for {
		have := p.avail.Load()
		if have < n {
			return false
		}
		if p.avail.CompareAndSwap(have, have-n) {
			return true
		}
	}
}

// takeUpTo removes at most n and returns how much.
func (p *Balance) takeUpTo(n int64) int64 {
	for {
		have := p.avail.Load()
		part := max(min(have, n), 0)
		if part == 0 || p.avail.CompareAndSwap(have, have-part) {
			return part
		}
	}
}
