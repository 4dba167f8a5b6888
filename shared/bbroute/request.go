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

// gauge is a float64 that is read and written without a lock.
type gauge struct{ bits atomic.Uint64 }

func (g *gauge) load() float64   { return math.Float64frombits(g.bits.Load()) }
func (g *gauge) store(v float64) { g.bits.Store(math.Float64bits(v)) }

// average moves the gauge towards v by the part w; the first value is taken
// whole.
func (g *gauge) average(v, w float64) {
	old := g.bits.Load()
	was := math.Float64frombits(old)
	next := was + w*(v-was)
	if was == 0 {
		next = v
	}
	g.bits.CompareAndSwap(old, math.Float64bits(next))
}

// mix scrambles the bits of x (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nanos returns the duration of that many seconds, cut off at longestNanos.
func nanos(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), longestNanos))
}
