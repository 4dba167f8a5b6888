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
	open    atomic.Int64 // requests let in
	window  atomic.Int64 // how many may be in
	waiting atomic.Int64 // length of the line
	pace    gauge        // mean seconds of a request

	mu   sync.Mutex // guards line
	line line
}

// NewAdmissionController returns a gate without bound.
func NewAdmissionController(rule AdmissionPolicy) *AdmissionController {
	g := &AdmissionController{line: line{most: rule.MaxQueued, longest: rule.MaxWait}}
	g.window.Store(unlimited)
	return g
}

// InFlight returns how many requests are in.
func (g *AdmissionController) InFlight() int { return int(g.open.Load()) }

// Queued returns how many requests wait.
func (g *AdmissionController) Queued() int { return int(g.waiting.Load()) }

// Window returns how many requests may be in.
func (g *AdmissionController) Window() int { return int(g.window.Load()) }

// TryAcquire lets a request in at once if there is room and nobody waits.
func (g *AdmissionController) TryAcquire() bool {
	return g.waiting.Load() == 0 && g.take()
}

// take takes a place if there is one.
func (g *AdmissionController) take() bool {
	if g.open.Add(1) <= g.window.Load() {
		return true
	}
	g.open.Add(-1)
	return false
}

// Enqueue lines the request up, or returns a Refusal at once. Ready then tells
// how the wait ended.
func (g *AdmissionController) Enqueue(w *Waiter, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := g.line.join(w, now, g.rate())
	if err != nil {
		return err
	}
	g.drop(out)
	g.advance()
	return nil
}

// CancelWait takes a waiter out whose caller left. It returns false when the wait
// had already ended; Ready then holds how.
func (g *AdmissionController) CancelWait(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := g.line.remove(w)
	g.waiting.Store(int64(len(g.line.waiters)))
	return found
}

// Release gives a place back.
func (g *AdmissionController) Release() {
	g.open.Add(-1)
	if g.waiting.Load() > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.advance()
	}
}

// SetWindow sets how many requests may be in, and sheds those that can no longer
// be served in time.
func (g *AdmissionController) SetWindow(window float64, now time.Time) {
	g.window.Store(int64(min(window, unlimited)))
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.line.shed(now, g.rate()) {
		g.drop(w)
	}
	g.advance()
}

// advance lets the first ones in while there is room. The length is stored
// before room is looked for, so that an Exit that misses it is seen here.
func (g *AdmissionController) advance() {
	g.waiting.Store(int64(len(g.line.waiters)))
	for len(g.line.waiters) > 0 && g.take() {
		g.line.next().Ready <- nil
		g.waiting.Store(int64(len(g.line.waiters)))
	}
}

// drop refuses a waiter that has been taken out.
func (g *AdmissionController) drop(w *Waiter) {
	if w != nil {
		w.Ready <- refuse(ErrOverload, wait(len(g.line.waiters), g.rate()))
	}
}

// rate returns how many requests a second leave the line.
func (g *AdmissionController) rate() float64 {
	return max(float64(g.window.Load()), 1) / g.paceSeconds()
}

// RecordDuration notes how long a request took.
func (g *AdmissionController) RecordDuration(total time.Duration) {
	g.pace.average(total.Seconds(), gatePaceWeight)
}

func (g *AdmissionController) paceSeconds() float64 {
	if s := g.pace.load(); s > 0 {
		return s
	}
	return defaultPace
}

// ExpectedDuration returns how long a request of that work runs, in thousandths of a mean
// request.
func (g *AdmissionController) ExpectedDuration(work int64) time.Duration {
	return time.Duration(g.paceSeconds() * float64(work) / workUnit * float64(time.Second))
}

// UpdateWindow sets the gate's window from what is known of the targets, which n
// instances use.
func (g *Group) UpdateWindow(now time.Time, n int) {
	var window float64
	for i := range g.Local {
		window += g.Local[i].allowance(now, n)
	}
	if window == 0 {
		window = g.farSlots // without the own failure domain all of theirs
	} else {
		window += g.farRoom
	}
	g.gate.SetWindow(max(window, 1), now)
}
