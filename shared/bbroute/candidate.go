package bbroute

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// LoadReport is what a target told of its load.
type LoadReport struct {
	Running, Waiting, Slots int
	// SampledAt is when the target was asked.
	SampledAt time.Time
	Leaving   bool
	// ownInFlight is how many requests of this instance the report contains.
	ownInFlight int
}

// TargetState is what one instance knows of a target while it runs. It outlives the
// tickets that declare it anew.
type TargetState struct {
	ID      bbunit.TargetID
	Circuit Circuit

	idHash       uint64
	slowStartAt  atomic.Int64 // start of the slow start, unix nanoseconds
	inFlight     atomic.Int64 // requests of this instance in flight
	inFlightWork atomic.Int64 // their expected work, in thousandths of a mean request
	// suspects are requests in flight that have been in a target's crash.
	suspects  atomic.Int64
	busyUntil atomic.Int64 // refuses for lack of room until, unix nanoseconds

	report              atomic.Pointer[LoadReport]
	window              atomicFloat // requests that this instance may have in flight
	meanOtherLoad       atomicFloat // requests of other instances, a running mean of the reports
	meanResponseSeconds atomicFloat // mean seconds of an answer of mean work

	leaving leavingState
}

// NewTargetState returns a target without load, first seen at now.
func NewTargetState(id bbunit.TargetID, now time.Time) *TargetState {
	t := &TargetState{ID: id, idHash: xxhash.Sum64String(string(id))}
	t.slowStartAt.Store(now.UnixNano())
	return t
}

// InFlight returns how many requests of this instance the target runs.
func (t *TargetState) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request of that much work, in thousandths of a mean request.
func (t *TargetState) Begin(work int64, suspect bool) {
	t.inFlight.Add(1)
	t.inFlightWork.Add(work)
	if suspect {
		t.suspects.Add(1)
	}
}

// End takes away what Begin counted.
func (t *TargetState) End(work int64, suspect bool) {
	t.inFlight.Add(-1)
	t.inFlightWork.Add(-work)
	if suspect {
		t.suspects.Add(-1)
	}
}

// MarkBusy notes that the target refused a request for lack of room.
func (t *TargetState) MarkBusy(until time.Time) { t.busyUntil.Store(until.UnixNano()) }

// Candidate is a target as a ticket declares it, with what is known of it.
type Candidate struct {
	Declared bbticket.Target
	State    *TargetState

	admission *AdmissionController
}

// Slots returns how many requests the target runs at once, 0 when unknown.
func (c *Candidate) Slots() int {
	if r := c.State.report.Load(); r != nil && r.Slots > 0 {
		return r.Slots
	}
	return c.Declared.Slots
}

// Usable tells whether the target may get a new request.
func (c *Candidate) Usable(now time.Time) bool {
	return !c.Declared.Leaving && !c.State.Leaving() && c.State.Circuit.Usable(now)
}
