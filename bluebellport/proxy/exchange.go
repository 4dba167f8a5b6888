package bbproxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// exchange is a request under way: what it is, what it holds, what it has tried.
type exchange struct {
	proxy      *Proxy
	client     *clientConn
	req        *Request
	clientGone <-chan struct{}

	plan        *bbplan.Plan
	route       *bbplan.Route
	account     *bbplan.Account
	service     bbunit.ServiceID
	deadline    time.Time // when the answer is of no more use
	fingerprint uint64

	balance        *bbshare.Balance
	reserved       bbunit.Tokens
	maxEventTokens bbunit.Tokens

	unreadPrompt   bbunit.Tokens // of the prompt, at the target chosen last
	sentAttempts   int           // attempts of which bytes left
	unsentAttempts int           // attempts of which none did
	tried          []bbunit.TargetID
	lastTarget     atomic.Pointer[Target] // tried last
	// mayHaveRun tells that a target may have run the request.
	mayHaveRun bool
	stream     streamState

	mu      sync.Mutex // guards conn and aborted
	conn    *targetConn
	aborted bool
}

// serve answers the request. It tells whether the client's connection stays.
func (x *exchange) serve() bool {
	if refusal := x.admit(); refusal != nil {
		return x.refuse(refusal)
	}
	defer x.settle()
	return x.attemptUntilAnswered()
}

// admit checks the request against what is in force and reserves its money.
func (x *exchange) admit() *Refusal {
	x.plan = x.proxy.shared.Plan.Load()
	if x.plan == nil || x.proxy.shared.Services.Load() == nil {
		return refuseNotRun("nothing is in force here yet", defaultRetryAfter)
	}
	if x.route = x.plan.FindRoute(x.req.Host, x.req.Path()); x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no such route"}
	}
	if x.plan.KeyRequired && !x.route.Public {
		if x.account = x.plan.AccountByKey(x.req.APIKey); x.account == nil {
			return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown key"}
		}
	}
	x.deadline = x.req.ReceivedAt.Add(x.req.Timeout)
	if timeout := x.route.Timeout; timeout > 0 {
		x.deadline = earlier(x.deadline, x.req.ReceivedAt.Add(timeout))
	}
	x.deadline = x.deadline.Add(-responseMargin)
	x.service = x.route.PickService(rand.Float64())
	x.fingerprint = x.req.Fingerprint(x.accountID())
	if x.proxy.poison.isPoison(x.fingerprint) {
		return refuseNotRun("targets that ran this request have crashed", 0)
	}
	return x.reserve()
}

// reserve sets the most that the request can cost aside.
func (x *exchange) reserve() *Refusal {
	service := x.plan.Services[x.service]
	if service == nil || service.Engine == nil {
		return nil
	}
	x.maxEventTokens = service.Engine.MaxEventTokens
	if x.account == nil || !x.account.Prepaid {
		return nil
	}
	if !x.req.HasUsage {
		return &Refusal{Status: http.StatusBadRequest, Reason: "the request does not tell its tokens"}
	}
	x.reserved = x.req.PromptTokens + (x.req.OutputTokens+x.maxEventTokens-1)/x.maxEventTokens*x.maxEventTokens
	var refusal *Refusal
	x.balance, refusal = x.proxy.shares.reserve(x.account, x.reserved, x.deadline, x.clientGone)
	return refusal
}

// settle ends the reservation at what was spent: nothing when no target can
// have run the request, else the prompt and what of the answer came.
func (x *exchange) settle() {
	if x.balance == nil {
		return
	}
	var used bbunit.Tokens
	if x.mayHaveRun {
		used = x.req.PromptTokens + bbunit.Tokens(x.stream.eventCount)*x.maxEventTokens
		if !x.stream.complete {
			used += unseenEvents * x.maxEventTokens
		}
	}
	x.balance.Settle(x.reserved, used)
}

func (x *exchange) accountID() bbunit.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

// priority is the account's, or else the route's.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority >= 0 {
		return x.account.Priority
	}
	return x.route.Priority
}

// attemptUntilAnswered sends the request to targets until one has answered, or until there
// is nothing more to try.
func (x *exchange) attemptUntilAnswered() bool {
	var refusal *Refusal
	for retry := true; retry; {
		target, noTarget := x.chooseTarget()
		if target == nil {
			if refusal == nil || !x.mayHaveRun {
				refusal = noTarget
			}
			break
		}
		result := x.attempt(target)
		x.proxy.recordResult(x, target, &result)
		switch result.kind {
		case resultDone:
			return result.keepConn
		case resultGone:
			return false
		}
		refusal, retry = x.afterAttempt(&result)
	}
	return x.giveUp(refusal)
}

// afterAttempt returns what to say after an attempt that brought no answer, and whether
// another one may follow.
func (x *exchange) afterAttempt(result *attemptResult) (*Refusal, bool) {
	switch result.kind {
	case resultLate:
		return refuseLate("the request's time is over"), false
	case resultUnsent:
		x.unsentAttempts++
		return refuseNotRun("no target could be reached", defaultRetryAfter), x.unsentAttempts <= maxUnsentAttempts
	case resultNotRun:
		return refuseNotRun("the targets have no room", defaultRetryAfter), x.takeRetry()
	}
	return refuseUnknown("the target broke off"), x.route.Repeatable() && x.takeRetry()
}

// giveUp ends a request that no target answered. Of a stream that has begun there
// is no more to say: it ends without its end.
func (x *exchange) giveUp(refusal *Refusal) bool {
	if x.stream.started {
		return false
	}
	if x.mayHaveRun && !x.route.Repeatable() && refusal.outcome() == "not-run" {
		refusal = refuseUnknown(refusal.Reason)
	}
	return x.refuse(refusal)
}

func (x *exchange) refuse(refusal *Refusal) bool {
	x.proxy.recordRefusal(x.req.AttemptID, refusal)
	closeConn := refusal.Close || x.req.Close || x.proxy.shared.closeConns()
	return x.client.write(refusal.encode(x.req.AttemptID, closeConn)) == nil && !closeConn
}

// takeRetry takes a repeat from the service's budget, if the route allows one more
// attempt.
func (x *exchange) takeRetry() bool {
	return x.sentAttempts < x.route.MaxAttempts && time.Now().Before(x.deadline) && x.proxy.takeRetry(x.service)
}

// chooseTarget returns the target for the next attempt, or why there is none.
func (x *exchange) chooseTarget() (*Target, *Refusal) {
	service := x.proxy.shared.targetsOf(x.service)
	if service == nil {
		return nil, refuseNotRun("no target of the service is known", defaultRetryAfter)
	}
	now := x.proxy.now()
	request := bbplace.Request{Domain: x.proxy.domain, Excluded: x.tried, Random: rand.Uint64()}
	if x.maxEventTokens > 0 {
		request.PromptHash, request.SharedTokens = x.req.SharedPrefix()
		request.PromptTokens = x.req.PromptTokens
	}
	i, reason := bbplace.Choose(service.Candidates, &request, now)
	if i >= 0 {
		x.unreadPrompt = request.UncachedTokens(bbplace.IsCacheTarget(service.Candidates, i, &request, now))
		return service.Targets[i], nil
	}
	if reason == bbplace.ReasonAllFull {
		return nil, refuseNotRun("the targets have no room", defaultRetryAfter)
	}
	return nil, refuseNotRun("no target of the service can be used", defaultRetryAfter)
}

// abortOnLeave ends the target's work once the client has left. The function that
// it returns ends the watch.
func (x *exchange) abortOnLeave(clientGone <-chan struct{}) func() {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-clientGone:
			x.abort()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
}

func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// setConn makes c the connection that an abort closes; false when the client has
// already left.
func (x *exchange) setConn(conn *targetConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted {
		return false
	}
	x.conn = conn
	return true
}

func (x *exchange) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}

// withDeadline ends when the request's time is over.
func (x *exchange) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), x.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// logFields are what a log line tells of a request.
func (x *exchange) logFields(target *Target, result *attemptResult) logrus.Fields {
	fields := logrus.Fields{
		"request": x.req.AttemptID, "service": x.service, "target": target.ID, "end": result.kind.String(),
		"sends": x.sentAttempts, "plan": x.plan.Version, "ms": time.Since(x.req.ReceivedAt).Milliseconds(), "inflight": target.State.InFlight(),
	}
	if result.err != nil {
		fields["error"] = result.err.Error()
	}
	return fields
}
