package bbport

import (
	"bluebellport.example/shared/bbroute"
)

// RetryState records the attempts that a request has made.
type RetryState = bbroute.RetryState

// Decision says how a request continues after an attempt.
type Decision = bbroute.Decision

// Decisions after an attempt.
const (
	DecisionStop       = bbroute.DecisionStop
	DecisionRetrySame  = bbroute.DecisionRetrySame
	DecisionRetryOther = bbroute.DecisionRetryOther
)

// Retry decides how the request continues after an attempt, and updates state. A
// retry is taken from the service's retry budget, unless the target refused
// because it is leaving.
func (r *Router) Retry(state *RetryState, req RouteRequest, result AttemptResult) Decision {
	if !state.Reconnected {
		state.Attempts++
	}
	now := r.deps.Now()
	routeRes := routeResult(&result)
	decision := bbroute.DecideRetry(*state, &routeRes, &req, &r.retryPolicy, now)
	state.Reconnected = decision == DecisionRetrySame
	if decision == DecisionStop || r.crashes.IsRefused(req.Fingerprint) {
		return DecisionStop
	}
	g, ok := r.group(req.Service)
	if !ok {
		return DecisionStop
	}
	if !routeRes.RefusedAsLeaving() && !g.RetryBudget().Spend(now, &r.retryPolicy) {
		r.exhaustedRetries.Inc(1)
		return DecisionStop
	}
	r.retries.Inc(1)
	return decision
}

// routeResult returns the part of an attempt's result on which routing decisions
// depend.
func routeResult(result *AttemptResult) bbroute.AttemptResult {
	return bbroute.AttemptResult{Err: result.Err, Sent: result.Sent, Crashed: result.Crashed, ConnReused: result.ConnReused}
}
