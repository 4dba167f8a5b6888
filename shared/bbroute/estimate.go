package bbroute

import (
	"math"
	"time"
)

// otherLoad estimates how many requests of other instances the target runs now.
// What the last report told fades, with the time that an answer takes, into
// what the target usually has: else all instances would run after the same late
// news.
func (t *TargetState) otherLoad(now time.Time, responseSeconds float64) float64 {
	r := t.report.Load()
	if r == nil {
		return 0
	}
	age := now.Sub(r.SampledAt).Seconds()
	freshness := math.Exp(-max(age, 0) / (responseSeconds * reportDecayFactor))
	return freshness*r.otherLoad() + (1-freshness)*t.meanOtherLoad.load()
}

// otherLoad returns how many of the reported requests are other instances'.
func (r *LoadReport) otherLoad() float64 { return float64(max(r.Running+r.Waiting-r.ownInFlight, 0)) }

// estimatedLoad estimates the target's requests, in mean requests.
func (t *TargetState) estimatedLoad(now time.Time, responseSeconds float64) float64 {
	return float64(t.inFlightWork.Load())/meanRequestWork + t.otherLoad(now, responseSeconds)
}

// responseSeconds returns the mean time of an answer: the service's, unless the
// target is clearly faster or slower.
func (c *Candidate) responseSeconds() float64 {
	serviceMean := c.admission.responseSeconds()
	targetMean := c.State.meanResponseSeconds.load()
	if targetMean == 0 || targetMean < serviceMean*responseTimeTolerance && targetMean > serviceMean/responseTimeTolerance {
		return serviceMean
	}
	return targetMean
}

// slots returns the slots to reckon with.
func (c *Candidate) slots() float64 { return c.slotsOr(defaultSlots) }

// slotsOr returns the slots, or n when the target tells none.
func (c *Candidate) slotsOr(fallback float64) float64 {
	if s := c.Slots(); s > 0 {
		return float64(s)
	}
	return fallback
}

// ExpectedWait returns how long a new request is expected to wait at the target before
// it runs.
func (c *Candidate) ExpectedWait(now time.Time) time.Duration {
	t := c.State
	responseSeconds := c.responseSeconds()
	queued := t.estimatedLoad(now, responseSeconds) + 1 - c.slots()
	wait := max(queued, 0) / c.slots() * responseSeconds
	if busyFor := t.busyUntil.Load() - now.UnixNano(); busyFor > 0 {
		wait = max(wait, time.Duration(busyFor).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// Score orders targets: the time that the work at hand keeps one slot busy,
// raised while the target is new.
func (c *Candidate) Score(now time.Time, policy *PickPolicy) float64 {
	t := c.State
	responseSeconds := c.responseSeconds()
	score := (t.estimatedLoad(now, responseSeconds) + 1) / c.slots() * responseSeconds
	if t.busyUntil.Load() > now.UnixNano() {
		score += responseSeconds
	}
	age := now.UnixNano() - t.slowStartAt.Load()
	if age >= 0 && age < int64(policy.SlowStart) {
		ramp := float64(age) / float64(policy.SlowStart)
		score /= max(ramp, slowStartMinShare)
	}
	return score
}

// hasRemoteRoom tells whether the target of another failure domain, whose load is
// not known here, may take one more request from this instance.
func (c *Candidate) hasRemoteRoom() bool {
	return c.State.InFlight() < c.maxRemoteInFlight()
}

// maxRemoteInFlight returns how many requests of this instance the target of another
// failure domain may run while the own one has usable targets.
func (c *Candidate) maxRemoteInFlight() int { return max(int(c.slots()*remoteSlotShare), 1) }
