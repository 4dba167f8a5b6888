package bbreach

import (
	"sync"
	"time"
)

const (
	// maxLateness is how late a beat may be of a process that gets the processor in time.
	maxLateness = 80 * time.Millisecond
	// lateMemory is how long a process counts as late after a beat that was.
	lateMemory = 300 * time.Millisecond
)

// Pulse tells whether this process gets the processor in time. While it does not, a target
// that seems not to answer says nothing of the path, and further work makes it worse. The
// zero value has not begun. It is safe for concurrent use.
type Pulse struct {
	mu             sync.Mutex
	dueAt, lateAt  time.Time
	begun, wasLate bool
}

// Beat records a beat, and that the next one is due after interval.
func (p *Pulse) Beat(now time.Time, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now)
	p.begun, p.dueAt = true, now.Add(interval)
}

// IsLate reports whether a beat was late lately, or is now.
func (p *Pulse) IsLate(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now)
	return p.wasLate && now.Sub(p.lateAt) < lateMemory
}

// note records that the beat that is due has not come. The caller holds the lock.
func (p *Pulse) note(now time.Time) {
	if p.begun && now.Sub(p.dueAt) > maxLateness {
		p.wasLate, p.lateAt = true, now
	}
}
