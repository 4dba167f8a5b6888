package bbe2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	bbplatformstand "bluebellport.example/platform/stand"
)

var (
	limitInstances = flag.Int("limit-instances", 8, "instances of TestNativeFleetKeepsTheLimitThatATargetNames")
	limitSeed      = flag.Uint64("limit-seed", 1, "seed of its kills and of the instances that get the requests")
)

const (
	// limitNamed is what the targets in need name, in requests a second.
	limitNamed = 3.1
	// limitContactTime is after how long the fleet has to keep a limit, limitWindow
	// the span in which requests are counted.
	limitContactTime = 3 * time.Second
	limitWindow      = 4 * time.Second
	// limitUsedShare is the least share of the limit that is to be used.
	limitUsedShare    = 0.9
	limitSendInterval = 25 * time.Millisecond
	// limitTargetsKnown is how long it takes until all instances know targets that
	// were registered after they started.
	limitTargetsKnown = 2 * time.Second
)

// limitRun sends requests to a fleet of processes with targets that name limits.
type limitRun struct {
	*nativeFleet
	rng     *rand.Rand
	limited []*bbplatformstand.Target
	open    *bbplatformstand.Target
	named   time.Time
	wg      sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	statuses map[int]int
}

func newLimitRun(t *testing.T, n int) *limitRun {
	domains := make([]string, n)
	for i := range domains {
		domains[i] = fmt.Sprint("domain-", i%3)
	}
	r := &limitRun{nativeFleet: newNativeFleet(t, domains...), rng: rand.New(rand.NewPCG(*limitSeed, 0)), statuses: map[int]int{}}
	for i := range 2 {
		r.limited = append(r.limited, r.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("press-", i), Service: "press", Domain: domains[i]}))
	}
	r.open = r.startTarget(bbplatformstand.TargetOptions{ID: "press-2", Service: "press", Domain: domains[2]})
	time.Sleep(limitTargetsKnown)
	return r
}

// send sends requests at a steady rate to the instances in turn of a random
// order, without waiting for the answers.
func (r *limitRun) send(d time.Duration, instances []*nativeInstance) {
	tick := time.NewTicker(limitSendInterval)
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		inst := instances[r.rng.IntN(len(instances))]
		r.wg.Go(func() {
			status, body := r.call(inst, "/press/1")
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.statuses[status]++; status != http.StatusOK {
				r.t.Logf("status %d: %s", status, body)
			}
		})
	}
}

// setLimit makes the targets in need name a limit, in requests a second.
func (r *limitRun) setLimit(limit float64) {
	for _, target := range r.limited {
		target.SetLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	r.named = time.Now()
}

// mostInWindow returns the most arrivals in any limitWindow of a span.
func mostInWindow(arrivals []time.Time, from, to time.Time) int {
	arrivals = slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// check checks the arrivals at the targets in need while a limit held.
func (r *limitRun) check(phase string, limit float64, from time.Time, wantUse bool) {
	r.t.Helper()
	to := time.Now()
	allowed := int(1.5*limit*limitWindow.Seconds()) + 5
	for i, target := range r.limited {
		arrivals := target.Arrivals()
		most, all := mostInWindow(arrivals, from, to), 0
		for _, at := range arrivals {
			if at.After(from) && at.Before(to) {
				all++
			}
		}
		used := float64(all) / (limit * to.Sub(from).Seconds())
		r.t.Logf("%s: %d instances, press-%d, limit %.1f: most in 4 s %d (allowed %d), %.2f of the limit used", phase, len(r.instances), i, limit, most, allowed, used)
		if most > allowed {
			r.t.Errorf("%s: a target that names %.1f a second got %d requests in 4 s, allowed %d", phase, limit, most, allowed)
		}
		if wantUse && used < limitUsedShare {
			r.t.Errorf("%s: only %.2f of the limit was used", phase, used)
		}
	}
}

// killShare kills a share of the instances, sends to the others for a while, and
// starts the killed ones again.
func (r *limitRun) killShare(share float64, down time.Duration) {
	killed := map[*nativeInstance]bool{}
	for _, i := range r.rng.Perm(len(r.instances))[:int(share*float64(len(r.instances)))] {
		r.instances[i].kill()
		killed[r.instances[i]] = true
	}
	alive := slices.DeleteFunc(slices.Clone(r.instances), func(inst *nativeInstance) bool { return killed[inst] })
	r.send(down, alive)
	for i, inst := range r.instances {
		if killed[inst] {
			r.startAndWait(inst, fmt.Sprint("again-", i))
		}
	}
}

// TestNativeFleetKeepsTheLimitThatATargetNames guards against instances that
// send a target more, all together, than it says that it takes.
func TestNativeFleetKeepsTheLimitThatATargetNames(t *testing.T) {
	r := newLimitRun(t, *limitInstances)
	r.send(2*time.Second, r.instances)
	r.setLimit(limitNamed)
	r.send(limitContactTime, r.instances)
	from := time.Now()
	r.send(8*time.Second, r.instances)
	r.check("steady", limitNamed, from, true)

	from = time.Now()
	r.send(8*time.Second, r.instances[:1])
	r.check("all callers at one instance", limitNamed, from, true)

	from = time.Now()
	r.killShare(0.6, 2*time.Second)
	r.send(4*time.Second, r.instances)
	r.check("six in ten killed", limitNamed, from, false)

	r.setLimit(limitNamed / 3)
	r.send(limitContactTime, r.instances)
	from = time.Now()
	r.send(6*time.Second, r.instances)
	r.check("limit fallen", limitNamed/3, from, false)

	before := len(r.limited[0].Arrivals())
	r.limited[0].SetLimit("")
	r.send(4*time.Second, r.instances)
	after := len(r.limited[0].Arrivals())
	r.wg.Wait()
	t.Logf("limit ended: %d requests in 4 s; answers by status: %v", after-before, r.statuses)
	is.New(t).True(after-before > 30) // the target serves its part again
	is.New(t).Equal(r.statuses[503], 0)
}
