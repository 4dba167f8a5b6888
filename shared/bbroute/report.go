package bbroute

import (
	"time"

	"github.com/juju/errors"
)

// Errors of a rejected report.
const (
	// ErrBadReport means that a count is negative or above maxReportValue, or
	// that the report is more than maxReportSkew in the future.
	ErrBadReport = errors.ConstError("bad load report")
	// ErrStaleReport means that a newer report is known, or that this one is
	// too old.
	ErrStaleReport = errors.ConstError("old load report")
)

// Validate returns ErrBadReport or ErrStaleReport when the report must not be
// used.
func (r *LoadReport) Validate(now time.Time) error {
	switch {
	case r.Running < 0 || r.Waiting < 0 || r.Slots < 0:
		return errors.Annotatef(ErrBadReport, "negative count: running %d, waiting %d, slots %d", r.Running, r.Waiting, r.Slots)
	case max(r.Running, r.Waiting, r.Slots) > maxReportValue:
		return errors.Annotatef(ErrBadReport, "count above %d: running %d, waiting %d, slots %d", maxReportValue, r.Running, r.Waiting, r.Slots)
	case r.SampledAt.Sub(now) > maxReportSkew:
		return errors.Annotatef(ErrBadReport, "sampled %s in the future", r.SampledAt.Sub(now))
	case now.Sub(r.SampledAt) > maxReportAge:
		return errors.Annotatef(ErrStaleReport, "sampled %s ago", now.Sub(r.SampledAt))
	}
	return nil
}

// Observe stores a report, or returns ErrBadReport or ErrStaleReport and
// changes nothing. The result changed reports whether the target became leaving
// or is no longer leaving.
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

// recentReport returns the last report, nil when it is too old.
func (t *TargetState) recentReport(now time.Time) *LoadReport {
	r := t.report.Load()
	if r == nil || now.Sub(r.SampledAt) > maxReportAge {
		return nil
	}
	return r
}

// allowance returns how many requests this instance may have at the target,
// which the given number of instances use: its requests in flight when the
// report came in, plus its fraction of the free room, or minus its fraction of
// the excess. The fraction is the instance's part of the target's load; of free
// room it is at least 1/instances. Without a report the allowance is all slots.
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
