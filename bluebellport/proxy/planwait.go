package bbproxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplan"
)

// Times of requests that the plan in force refuses while a newer one is on its way.
const (
	// planWaitTime is the longest time for which such a request waits. It is the half of
	// what the request has left, if that is less: another instance may have the plan.
	planWaitTime = time.Second
	// planNewsTrust is for how long the news of a newer plan is believed that does not
	// come.
	planNewsTrust = 10 * time.Second
	// planWaitCheck is the time between two looks whether the news still stands.
	planWaitCheck = 20 * time.Millisecond
)

// planWait decides on a request that the plan in force refuses, while a newer one has been
// known for a time: how long it waits for that one, with so much time left, 0 if it is
// refused at once. Believed reports whether the newer plan is expected to come at all; if
// not, the refusal stands. It serves the seconds after a change, in which a fleet gets a
// plan over its links.
func planWait(known, left time.Duration) (wait time.Duration, believed bool) {
	if known >= planNewsTrust {
		return 0, false
	}
	return max(min(planWaitTime, left/2), 0), true
}

// awaitNewerPlan waits while a plan newer than one is known to exist and not in force here.
// It reports true once another plan is in force, and otherwise returns the refusal to
// give: first, that of the older plan, if no newer one is known or believed in.
func (x *exchange) awaitNewerPlan(plan *bbplan.Plan, first *Refusal) (*Refusal, bool) {
	p := x.proxy
	begin := p.now()
	var wait time.Duration
	for i := 0; ; i++ {
		rev, known, behind := p.board.PlanLag.behind(p.now())
		if p.board.Plan.Load() != plan {
			return nil, true
		}
		allowed, believed := planWait(known, x.req.Timeout-p.now().Sub(x.req.ReceivedAt))
		if !behind || !believed {
			return first, false
		}
		if i == 0 {
			wait = allowed
		}
		if waited := p.now().Sub(begin); waited >= wait || x.gone.isSet() {
			refusal := refuseNotRun("a newer plan is on its way here", defaultRetryAfter)
			refusal.ByPlan, refusal.LogFields = true, logrus.Fields{"revision": rev, "instead": first.Status, "waited": waited.Milliseconds()}
			return refusal, false
		}
		select {
		case <-x.gone.done():
		case <-time.After(planWaitCheck):
		}
	}
}
