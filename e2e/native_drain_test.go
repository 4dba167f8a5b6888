package bbe2e

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	drainInstances = flag.Int("drain-instances", 8, "instances of the tests of targets that leave")
	drainSeed      = flag.Uint64("drain-seed", 1, "seed of their disturbances and callers")
	drainRounds    = flag.Int("drain-rounds", 3, "rounds of leaving targets; the ways and disturbances are taken in turn")
	drainEras      = flag.Int("drain-eras", 1, "times that the store goes back to an older copy")
	drainDomains   = flag.Int("drain-domains", 1, "failure domains that are disturbed in a round")
)

const (
	// drainTimeout is how long after the word a target may still get requests.
	drainTimeout = 2 * time.Second
	// drainContactTime is how long an instance has to be undisturbed to be in touch.
	drainContactTime = 3 * time.Second
	// drainWatch is how long after the word arrivals are looked for.
	drainWatch = 3200 * time.Millisecond
	// drainWarmup is how long requests are sent before anything happens.
	drainWarmup = 500 * time.Millisecond
	// drainLead is the longest time from a disturbance to the word.
	drainLead = time.Second
	// takeover is how long another instance takes to watch the store instead of one
	// that was killed.
	takeover = 1600 * time.Millisecond
	// storeAway is how long the store is away before it goes back, storeRewrite how
	// long after that the servers have written their entries again.
	storeAway    = 500 * time.Millisecond
	storeRewrite = time.Second
	// lostWrites is how many writes beside those of servers a copy lacks.
	lostWrites = 200
	// drainRatePerInstance and drainMaxRate are the requests a second to each
	// service.
	drainRatePerInstance = 8.0
	drainMaxRate         = 250.0
	drainWork            = 4 * time.Millisecond
	// restRetryAfter is the rest that a target in need of one asks for, in seconds,
	// restBegin when it begins, maxRestArrivals how many requests of one instance may
	// reach it then.
	restRetryAfter  = "3"
	restTime        = 3 * time.Second
	restBegin       = 500 * time.Millisecond
	maxRestArrivals = 2
)

// leaveWay is how a target says that it leaves.
type leaveWay string

// Ways to leave.
const (
	leaveByState   leaveWay = "state draining"
	leaveByRemoval leaveWay = "entry removed"
	leaveByField   leaveWay = "field Server-Leaving"
)

// drainPaths are the paths of the routes to the services.
var drainPaths = map[string]string{"desk": "/book/1", "press": "/press/1"}

// drainRun lets targets leave a fleet of processes.
type drainRun struct {
	*rawRun
	links     map[*nativeInstance]*storeLink
	disturbed map[*nativeInstance][]span // not in touch
	away      map[*nativeInstance][]span // turned away by the store
	current   map[string][]*rawTarget    // by service
	created   int
	leavings  []*leaving
	judgeAway bool // those that the store turns away are bound too
}

// leaving is one target that left.
type leaving struct {
	target      *rawTarget
	service     string
	way         leaveWay
	disturbance disturbance
	word        time.Time
}

// newDrainRun starts a fleet with two targets of the service desk and four of
// the service press.
func newDrainRun(t *testing.T, n int) *drainRun {
	r := &drainRun{
		rawRun: newRawRun(t, *drainSeed), links: map[*nativeInstance]*storeLink{}, disturbed: map[*nativeInstance][]span{},
		away: map[*nativeInstance][]span{}, current: map[string][]*rawTarget{},
	}
	for i := range 4 {
		if i < 2 {
			r.join("desk")
		}
		r.join("press")
	}
	storeAddress := r.storeAddress
	for i, domain := range domainNames(n) {
		link := newStoreLink(t, storeAddress)
		r.storeAddress = link.address
		inst := r.startInstance(fmt.Sprint("i", i), domain)
		r.instances = append(r.instances, inst)
		r.links[inst] = link
	}
	return r
}

// join starts and registers a target of a service.
func (r *drainRun) join(service string) {
	r.created++
	target := r.addTarget(fmt.Sprint(service, "-", r.created), service, fmt.Sprint("domain-", r.created%3), rawPlay{Work: drainWork})
	r.current[service] = append(r.current[service], target)
}

// rate returns the requests a second to each service.
func (r *drainRun) rate() float64 {
	return min(drainRatePerInstance*float64(len(r.instances)), drainMaxRate)
}

// running returns the instances that are neither killed nor frozen.
func (r *drainRun) running() []*nativeInstance {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(r.instances), func(inst *nativeInstance) bool { return overlaps(r.disturbed[inst], now, now) })
}

// sendTo sends requests to both services at a steady rate, to running instances
// in turn of a random order.
func (r *drainRun) sendTo(d time.Duration) {
	instances := r.running()
	tick := time.NewTicker(time.Duration(float64(time.Second) / r.rate()))
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		for _, path := range []string{"/book/1", "/press/1"} {
			inst := instances[r.rng.IntN(len(instances))]
			id := fmt.Sprint("attempt-", r.attemptCount.Add(1))
			r.wg.Go(func() { r.ask(inst, path, id, refusedDeadline) })
		}
	}
}

// leave makes the oldest target of a service leave.
func (r *drainRun) leave(service string, way leaveWay, d disturbance) {
	target := r.current[service][0]
	r.current[service] = r.current[service][1:]
	l := &leaving{target: target, service: service, way: way, disturbance: d}
	switch way {
	case leaveByState:
		l.word = target.write(r.t, r.memStore, "draining")
	case leaveByRemoval:
		l.word = target.write(r.t, r.memStore, "")
	case leaveByField:
		target.change(func(p *rawPlay) { p.Leaving = true })
	}
	r.leavings = append(r.leavings, l)
}

// round lets one target of each service leave while watchers are disturbed, and
// replaces them.
func (r *drainRun) round(d disturbance, deskWay, pressWay leaveWay) {
	restore := r.disturb(d)
	r.sendTo(time.Duration(r.rng.Float64() * float64(drainLead)))
	r.leave("desk", deskWay, d)
	r.leave("press", pressWay, d)
	r.sendTo(drainWatch)
	restore()
	for _, l := range r.leavings[len(r.leavings)-2:] {
		if l.way == leaveByField {
			l.target.write(r.t, r.memStore, "")
		}
		r.join(l.service)
	}
}

// TestNativeFleetSendsNothingToATargetThatLeaves guards against sends to targets
// that left by their entry while watchers are killed, frozen or turned away.
func TestNativeFleetSendsNothingToATargetThatLeaves(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.sendTo(drainWarmup)
	disturbances := []disturbance{mixed, inSeries, mixed, killed, unanswered, frozen, halfAway, turnedAway, cutOff, calm}
	ways := []leaveWay{leaveByState, leaveByRemoval}
	for i := range *drainRounds {
		r.round(disturbances[i%len(disturbances)], ways[i%2], ways[(i+1)%2])
	}
	r.check()
}

// TestNativeFleetSendsNothingToARemovedTargetAfterAFailedCall guards against
// removed entries that are taken for a loss of the store.
func TestNativeFleetSendsNothingToARemovedTargetAfterAFailedCall(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.sendTo(drainWarmup)
	for range max(*drainRounds/2, 2) {
		r.round(failedCall, leaveByRemoval, leaveByRemoval)
	}
	r.check()
}

// TestNativeFleetTellsInstancesThatTheStoreTurnsAwayWhichTargetsLeave guards
// against sends by instances that hear of targets from their peers only.
func TestNativeFleetTellsInstancesThatTheStoreTurnsAwayWhichTargetsLeave(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.judgeAway = true
	r.sendTo(drainWarmup)
	restore := r.disturb(domainAway)
	for range max(*drainRounds/2, 2) {
		r.round(calm, leaveByState, leaveByRemoval)
	}
	restore()
	r.check()
}

// TestNativeFleetSendsNothingToATargetWhoseAnswersSayItLeaves guards against
// sends to targets that say only in their answers that they leave.
func TestNativeFleetSendsNothingToATargetWhoseAnswersSayItLeaves(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.sendTo(drainWarmup)
	for i := range max(*drainRounds/2, 1) {
		r.round([]disturbance{killed, calm}[i%2], leaveByField, leaveByField)
	}
	r.check()
}

// TestNativeFleetSendsNothingToATargetThatLeavesWhileTheStoreGoesBack guards
// against an older copy of the store that brings back targets that left, or
// hides that others leave later.
func TestNativeFleetSendsNothingToATargetThatLeavesWhileTheStoreGoesBack(t *testing.T) {
	r := newDrainRun(t, *drainInstances)
	r.sendTo(drainWarmup)
	for range *drainEras {
		older := r.memStore.Copy()
		r.addLostWrites()
		r.leave("desk", leaveByState, goneBack)
		r.join("desk")
		r.join("press")
		r.sendTo(time.Second)
		r.goBack(older)
	}
	r.sendTo(drainContactTime + time.Duration(r.rng.Float64()*float64(drainLead)))
	slices.Reverse(r.current["desk"]) // the newest ones had their entries written when the counter was highest
	slices.Reverse(r.current["press"])
	r.leave("desk", leaveByState, calm)
	r.leave("press", leaveByRemoval, calm)
	r.sendTo(drainWatch)
	r.check()
}
