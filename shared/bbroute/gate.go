package bbroute

import (
	"sync"
	"sync/atomic"
	"time"
)

// GateRule bounds the requests that wait for a place.
type GateRule struct {
	// Most is how many may wait at once for one service.
	Most int
	// Longest is the longest wait that a request is lined up for.
	Longest time.Duration
}

// Gate lets as many requests of a service in as its targets have room for, as
// far as this instance knows. While there is room it takes no lock; only those
// that must wait line up behind one.
type Gate struct {
	open    atomic.Int64 // requests let in
	window  atomic.Int64 // how many may be in
	waiting atomic.Int64 // length of the line
	pace    gauge        // mean seconds of a request

	mu   sync.Mutex // guards line
	line line
}

// NewGate returns a gate without bound.
func NewGate(rule GateRule) *Gate {
	g := &Gate{line: line{most: rule.Most, longest: rule.Longest}}
	g.window.Store(unlimited)
	return g
}

// Open returns how many requests are in.
func (g *Gate) Open() int { return int(g.open.Load()) }

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }

// Window returns how many requests may be in.
func (g *Gate) Window() int { return int(g.window.Load()) }

// Enter lets a request in at once if there is room and nobody waits.
func (g *Gate) Enter() bool {
	return g.waiting.Load() == 0 && g.take()
}

// take takes a place if there is one.
func (g *Gate) take() bool {
	if g.open.Add(1) <= g.window.Load() {
		return true
	}
	g.open.Add(-1)
	return false
}

// Join lines the request up, or returns a Refusal at once. Ready then tells
// how the wait ended.
func (g *Gate) Join(w *Waiter, now time.Time) error {
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

// Leave takes a waiter out whose caller left. It returns false when the wait
// had already ended; Ready then holds how.
func (g *Gate) Leave(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := g.line.remove(w)
	g.waiting.Store(int64(len(g.line.waiters)))
	return found
}

// Exit gives a place back.
func (g *Gate) Exit() {
	g.open.Add(-1)
	if g.waiting.Load() > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.advance()
	}
}

// Resize sets how many requests may be in, and sheds those that can no longer
// be served in time.
func (g *Gate) Resize(window float64, now time.Time) {
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
func (g *Gate) advance() {
	g.waiting.Store(int64(len(g.line.waiters)))
	for len(g.line.waiters) > 0 && g.take() {
		g.line.next().Ready <- nil
		g.waiting.Store(int64(len(g.line.waiters)))
	}
}

// drop refuses a waiter that has been taken out.
func (g *Gate) drop(w *Waiter) {
	if w != nil {
		w.Ready <- refuse(ErrOverload, wait(len(g.line.waiters), g.rate()))
	}
}

// rate returns how many requests a second leave the line.
func (g *Gate) rate() float64 {
	return max(float64(g.window.Load()), 1) / g.paceSeconds()
}

// Took notes how long a request took.
func (g *Gate) Took(total time.Duration) {
	g.pace.average(total.Seconds(), gatePaceWeight)
}

func (g *Gate) paceSeconds() float64 {
	if s := g.pace.load(); s > 0 {
		return s
	}
	return defaultPace
}

// Expect returns how long a request of that work runs, in thousandths of a mean
// request.
func (g *Gate) Expect(work int64) time.Duration {
	return time.Duration(g.paceSeconds() * float64(work) / workUnit * float64(time.Second))
}

// Refresh sets the gate's window from what is known of the targets, which n
// instances use.
func (g *Group) Refresh(now time.Time, n int) {
	var window float64
	for i := range g.Near {
		window += g.Near[i].allowance(now, n)
	}
	if window == 0 {
		window = g.farSlots // without the own failure domain all of theirs
	} else {
		window += g.farRoom
	}
	g.gate.Resize(max(window, 1), now)
}
