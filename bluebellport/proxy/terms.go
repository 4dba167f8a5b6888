package bbproxy

import (
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// terms say what a request is: the form of its answer, what its target is told, and what it
// costs. They are made once, as a plan admits the request, and nothing asks its service
// again. The zero value is a request that costs nothing and whose answer is no stream.
type terms struct {
	// isStream means that the answer is a stream of events, isResumable that another
	// target may go on with it.
	isStream, isResumable bool
	// isGeneration means that targets read a prompt for the request and generate tokens.
	isGeneration bool
	// tellsPriority means that targets are told the priority, since they order by it.
	tellsPriority bool
	// maxEvents is the most events that the answer can have, 0 if that is not known.
	maxEvents int64
	charge    charge
}

// newTerms returns the terms of a request of an account, nil for none, on a route to one of
// its services. A stream is one by its route, wherever it is sent; any other request is a
// generation if it tells its tokens.
func newTerms(plan *bbplan.Plan, route *bbplan.Route, service bbunit.ServiceID, account *bbplan.Account, req *Request) terms {
	t := terms{isStream: route.Kind == bbplan.KindStream}
	t.isResumable = t.isStream && route.Resumable
	t.isGeneration = t.isStream || req.HasUsage
	t.tellsPriority = t.isGeneration || plan.IsEngine(service)
	eventTokens, told := plan.EventTokens(route, service)
	if t.isStream && req.HasUsage && told {
		t.maxEvents = int64((req.OutputTokens + eventTokens - 1) / eventTokens)
	}
	if t.isGeneration && account != nil && account.Prepaid {
		t.charge = charge{applies: true, prompt: req.PromptTokens, output: req.OutputTokens, eventTokens: eventTokens}
	}
	return t
}
