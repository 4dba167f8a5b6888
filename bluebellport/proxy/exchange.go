package bbproxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// exchange is one request in flight: the request, the plan that it was admitted
// under, its reservation and its attempts.
type exchange struct {
	proxy  *Proxy
	client *clientConn
	req    *Request
	// gone is set when the client has closed its connection, or the stop of the
	// instance has ended.
	gone *signal

	plan        *bbplan.Plan
	route       *bbplan.Route
	account     *bbplan.Account
	service     bbunit.ServiceID
	deadline    time.Time      // by when the client needs the response
	fingerprint uint64         // hash by which a repeated request is recognized
	parts       []bbcrash.Part // of the prompt, that other requests may share

	terms   terms            // under which the plan has admitted the request
	balance *bbshare.Balance // of which terms.charge.most() is reserved, nil if nothing is

	uncachedPrompt bbunit.Tokens // prompt tokens that the target chosen last has not cached
	expectedBegin  time.Duration // until the target chosen last is expected to begin its answer
	sentAt         time.Time     // of the latest attempt, on the proxy's clock
	times          attemptTimes  // of the latest attempt
	sentAttempts   int           // attempts of which any byte was sent
	unsentAttempts int           // attempts of which no byte was sent
	tried          []bbunit.TargetID
	lastTarget     atomic.Pointer[Target] // target of the latest attempt
	open           atomic.Pointer[openAttempt]
	// limitAtSend is the limit that the target chosen last was known to have as the
	// request was sent, if limitedAtSend. hasPermit reports that the request has a
	// permit for that target.
	limitAtSend              float64
	limitedAtSend, hasPermit bool
	// permitAt is when the permit was got, permitDerived that the target had a derived limit.
	permitAt      time.Time
	permitDerived bool
	// mayHaveRun reports that a target may have run the request, mayHaveRunBefore
	// the same before the latest attempt.
	mayHaveRun, mayHaveRunBefore bool
	// retryTaken reports that a retry was taken from the budget for the next attempt,
	// moveTo is the target that was taken with it.
	retryTaken bool
	moveTo     *Target
	// held is what the request takes at a target.
	held bbplace.Holding
	// passedOn reports that a part of a response's body was passed on before the
	// rest had come, so that no other attempt can follow.
	passedOn bool
	// uncounted reports that output was passed on whose tokens can't be counted.
	uncounted bool
	origin    streamOrigin
	chunk     []byte // reused for the chunks of a stream
	stream    streamState
	heard     heardResponse // of the latest attempt
	// stopRefusal is the refusal of an attempt that the stop of the instance leaves
	// no time for.
	stopRefusal *Refusal

	mu      sync.Mutex // guards conn and aborted
	conn    *targetConn
	aborted bool
}

// serve answers the request and reports whether the client's connection can be
// reused.
func (x *exchange) serve() bool {
	if refusal := x.admit(); refusal != nil {
		return x.refuse(x.atStopEnd(refusal))
	}
	defer x.settle()
	defer x.origin.end(x.proxy.versions)
	return x.attemptUntilResponse()
}

// admit checks the request against the plan in force and reserves its tokens. Where that
// plan refuses it and a newer one is known to exist, it waits for that one for a time.
func (x *exchange) admit() *Refusal {
	for {
		if !x.proxy.board.isInForce() {
			if x.proxy.stop.Times() != nil {
				return refuseNotRun(reasonStopping, 0)
			}
			return refuseNotRun("nothing is in force here yet", defaultRetryAfter)
		}
		x.plan = x.proxy.board.Plan.Load()
		refusal := x.admitByPlan()
		if refusal == nil || !refusal.ByPlan {
			return refusal
		}
		refusal, replaced := x.awaitNewerPlan(x.plan, refusal)
		if !replaced {
			return refusal
		}
	}
}

// admitByPlan is admit by the plan that is in force.
func (x *exchange) admitByPlan() *Refusal {
	x.account = nil
	if x.route = x.plan.FindRoute(x.req.Host, x.req.Path()); x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no such route", ByPlan: true}
	}
	if x.plan.KeyRequired && !x.route.Public {
		if x.account = x.plan.AccountByKey(x.req.APIKey); x.account == nil {
			return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown key", ByPlan: true}
		}
	}
	x.deadline = x.req.ReceivedAt.Add(x.req.Timeout)
	if timeout := x.route.Timeout; timeout > 0 {
		x.deadline = bbclock.Earlier(x.deadline, x.req.ReceivedAt.Add(timeout))
	}
	x.deadline = x.deadline.Add(-responseMargin)
	x.service = x.route.PickService(x.serviceFraction())
	x.fingerprint = x.req.Fingerprint(x.accountID())
	x.parts = x.req.SharedParts()
	x.terms = newTerms(x.plan, x.route, x.service, x.account, x.req)
	if refusal := x.checkStop(); refusal != nil {
		return refusal
	}
	if refusal := x.checkCrashes(); refusal != nil {
		return refusal
	}
	if refusal := x.pinVersion(); refusal != nil {
		return refusal
	}
	return x.reserve()
}

// accountID returns the client account, empty if the request was admitted
// without a key.
func (x *exchange) accountID() bbunit.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

// priority returns the account's priority, or the route's if the account has
// none.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority >= 0 {
		return x.account.Priority
	}
	return x.route.Priority
}

// attemptUntilResponse sends the request to one target after the other until a
// response was passed on or no further attempt is allowed. It reports whether
// the client's connection can be reused.
func (x *exchange) attemptUntilResponse() bool {
	var refusal *Refusal
	for retry := true; retry; {
		if crashing := x.checkCrashes(); crashing != nil {
			refusal = crashing // the word came since the request was admitted or sent
			break
		}
		target, noTarget := x.chooseTarget()
		if target == nil {
			if refusal == nil || !x.mayHaveRun {
				refusal = noTarget
			}
			break
		}
		if crashing := x.checkCrashes(); crashing != nil { // choosing may have waited for a permit
			x.returnPermit(target)
			refusal = crashing
			break
		}
		result := x.attempt(target)
		x.recordDuration(&result)
		x.proxy.recordResult(x, target, &result)
		switch result.kind {
		case resultDone:
			x.proxy.logUndelivered(x, &result)
			return result.keepConn
		case resultGone:
			x.proxy.logUndelivered(x, &result)
			return x.proxy.stop.Ended() && x.giveUp(nil)
		}
		refusal, retry = x.afterAttempt(&result)
	}
	return x.giveUp(refusal)
}

// afterAttempt handles an attempt without a response. It returns how to refuse
// the request, and whether another attempt may be made instead, which it takes
// from the retry budget.
func (x *exchange) afterAttempt(result *attemptResult) (*Refusal, bool) {
	switch result.kind {
	case resultLate:
		return refuseLate("the request's time is over"), false
	case resultNoPermit:
		x.tried = x.tried[:len(x.tried)-1]
		x.unsentAttempts++
		return refuseNotRun("the target's limit is used up", defaultRetryAfter), x.unsentAttempts <= maxUnsentAttempts
	case resultWithdrawn: // each target once, so the loop ends
		x.tried = x.tried[:len(x.tried)-1]
		return refuseNotRun("no target of the service can be used", defaultRetryAfter), true
	case resultStopping:
		return x.stopRefusal, false
	case resultUnsent:
		x.unsentAttempts++
		return refuseNotRun("no target could be reached", defaultRetryAfter), x.unsentAttempts <= maxUnsentAttempts
	case resultNotRun:
		return refuseNotRun("the targets have no room", defaultRetryAfter), x.takeRetry()
	case resultUnproven:
		refusal := refuseUnknownOutcome("the target refused without naming the request")
		refusal.RetryAfter = defaultRetryAfter
		return refusal, x.route.Repeatable() && x.takeRetry()
	}
	return refuseUnknownOutcome("the target broke off"), x.route.Repeatable() && x.takeRetry()
}

// giveUp ends a request that no target answered. A response that has begun can't
// be refused any more: its connection is closed without the last chunk, so that
// the client sees that it is incomplete.
func (x *exchange) giveUp(refusal *Refusal) bool {
	if x.stream.started || x.passedOn {
		return false
	}
	refusal = x.atStopEnd(refusal)
	if x.mayHaveRun && refusal.outcome() == "not-run" {
		unknown := refuseUnknownOutcome(refusal.Reason)
		unknown.RetryAfter, unknown.LogFields = refusal.RetryAfter, refusal.LogFields
		refusal = unknown
	}
	return x.refuse(refusal)
}

// refuse writes a refusal and reports whether the client's connection can be
// reused.
func (x *exchange) refuse(refusal *Refusal) bool {
	refusal.LogFields = x.withProof(refusal)
	refusal.RetryAfter = spreadRetryAfter(refusal.RetryAfter, rand.Float64())
	x.proxy.recordRefusal(x.req.AttemptID, refusal)
	closeConn := refusal.Close || x.closesConn()
	return x.client.write(refusal.encode(x.req.Method, x.req.AttemptID, closeConn)) == nil && !closeConn
}

// closesConn reports whether the response announces that the connection is closed after
// it. Behind it no request that has come already may be left without a response.
func (x *exchange) closesConn() bool {
	if x.req.Close || x.client.hasNext.Load() {
		return x.req.Close
	}
	if !x.proxy.board.givesBack(x.req.ReceivedAt.Sub(x.client.phase.idleSince)) {
		return false
	}
	if !x.proxy.board.Leaving.Load() {
		x.proxy.metrics.pressure.givenBack.Inc(1)
	}
	return true
}

// withProof returns the log fields of a refusal, with what its promise rests on and,
// where it rests on the plan, which plan that is and whether a newer one was known.
func (x *exchange) withProof(refusal *Refusal) logrus.Fields {
	out := logrus.Fields{"sends": x.sentAttempts, "rests": x.heard.origin.String()}
	switch {
	case x.mayHaveRun:
		out["rests"] = "nothing"
	case x.sentAttempts == 0:
		out["rests"] = "not-sent"
	}
	if refusal.ByPlan {
		out["plan"] = x.plan.Version
		if rev, known, behind := x.proxy.board.PlanLag.behind(x.proxy.now()); behind {
			out["newer"], out["newer-ms"] = rev, known.Milliseconds()
			if refusal.outcome() == "not-run" && refusal.Status != http.StatusServiceUnavailable {
				x.proxy.metrics.refusedBehind.Inc(1)
			}
		}
	}
	for k, v := range refusal.LogFields {
		out[k] = v
	}
	return out
}

// takeRetry reports whether the route allows another attempt, and takes it from
// the service's retry budget.
func (x *exchange) takeRetry() bool {
	if x.retryTaken {
		x.retryTaken = false
		return true
	}
	return !x.passedOn && !x.stream.unnumbered && !x.origin.endsHere(x.stream.started) && !x.proxy.crashes.HasProposedPart(x.parts) && x.sentAttempts < x.route.MaxAttempts && time.Now().Before(x.deadline) && x.proxy.takeRetry(x.service)
}

// chooseTarget returns the target for the next attempt, or the refusal if there
// is none. It gets a permit for a target with a limit, and blocks for that.
func (x *exchange) chooseTarget() (*Target, *Refusal) {
	if target := x.moveTo; target != nil {
		x.moveTo = nil
		return target, nil
	}
	service := x.proxy.board.targetsOf(x.service)
	if service == nil {
		return nil, refuseNotRun("no target of the service is known", defaultRetryAfter)
	}
	request := x.placeRequest()
	target, reason := x.place(service, request)
	switch {
	case target != nil:
		return target, nil
	case reason == bbplace.ReasonLimited:
		return nil, x.refuseLimited(service, x.asker(service, request, x.proxy.now()))
	case reason == bbplace.ReasonAllFull && !request.Holding.FitsAny():
		return nil, refuseNotRun("the request is larger than the memory of the targets", 0)
	case reason == bbplace.ReasonAllFull:
		return nil, refuseNotRun("the targets have no room", defaultRetryAfter)
	}
	return nil, x.refuseUnusable(service, request)
}

// withDeadline returns a context that ends at the request's deadline.
func (x *exchange) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), x.deadline)
}

// logFields returns the log fields of an attempt.
func (x *exchange) logFields(target *Target, result *attemptResult) logrus.Fields {
	fields := logrus.Fields{
		"request": x.req.AttemptID, "service": x.service, "target": target.ID, "end": result.kind.String(),
		"sends": x.sentAttempts, "plan": x.plan.Version, "ms": time.Since(x.req.ReceivedAt).Milliseconds(), "inflight": target.State.InFlight(),
	}
	if !result.sentAt.IsZero() {
		fields["whose"], fields["carried"], fields["strays"] = x.heard.origin.String(), x.heard.requests, x.heard.strays
	}
	if x.limitedAtSend {
		fields["limit"] = x.limitAtSend
	}
	if x.origin.isPinned {
		fields["version"] = x.origin.version
	}
	if result.err != nil {
		fields["error"] = result.err.Error()
	}
	return fields
}
