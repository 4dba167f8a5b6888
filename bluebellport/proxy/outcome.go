package bbproxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

// ended takes what an attempt tells of its target.
func (d *Door) ended(x *exchange, s *Server, out *ending) {
	now := d.now()
	switch out.kind {
	case endDone:
		s.State.Circuit.RecordSuccess()
		s.State.RecordResult(!out.failed)
		if !out.failed {
			d.suspects.ran(x.print)
			d.budget(x.service).Earn(d.retryRule())
		}
		d.tally.answered(x.q.At, x.stream.first)
		d.served(x, s)
		return
	case endGone:
		return
	case endNotRun:
		s.State.BackOffUntil(now.Add(busyTime))
	case endUnsent:
		if d.board.Crowded.Load() {
			break // the own link is as likely the cause
		}
		for range circuitRule.FailureThreshold {
			s.State.Circuit.RecordFailure(now, &circuitRule)
		}
	case endBroken, endLate:
		s.State.RecordResult(false)
		if out.reset || out.silent {
			s.State.Circuit.RecordFailure(now, &circuitRule)
		}
		if out.reset {
			go d.suspects.broke(x.print, s)
		}
	}
	d.tally.failed(out.kind)
	d.log.WithFields(x.fields(s, out)).Info("attempt failed")
}

// served logs a sample of the answers that were passed on whole: which ones is
// decided by the request's id, so that all instances log the same.
func (d *Door) served(x *exchange, s *Server) {
	if xxhash.Sum64String(x.q.Attempt)%servedSample != 0 {
		return
	}
	f := logrus.Fields{
		"request": x.q.Attempt, "service": x.service, "target": s.ID, "sends": x.sends,
		"ms": time.Since(x.q.At).Milliseconds(), "inflight": s.State.InFlight(),
	}
	if x.stream.events > 0 {
		f["first"] = x.stream.first.Sub(x.q.At).Milliseconds()
		f["gap"] = x.stream.gap.Milliseconds()
		f["events"] = x.stream.events
		f["prompt"] = x.q.Prompt
	}
	d.log.WithFields(f).Info("served")
}

// budget returns the repeats that a service has left.
func (d *Door) budget(id bbunit.ServiceID) *bbroute.RetryBudget {
	if b, ok := d.retries.Load(id); ok {
		return b.(*bbroute.RetryBudget)
	}
	b, _ := d.retries.LoadOrStore(id, &bbroute.RetryBudget{})
	return b.(*bbroute.RetryBudget)
}

// mayRepeat takes one repeat from a service's budget.
func (d *Door) mayRepeat(id bbunit.ServiceID) bool {
	return d.budget(id).Spend(d.now(), d.retryRule())
}

// retryRule is this instance's part of the repeats that all may make.
func (d *Door) retryRule() *bbroute.RetryPolicy {
	n := float64(max(d.board.Instances.Load(), 1))
	return &bbroute.RetryPolicy{
		Ratio:        d.set.RetryRatio * retryPart,
		MinPerSecond: d.set.RetryExtra * retryPart / n / max(d.set.RetryWindow.Seconds(), 1),
	}
}

// refused logs an answer of the fleet's own, with what decided it.
func (d *Door) refused(attempt string, r *Refusal) {
	d.tally.refused(r.Status)
	f := logrus.Fields{"request": attempt, "status": r.Status, "reason": r.Reason, "after": r.After.Seconds()}
	for k, v := range r.Inputs {
		f[k] = v
	}
	d.log.WithFields(f).Info("refused")
}

// circuitRule sets when a target that fails is left alone.
var circuitRule = bbroute.CircuitPolicy{FailureThreshold: 3, InitialOpen: time.Second, MaxOpen: 4 * time.Second, ProbeTimeout: time.Second}
