package bbstore

import (
	"maps"
	"slices"
	"time"
)

// MemCopy is a copy of the data of a Mem at one time.
type MemCopy struct {
	rev         Revision
	keys        map[string]memValue
	leases      map[LeaseID]time.Duration // id -> duration
	lastLease   LeaseID
	history     []Event
	compactedTo Revision
}

// Copy returns a copy of the data.
func (m *Mem) Copy() *MemCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &MemCopy{rev: m.rev, keys: maps.Clone(m.keys), leases: map[LeaseID]time.Duration{}, lastLease: m.lastLease, history: slices.Clone(m.history), compactedTo: m.compactedTo}
	for id, lease := range m.leases {
		c.leases[id] = lease.ttl
	}
	return c
}

// GoBack replaces the data by an older copy and begins a new era. What was written
// since the copy is gone, leases too; the leases of the copy run anew. Open
// watches end with ErrDown. A watch from a revision that the copy does not have
// fails with ErrCompacted, and one of an older era too.
func (m *Mem) GoBack(c *MemCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.rev.Era() + 1
	anew := func(r Revision) Revision { return NewRevision(era, r.Counter()) }
	m.rev, m.compactedTo, m.lastLease = anew(c.rev), anew(c.compactedTo), c.lastLease
	if m.rev == 0 {
		m.rev = NewRevision(era, 1)
	}
	m.keys = make(map[string]memValue, len(c.keys))
	for k, v := range c.keys {
		v.rev = anew(v.rev)
		m.keys[k] = v
	}
	m.history = slices.Clone(c.history)
	for i := range m.history {
		m.history[i].Rev = anew(m.history[i].Rev)
	}
	for _, lease := range m.leases {
		lease.timer.Stop()
	}
	m.leases = make(map[LeaseID]*memLease, len(c.leases))
	for id, ttl := range c.leases {
		m.leases[id] = &memLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { m.ExpireLease(id) })}
	}
	if m.watchesBroken != nil {
		close(m.watchesBroken)
		m.watchesBroken = nil
	}
}

// Era returns how often the store has gone back.
func (m *Mem) Era() Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev.Era()
}

// has reports whether the store has a revision, or had it in this era. The caller
// holds the lock.
func (m *Mem) has(r Revision) bool {
	return r == 0 || r.Era() == m.rev.Era() && r <= m.rev
}
