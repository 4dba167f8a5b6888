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
	available      atomic.Int64 // granted here, neither spent nor set aside
	spent          atomic.Int64 // of requests that ended
	requested      atomic.Int64 // all that requests asked for
	unmet          atomic.Int64 // asked for in vain since the last draw
	largestRequest atomic.Int64 // largest request since the last draw
}

// Reserve sets n aside, or notes that it could not.
func (b *Balance) Reserve(n bbunit.Tokens) bool {
	if int64(n) > b.largestRequest.Load() {
		b.largestRequest.Store(int64(n))
	}
	if b.take(int64(n)) {
		b.requested.Add(int64(n))
		return true
	}
	b.unmet.Add(int64(n))
	return false
}

// Settle ends a reservation of n of which used was spent.
func (b *Balance) Settle(reserved, used bbunit.Tokens) {
	used = min(max(used, 0), reserved)
	b.spent.Add(int64(used))
	b.available.Add(int64(reserved - used))
}

// Available returns what may be set aside now.
func (b *Balance) Available() bbunit.Tokens { return bbunit.Tokens(b.available.Load()) }

// take removes n from what is available if there is that much.
func (b *Balance) take(n int64) bool {
	for {
		available := b.available.Load()
		if available < n {
			return false
		}
		if b.available.CompareAndSwap(available, available-n) {
			return true
		}
	}
}

// takeUpTo removes at most n and returns how much.
func (b *Balance) takeUpTo(n int64) int64 {
	for {
		available := b.available.Load()
		taken := max(min(available, n), 0)
		if taken == 0 || b.available.CompareAndSwap(available, available-taken) {
			return taken
		}
	}
}
