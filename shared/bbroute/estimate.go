package bbroute

import "time"

// others estimates how many requests of other instances the target runs: those
// of its last report.
func (t *Target) others() float64 {
	r := t.report.Load()
	if r == nil {
		return 0
	}
	return float64(max(r.Running+r.Waiting-r.own, 0))
}

// load estimates the target's requests, in mean requests.
func (t *Target) load() float64 {
	return float64(t.work.Load())/workUnit + t.others()
}

// paceSeconds returns the mean time of an answer.
func (t *Target) paceSeconds() float64 {
	if s := t.pace.load(); s > 0 {
		return s
	}
	return defaultPace
}

// slots returns the slots to reckon with.
func (p *Place) slots() float64 {
	if n := p.Slots(); n > 0 {
		return float64(n)
	}
	return defaultSlots
}

// Wait returns how long a new request is expected to wait at the target before
// it runs.
func (p *Place) Wait(now time.Time) time.Duration {
	t := p.Known
	ahead := t.load() + 1 - p.slots()
	wait := max(ahead, 0) / p.slots() * t.paceSeconds()
	if busy := t.busy.Load() - now.UnixNano(); busy > 0 {
		wait = max(wait, time.Duration(busy).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// Score orders targets: the time that the work at hand keeps one slot busy,
// raised while the target is new.
func (p *Place) Score(now time.Time, rule *ChoiceRule) float64 {
	t := p.Known
	score := (t.load() + 1) / p.slots() * t.paceSeconds()
	if t.busy.Load() > now.UnixNano() {
		score += t.paceSeconds()
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
func (p *Place) roomFar() bool {
	return p.Known.InFlight() < max(int(p.slots()/8), 1)
}
