// Package bbreach decides over which way an instance connects to a target: its own path,
// or a peer that carries the connection. It reads no clock and does no I/O.
//
// An own path counts as lost once a connection over it has failed that a peer could open;
// what a peer cannot open either is a matter of the target. Where several paths are lost
// and nothing comes over any other, all are; so they are where half of the targets answer
// nobody.
package bbreach

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

//go:generate enumer -type=Event -trimprefix=Event -transform=kebab -output=event_enumer.go

const (
	// quietTime is how long nothing comes over any own path, though requests were sent to
	// quietTargets, before the paths are looked at. One target alone may just be slow.
	quietTime    = 200 * time.Millisecond
	quietTargets = 2
	// lookInterval is the least time between two looks at the path to one target.
	lookInterval = 500 * time.Millisecond
	// probeInterval is the time between two rounds of looks while all paths are lost; it
	// bounds how late their return is noticed.
	probeInterval = 250 * time.Millisecond
	// maxLooks is how many targets are looked at at once, maxProbes the same while all
	// paths are lost.
	maxLooks  = 4
	maxProbes = 2
	// cutTargets is how many lost paths in silence show that all are lost.
	cutTargets = 2
	// retention is how long a path without requests is remembered.
	retention = time.Minute
)

// Event is what a look has changed.
type Event int

// Events.
const (
	// EventNone means that nothing changed.
	EventNone Event = iota
	// EventLost means that the path to one target is lost.
	EventLost
	// EventCut means that all paths are lost.
	EventCut
	// EventBack means that the path to the target works again.
	EventBack
	// EventCutEnded means that the path to the target works again after all were lost.
	EventCutEnded
)

// path is what is known of this instance's own path to one address.
type path struct {
	// waitingSince is when the first request was sent since something was heard, zero if
	// none was; patience is how long it may go without an answer.
	waitingSince time.Time
	patience     time.Duration
	lookedAt     time.Time
	usedAt       time.Time
	// lost means that a peer could connect and this instance could not, silent that
	// neither could.
	lost, silent bool
}

// Tracker keeps which of this instance's paths to targets work. The zero value knows of
// none. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	paths map[string]*path // by address
	// waitingSince is when the first request was sent since something was heard over any
	// path, zero if none was. heardAt is when that was.
	waitingSince, heardAt time.Time
	cut                   bool
	probedAt              time.Time // while cut
	lost, silent          int       // paths
}

// Sent records that a request was sent over an own path. It may go without an answer for
// patience.
func (t *Tracker) Sent(address string, patience time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address, now)
	if p.waitingSince.IsZero() {
		p.waitingSince, p.patience = now, patience
	}
	if t.waitingSince.IsZero() {
		t.waitingSince = now
	}
}

// Heard records that something came over an own path.
func (t *Tracker) Heard(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address, now)
	p.waitingSince = time.Time{}
	t.waitingSince, t.heardAt = time.Time{}, now
	t.set(p, p.lost, false)
	t.cut = false
}

// path returns what is known of the path to an address. The caller holds the lock.
func (t *Tracker) path(address string, now time.Time) *path {
	p := t.paths[address]
	if p == nil {
		if t.paths == nil {
			t.paths = map[string]*path{}
		}
		p = &path{}
		t.paths[address] = p
	}
	p.usedAt = now
	return p
}

// UsesPeer reports whether new connections to an address have to go through a peer.
func (t *Tracker) UsesPeer(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return t.cut || p != nil && p.lost
}

// IsCut reports whether all paths are lost.
func (t *Tracker) IsCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// Lost returns to how many addresses the path is lost by itself.
func (t *Tracker) Lost() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Due returns the addresses to which a connection over the own path is to be tried now:
// where an answer is overdue, and where the path is lost and may be back. Looked takes what
// came of it.
func (t *Tracker) Due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		if now.Sub(t.probedAt) < probeInterval {
			return nil
		}
		t.probedAt = now
	}
	quiet := !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= quietTime && t.waiting() >= quietTargets
	type candidate struct {
		address string
		*path
	}
	var due []candidate
	for address, p := range t.paths {
		if now.Sub(p.usedAt) > retention {
			t.set(p, false, false)
			delete(t.paths, address)
			continue
		}
		if t.isDue(p, quiet, now) {
			due = append(due, candidate{address, p})
		}
	}
	slices.SortFunc(due, func(a, b candidate) int { // those not looked at for longest first
		return cmp.Or(a.lookedAt.Compare(b.lookedAt), cmp.Compare(a.address, b.address))
	})
	limit := maxLooks
	if t.cut {
		limit = maxProbes
	}
	due = due[:min(len(due), limit)]
	addresses := make([]string, len(due))
	for i, c := range due {
		c.lookedAt = now
		addresses[i] = c.address
	}
	return addresses
}

// waiting returns from how many targets an answer is awaited. The caller holds the lock.
func (t *Tracker) waiting() (n int) {
	for _, p := range t.paths {
		n += count(!p.waitingSince.IsZero())
	}
	return n
}

// isDue reports whether a path is to be looked at. The caller holds the lock.
func (t *Tracker) isDue(p *path, quiet bool, now time.Time) bool {
	if t.cut {
		return true
	}
	overdue := !p.waitingSince.IsZero() && (quiet || now.Sub(p.waitingSince) >= p.patience)
	return (p.lost || overdue) && now.Sub(p.lookedAt) >= lookInterval
}

// Looked records what a try to connect to an address has shown: whether the own path was
// able to, and if it was not, whether a peer was.
func (t *Tracker) Looked(address string, own, peer bool, now time.Time) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address, now)
	if own {
		wasCut, wasLost := t.cut, p.lost
		t.cut, t.heardAt = false, now
		t.waitingSince, p.waitingSince = time.Time{}, time.Time{}
		t.set(p, false, false)
		if !wasCut && !wasLost {
			return EventNone
		}
		for _, other := range t.paths { // the others are looked at at once
			other.lookedAt = time.Time{}
		}
		if wasCut {
			return EventCutEnded
		}
		return EventBack
	}
	if t.cut || p.lost {
		return EventNone
	}
	t.set(p, peer, !peer)
	p.lookedAt = now
	switch quiet := now.Sub(t.heardAt) >= quietTime; {
	case quiet && (t.lost >= min(cutTargets, len(t.paths)) || t.lost+t.silent >= max(cutTargets, (len(t.paths)+1)/2)):
		t.cut = true
		return EventCut
	case peer:
		return EventLost
	}
	return EventNone
}

// set sets whether a path is lost, and whether its target answers nobody. The caller holds
// the lock.
func (t *Tracker) set(p *path, lost, silent bool) {
	t.lost += count(lost) - count(p.lost)
	t.silent += count(silent) - count(p.silent)
	p.lost, p.silent = lost, silent
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
