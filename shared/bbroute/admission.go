package bbroute

import (
	"sync"
	"sync/atomic"
	"time"
)

// AdmissionPolicy bounds the requests that wait for a place.
type AdmissionPolicy struct {
	// MaxQueued is how many may wait at once for one service.
	MaxQueued int
	// MaxWait is the longest wait that a request is lined up for.
	MaxWait time.Duration
}

// AdmissionController lets as many requests of a service in as its targets have room for, as
// far as this instance knows. While there is room it takes no lock; only those
// that must wait line up behind one.
type AdmissionController struct {
	inFlight            atomic.Int64 // requests let in
	window              atomic.Int64 // how many may be in
	queued              atomic.Int64 // length of the line
	meanResponseSeconds atomicFloat  // mean seconds of a request

	mu    sync.Mutex // guards line
	queue waitQueue
}

// NewAdmissionController returns a gate without bound.
func NewAdmissionController(policy AdmissionPolicy) *AdmissionController {
	g := &AdmissionController{queue: waitQueue{maxLength: policy.MaxQueued, maxWait: policy.MaxWait}}
	g.window.Store(unlimited)
	return g
}

// InFlight returns how many requests are in.
func (a *AdmissionController) InFlight() int { return int(a.inFlight.Load()) }

// Queued returns how many requests wait.
func (a *AdmissionController) Queued() int { return int(a.queued.Load()) }

// Window returns how many requests may be in.
func (a *AdmissionController) Window() int { return int(a.window.Load()) }

// TryAcquire lets a request in at once if there is room and nobody waits.
func (a *AdmissionController) TryAcquire() bool {
	return a.queued.Load() == 0 && a.acquire()
}

// acquire takes a place if there is one.
func (a *AdmissionController) acquire() bool {
	if a.inFlight.Add(1) <= a.window.Load() {
		return true
	}
	a.inFlight.Add(-1)
	return false
}

// Enqueue lines the request up, or returns a Refusal at once. Ready then tells
// how the wait ended.
func (a *AdmissionController) Enqueue(w *Waiter, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	evicted, err := a.queue.enqueue(w, now, a.drainRate())
	if err != nil {
		return err
	}
	a.reject(evicted)
	a.admitQueued()
	return nil
}

// CancelWait takes a waiter out whose caller left. It returns false when the wait
// had already ended; Ready then holds how.
func (a *AdmissionController) CancelWait(w *Waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.queue.remove(w)
	a.queued.Store(int64(len(a.queue.waiters)))
	return found
}

// Release gives a place back.
func (a *AdmissionController) Release() {
	a.inFlight.Add(-1)
	if a.queued.Load() > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.admitQueued()
	}
}

// SetWindow sets how many requests may be in, and sheds those that can no longer
// be served in time.
func (a *AdmissionController) SetWindow(window float64, now time.Time) {
	a.window.Store(int64(min(window, unlimited)))
	if a.queued.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.queue.evictLate(now, a.drainRate()) {
		a.reject(w)
	}
	a.admitQueued()
}

// admitQueued lets the first ones in while there is room. The length is stored
// before room is looked for, so that an Exit that misses it is seen here.
func (a *AdmissionController) admitQueued() {
	a.queued.Store(int64(len(a.queue.waiters)))
	for len(a.queue.waiters) > 0 && a.acquire() {
		a.queue.dequeue().Ready <- nil
		a.queued.Store(int64(len(a.queue.waiters)))
	}
}

// reject refuses a waiter that has been taken out.
func (a *AdmissionController) reject(w *Waiter) {
	if w != nil {
		w.Ready <- newRefusal(ErrOverload, expectedWait(len(a.queue.waiters), a.drainRate()))
	}
}

// drainRate returns how many requests a second leave the line.
func (a *AdmissionController) drainRate() float64 {
	return max(float64(a.window.Load()), 1) / a.responseSeconds()
}

// RecordDuration notes how long a request took.
func (a *AdmissionController) RecordDuration(duration time.Duration) {
	a.meanResponseSeconds.updateEWMA(duration.Seconds(), responseTimeEWMAWeight)
}

func (a *AdmissionController) responseSeconds() float64 {
	if s := a.meanResponseSeconds.load(); s > 0 {
		return s
	}
	return defaultResponseSeconds
}

// ExpectedDuration returns how long a request of that work runs, in thousandths of a mean
// request.
func (a *AdmissionController) ExpectedDuration(work int64) time.Duration {
	return time.Duration(a.responseSeconds() * float64(work) / meanRequestWork * float64(time.Second))
}

// UpdateWindow sets the gate's window from what is known of the targets, which n
// instances use.
func (g *Group) UpdateWindow(now time.Time, instances int) {
	var window float64
	for i := range g.Local {
		window += g.Local[i].allowance(now, instances)
	}
	if window == 0 {
		window = g.remoteSlots // without the own failure domain all of theirs
	} else {
		window += g.remoteRoom
	}
	g.admission.SetWindow(max(window, 1), now)
}
