package bbroute

import (
	"sync/atomic"
	"time"
)

// CircuitPolicy configures a circuit breaker.
type CircuitPolicy struct {
	// FailureThreshold is the number of consecutive failures that opens the
	// circuit.
	FailureThreshold int
	// InitialOpen is how long the circuit stays open at first. Each failed
	// probe doubles the time, up to MaxOpen.
	InitialOpen, MaxOpen time.Duration
	// ProbeTimeout is the time after which an unfinished probe no longer blocks
	// the next one.
	ProbeTimeout time.Duration
}

// Circuit is the circuit breaker of one target. It opens after consecutive
// failures; when the open time is over, it is half-open and lets one probe
// through at a time. The zero value is closed. Its methods are safe for
// concurrent use and take no lock.
type Circuit struct {
	consecutiveFailures atomic.Int64
	openUntil           atomic.Int64 // unix nanoseconds; 0 means closed
}

// Usable reports whether Allow may let a request through.
func (c *Circuit) Usable(now time.Time) bool {
	until := c.openUntil.Load()
	return until == 0 || now.UnixNano() >= until
}

// Allow reports whether the caller may send a request. In the half-open state
// it returns true to one caller, and to another once policy.ProbeTimeout is over.
func (c *Circuit) Allow(now time.Time, policy *CircuitPolicy) bool {
	until := c.openUntil.Load()
	if until == 0 {
		return true
	}
	nowNanos := now.UnixNano()
	return nowNanos >= until && c.openUntil.CompareAndSwap(until, nowNanos+int64(policy.ProbeTimeout))
}

// Closed reports whether the circuit is closed, that is neither open nor
// half-open.
func (c *Circuit) Closed() bool { return c.openUntil.Load() == 0 }

// RecordSuccess closes the circuit and reports whether it was open or half-open.
func (c *Circuit) RecordSuccess() bool {
	if c.consecutiveFailures.Load() != 0 {
		c.consecutiveFailures.Store(0)
	}
	return c.openUntil.Load() != 0 && c.openUntil.Swap(0) != 0
}

// RecordFailure counts a failure that is the target's fault, and reports whether
// the circuit is now open.
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
