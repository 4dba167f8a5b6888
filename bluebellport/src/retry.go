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
	DecisionStop      = bbroute.DecisionStop
	DecisionFresh     = bbroute.DecisionRetrySame
	DecisionElsewhere = bbroute.DecisionRetryOther
)

// Retry decides what follows the end of an attempt and moves the state on. A
// refusal of a leaving target costs nothing of the service's retry budget.
func (r *Router) Retry(s *RetryState, ask Ask, end AttemptEnd) Decision {
	if !s.Reconnected {
		s.Attempts++
	}
	now := r.p.Now()
	e := coreEnd(&end)
	d := bbroute.DecideRetry(*s, &e, &ask, &r.retry, now)
	s.Reconnected = d == DecisionFresh
	if d == DecisionStop || r.poison.poisoned(ask.Fingerprint) {
		return DecisionStop
	}
	g, ok := r.group(ask.Service)
	if !ok {
		return DecisionStop
	}
	if !e.RefusedAsLeaving() && !g.RetryBudget().Spend(now, &r.retry) {
		r.exhausted.Inc(1)
		return DecisionStop
	}
	r.retries.Inc(1)
	return d
}

// coreEnd returns what the core needs of an attempt's end.
func coreEnd(end *AttemptEnd) bbroute.AttemptResult {
	return bbroute.AttemptResult{Err: end.Err, Sent: end.Sent, Crashed: end.Crashed, ConnReused: end.Reused}
}
