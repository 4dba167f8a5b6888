package bbproxy

import (
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

// recordResult updates the target's circuit breaker and failure mean, the retry
// budget, the search for crashes, metrics and log with the result of an attempt.
func (p *Proxy) recordResult(x *exchange, target *Target, result *attemptResult) {
	now := p.now()
	switch result.kind {
	case resultDone:
		p.recordDone(x, target, result)
		return
	case resultGone:
		p.watchForCrash(x, target, result)
		return
	case resultNoPermit, resultWithdrawn, resultStopping:
		p.metrics.recordFailure(result.kind)
		return
	case resultNotRun:
		p.crashes.RecordTargetAnswer(target.Run(), result.connOpenedAt, result.sentAt)
		target.State.RecordRefusal(x.sentAt, now)
		target.State.CancelPrefill(x.uncachedPrompt, now)
	case resultUnproven:
		target.State.BackOffUntil(now.Add(unprovenBackoff))
		p.watchForCrash(x, target, result)
	case resultUnsent:
		p.recordUnreachable(target, result.err, now)
	case resultBroken, resultLate:
		if !result.isTargetsFault() {
			break
		}
		target.State.RecordResult(false)
		if (result.connBroken || result.timedOut) && target.State.Circuit.RecordFailure(now, &circuitPolicy) {
			p.cold.hold(target)
		}
		p.watchForCrash(x, target, result)
	}
	p.metrics.recordFailure(result.kind)
	p.log.WithFields(x.logFields(target, result)).Info("attempt failed")
}

// recordDone is recordResult for a response that was passed to the client.
func (p *Proxy) recordDone(x *exchange, target *Target, result *attemptResult) {
	if target.State.Circuit.RecordSuccess() {
		p.cold.usable(target)
	}
	target.State.RecordResult(!result.targetFailed)
	p.crashes.RecordTargetAnswer(target.Run(), result.connOpenedAt, result.sentAt)
	p.recordAnswer(x, target, result)
	if result.succeeded && !result.targetFailed {
		x.recordSpeed(target, p.now())
	}
	if !result.targetFailed {
		p.hints.brittle.RecordTime(x.service, p.now().Sub(x.sentAt))
		p.retryBudget(x.service).Earn(p.retryPolicy())
	}
	p.metrics.recordServed(x.req.ReceivedAt, x.stream.firstEventAt)
	p.logServed(x, target)
}

// recordUnreachable keeps requests from a target that could not be connected to, for err.
func (p *Proxy) recordUnreachable(target *Target, err error, now time.Time) {
	if p.board.LinkSaturated.Load() {
		return // this instance's own link is as likely the cause
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.crashWatch.targetDown(target.Run())
		p.cold.hold(target) // other failures may be those of this instance's path
	}
	for range circuitPolicy.FailureThreshold {
		target.State.Circuit.RecordFailure(now, &circuitPolicy)
	}
}

// recordAnswer clears a request that a target answered with success, if the answer
// shows that it is whole. One that ended with its connection does not.
func (p *Proxy) recordAnswer(x *exchange, target *Target, result *attemptResult) {
	switch {
	case result.endedByClose:
		p.crashWatch.answerEnded(target, endedAttempt{Observation: p.observation(x, target, result), succeeded: result.succeeded})
	case result.succeeded:
		p.crashes.RecordAnswer(x.fingerprint, x.parts, result.sentAt)
	}
}

// observation returns what is recorded if the target crashed now.
func (p *Proxy) observation(x *exchange, target *Target, result *attemptResult) bbcrash.Observation {
	return bbcrash.Observation{Fingerprint: x.fingerprint, Parts: x.parts, Request: x.req.AttemptID, Run: target.Run(), SentAt: result.sentAt, BrokenAt: p.now()}
}

// watchForCrash passes an attempt without a response on, as its target may have
// crashed.
func (p *Proxy) watchForCrash(x *exchange, target *Target, result *attemptResult) {
	if result.sentAt.IsZero() {
		return
	}
	p.crashWatch.attemptEnded(target, endedAttempt{
		Observation: p.observation(x, target, result),
		brokeOff:    result.kind == resultBroken,
		callerLeft:  result.kind == resultGone,
	}, result.kind == resultBroken && result.connBroken)
}

// logServed logs one in servedLogSample of the complete responses. The sample
// depends on the request's id alone, so that all instances log the same
// requests.
func (p *Proxy) logServed(x *exchange, target *Target) {
	if xxhash.Sum64String(x.req.AttemptID)%servedLogSample != 0 {
		return
	}
	fields := logrus.Fields{
		"request": x.req.AttemptID, "plan": x.plan.Version, "service": x.service, "target": target.ID, "sends": x.sentAttempts,
		"ms": time.Since(x.req.ReceivedAt).Milliseconds(), "inflight": target.State.InFlight(),
	}
	if x.limitedAtSend {
		fields["limit"] = x.limitAtSend
	}
	if x.stream.eventCount > 0 {
		fields["first"] = x.stream.firstEventAt.Sub(x.req.ReceivedAt).Milliseconds()
		fields["gap"] = x.stream.longestGap.Milliseconds()
		fields["events"] = x.stream.eventCount
		fields["prompt"] = x.req.PromptTokens
	}
	p.log.WithFields(fields).Info("served")
}

// retryBudget returns the retry budget of a service.
func (p *Proxy) retryBudget(id bbunit.ServiceID) *bbroute.RetryBudget {
	if b, ok := p.retryBudgets.Load(id); ok {
		return b.(*bbroute.RetryBudget)
	}
	b, _ := p.retryBudgets.LoadOrStore(id, &bbroute.RetryBudget{})
	return b.(*bbroute.RetryBudget)
}

// takeRetry takes one retry from a service's budget and reports whether there
// was one.
func (p *Proxy) takeRetry(id bbunit.ServiceID) bool {
	return p.retryBudget(id).Spend(p.now(), p.retryPolicy())
}

// retryPolicy returns this instance's part of the retry rate that the fleet is
// allowed.
func (p *Proxy) retryPolicy() *bbroute.RetryPolicy {
	n := float64(max(p.board.Instances.Load(), 1))
	return &bbroute.RetryPolicy{
		Ratio:        p.settings.RetryRatio * retryBudgetFraction,
		MinPerSecond: p.settings.RetryExtra * retryBudgetFraction / n / max(p.settings.RetryWindow.Seconds(), 1),
	}
}

// recordRefusal counts and logs a refusal, with the values that led to it.
func (p *Proxy) recordRefusal(attempt string, r *Refusal) {
	p.metrics.recordRefusal(r.Status)
	fields := logrus.Fields{"request": attempt, "status": r.Status, "reason": r.Reason, "after": r.RetryAfter.Seconds()}
	for k, v := range r.LogFields {
		fields[k] = v
	}
	p.log.WithFields(fields).Info("refused")
}

// circuitPolicy sets when a failing target gets no requests, and for how long.
var circuitPolicy = bbroute.CircuitPolicy{FailureThreshold: 3, InitialOpen: time.Second, MaxOpen: 4 * time.Second, ProbeTimeout: time.Second}
