package bbroute

import (
	"time"

	"github.com/juju/errors"
)

// Errors of a report that is dropped.
const (
	// ErrBadReport means that the report is negative, absurd or from the future.
	ErrBadReport = errors.ConstError("bad load report")
	// ErrStaleReport means that a newer report is known, or that this one is of
	// no more use.
	ErrStaleReport = errors.ConstError("old load report")
)

// Validate returns ErrReport or ErrOldReport when the report says nothing.
func (r *LoadReport) Validate(now time.Time) error {
	switch {
	case r.Running < 0 || r.Waiting < 0 || r.Slots < 0:
		return errors.Annotatef(ErrBadReport, "negative: running %d, waiting %d, slots %d", r.Running, r.Waiting, r.Slots)
	case max(r.Running, r.Waiting, r.Slots) > reportMost:
		return errors.Annotatef(ErrBadReport, "above %d: running %d, waiting %d, slots %d", reportMost, r.Running, r.Waiting, r.Slots)
	case r.SampledAt.Sub(now) > reportSkew:
		return errors.Annotatef(ErrBadReport, "%s from the future", r.SampledAt.Sub(now))
	case now.Sub(r.SampledAt) > reportKeep:
		return errors.Annotatef(ErrStaleReport, "%s old", now.Sub(r.SampledAt))
	}
	return nil
}

// Observe takes a report. It returns ErrReport or ErrOldReport, and then
// changes nothing. News tells that the target now leaves, or no longer does.
func (t *TargetState) Observe(r LoadReport, now time.Time) (news bool, err error) {
	if err := r.Validate(now); err != nil {
		return false, err
	}
	r.own = int(t.count.Load())
	for {
		old := t.report.Load()
		if old != nil && !r.SampledAt.After(old.SampledAt) {
			return false, ErrStaleReport
		}
		if t.report.CompareAndSwap(old, &r) {
			break
		}
	}
	t.usual.average(r.others(), usualWeight)
	if r.Leaving {
		return t.MarkLeaving(now), nil
	}
	return t.stay(r.SampledAt, now), nil
}

// fresh returns the last report while it is of use.
func (t *TargetState) fresh(now time.Time) *LoadReport {
	r := t.report.Load()
	if r == nil || now.Sub(r.SampledAt) > reportKeep {
		return nil
	}
	return r
}

// allowance returns how many requests this instance may have at the place, one
// of n instances that use it: what it had when the report was made, and its
// part of the room that was left, or of the excess. Whoever has much there may
// take or must give up much. Without a report all slots are its own.
func (p *Candidate) allowance(now time.Time, n int) float64 {
	if !p.Usable(now) {
		return 0
	}
	r := p.State.fresh(now)
	slots := p.slotsOr(unlimited)
	if r == nil || slots == unlimited {
		return slots
	}
	total := float64(r.Running + r.Waiting)
	own := float64(r.own)
	room := slots*(1+headroom) - total
	part := own / max(total, own, 1)
	if room > 0 {
		part = max(part, 1/float64(max(n, 1)))
	}
	return max(own+room*part, leastAllowance)
}
