package bbport

import (
	"bluebellport.example/shared/bbroute"
)

// RetryState is what a request has tried so far.
type RetryState = bbroute.RetryState

// Decision is what follows the end of an attempt.
type Decision = bbroute.Decision

// Decisions after an attempt.
const (
	DecisionStop       = bbroute.DecisionStop
	DecisionRetrySame  = bbroute.DecisionRetrySame
	DecisionRetryOther = bbroute.DecisionRetryOther
)

// Retry decides what follows the end of an attempt and moves the state on. A
// refusal of a leaving target costs nothing of the service's retry budget.
func (r *Router) Retry(state *RetryState, req RouteRequest, result AttemptResult) Decision {
	if !state.Reconnected {
		state.Attempts++
	}
	now := r.deps.Now()
	routeRes := routeResult(&result)
	decision := bbroute.DecideRetry(*state, &routeRes, &req, &r.retryPolicy, now)
	state.Reconnected = decision == DecisionRetrySame
	if decision == DecisionStop || r.poison.isPoisoned(req.Fingerprint) {
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

// routeResult returns what the core needs of an attempt's end.
func routeResult(result *AttemptResult) bbroute.AttemptResult {
	return bbroute.AttemptResult{Err: result.Err, Sent: result.Sent, Crashed: result.Crashed, ConnReused: result.ConnReused}
}
