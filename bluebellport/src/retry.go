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
func (r *Router) Retry(s *RetryState, ask RouteRequest, end AttemptResult) Decision {
	if !s.Reconnected {
		s.Attempts++
	}
	now := r.deps.Now()
	e := routeResult(&end)
	d := bbroute.DecideRetry(*s, &e, &ask, &r.retryPolicy, now)
	s.Reconnected = d == DecisionRetrySame
	if d == DecisionStop || r.poison.isPoisoned(ask.Fingerprint) {
		return DecisionStop
	}
	g, ok := r.group(ask.Service)
	if !ok {
		return DecisionStop
	}
	if !e.RefusedAsLeaving() && !g.RetryBudget().Spend(now, &r.retryPolicy) {
		r.exhaustedRetries.Inc(1)
		return DecisionStop
	}
	r.retries.Inc(1)
	return d
}

// routeResult returns what the core needs of an attempt's end.
func routeResult(end *AttemptResult) bbroute.AttemptResult {
	return bbroute.AttemptResult{Err: end.Err, Sent: end.Sent, Crashed: end.Crashed, ConnReused: end.ConnReused}
}
