package bbe2e

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
)

// disturbance is what happens to the instances that watch the store.
type disturbance string

// Disturbances.
const (
	calm       disturbance = "calm"
	killed     disturbance = "watcher killed"
	frozen     disturbance = "watcher frozen"
	unanswered disturbance = "store silent to the watcher"
	turnedAway disturbance = "store refuses the watcher"
	cutOff     disturbance = "store resets the watcher"
	goneBack   disturbance = "store goes back to an older copy"
	failedCall disturbance = "one failed call, watcher killed"
	mixed      disturbance = "watchers disturbed in different ways"
	halfAway   disturbance = "store silent to half of all"
	domainAway disturbance = "store silent to two failure domains"
	inSeries   disturbance = "watcher killed, then its successor frozen"
)

// linkFaults are the faults of the link that a disturbance consists of.
var linkFaults = map[disturbance]linkFault{unanswered: linkSilent, turnedAway: linkRefuse, cutOff: linkReset, halfAway: linkSilent, domainAway: linkSilent}

// span is a time in which an instance was disturbed.
type span struct{ from, to time.Time }

// watchers returns the instances that watch the store for targets, at most one
// for each failure domain, in random order.
func (r *drainRun) watchers() []*nativeInstance {
	byDomain := map[int]*nativeInstance{}
	for i, inst := range r.instances {
		best := byDomain[i%3]
		if best == nil || r.links[inst].watchedAt().After(r.links[best].watchedAt()) {
			byDomain[i%3] = inst
		}
	}
	var all []*nativeInstance
	for _, i := range r.rng.Perm(3) {
		if byDomain[i] != nil {
			all = append(all, byDomain[i])
		}
	}
	return all
}

// disturb disturbs watchers and returns a function that ends it.
func (r *drainRun) disturb(d disturbance) func() {
	all := r.watchers()
	watchers := all[:min(len(all), *drainDomains)]
	switch d {
	case calm:
		return func() {}
	case mixed:
		kinds := []disturbance{killed, frozen, unanswered, turnedAway, cutOff}
		var ends []func()
		for i, k := range r.rng.Perm(len(kinds))[:len(all)] {
			ends = append(ends, r.disturbAll(all[i:i+1], kinds[k]))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	case inSeries:
		endKills := r.disturbAll(watchers, killed)
		r.sendTo(takeover)
		endFreezes := r.disturbAll(r.successors(watchers), frozen)
		return func() {
			endFreezes()
			endKills()
		}
	case halfAway:
		var half []*nativeInstance
		for _, i := range r.rng.Perm(len(r.instances))[:len(r.instances)/2] {
			half = append(half, r.instances[i])
		}
		return r.disturbAll(half, d)
	case domainAway:
		sound := r.rng.IntN(3)
		var away []*nativeInstance
		for i, inst := range r.instances {
			if i%3 != sound {
				away = append(away, inst)
			}
		}
		return r.disturbAll(away, d)
	case failedCall:
		for _, link := range r.links {
			link.failOne()
		}
		return r.disturbAll(watchers, killed)
	}
	return r.disturbAll(watchers, d)
}

// successors returns the instances that watch the store in place of others of
// their failure domains.
func (r *drainRun) successors(of []*nativeInstance) []*nativeInstance {
	domains := map[int]bool{}
	for _, inst := range of {
		domains[slices.Index(r.instances, inst)%3] = true
	}
	return slices.DeleteFunc(r.watchers(), func(inst *nativeInstance) bool {
		return !domains[slices.Index(r.instances, inst)%3] || slices.Contains(of, inst)
	})
}

// disturbAll disturbs instances and returns a function that ends it.
func (r *drainRun) disturbAll(instances []*nativeInstance, d disturbance) func() {
	spans := r.disturbed
	if _, ok := linkFaults[d]; ok {
		spans = r.away
	}
	from := time.Now()
	for _, inst := range instances {
		switch d {
		case killed:
			inst.kill()
		case frozen:
			inst.signal(syscall.SIGSTOP)
		default:
			r.links[inst].set(linkFaults[d])
		}
		spans[inst] = append(spans[inst], span{from, from.Add(time.Hour)})
	}
	return func() {
		for _, inst := range instances {
			switch d {
			case killed:
				r.startAndWait(inst, "again")
			case frozen:
				inst.signal(syscall.SIGCONT)
			default:
				r.links[inst].set(linkSound)
			}
			spans[inst][len(spans[inst])-1].to = time.Now()
		}
	}
}

// overlaps reports whether one of the spans touches a time.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// goBack makes the store go back to a copy, and writes what the operator and the
// servers wrote since: the targets in use, and those that leave by their state.
func (r *drainRun) goBack(older *bbstore.MemCopy) {
	r.memStore.SetFaults(bbstore.Faults{Down: true})
	r.sendTo(storeAway)
	r.memStore.GoBack(older)
	r.memStore.SetFaults(bbstore.Faults{})
	r.sendTo(storeRewrite)
	for _, targets := range r.current {
		for _, target := range targets {
			target.write(r.t, r.memStore, "ready")
		}
	}
	for _, l := range r.leavings {
		if l.way == leaveByState {
			l.target.write(r.t, r.memStore, "draining")
		}
	}
}

// addLostWrites writes to the store what a copy of now lacks.
func (r *drainRun) addLostWrites() {
	is := is.New(r.t)
	for i := range lostWrites {
		_, err := r.memStore.CAS(r.t.Context(), fmt.Sprint("op/lost/", r.created, "/", i), []byte("lost"), 0, 0)
		is.NoErr(err)
	}
}
