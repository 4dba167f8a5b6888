package bbroute

import (
	"sync/atomic"
	"time"
)

// CircuitPolicy sets when a circuit opens and how long it stays open.
type CircuitPolicy struct {
	// FailureThreshold is how many failures in a row open the circuit.
	FailureThreshold int
	// InitialOpen is how long it stays open at first; each failed probe doubles it up
	// to Longest.
	InitialOpen, MaxOpen time.Duration
	// ProbeTimeout is how long a probe may take before another is let through.
	ProbeTimeout time.Duration
}

// Circuit keeps requests from a target that fails. It is closed at first, opens
// after failures in a row, and lets one probe through when its time is over.
// The zero value is closed. Its methods may be called at once and take no lock.
type Circuit struct {
	consecutiveFailures atomic.Int64 // in a row
	openUntil           atomic.Int64 // open until, unix nanoseconds; 0 is closed
}

// Usable tells whether Enter may let a request through.
func (c *Circuit) Usable(now time.Time) bool {
	until := c.openUntil.Load()
	return until == 0 || now.UnixNano() >= until
}

// Allow lets a request through. While the circuit is half-open only one caller
// gets true, and the next one once that probe's time is over.
func (c *Circuit) Allow(now time.Time, policy *CircuitPolicy) bool {
	until := c.openUntil.Load()
	if until == 0 {
		return true
	}
	nowNanos := now.UnixNano()
	return nowNanos >= until && c.openUntil.CompareAndSwap(until, nowNanos+int64(policy.ProbeTimeout))
}

// Closed tells that the circuit is not open or half-open.
func (c *Circuit) Closed() bool { return c.openUntil.Load() == 0 }

// RecordSuccess closes the circuit and reports whether it was open.
func (c *Circuit) RecordSuccess() bool {
	if c.consecutiveFailures.Load() != 0 {
		c.consecutiveFailures.Store(0)
	}
	return c.openUntil.Load() != 0 && c.openUntil.Swap(0) != 0
}

// RecordFailure counts a failure that is the target's own, and reports whether the
// circuit is open after it.
func (c *Circuit) RecordFailure(now time.Time, policy *CircuitPolicy) bool {
	failures := c.consecutiveFailures.Add(1)
	if failures < int64(policy.FailureThreshold) {
		return false
	}
	openFor := policy.InitialOpen
	for i := int64(policy.FailureThreshold); i < failures && openFor < policy.MaxOpen; i++ {
		openFor *= 2
	}
	c.openUntil.Store(now.Add(min(openFor, policy.MaxOpen)).UnixNano())
	return true
}
