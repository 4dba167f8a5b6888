package bbroute

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Waiter is a request that waits for a place.
type Waiter struct {
	Priority bbunit.Priority
	Deadline time.Time
	// ExpectedDuration is how long the request is expected to run.
	ExpectedDuration time.Duration
	// Ready gets nil once the request may go on, or a Refusal; it must have
	// room for one.
	Ready chan error

	since time.Time
}

// hopeless tells that the request cannot end in time if it waits that long.
func (w *Waiter) hopeless(now time.Time, wait time.Duration) bool {
	return !w.Deadline.IsZero() && now.Add(wait+time.Duration(float64(w.ExpectedDuration)*serviceMargin)).After(w.Deadline)
}

// line is a bounded queue, the highest priority first and the oldest first
// within one priority. It is a plain state machine; the gate guards it.
type line struct {
	waiters []*Waiter
	most    int
	longest time.Duration
}

// place returns how many go before a new waiter of that priority.
func (l *line) place(p bbunit.Priority) int {
	i, _ := slices.BinarySearchFunc(l.waiters, p, func(w *Waiter, p bbunit.Priority) int {
		if w.Priority >= p {
			return -1
		}
		return 1
	})
	return i
}

// wait returns how long the waiter at that place waits when rate requests a
// second leave the line.
func wait(place int, rate float64) time.Duration {
	return time.Duration(float64(place+1) / rate * float64(time.Second))
}

// join lines w up, or returns why not. It also returns the waiter that had to
// make room, if any.
func (l *line) join(w *Waiter, now time.Time, rate float64) (*Waiter, error) {
	i := l.place(w.Priority)
	expect := wait(i, rate)
	if expect > l.longest || w.hopeless(now, expect) {
		return nil, refuse(ErrOverload, expect)
	}
	var out *Waiter
	if len(l.waiters) >= l.most {
		if i == len(l.waiters) {
			return nil, refuse(ErrOverload, expect)
		}
		out = l.waiters[len(l.waiters)-1]
		l.waiters = l.waiters[:len(l.waiters)-1]
	}
	w.since = now
	l.waiters = slices.Insert(l.waiters, i, w)
	return out, nil
}

// next takes the first waiter out of the line, nil when it is empty.
func (l *line) next() *Waiter {
	if len(l.waiters) == 0 {
		return nil
	}
	w := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return w
}

// shed takes out all that can no longer be served in time, lowest priorities
// being the last in line and so the first to go.
func (l *line) shed(now time.Time, rate float64) []*Waiter {
	var out []*Waiter
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		expect := wait(len(kept), rate)
		if w.hopeless(now, expect) || now.Add(expect).Sub(w.since) > 2*l.longest {
			out = append(out, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
	return out
}

// remove takes w out and tells whether it was there.
func (l *line) remove(w *Waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}
