package bbstop

import (
	"sync"
	"time"
)

// Pulse tells since when an order to stop may have been there that is noticed now.
// In a process that stands still it takes effect only as the process goes on, while
// the time to the kill runs. The zero value has seen nothing.
type Pulse struct {
	mu sync.Mutex
	// last is when the process last ran, before the time that it ran before that.
	last, before time.Time
}

// Beat is called each PulseInterval.
func (p *Pulse) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.last = p.last, now
}

// OrderedAt returns when an order to stop that is noticed now may have been given at
// the earliest: at the last beat that left enough time to notice it, but not so early
// that less than half of the grace period is left.
func (p *Pulse) OrderedAt(now time.Time, grace time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.last
	if now.Sub(at) < noticeTime {
		at = p.before
	}
	if at.IsZero() {
		return now
	}
	if earliest := now.Add(-grace / 2); at.Before(earliest) {
		return earliest
	}
	return at
}

// Unsettled returns how long it takes until an order to stop would have been noticed
// that was given while the process stood still, 0 if it did not, or only for so short
// a time that what is received now may be taken all the same.
func (p *Pulse) Unsettled(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.last.IsZero():
		return 0
	case now.Sub(p.last) > uncertainMargin: // it has just gone on, and has not beaten yet
		return noticeTime
	case !p.before.IsZero() && p.last.Sub(p.before) > uncertainMargin:
		return max(noticeTime-now.Sub(p.last), 0)
	}
	return 0
}
