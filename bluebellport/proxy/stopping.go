package bbproxy

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/stop"
	"bluebellport.example/shared/bbplan"
)

// openAttempt is a request that was sent to a target, as it counts in decisions on
// others of its route.
type openAttempt struct {
	route  bbplan.RouteID
	sentAt time.Time // of the latest attempt, on the proxy's clock
	size   float64   // expected events of the answer, 0 if not known
}

// lineBudget limits the log lines of one kind. The zero value has written none.
type lineBudget struct{ used atomic.Int64 }

// take reports whether another line may be written of at most limit.
func (b *lineBudget) take(limit int64) bool { return b.used.Add(1) <= limit }

// suppressed returns how many of the lines about taken requests were not written.
func (b *lineBudget) suppressed() int64 { return max(b.used.Load()-maxTakenLogged, 0) }

// durationsOf returns the durations of a route's requests.
func (p *Proxy) durationsOf(id bbplan.RouteID) *bbstop.Durations {
	if d, ok := p.durations.Load(id); ok {
		return d.(*bbstop.Durations)
	}
	d, loaded := p.durations.LoadOrStore(id, &bbstop.Durations{})
	if !loaded {
		p.forgetDurations()
	}
	return d.(*bbstop.Durations)
}

// forgetDurations forgets the durations of routes that the plan no longer has.
func (p *Proxy) forgetDurations() {
	plan := p.board.Plan.Load()
	if plan == nil {
		return
	}
	p.durations.Range(func(id, _ any) bool {
		if !plan.HasRoute(id.(bbplan.RouteID)) {
			p.durations.Delete(id)
		}
		return true
	})
}

// openOf returns the requests of a route that are open at targets, without one of
// them.
func (p *Proxy) openOf(id bbplan.RouteID, without *exchange) []bbstop.Open {
	now := p.now()
	var out []bbstop.Open
	for _, x := range p.openRequests() {
		if open := x.open.Load(); open != nil && open.route == id && x != without {
			out = append(out, bbstop.Open{Age: now.Sub(open.sentAt), Size: open.size})
		}
	}
	return out
}

// expectedEvents returns the most events that the answer still has, 0 if that is
// not known.
func (x *exchange) expectedEvents() float64 {
	if x.terms.maxEvents == 0 {
		return 0
	}
	done := max(x.stream.lastID, parseLastEventID(x.req.LastEventID))
	return float64(max(x.terms.maxEvents-done, 1))
}

// decideInStop tells whether the request can still be sent to a target before the
// instance stops.
func (x *exchange) decideInStop(times *bbstop.Times) bbstop.Decision {
	return times.Decide(x.proxy.now(), &bbstop.Request{
		ReceivedAt: x.req.ReceivedAt, Limit: x.deadline, Size: x.expectedEvents(), Durations: x.proxy.durationsOf(x.route.ID),
		Open: func() []bbstop.Open { return x.proxy.openOf(x.route.ID, x) },
	})
}

// noticedStop returns the times of the stop, nil if there is none. After a freeze it
// waits until an order that was given meanwhile has been noticed.
func (p *Proxy) noticedStop() *bbstop.Times {
	if p.stop.Times() == nil {
		time.Sleep(p.pulse.Unsettled(p.now()))
	}
	return p.stop.Times()
}

// reasonStopping is the reason of refusals that another instance would not give.
const reasonStopping = "the instance stops before the request could end"

// checkStop returns the refusal of a request that may not end before the instance
// stops, nil for any other. A stream that has begun is resumed as long as the
// instance runs.
func (x *exchange) checkStop() *Refusal {
	refusal, _ := x.decideOnStop()
	return refusal
}

// checkStopBeforeSend is checkStop for a request that is about to be sent to a
// target. It logs the requests that are.
func (x *exchange) checkStopBeforeSend(target *Target) *Refusal {
	refusal, decision := x.decideOnStop()
	if refusal == nil && decision.Reason != bbstop.ReasonRunning && x.proxy.stopLines.take(maxTakenLogged) {
		fields := x.stopFields(&decision)
		fields["request"], fields["target"], fields["sends"] = x.req.AttemptID, target.ID, x.sentAttempts
		x.proxy.log.WithFields(fields).Info("sent during the stop")
	}
	return refusal
}

// decideOnStop returns the decision on the request, and the refusal if it is not
// sent.
func (x *exchange) decideOnStop() (*Refusal, bbstop.Decision) {
	times := x.proxy.noticedStop()
	if times == nil {
		return nil, bbstop.Decision{Take: true}
	}
	decision := x.decideInStop(times)
	if decision.Take || x.stream.started && decision.Left > 0 {
		return nil, decision
	}
	refusal := refuseNotRun(reasonStopping, 0)
	refusal.LogFields = x.stopFields(&decision)
	return refusal, decision
}

// atStopEnd returns the refusal of a request that was ended as the stop ended, in
// place of any other.
func (x *exchange) atStopEnd(refusal *Refusal) *Refusal {
	if !x.proxy.stop.Ended() {
		return refusal
	}
	if x.mayHaveRun {
		refusal = refuseUnknownOutcome("the instance stopped before the response came")
	} else {
		refusal = refuseNotRun(reasonStopping, 0)
	}
	refusal.LogFields = logrus.Fields{"decided": "ended", "since": x.proxy.sinceStop(), "read": time.Since(x.req.ReceivedAt).Milliseconds()}
	return refusal
}

// stopFields returns the log fields of a decision on the request.
func (x *exchange) stopFields(decision *bbstop.Decision) logrus.Fields {
	fields := decision.Fields()
	fields["route"], fields["since"], fields["read"] = x.route.ID, x.proxy.sinceStop(), time.Since(x.req.ReceivedAt).Milliseconds()
	return fields
}

// recordDuration records how long the target took for the request. What failed, was
// resumed or was given up by its client says nothing.
func (x *exchange) recordDuration(result *attemptResult) {
	now := x.proxy.now()
	took, size := now.Sub(x.sentAt), x.expectedSize()
	switch {
	case result.kind != resultDone && result.kind != resultLate, result.sentAt.IsZero(), result.targetFailed:
		return
	case !x.terms.isStream:
		x.proxy.durationsOf(x.route.ID).Record(now, took, 0, 0)
	case x.sentAttempts > 1:
		return
	case x.stream.firstEventAt.IsZero():
		x.proxy.durationsOf(x.route.ID).Record(now, took, 0, size)
	default:
		head := x.stream.firstEventAt.Sub(x.sentAt)
		x.proxy.durationsOf(x.route.ID).Record(now, head, took-head, size)
	}
}

// expectedSize returns the size with which the latest attempt was sent.
func (x *exchange) expectedSize() float64 {
	if open := x.open.Load(); open != nil {
		return open.size
	}
	return 0
}
