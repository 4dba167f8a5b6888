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
	case max(r.Running, r.Waiting, r.Slots) > maxReportValue:
		return errors.Annotatef(ErrBadReport, "above %d: running %d, waiting %d, slots %d", maxReportValue, r.Running, r.Waiting, r.Slots)
	case r.SampledAt.Sub(now) > maxReportSkew:
		return errors.Annotatef(ErrBadReport, "%s from the future", r.SampledAt.Sub(now))
	case now.Sub(r.SampledAt) > maxReportAge:
		return errors.Annotatef(ErrStaleReport, "%s old", now.Sub(r.SampledAt))
	}
	return nil
}

// Observe takes a report. It returns ErrReport or ErrOldReport, and then
// changes nothing. News tells that the target now leaves, or no longer does.
func (t *TargetState) Observe(r LoadReport, now time.Time) (changed bool, err error) {
	if err := r.Validate(now); err != nil {
		return false, err
	}
	r.ownInFlight = int(t.inFlight.Load())
	for {
		old := t.report.Load()
		if old != nil && !r.SampledAt.After(old.SampledAt) {
			return false, ErrStaleReport
		}
		if t.report.CompareAndSwap(old, &r) {
			break
		}
	}
	t.meanOtherLoad.updateEWMA(r.otherLoad(), otherLoadEWMAWeight)
	if r.Leaving {
		return t.MarkLeaving(now), nil
	}
	return t.clearLeaving(r.SampledAt, now), nil
}

// recentReport returns the last report while it is of use.
func (t *TargetState) recentReport(now time.Time) *LoadReport {
	r := t.report.Load()
	if r == nil || now.Sub(r.SampledAt) > maxReportAge {
		return nil
	}
	return r
}

// allowance returns how many requests this instance may have at the place, one
// of n instances that use it: what it had when the report was made, and its
// part of the room that was left, or of the excess. Whoever has much there may
// take or must give up much. Without a report all slots are its own.
func (c *Candidate) allowance(now time.Time, instances int) float64 {
	if !c.Usable(now) {
		return 0
	}
	r := c.State.recentReport(now)
	slots := c.slotsOr(unlimited)
	if r == nil || slots == unlimited {
		return slots
	}
	total := float64(r.Running + r.Waiting)
	own := float64(r.ownInFlight)
	room := slots*(1+queueHeadroom) - total
	fraction := own / max(total, own, 1)
	if room > 0 {
		fraction = max(fraction, 1/float64(max(instances, 1)))
	}
	return max(own+room*fraction, minAllowance)
}
