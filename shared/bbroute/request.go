// Package bbroute decides which target runs a request, whether it may run now,
// and what follows when an attempt fails. It keeps no clock, goroutine or
// random source: the caller passes in the time and the random bits. What the
// path of a request touches is atomic and takes no lock.
package bbroute

import (
	"math"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Request is what a request asks of the router.
type Request struct {
	Service  bbunit.ServiceID
	Account  bbunit.AccountID
	Priority bbunit.Priority
	// Deadline is when the answer is of no more use; zero means none.
	Deadline time.Time
	// PrefixHashes holds hashes of the leading messages, the shortest prefix first.
	PrefixHashes []uint64
	// Fingerprint is a hash of the body that does not depend on the account; 0 means
	// none.
	Fingerprint uint64
	// ExpectedOutput is how many tokens the answer is expected to have; 0 means unknown.
	ExpectedOutput bbunit.Tokens
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Cancel, when not nil, ends a wait for a place once it is closed.
	Cancel <-chan struct{}
}

// atomicFloat is a float64 that is read and written without a lock.
type atomicFloat struct{ bits atomic.Uint64 }

func (g *atomicFloat) load() float64   { return math.Float64frombits(g.bits.Load()) }
func (g *atomicFloat) store(v float64) { g.bits.Store(math.Float64bits(v)) }

// updateEWMA moves the gauge towards v by the part w; the first value is taken
// whole.
func (g *atomicFloat) updateEWMA(value, weight float64) {
	old := g.bits.Load()
	mean := math.Float64frombits(old)
	updated := mean + weight*(value-mean)
	if mean == 0 {
		updated = value
	}
	g.bits.CompareAndSwap(old, math.Float64bits(updated))
}

// splitmix64 scrambles the bits of x (splitmix64).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// secondsToDuration returns the duration of that many seconds, cut off at longestNanos.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), maxNanos))
}
