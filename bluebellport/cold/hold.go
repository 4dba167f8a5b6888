package bbcold

import (
	"time"

	"bluebellport.example/shared/bbplan"
)

const (
	// returnTime is how long an instance holds its load back after a target has answered
	// again. Targets write their entries more often: if it is cold, the fleet knows by then.
	returnTime = 2 * time.Second
	// maxHold is how long a hold lasts after the last failure if the target does not answer.
	// Circuits stay open for some seconds, so the time until a start is over is too short.
	maxHold = 30 * time.Second
	// maxInterval is the longest time between two requests to a held target.
	maxInterval = 30 * time.Second
)

// hold bounds what one instance sends to a target that it could not use: it may have started
// again, and its entry be on its way. The others learn nothing of it, as the cause may be this
// instance's own path. The shares of all instances add up to the rate of a cold target. The
// zero value holds nothing.
type hold struct {
	until, next time.Time
	interval    time.Duration
}

func (h *hold) active(now time.Time) bool { return now.Before(h.until) }

// Unusable tells that an instance can't use a target: connections are refused, or its circuit
// is open. The instance is one of so many; phase, from 0 to 1, differs between them, so that
// they don't come back at once. It reports whether a hold begins.
func (t *Tracker) Unusable(id bbplan.TargetRun, instances int, phase float64, now time.Time) (begins bool) {
	r := t.runs[id]
	c, ok := bbplan.Cold{}, false
	if r != nil {
		c, ok = t.services[r.service]
	}
	if !ok {
		return false
	}
	if begins = !r.hold.active(now); begins {
		r.hold.interval = maxInterval
		if rate := Rate(c.PerSecond, t.bounds); rate*maxInterval.Seconds() > float64(instances) {
			r.hold.interval = time.Duration(float64(max(instances, 1)) / rate * float64(time.Second))
		}
		r.hold.next = now.Add(time.Duration(phase * float64(r.hold.interval)))
	}
	r.hold.until = later(r.hold.until, now.Add(maxHold))
	return begins
}

// Usable tells that a target answers again.
func (t *Tracker) Usable(id bbplan.TargetRun, now time.Time) {
	if r := t.runs[id]; r != nil && r.hold.until.After(now.Add(returnTime)) {
		r.hold.until = now.Add(returnTime)
	}
}

// Holds reports whether the load of any target is held back.
func (t *Tracker) Holds(now time.Time) bool {
	for _, r := range t.runs {
		if r.hold.active(now) {
			return true
		}
	}
	return false
}

// MaySend reports whether a request may be sent to a target now. If it is sent, spend counts
// it.
func (t *Tracker) MaySend(id bbplan.TargetRun, spend bool, now time.Time) bool {
	r := t.runs[id]
	if r == nil || !r.hold.active(now) {
		return true
	}
	if now.Before(r.hold.next) {
		return false
	}
	if spend {
		r.hold.next = now.Add(r.hold.interval)
	}
	return true
}
