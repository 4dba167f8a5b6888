package bbroute

import (
	"math"
	"time"
)

// otherLoad estimates how many requests of other instances the target has now.
// As the last report ages, the estimate moves from the reported load to the
// mean load; if all instances used the late report at full weight, they would
// all choose the same targets.
func (t *TargetState) otherLoad(now time.Time, responseSeconds float64) float64 {
	r := t.report.Load()
	if r == nil {
		return 0
	}
	age := now.Sub(r.SampledAt).Seconds()
	freshness := math.Exp(-max(age, 0) / (responseSeconds * reportDecayFactor))
	return freshness*r.otherLoad() + (1-freshness)*t.meanOtherLoad.load()
}

// otherLoad returns how many of the reported requests belong to other
// instances.
func (r *LoadReport) otherLoad() float64 { return float64(max(r.Running+r.Waiting-r.ownInFlight, 0)) }

// estimatedLoad estimates the target's load from all instances, in mean
// requests.
func (t *TargetState) estimatedLoad(now time.Time, responseSeconds float64) float64 {
	return float64(t.inFlightWork.Load())/meanRequestWork + t.otherLoad(now, responseSeconds)
}

// responseSeconds returns the target's mean response time if it clearly differs
// from the service's, and otherwise the service's.
func (c *Candidate) responseSeconds() float64 {
	serviceMean := c.admission.responseSeconds()
	targetMean := c.State.meanResponseSeconds.load()
	if targetMean == 0 || targetMean < serviceMean*responseTimeTolerance && targetMean > serviceMean/responseTimeTolerance {
		return serviceMean
	}
	return targetMean
}

// slots returns the number of slots, or defaultSlots when it is unknown.
func (c *Candidate) slots() float64 { return c.slotsOr(defaultSlots) }

// slotsOr returns the number of slots, or fallback when it is unknown.
func (c *Candidate) slotsOr(fallback float64) float64 {
	if s := c.Slots(); s > 0 {
		return float64(s)
	}
	return fallback
}

// ExpectedWait returns how long a new request is expected to wait at the target
// before it runs.
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

// Score is the target's cost for load balancing, lower is better: the work of
// its requests and a new one, in seconds per slot. The score is raised while
// the target refuses requests and during its slow start.
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

// hasRemoteRoom reports whether this instance may send one more request to the
// target, which belongs to another failure domain. The load that other
// instances put on it is not known here.
func (c *Candidate) hasRemoteRoom() bool {
	return c.State.InFlight() < c.maxRemoteInFlight()
}

// maxRemoteInFlight returns how many requests this instance may have at a
// target of another failure domain while its own domain has usable targets.
func (c *Candidate) maxRemoteInFlight() int { return max(int(c.slots()*remoteSlotShare), 1) }
