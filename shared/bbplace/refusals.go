package bbplace

import (
	"sync/atomic"
	"time"
)

const (
	// refusalAvoidance is how long after a refusal a target gets no request that
	// another one can get.
	refusalAvoidance = 50 * time.Millisecond
	// minRefusalHold is how long a target gets no request at all after its second
	// refusal in a row. It doubles with each further one up to maxRefusalHold.
	minRefusalHold = 5 * time.Millisecond
	maxRefusalHold = 50 * time.Millisecond
)

// refusals is what the refusals of a target say of the load that it takes. A target
// that refuses some requests and serves others is only avoided, since a request that
// is offered nowhere is served nowhere. One that refuses all gets an offer now and
// then. The zero value has no refusals.
type refusals struct {
	row atomic.Pointer[refusalRow] // nil if the target has taken a request since
}

// refusalRow is a row of refusals without an answer of another kind between them.
type refusalRow struct {
	count int
	last  time.Time
}

// record counts a refusal, at now, of a request that was sent at sentAt. Requests that
// are on their way together find the target in the same state, so they count once.
func (r *refusals) record(sentAt, now time.Time) {
	for {
		old := r.row.Load()
		next := &refusalRow{count: 1, last: now}
		if old != nil {
			next.count = old.count
			if !sentAt.Before(old.last) {
				next.count++
			}
		}
		if r.row.CompareAndSwap(old, next) {
			return
		}
	}
}

// end ends the row: the target has taken a request.
func (r *refusals) end() { r.row.Store(nil) }

// avoids reports whether others are to be preferred to the target.
func (r *refusals) avoids(now time.Time) bool {
	row := r.row.Load()
	return row != nil && now.Sub(row.last) < refusalAvoidance
}

// holds reports whether the target is to get no request at all.
func (r *refusals) holds(now time.Time) bool {
	row := r.row.Load()
	return row != nil && now.Sub(row.last) < row.hold()
}

// hold returns for how long after the last refusal the target gets no request.
func (r *refusalRow) hold() time.Duration {
	if r.count < 2 {
		return 0
	}
	hold := minRefusalHold
	for n := 2; n < r.count && hold < maxRefusalHold; n++ {
		hold *= 2
	}
	return min(hold, maxRefusalHold)
}

// RecordRefusal records that the target has refused, at now, a request that was sent
// at sentAt, without a word on when it wants others (see PauseUntil). Both are on the
// caller's steady clock.
func (s *TargetState) RecordRefusal(sentAt, now time.Time) { s.refusals.record(sentAt, now) }

// RecordTaken records that the target has taken a request: it has begun an answer that
// is no refusal.
func (s *TargetState) RecordTaken() { s.refusals.end() }
