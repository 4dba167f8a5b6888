// Package bbshare divides prepaid client accounts among the instances of a fleet.
// The store (the platform's key-value service) has one row per account, which
// records how many tokens each holder has been granted. Rows change by
// compare-and-swap only. The grants of a row never exceed what the account has
// paid, and an instance never spends more than it was granted or lent, so network
// partitions, pauses, crashes and lost answers cannot cause overspending. The
// package reads no clock and does no I/O.
package bbshare

import (
	"sync/atomic"

	"bluebellport.example/shared/bbunit"
)

// Balance is what one instance may spend of one account, in tokens. Reserve,
// Commit and Available are lock-free and safe for concurrent use. The zero value is
// an empty balance.
type Balance struct {
	available      atomic.Int64 // granted here, neither spent nor reserved
	spent          atomic.Int64 // by requests that have ended, and lent to other holders
	requested      atomic.Int64 // total of reservations, of requests refused for want of a share, and of granted loans
	largestRequest atomic.Int64 // largest successful reservation since the last Tick
	unmet          unmetRequests
	// unheard is the part of spent by requests of whose answer nothing was delivered,
	// brokenOff that by requests whose answer broke off.
	unheard, brokenOff atomic.Int64
}

// Reserve reserves n and returns true, or returns false if less than n is available.
func (b *Balance) Reserve(n bbunit.Tokens) bool {
	if !b.take(int64(n)) {
		return false
	}
	if int64(n) > b.largestRequest.Load() {
		b.largestRequest.Store(int64(n))
	}
	b.requested.Add(int64(n))
	return true
}

// RecordMissed counts a request of n that was refused as no share was at hand, although
// the account may cover it: demand that is not served is demand.
func (b *Balance) RecordMissed(n bbunit.Tokens) { b.requested.Add(int64(n)) }

// Await records a request that waits until n can be reserved, so that a grant or a
// loan is drawn for it. The function that it returns is called once it no longer
// waits.
func (b *Balance) Await(n bbunit.Tokens) (end func()) { return b.unmet.add(int64(n)) }

// RecordDelivery notes for how much of an answer tokens were spent. It changes no amount.
func (b *Balance) RecordDelivery(used bbunit.Tokens, delivery Delivery) {
	switch delivery {
	case DeliveredPart:
		b.brokenOff.Add(int64(used))
	case DeliveredNone:
		b.unheard.Add(int64(used))
	}
}

// Commit ends a reservation: used counts as spent, the rest is available again.
func (b *Balance) Commit(reserved, used bbunit.Tokens) {
	used = min(max(used, 0), reserved)
	b.spent.Add(int64(used))
	b.available.Add(int64(reserved - used))
}

// Available returns what can be reserved now.
func (b *Balance) Available() bbunit.Tokens { return bbunit.Tokens(b.available.Load()) }

// take removes n from the available tokens and reports whether there were enough.
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

// takeUpTo removes at most n from the available tokens and returns the amount.
func (b *Balance) takeUpTo(n int64) int64 {
	for {
		available := b.available.Load()
		taken := max(min(available, n), 0)
		if taken == 0 || b.available.CompareAndSwap(available, available-taken) {
			return taken
		}
	}
}
