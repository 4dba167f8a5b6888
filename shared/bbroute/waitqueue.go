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

	enqueuedAt time.Time
}

// missesDeadline tells that the request cannot end in time if it waits that long.
func (w *Waiter) missesDeadline(now time.Time, wait time.Duration) bool {
	return !w.Deadline.IsZero() && now.Add(wait+time.Duration(float64(w.ExpectedDuration)*deadlineMargin)).After(w.Deadline)
}

// waitQueue is a bounded queue, the highest priority first and the oldest first
// within one priority. It is a plain state machine; the gate guards it.
type waitQueue struct {
	waiters   []*Waiter
	maxLength int
	maxWait   time.Duration
}

// position returns how many go before a new waiter of that priority.
func (q *waitQueue) position(p bbunit.Priority) int {
	i, _ := slices.BinarySearchFunc(q.waiters, p, func(w *Waiter, p bbunit.Priority) int {
		if w.Priority >= p {
			return -1
		}
		return 1
	})
	return i
}

// expectedWait returns how long the waiter at that place waits when rate requests a
// second leave the line.
func expectedWait(position int, drainRate float64) time.Duration {
	return time.Duration(float64(position+1) / drainRate * float64(time.Second))
}

// enqueue lines w up, or returns why not. It also returns the waiter that had to
// make room, if any.
func (q *waitQueue) enqueue(w *Waiter, now time.Time, drainRate float64) (*Waiter, error) {
	i := q.position(w.Priority)
	expected := expectedWait(i, drainRate)
	if expected > q.maxWait || w.missesDeadline(now, expected) {
		return nil, newRefusal(ErrOverload, expected)
	}
	var evicted *Waiter
	if len(q.waiters) >= q.maxLength {
		if i == len(q.waiters) {
			return nil, newRefusal(ErrOverload, expected)
		}
		evicted = q.waiters[len(q.waiters)-1]
		q.waiters = q.waiters[:len(q.waiters)-1]
	}
	w.enqueuedAt = now
	q.waiters = slices.Insert(q.waiters, i, w)
	return evicted, nil
}

// dequeue takes the first waiter out of the line, nil when it is empty.
func (q *waitQueue) dequeue() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// evictLate takes out all that can no longer be served in time, lowest priorities
// being the last in line and so the first to go.
func (q *waitQueue) evictLate(now time.Time, drainRate float64) []*Waiter {
	var evicted []*Waiter
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		expected := expectedWait(len(kept), drainRate)
		if w.missesDeadline(now, expected) || now.Add(expected).Sub(w.enqueuedAt) > 2*q.maxWait {
			evicted = append(evicted, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return evicted
}

// remove takes w out and tells whether it was there.
func (q *waitQueue) remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
