// Package bbroute implements the routing decisions of one instance: admission
// control, target selection, retries, circuit breaking, rate limits and the
// quarantine of requests that crash targets. It has no clock, goroutines or
// random source of its own: callers pass in the time and the random bits. The
// state used on the request path is atomic and takes no lock.
package bbroute

import (
	"math"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	Service  bbunit.ServiceID
	Account  bbunit.AccountID
	Priority bbunit.Priority
	// Deadline is the time after which the caller has no use for the answer;
	// zero means none.
	Deadline time.Time
	// PrefixHashes holds a hash of each prefix of the messages, the shortest
	// prefix first.
	PrefixHashes []uint64
	// Fingerprint is a hash of the request that does not depend on the account;
	// 0 means none.
	Fingerprint uint64
	// ExpectedOutput is the expected length of the answer; 0 means unknown.
	ExpectedOutput bbunit.Tokens
	// Idempotent requests may run more than once.
	Idempotent bool
	// Cancel, when not nil, ends the wait for admission when it is closed.
	Cancel <-chan struct{}
}

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// updateEWMA adds a value to an exponentially weighted moving average. The first
// value becomes the average. When two updates race, one of them is dropped.
func (f *atomicFloat) updateEWMA(value, weight float64) {
	old := f.bits.Load()
	mean := math.Float64frombits(old)
	updated := mean + weight*(value-mean)
	if mean == 0 {
		updated = value
	}
	f.bits.CompareAndSwap(old, math.Float64bits(updated))
}

// secondsToDuration converts seconds to a duration of at most maxNanos.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), maxNanos))
}
