package bbplace

import (
	"math"
	"math/bits"
	"time"
)

// Costs and their weights, in terms of the time until an answer begins.
const (
	// otherDomainCost is the cost of a target in another failure domain.
	otherDomainCost = 3 * time.Millisecond
	// fullLoadCost is the cost of a target whose slots are all in use, which makes each
	// step longer. It scales linearly with the load.
	fullLoadCost = 40 * time.Millisecond
	// fullCostByLoad is the same where the load is all that is known.
	fullCostByLoad = 60 * time.Millisecond
	// failureCost is the cost of a target whose answers all fail. It scales linearly
	// with the failure rate.
	failureCost = 250 * time.Millisecond
	// objectiveMargin is the part of an objective beyond which a time counts as late,
	// since expected times are often exceeded, and latenessWeight how much more it costs
	// then: an answer well within its objective loses nothing by its time.
	objectiveMargin, latenessWeight = 0.5, 2
	// pauseWeight is the weight of the time for which a prompt slows the streams of a
	// target down, if all of its slots are in use.
	pauseWeight = 1.5
	// rereadWeight is the weight of the time for which a target reads a shared prefix that
	// another one has cached.
	rereadWeight = 0.7
	// minWaitPart is the part of its objective that a request may always wait.
	minWaitPart = 0.25
	// savedTime is the time saved by a cached prefix that halves the random part of the
	// cost of the target.
	savedTime = 3 * time.Millisecond
	// maxKnownLoad is maxLoad for requests whose wait is known.
	maxKnownLoad = 4
	// maxCost bounds a cost, so that the random part can be added to it.
	maxCost = float64(time.Hour)
)

// loadAt is what is known of a target's load at a time.
type loadAt struct {
	requests   float64 // running and waiting
	others     float64 // those of them that are not of this instance
	slots      float64
	slotsKnown bool    // the target has said how many slots it has
	slowdown   float64 // at least 1
}

// loadAt returns the estimated load of the target: the requests of this instance, and
// those of others from the last report.
func (t *Target) loadAt(now time.Time) loadAt {
	l := loadAt{requests: float64(t.State.inFlight.Load()), slots: float64(t.Slots), slowdown: 1}
	if r := t.State.lastReport.Load(); r != nil {
		if r.Slots > 0 {
			l.slots = float64(r.Slots)
		}
		age := now.Sub(r.receivedAt)
		if age < reportMaxAge {
			l.others = (1 - float64(age)/float64(reportMaxAge)) * max(float64(r.Running+r.Waiting)-float64(r.ownInFlight), 0)
			l.requests += l.others
		}
		if r.Slowdown > 1 && age < slowdownMaxAge {
			l.slowdown += (1 - float64(age)/float64(slowdownMaxAge)) * (min(r.Slowdown, maxSlowdown) - 1)
		}
	}
	if l.slotsKnown = l.slots > 0; !l.slotsKnown {
		l.slots = defaultSlots
	}
	return l
}

// maxRequests returns the number of requests at which the target is full, whatever they
// would wait. Where it is known how long the wait is, because the target does work of a
// known time in a known number of slots, the wait decides up to maxKnownLoad.
func (s *TargetState) maxRequests(req *Request, l *loadAt) float64 {
	if req.WholeAnswer && req.PromptTokens == 0 && req.LatencyObjective > 0 && l.slotsKnown && s.speedOf().work > 0 {
		return maxKnownLoad * l.slots
	}
	return maxLoad * l.slots
}

// expected is what a request is expected to meet at a target, in nanoseconds.
type expected struct {
	wait float64 // until the target begins with the request
	own  float64 // for its own prompt, or for its work if it has none
	load float64 // what those beside it take
	// cached reports that the target has the shared prefix of the prompt.
	cached bool
}

// expect returns what a request is expected to meet at the target.
func (t *Target) expect(req *Request, cached bool, l *loadAt, now int64) expected {
	v := t.State.speedOf()
	e := expected{
		wait: float64(t.State.prefillBacklog(now)) * l.slowdown,
		own:  float64(v.promptTime(req.UncachedTokens(cached))) * l.slowdown,
		load: l.requests / l.slots * float64(fullLoadCost), cached: cached,
	}
	if req.WholeAnswer {
		e.own += float64(v.work) * l.slowdown
	}
	if over := l.requests + 1 - l.slots; over > 0 && l.slotsKnown {
		e.wait += over / l.slots * float64(v.work) * l.slowdown
	}
	return e
}

// Expect returns when a request that is sent to the target at now is expected to get the
// beginning of its answer, from then on; cached tells whether the target has the shared
// prefix of the prompt.
func (t *Target) Expect(req *Request, cached bool, now time.Time) time.Duration {
	l := t.loadAt(now)
	e := t.expect(req, cached, &l, now.UnixNano())
	return time.Duration(min(e.wait+e.own+e.load, maxCost))
}

// jitter returns the random part of a cost. It keeps instances with the same reports
// from all choosing the same target, and makes the choice the more random the less
// expected times have been worth: the least of exponentially distributed parts is that
// of each target with a probability in proportion to its speed. A target that has the
// prefix cached is chosen less at random the more it saves, since what goes elsewhere by
// chance makes work that delays all.
func (v *speed) jitter(random uint64, req *Request, cached bool) time.Duration {
	part := time.Duration(random % uint64(maxJitter))
	if v.miss == 0 {
		return part
	}
	miss := float64(v.miss)
	if cached {
		saved := float64(min(req.SharedTokens, maxPrefillTokens)) * v.nsPerToken
		miss *= float64(savedTime) / (float64(savedTime) + max(saved, 0))
	}
	return part + time.Duration(miss*exponential(random))
}

// exponential returns a nearly exponentially distributed number of mean 1 for a uniformly
// distributed one. It approximates the logarithm between powers of 2 by a line, which
// takes a tenth of the time of math.Log.
func exponential(random uint64) float64 {
	zeros := bits.LeadingZeros64(random)
	fraction := float64(random<<(zeros+1)) / (1 << 64)
	return (float64(zeros) + 1 - fraction) * math.Ln2
}

// isTooLate reports whether the request would miss its objective by waiting at the
// target: a target with so long a queue is full for it. The queue alone is the reason,
// so a request that takes long by itself finds room where nothing is queued. A request for a
// whole answer, which delays the others little, may wait as long as its deadline allows.
func (e *expected) isTooLate(req *Request) bool {
	objective := float64(req.LatencyObjective)
	if req.WholeAnswer && req.TimeLeft > 0 {
		return objective > 0 && e.wait+e.own > float64(req.TimeLeft)
	}
	if objective <= 0 || e.wait <= minWaitPart*objective || req.WholeAnswer && e.wait <= e.own {
		return false
	}
	return e.wait+e.own+e.load > objective
}

// cost returns what the choice of a target costs a request and those that run there: the
// expected time until the answer begins, what of it is late, the pauses of streams, and
// penalties for failures and another failure domain.
func (t *Target) cost(req *Request, e *expected, l *loadAt) time.Duration {
	if req.ByLoad {
		return t.costByLoad(req, e, l)
	}
	begins := e.wait + e.own + e.load
	cost := lateCost(begins, req.LatencyObjective)
	if !e.cached { // what is read once more also delays the prompts behind it
		cost += rereadWeight * float64(t.State.speedOf().promptTime(min(req.SharedTokens, req.PromptTokens))) * l.slowdown
	}
	if req.PromptTokens > 0 {
		cost += pauseWeight * e.own * min(l.requests/l.slots, 1)
		cost += t.gapCost(req, e, l)
	}
	cost += float64(failureCost) * math.Float64frombits(t.State.failureRate.Load())
	if t.Domain != req.Domain {
		cost += float64(otherDomainCost)
	}
	return time.Duration(min(cost, maxCost))
}

// costByLoad is cost for a request that is placed by load.
func (t *Target) costByLoad(req *Request, e *expected, l *loadAt) time.Duration {
	cost := e.wait + e.own + l.requests/l.slots*float64(fullCostByLoad)
	cost += float64(failureCost) * math.Float64frombits(t.State.failureRate.Load())
	if t.Domain != req.Domain {
		cost += float64(otherDomainCost)
	}
	return time.Duration(min(cost, maxCost))
}

// gapCost returns the cost of pauses beyond the objective for them: those of the request
// itself, whose events come at the target's pace, and those that its prompt adds to the
// prompts that the target reads between the tokens of its streams.
func (t *Target) gapCost(req *Request, e *expected, l *loadAt) float64 {
	if req.GapObjective <= 0 {
		return 0
	}
	gap := float64(req.GapObjective)
	cost := latenessWeight * max(float64(t.State.speedOf().event)*l.slowdown-objectiveMargin*gap, 0)
	if reading := e.wait + e.own; reading > gap {
		cost += min(reading-gap, e.own) * min(l.requests/l.slots, 1)
	}
	return cost
}

// lateCost returns the cost of a time, of which what exceeds objectiveMargin of an
// objective weighs more.
func lateCost(d float64, objective time.Duration) float64 {
	late := d - objectiveMargin*float64(objective)
	if objective <= 0 || late <= 0 {
		return d
	}
	return d + latenessWeight*late
}
