package bbe2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	crashInstances = flag.Int("crash-instances", 6, "instances of TestNativeFleetRefusesACrashingRequest")
	crashSeed      = flag.Uint64("crash-seed", 1, "seed of its kills and of the instances that get the request")
)

const (
	crashBody = "crash"
	// crashContactTime is after how long an instance that runs has to know what the
	// fleet knows. More than maxLateCrashSends sends by such instances, later than
	// that after the third crash, break the platform's rule.
	crashContactTime  = 4 * time.Second
	maxLateCrashSends = 3
	crashSendInterval = 150 * time.Millisecond
	// crashHeartbeat is the time between two writes of a target's entry.
	crashHeartbeat = 500 * time.Millisecond
)

// crashRun sends a request that crashes its targets to a fleet of processes.
type crashRun struct {
	*nativeFleet
	rng       *rand.Rand
	startedAt map[*nativeInstance]time.Time
	crashes   int
	thirdAt   time.Time
	late      int
}

// crashCount returns how many times targets have run the request.
func (r *crashRun) crashCount() int {
	n := 0
	for _, target := range r.targets {
		for _, run := range target.Executions() {
			if run.Body == crashBody {
				n++
			}
		}
	}
	return n
}

// send sends the request to random running instances for a while.
func (r *crashRun) send(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(crashSendInterval) {
		inst := r.instances[r.rng.IntN(len(r.instances))]
		since := r.startedAt[inst]
		if since.IsZero() {
			continue
		}
		sentAt := time.Now()
		r.callWith(inst, "/book/1", crashBody)
		crashed := r.crashCount() - r.crashes
		if crashed > 0 && r.crashes >= 3 && sentAt.Sub(r.thirdAt) > crashContactTime && sentAt.Sub(since) > crashContactTime {
			r.late += crashed
		}
		if r.crashes += crashed; r.crashes >= 3 && r.thirdAt.IsZero() {
			r.thirdAt = sentAt
		}
	}
}

// killShare kills a share of the instances, sends the request to the others for
// a while, and starts the killed ones again.
func (r *crashRun) killShare(share float64, down time.Duration) {
	var killed []int
	for _, i := range r.rng.Perm(len(r.instances))[:int(share*float64(len(r.instances)))] {
		r.instances[i].kill()
		delete(r.startedAt, r.instances[i])
		killed = append(killed, i)
	}
	r.send(down)
	for _, i := range killed {
		r.startAndWait(r.instances[i], fmt.Sprint("again-", i))
		r.startedAt[r.instances[i]] = time.Now()
	}
}

// heartbeats writes the entries of the targets that listen until the test ends.
func (f *nativeFleet) heartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(crashHeartbeat):
		}
		for _, target := range f.targets {
			if !target.IsDown() {
				_ = target.Register(f.t.Context(), f.memStore, "ready") // a conflict is repeated
			}
		}
	}
}

// TestNativeFleetRefusesACrashingRequest guards against a request that crashes
// its targets being sent on by instances that were not told of the crashes, that
// started since, or after all of them were killed.
func TestNativeFleetRefusesACrashingRequest(t *testing.T) {
	is := is.New(t)
	domains := make([]string, *crashInstances)
	for i := range domains {
		domains[i] = fmt.Sprint("domain-", i%3)
	}
	r := &crashRun{nativeFleet: newNativeFleet(t, domains...), rng: rand.New(rand.NewPCG(*crashSeed, 0)), startedAt: map[*nativeInstance]time.Time{}}
	for _, inst := range r.instances {
		r.startedAt[inst] = time.Now()
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go r.heartbeats(stop)
	time.Sleep(2 * time.Second)
	r.send(5 * time.Second)
	for range 2 {
		r.killShare(0.6, time.Second)
		r.send(3 * time.Second)
	}
	r.killShare(1, 0)
	r.send(6 * time.Second)
	t.Logf("%d instances: %d crashes, %d of them by instances in touch later than %s after the third", *crashInstances, r.crashes, r.late, crashContactTime)
	is.True(r.crashes >= 2)
	is.True(r.late <= maxLateCrashSends)
	for _, inst := range r.instances {
		status, _ := r.callWith(inst, "/book/1", "innocent")
		is.Equal(status, 200)
	}
}
