package bbstop

import (
	"sync"
	"time"
)

// Pulse finds out whether the process was frozen as the order to stop came. The
// order then takes effect only as the process goes on, while the time to the kill
// runs. The zero value has seen nothing.
type Pulse struct {
	mu sync.Mutex
	// last is when the process last ran. From frozenAt to thawedAt it did not.
	last, frozenAt, thawedAt time.Time
}

// Beat is called each PulseInterval.
func (p *Pulse) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > frozenAfter {
		p.frozenAt, p.thawedAt = p.last, now
	}
	p.last = now
}

// OrderedAt returns when an order to stop may have been given at the earliest that
// took effect now: now, or the begin of a freeze that has just ended, but not so
// early that less than half of the grace period is left.
func (p *Pulse) OrderedAt(now time.Time, grace time.Duration) time.Time {
	p.Beat(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.thawedAt.IsZero() || now.Sub(p.thawedAt) > thawWindow {
		return now
	}
	if earliest := now.Add(-grace / 2); p.frozenAt.Before(earliest) {
		return earliest
	}
	return p.frozenAt
}
