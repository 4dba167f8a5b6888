package bbe2e

import (
	"slices"
	"testing"
	"time"
)

// TestNativeFleetKeepsTheRestThatARefusalNames guards against sends to a target
// that has answered 503 with Retry-After.
func TestNativeFleetKeepsTheRestThatARefusalNames(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.sendTo(drainWarmup)
	var resting []*rawTarget
	for _, service := range []string{"desk", "press"} {
		target := r.current[service][0]
		target.change(func(p *rawPlay) { p.ShedShare, p.RetryAfter = 1, restRetryAfter })
		resting = append(resting, target)
	}
	r.sendTo(restTime + time.Second)
	r.wg.Wait()
	byID := map[string]*rawAnswer{}
	statuses := map[int]int{}
	for _, a := range r.answers {
		byID[a.attemptID] = a
		statuses[a.status]++
	}
	t.Logf("%d instances: %d requests, statuses %v", len(r.instances), len(r.answers), statuses)
	for _, target := range resting {
		byInstance := map[*nativeInstance][]rawArrival{}
		for _, a := range target.seen() {
			inst := byID[a.attemptID].inst
			byInstance[inst] = append(byInstance[inst], a)
		}
		refused, most, failed := 0, 0, 0
		for inst, arrivals := range byInstance {
			n, worst := restArrivals(arrivals)
			refused, most = refused+n, max(most, worst)
			failed = max(failed, r.failuresInRest(inst, target.service, arrivals))
		}
		t.Logf("%d instances, %s: %d refusals with Retry-After, most requests of one instance in a rest %d, most callers of one instance without success %d (allowed %d)",
			len(r.instances), target.id, refused, most, failed, maxRestArrivals)
		if most > maxRestArrivals || failed > maxRestArrivals {
			t.Errorf("%s: %d requests of one instance in a rest, %d callers of one without success, allowed %d", target.id, most, failed, maxRestArrivals)
		}
	}
}

// failuresInRest returns how many callers that sent to an instance in the first
// rest that a target asked of it got no success, though other targets had room.
func (r *drainRun) failuresInRest(inst *nativeInstance, service string, arrivals []rawArrival) int {
	i := slices.IndexFunc(arrivals, func(a rawArrival) bool { return a.refused })
	if i < 0 {
		return 0
	}
	n := 0
	for _, a := range r.answers {
		after := a.sentAt.Sub(arrivals[i].endedAt)
		if a.inst == inst && a.path == drainPaths[service] && after > restBegin && after < restTime && a.status != 200 {
			n++
		}
	}
	return n
}

// restArrivals returns how many refusals there are among the arrivals from one
// instance, and the most arrivals in the rest that one of them asks for.
func restArrivals(arrivals []rawArrival) (refused, most int) {
	for _, a := range arrivals {
		if !a.refused {
			continue
		}
		refused++
		n := 0
		for _, b := range arrivals {
			if after := b.at.Sub(a.endedAt); after > restBegin && after < restTime {
				n++
			}
		}
		most = max(most, n)
	}
	return refused, most
}
