package bbroute

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// LoadReport is what a target reported about its load.
type LoadReport struct {
	Running, Waiting, Slots int
	// SampledAt is when the target was asked.
	SampledAt time.Time
	Leaving   bool
	// ownInFlight is how many of this instance's requests were in flight when
	// the report came in, and so are taken to be counted in it.
	ownInFlight int
}

// TargetState is what this instance knows about a target at run time. It is
// kept when a later ticket declares the target again with the same address.
type TargetState struct {
	ID      bbunit.TargetID
	Circuit Circuit

	idHash       uint64
	slowStartAt  atomic.Int64 // unix nanoseconds
	inFlight     atomic.Int64 // requests of this instance
	inFlightWork atomic.Int64 // their expected work, in thousandths of a mean request
	// suspects counts requests in flight that were in flight at an earlier
	// crash.
	suspects  atomic.Int64
	busyUntil atomic.Int64 // unix nanoseconds; the target refused a request as full

	report              atomic.Pointer[LoadReport]
	window              atomicFloat // the most requests in flight of this instance
	meanOtherLoad       atomicFloat // mean of the requests of other instances, from the reports
	meanResponseSeconds atomicFloat // normalized to an answer of mean length

	leaving leavingState
}

// NewTargetState returns the state of a target first seen at now.
func NewTargetState(id bbunit.TargetID, now time.Time) *TargetState {
	t := &TargetState{ID: id, idHash: xxhash.Sum64String(string(id))}
	t.slowStartAt.Store(now.UnixNano())
	return t
}

// InFlight returns how many of this instance's requests are at the target.
func (t *TargetState) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request that is sent to the target. Work is in thousandths of
// a mean request.
func (t *TargetState) Begin(work int64, suspect bool) {
	t.inFlight.Add(1)
	t.inFlightWork.Add(work)
	if suspect {
		t.suspects.Add(1)
	}
}

// End reverts Begin; the arguments must be the same.
func (t *TargetState) End(work int64, suspect bool) {
	t.inFlight.Add(-1)
	t.inFlightWork.Add(-work)
	if suspect {
		t.suspects.Add(-1)
	}
}

// MarkBusy notes that the target refused a request as full, and until when it
// counts as busy.
func (t *TargetState) MarkBusy(until time.Time) { t.busyUntil.Store(until.UnixNano()) }

// Candidate is a target as declared by a ticket, with its state.
type Candidate struct {
	Declared bbticket.Target
	State    *TargetState

	admission *AdmissionController
}

// Slots returns how many requests the target can run at once, 0 when unknown.
// The last report overrides the declaration.
func (c *Candidate) Slots() int {
	if r := c.State.report.Load(); r != nil && r.Slots > 0 {
		return r.Slots
	}
	return c.Declared.Slots
}

// Usable reports whether the target may get new requests.
func (c *Candidate) Usable(now time.Time) bool {
	return !c.Declared.Leaving && !c.State.Leaving() && c.State.Circuit.Usable(now)
}
