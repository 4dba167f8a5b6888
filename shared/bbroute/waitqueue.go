package bbroute

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Waiter is a request queued for admission.
type Waiter struct {
	Priority bbunit.Priority
	Deadline time.Time
	// ExpectedDuration is how long the request is expected to run.
	ExpectedDuration time.Duration
	// Ready receives nil once the request is admitted, or a Refusal. It must
	// have a buffer of 1.
	Ready chan error

	enqueuedAt time.Time
}

// missesDeadline reports whether the request cannot finish before its deadline
// after the given wait.
func (w *Waiter) missesDeadline(now time.Time, wait time.Duration) bool {
	return !w.Deadline.IsZero() && now.Add(wait+time.Duration(float64(w.ExpectedDuration)*deadlineMargin)).After(w.Deadline)
}

// waitQueue is a bounded priority queue, first in, first out within one
// priority. It is guarded by the AdmissionController's lock.
type waitQueue struct {
	waiters   []*Waiter
	maxLength int
	maxWait   time.Duration
}

// position returns the index at which a new waiter of that priority belongs.
func (q *waitQueue) position(p bbunit.Priority) int {
	i, _ := slices.BinarySearchFunc(q.waiters, p, func(w *Waiter, p bbunit.Priority) int {
		if w.Priority >= p {
			return -1
		}
		return 1
	})
	return i
}

// expectedWait returns how long the waiter at the given position waits when
// drainRate requests a second leave the queue.
func expectedWait(position int, drainRate float64) time.Duration {
	return time.Duration(float64(position+1) / drainRate * float64(time.Second))
}

// enqueue inserts w, or returns a Refusal. When the queue is full, it evicts
// and returns the last waiter, if that one has a lower priority.
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

// dequeue removes and returns the first waiter, nil when the queue is empty.
func (q *waitQueue) dequeue() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// evictLate removes and returns the waiters that would miss their deadline or
// wait more than twice maxWait in all. Low priorities are last in the queue, so
// they go first.
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

// remove removes w and reports whether it was queued.
func (q *waitQueue) remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
