package bbroute

import (
	"math"
	"time"
)

// others estimates how many requests of other instances the target runs now.
// What the last report told fades, with the time that an answer takes, into
// what the target usually has: else all instances would run after the same late
// news.
func (t *TargetState) others(now time.Time, pace float64) float64 {
	r := t.report.Load()
	if r == nil {
		return 0
	}
	age := now.Sub(r.SampledAt).Seconds()
	fresh := math.Exp(-max(age, 0) / (pace * newsLife))
	return fresh*r.others() + (1-fresh)*t.usual.load()
}

// others returns how many of the reported requests are other instances'.
func (r *LoadReport) others() float64 { return float64(max(r.Running+r.Waiting-r.own, 0)) }

// load estimates the target's requests, in mean requests.
func (t *TargetState) load(now time.Time, pace float64) float64 {
	return float64(t.work.Load())/workUnit + t.others(now, pace)
}

// paceSeconds returns the mean time of an answer: the service's, unless the
// target is clearly faster or slower.
func (p *Candidate) paceSeconds() float64 {
	mean := p.gate.paceSeconds()
	own := p.State.pace.load()
	if own == 0 || own < mean*paceBand && own > mean/paceBand {
		return mean
	}
	return own
}

// slots returns the slots to reckon with.
func (p *Candidate) slots() float64 { return p.slotsOr(defaultSlots) }

// slotsOr returns the slots, or n when the target tells none.
func (p *Candidate) slotsOr(n float64) float64 {
	if s := p.Slots(); s > 0 {
		return float64(s)
	}
	return n
}

// ExpectedWait returns how long a new request is expected to wait at the target before
// it runs.
func (p *Candidate) ExpectedWait(now time.Time) time.Duration {
	t := p.State
	pace := p.paceSeconds()
	ahead := t.load(now, pace) + 1 - p.slots()
	wait := max(ahead, 0) / p.slots() * pace
	if busy := t.busy.Load() - now.UnixNano(); busy > 0 {
		wait = max(wait, time.Duration(busy).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// Score orders targets: the time that the work at hand keeps one slot busy,
// raised while the target is new.
func (p *Candidate) Score(now time.Time, rule *PickPolicy) float64 {
	t := p.State
	pace := p.paceSeconds()
	score := (t.load(now, pace) + 1) / p.slots() * pace
	if t.busy.Load() > now.UnixNano() {
		score += pace
	}
	age := now.UnixNano() - t.since.Load()
	if age >= 0 && age < int64(rule.SlowStart) {
		ramp := float64(age) / float64(rule.SlowStart)
		score /= max(ramp, slowStartLeast)
	}
	return score
}

// roomFar tells whether the target of another failure domain, whose load is
// not known here, may take one more request from this instance.
func (p *Candidate) roomFar() bool {
	return p.State.InFlight() < p.mostFar()
}

// mostFar returns how many requests of this instance the target of another
// failure domain may run while the own one has usable targets.
func (p *Candidate) mostFar() int { return max(int(p.slots()*farPart), 1) }
