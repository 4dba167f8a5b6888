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
	fails atomic.Int64 // in a row
	until atomic.Int64 // open until, unix nanoseconds; 0 is closed
}

// Usable tells whether Enter may let a request through.
func (c *Circuit) Usable(now time.Time) bool {
	until := c.until.Load()
	return until == 0 || now.UnixNano() >= until
}

// Allow lets a request through. While the circuit is half-open only one caller
// gets true, and the next one once that probe's time is over.
func (c *Circuit) Allow(now time.Time, rule *CircuitPolicy) bool {
	until := c.until.Load()
	if until == 0 {
		return true
	}
	n := now.UnixNano()
	return n >= until && c.until.CompareAndSwap(until, n+int64(rule.ProbeTimeout))
}

// Closed tells that the circuit is not open or half-open.
func (c *Circuit) Closed() bool { return c.until.Load() == 0 }

// RecordSuccess closes the circuit and reports whether it was open.
func (c *Circuit) RecordSuccess() bool {
	if c.fails.Load() != 0 {
		c.fails.Store(0)
	}
	return c.until.Load() != 0 && c.until.Swap(0) != 0
}

// RecordFailure counts a failure that is the target's own, and reports whether the
// circuit is open after it.
func (c *Circuit) RecordFailure(now time.Time, rule *CircuitPolicy) bool {
	fails := c.fails.Add(1)
	if fails < int64(rule.FailureThreshold) {
		return false
	}
	open := rule.InitialOpen
	for i := int64(rule.FailureThreshold); i < fails && open < rule.MaxOpen; i++ {
		open *= 2
	}
	c.until.Store(now.Add(min(open, rule.MaxOpen)).UnixNano())
	return true
}
