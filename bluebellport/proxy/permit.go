package bbproxy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbunit"
)

// place chooses a target. One with a limit is used only with a permit: where
// other targets are open, a permit that comes at once; where all have limits,
// also one for which the request has time to wait.
func (x *exchange) place(service *ServiceTargets, request *bbplace.Request) (*Target, bbplace.Reason) {
	now := x.proxy.now()
	if !x.isRestricted(service) {
		return x.pick(service, request, now)
	}
	asker := x.asker(service, request, now)
	var denied []bbunit.TargetID
	request.Access = func(t *bbplace.Target) bbplace.Access {
		if slices.Contains(denied, t.ID) || !x.proxy.cold.maySend(&t.Target, false) {
			return bbplace.AccessClosed
		}
		return x.proxy.limits.Access(t.Run(), asker)
	}
	tries := maxQuickPermitTries
	if asker.Patience > 0 {
		tries = len(service.Targets)
	}
	for range tries {
		target, reason := x.pick(service, request, x.proxy.now())
		if target == nil || !x.proxy.limits.IsLimited(target.Run()) {
			return target, reason
		}
		if x.acquire(target, asker) {
			if x.mayStillSend(target) {
				return target, reason
			}
			x.returnPermit(target)
		}
		denied = append(denied, target.ID)
	}
	request.Access = x.onlyOpen
	return x.pick(service, request, x.proxy.now())
}

// isRestricted reports whether a target of a service may have a limit, or load held back from
// it. It takes no lock where the targets of the service are never cold.
func (x *exchange) isRestricted(service *ServiceTargets) bool {
	if x.proxy.cold.isHolding() && x.proxy.cold.mayBeCold(x.service) {
		return true
	}
	return x.proxy.limits.Any() && slices.ContainsFunc(service.Targets, func(t *Target) bool { return x.proxy.limits.IsLimited(t.Run()) })
}

// onlyOpen closes all targets with a limit, and those from which load is held back.
func (x *exchange) onlyOpen(t *bbplace.Target) bbplace.Access {
	if x.proxy.limits.IsLimited(t.Run()) || !x.proxy.cold.maySend(&t.Target, false) {
		return bbplace.AccessClosed
	}
	return bbplace.AccessOpen
}

// pick chooses a target, or tells why there is none.
func (x *exchange) pick(service *ServiceTargets, request *bbplace.Request, now time.Time) (*Target, bbplace.Reason) {
	i, reason := bbplace.Choose(service.Candidates, request, now)
	if i < 0 {
		return nil, reason
	}
	cached := bbplace.IsCacheTarget(service.Candidates, i, request, now)
	x.uncachedPrompt = request.UncachedTokens(cached)
	x.expectedBegin = service.Candidates[i].Expect(request, cached, now)
	x.hasPermit = false
	return service.Targets[i], reason
}

// acquire gets a permit for a target. It blocks for as long as the asker waits,
// or a few milliseconds.
func (x *exchange) acquire(target *Target, asker bblimit.Asker) bool {
	run := target.Run()
	x.hasPermit = x.proxy.limits.Take(run) || x.proxy.limits.Acquire(run, asker, x.gone.done())
	x.permitAt, x.permitDerived = x.proxy.now(), x.proxy.limits.IsDerived(run)
	return x.hasPermit
}

// isPermitTooOld reports whether the target is cold and the permit does not count, as it was
// got before that was known or too long ago: a connection had to be opened. The next attempt
// finds the connection open.
func (x *exchange) isPermitTooOld(target *Target) bool {
	return x.proxy.limits.IsDerived(target.Run()) && (!x.permitDerived || x.proxy.now().Sub(x.permitAt) > maxPermitAge)
}

// mayStillSend reports whether a target is still in use after a wait for its
// permit: it may have announced meanwhile that it leaves.
func (x *exchange) mayStillSend(target *Target) bool {
	service := x.proxy.board.targetsOf(x.service)
	return service != nil && slices.ContainsFunc(service.Targets, func(t *Target) bool {
		return t.Run() == target.Run() && t.Address == target.Address && !t.Leaving && x.mayUse(t)
	})
}

// asker tells how long the request can wait for a permit: not at all where a
// target without a limit is open, else as long as it can then still be served.
func (x *exchange) asker(service *ServiceTargets, request *bbplace.Request, now time.Time) bblimit.Asker {
	open := *request
	open.Access, open.SkipRefusing = x.onlyOpen, true
	if i, _ := bbplace.Choose(service.Candidates, &open, now); i >= 0 {
		return bblimit.Asker{}
	}
	left := time.Until(x.deadline)
	patience := max(left-min(x.route.LatencyObjective, left/2), time.Millisecond)
	return bblimit.Asker{Patience: patience, Account: xxhash.Sum64String(string(x.accountID()))}
}

// refuseLimited refuses a request that no target's limit allows. The callers
// that are sent away come back when one of the targets can take them, not all at
// once.
func (x *exchange) refuseLimited(service *ServiceTargets, asker bblimit.Asker) *Refusal {
	after, limited := time.Duration(0), 0
	for _, target := range service.Targets {
		if !x.proxy.limits.IsLimited(target.Run()) {
			continue
		}
		limited++
		if wait := x.proxy.limits.WaitFor(target.Run(), asker); wait > 0 && (after == 0 || wait < after) {
			after = wait
		}
	}
	if after == 0 {
		after = defaultRetryAfter
	}
	refusal := refuseNotRun("the targets' limits are used up", after)
	refusal.LogFields = logrus.Fields{"service": x.service, "limited": limited, "targets": len(service.Targets)}
	return refusal
}
