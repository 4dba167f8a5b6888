package bbcrash

import (
	"fmt"
	"time"
)

const (
	partContact  = 3 * time.Second // after which a calm instance has to refuse a part
	partCrashes  = 5               // crashes of a part after which it has to be refused
	partRestart  = 3 * time.Second // from the crash of a target to its next run
	partAttempts = 3
	partSessions = 150
)

// partLoad sends requests whose prompts have parts, to targets that crash under
// some of them.
type partLoad struct {
	*simulation
	targets []*partTarget
	// longest is the longest time of a sound answer.
	longest time.Duration
	// guilty are the parts that crash targets, each with the runs that it ended.
	guilty []*guiltyPart

	served, refusedParts, refusedRequests, lost int // sound requests
	refusedNames                                map[string]int
	next                                        uint64
}

// partTarget is a target of a partLoad.
type partTarget struct {
	run     TargetRun
	up      bool
	crashed []func(at time.Time) // called for what is in flight
}

// guiltyPart is a part that crashes targets. Requests with it hold it at a place.
type guiltyPart struct {
	part   Part
	place  int
	ended  map[TargetRun]bool
	bound  time.Time // contact-ms after the fifth crash
	late   lateSends
	firmAt time.Time // of the first refusal
}

func newPartLoad(instances, targets int, loss float64, seed uint64) *partLoad {
	l := &partLoad{simulation: newSimulation(instances, loss, seed), longest: 1500 * time.Millisecond, refusedNames: map[string]int{}}
	for range targets {
		l.targets = append(l.targets, &partTarget{run: l.newRun(), up: true})
	}
	return l
}

// crash ends a target, which starts again later.
func (l *partLoad) crash(target *partTarget) {
	if !target.up {
		return
	}
	target.up = false
	flights, at := target.crashed, l.Now()
	target.crashed = nil
	for _, crashed := range flights {
		crashed(at)
	}
	l.After(partRestart, func() { target.run, target.up = l.newRun(), true })
}

// crashShare ends a share of the targets at times spread over a span.
func (l *partLoad) crashShare(share float64, span time.Duration) {
	for _, i := range l.Rand.Perm(len(l.targets))[:int(share*float64(len(l.targets)))] {
		l.After(time.Duration(l.Rand.Int64N(int64(span)+1)), func() { l.crash(l.targets[i]) })
	}
}

// every calls fn at random times, rate times a second in the mean.
func (l *partLoad) every(rate float64, fn func()) {
	var again func()
	again = func() {
		l.After(time.Duration(2*l.Rand.Float64()/rate*float64(time.Second)), func() {
			fn()
			again()
		})
	}
	again()
}

// partRequest is a request of a partLoad.
type partRequest struct {
	fingerprint uint64
	parts       []Part
	guilty      *guiltyPart
	node        *simNode
	tracker     *Tracker
	attempts    int
}

// sharedParts returns the parts that all requests of the route have, and one of
// four that follow it.
func (l *partLoad) sharedParts() []Part {
	return []Part{NewPart("first"), NewPart(fmt.Sprint("second", l.Rand.IntN(4)))}
}

// sendSound sends a request of a random session.
func (l *partLoad) sendSound() {
	l.send(&partRequest{parts: append(l.sharedParts(), NewPart(fmt.Sprint("session", l.Rand.IntN(partSessions))))})
}

// sendGuilty sends a request with a part that crashes targets.
func (l *partLoad) sendGuilty(g *guiltyPart) {
	parts := append(l.sharedParts(), g.part)
	parts[g.place], parts[2] = parts[2], parts[g.place]
	l.send(&partRequest{parts: parts, guilty: g})
}

func (l *partLoad) send(r *partRequest) {
	l.next++
	r.fingerprint, r.node = 1e6+l.next, l.randomNode()
	if r.node == nil {
		return
	}
	r.tracker = r.node.tracker
	l.attempt(r)
}

// attempt sends a request to a random target.
func (l *partLoad) attempt(r *partRequest) {
	part, refusedPart := r.tracker.RefusedPart(r.parts)
	switch {
	case refusedPart && r.guilty == nil:
		l.refusedParts++
		l.refusedNames[part.ID]++
	case refusedPart && r.guilty.firmAt.IsZero():
		r.guilty.firmAt = l.Now()
	case !refusedPart && r.tracker.IsRefused(r.fingerprint):
		l.refusedRequests++
		return
	}
	target := l.usableTarget()
	if refusedPart || target == nil {
		return
	}
	r.attempts++
	done := l.reach(r, target)
	target.crashed = append(target.crashed, done(l.Now()))
}

// usableTarget returns a random target that is up, nil if there is none.
func (l *partLoad) usableTarget() *partTarget {
	for _, i := range l.Rand.Perm(len(l.targets)) {
		if l.targets[i].up {
			return l.targets[i]
		}
	}
	return nil
}

// reach plans the end of an attempt at a target, and returns what happens if the
// target crashes before.
func (l *partLoad) reach(r *partRequest, target *partTarget) func(sentAt time.Time) func(at time.Time) {
	ended, run := false, target.run
	if g := r.guilty; g != nil {
		g.countLate(l, r.node)
		l.After(80*time.Millisecond+time.Duration(l.Rand.Int64N(int64(70*time.Millisecond))), func() {
			if !ended {
				g.end(l, run)
				l.crash(target)
			}
		})
	} else {
		sentAt := l.Now()
		l.After(l.longest/5+time.Duration(l.Rand.Int64N(int64(l.longest*4/5))), func() {
			if ended || !r.isAlive() {
				return
			}
			ended = true
			l.served++
			r.tracker.RecordAnswer(r.fingerprint, r.parts, sentAt)
		})
	}
	return func(sentAt time.Time) func(at time.Time) {
		return func(at time.Time) {
			if !ended {
				ended = true
				l.After(simCrashDelay, func() { l.brokeOff(r, run, sentAt, at) })
			}
		}
	}
}

// isAlive reports whether the instance that took the request still runs.
func (r *partRequest) isAlive() bool { return r.node.Up && r.node.tracker == r.tracker }

// brokeOff records a crash under a request, and repeats the request.
func (l *partLoad) brokeOff(r *partRequest, run TargetRun, sentAt, at time.Time) {
	if !r.isAlive() {
		return
	}
	r.tracker.RecordCrash(Observation{Fingerprint: r.fingerprint, Parts: r.parts, Run: run, SentAt: sentAt, BrokenAt: at})
	if r.attempts < partAttempts && !r.tracker.HasProposedPart(r.parts) {
		l.attempt(r)
	} else if r.guilty == nil {
		l.lost++
	}
}

// end notes that the part has ended a target's run.
func (g *guiltyPart) end(l *partLoad, run TargetRun) {
	if g.ended[run] = true; len(g.ended) == partCrashes && g.bound.IsZero() {
		g.bound = l.Now().Add(partContact)
	}
}

// countLate counts a request with the part that reaches a target too late.
func (g *guiltyPart) countLate(l *partLoad, n *simNode) {
	if g.bound.IsZero() || l.Now().Before(g.bound) {
		return
	}
	g.late.all++
	if n.InTouch(partContact) {
		g.late.inTouch++
	}
}

// addGuilty adds a part that crashes targets, with requests of which rate come a
// second.
func (l *partLoad) addGuilty(id string, place int, rate float64) {
	g := &guiltyPart{part: NewPart(id), place: place, ended: map[TargetRun]bool{}}
	l.guilty = append(l.guilty, g)
	l.every(rate, func() { l.sendGuilty(g) })
}
