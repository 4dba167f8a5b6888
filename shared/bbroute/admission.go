package bbroute

import (
	"sync"
	"sync/atomic"
	"time"
)

// AdmissionPolicy bounds the queue of an AdmissionController.
type AdmissionPolicy struct {
	// MaxQueued is the most requests of one service that may be queued.
	MaxQueued int
	// MaxWait is the longest expected wait with which a request is queued.
	MaxWait time.Duration
}

// AdmissionController admits as many requests of a service as its targets have
// room for, by this instance's estimate, and queues the others. Admission takes
// no lock while there is room; queueing does.
type AdmissionController struct {
	inFlight            atomic.Int64 // requests admitted and not yet released
	window              atomic.Int64 // the most requests in flight
	queued              atomic.Int64 // length of the queue
	meanResponseSeconds atomicFloat

	mu    sync.Mutex // guards queue
	queue waitQueue
}

// NewAdmissionController returns a controller with an unlimited window.
func NewAdmissionController(policy AdmissionPolicy) *AdmissionController {
	a := &AdmissionController{queue: waitQueue{maxLength: policy.MaxQueued, maxWait: policy.MaxWait}}
	a.window.Store(unlimited)
	return a
}

// InFlight returns how many requests are admitted and not yet released.
func (a *AdmissionController) InFlight() int { return int(a.inFlight.Load()) }

// Queued returns how many requests are queued.
func (a *AdmissionController) Queued() int { return int(a.queued.Load()) }

// Window returns how many requests may be in flight.
func (a *AdmissionController) Window() int { return int(a.window.Load()) }

// TryAcquire admits a request if there is room and the queue is empty.
func (a *AdmissionController) TryAcquire() bool {
	return a.queued.Load() == 0 && a.acquire()
}

// acquire takes one unit of the window if there is one.
func (a *AdmissionController) acquire() bool {
	if a.inFlight.Add(1) <= a.window.Load() {
		return true
	}
	a.inFlight.Add(-1)
	return false
}

// Enqueue adds the request to the queue, or returns a Refusal. The result of
// the wait is sent to w.Ready.
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

// CancelWait removes a waiter whose caller has left. It returns false when the
// wait has already ended; w.Ready then holds the result.
func (a *AdmissionController) CancelWait(w *Waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.queue.remove(w)
	a.queued.Store(int64(len(a.queue.waiters)))
	return found
}

// Release ends an admitted request.
func (a *AdmissionController) Release() {
	a.inFlight.Add(-1)
	if a.queued.Load() > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.admitQueued()
	}
}

// SetWindow sets how many requests may be in flight, and refuses queued
// requests that can no longer be served in time.
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

// admitQueued admits waiters in order while there is room. It stores the queue
// length before it looks for room: a concurrent Release that still reads a
// length of 0 has then already made its room visible here.
func (a *AdmissionController) admitQueued() {
	a.queued.Store(int64(len(a.queue.waiters)))
	for len(a.queue.waiters) > 0 && a.acquire() {
		a.queue.dequeue().Ready <- nil
		a.queued.Store(int64(len(a.queue.waiters)))
	}
}

// reject refuses a waiter that has been removed from the queue; w may be nil.
func (a *AdmissionController) reject(w *Waiter) {
	if w != nil {
		w.Ready <- newRefusal(ErrOverload, expectedWait(len(a.queue.waiters), a.drainRate()))
	}
}

// drainRate estimates how many requests a second leave the queue.
func (a *AdmissionController) drainRate() float64 {
	return max(float64(a.window.Load()), 1) / a.responseSeconds()
}

// RecordDuration adds the duration of a completed request to the mean response
// time.
func (a *AdmissionController) RecordDuration(duration time.Duration) {
	a.meanResponseSeconds.updateEWMA(duration.Seconds(), responseTimeEWMAWeight)
}

func (a *AdmissionController) responseSeconds() float64 {
	if s := a.meanResponseSeconds.load(); s > 0 {
		return s
	}
	return defaultResponseSeconds
}

// ExpectedDuration returns how long a request of the given work is expected to
// run. Work is in thousandths of a mean request.
func (a *AdmissionController) ExpectedDuration(work int64) time.Duration {
	return time.Duration(a.responseSeconds() * float64(work) / meanRequestWork * float64(time.Second))
}

// UpdateWindow sets the admission window from the state of the targets. The
// targets are shared by the given number of instances.
func (g *Group) UpdateWindow(now time.Time, instances int) {
	var window float64
	for i := range g.Local {
		window += g.Local[i].allowance(now, instances)
	}
	if window == 0 {
		window = g.remoteSlots // all remote slots while no local target is usable
	} else {
		window += g.remoteRoom
	}
	g.admission.SetWindow(max(window, 1), now)
}
