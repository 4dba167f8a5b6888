package bbstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxHistoryEvents is the number of events that a Mem keeps for watches from an
// older revision.
const maxHistoryEvents = 10000

// Mem is a Store in memory. It simulates faults, which can be changed while it
// is in use. The zero value is an empty store without faults.
type Mem struct {
	mu              sync.Mutex
	rev             Revision
	keys            map[string]memValue
	leases          map[LeaseID]*memLease
	lastLease       LeaseID
	history         []Event
	compactedTo     Revision      // revision of the newest discarded event
	nextWrite       chan struct{} // closed at the next write
	watchesBroken   chan struct{} // closed to end the open watches with ErrDown
	watchesSilenced chan struct{} // closed to silence the open watches
	admission       memAdmission
}

type memValue struct {
	value []byte
	rev   Revision
	lease LeaseID
}

type memLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewMem returns an empty store without faults.
func NewMem() *Mem { return &Mem{} }

// Get returns the entry, with Rev 0 and no error when the key is absent.
func (m *Mem) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.admitRead(ctx); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry(key), nil
}

// Read is Get. It also returns the revision of the store as of which the entry is the
// newest.
func (m *Mem) Read(ctx context.Context, key string) (Entry, Revision, error) {
	if err := m.admitRead(ctx); err != nil {
		return Entry{}, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry(key), m.rev, nil
}

// List returns the entries under the prefix in key order.
func (m *Mem) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	if err := m.admitRead(ctx); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Entry
	for k := range m.keys {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, m.entry(k))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, m.rev, nil
}

// CAS writes value if the key is at revision prev; a nil value deletes the key.
func (m *Mem) CAS(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Annotatef(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	if value != nil {
		value = append([]byte{}, value...)
	}
	return m.write(ctx, func() (Revision, error) { return m.applyCAS(key, value, prev, lease) })
}

// applyCAS executes a CAS. Deleting an absent key makes no event and no
// revision.
func (m *Mem) applyCAS(key string, value []byte, prev Revision, lease LeaseID) (Revision, error) {
	if m.keys[key].rev != prev {
		return 0, errors.Annotatef(ErrConflict, "%s: at revision %d, expected %d", key, m.keys[key].rev, prev)
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, ErrLeaseNotFound
	}
	if value == nil && prev == 0 {
		return m.rev, nil
	}
	m.putAtNextRevision(key, value, lease)
	return m.rev, nil
}

// putAtNextRevision writes or deletes the key at a new revision.
func (m *Mem) putAtNextRevision(key string, value []byte, lease LeaseID) {
	m.rev++
	m.putAtRevision(key, value, lease)
}

// putAtRevision writes or deletes the key at the current revision and notifies
// the watches.
func (m *Mem) putAtRevision(key string, value []byte, lease LeaseID) {
	if value == nil {
		delete(m.keys, key)
	} else {
		if m.keys == nil {
			m.keys = map[string]memValue{}
		}
		m.keys[key] = memValue{value: value, rev: m.rev, lease: lease}
	}
	m.history = append(m.history, Event{Entry{Key: key, Value: value, Rev: m.rev}})
	if len(m.history) > maxHistoryEvents {
		m.compactedTo = m.history[0].Rev
		m.history = m.history[1:]
	}
	if m.nextWrite != nil {
		close(m.nextWrite)
		m.nextWrite = nil
	}
}

func (m *Mem) entry(key string) Entry {
	v, ok := m.keys[key]
	if !ok {
		return Entry{Key: key}
	}
	return Entry{Key: key, Value: append([]byte{}, v.value...), Rev: v.rev}
}

// Grant creates a lease. The keys written under it are deleted when it expires.
func (m *Mem) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	id, err := m.write(ctx, func() (Revision, error) {
		if m.leases == nil {
			m.leases = map[LeaseID]*memLease{}
		}
		m.lastLease++
		id := m.lastLease
		m.leases[id] = &memLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { m.ExpireLease(id) })}
		return Revision(id), nil
	})
	return LeaseID(id), err
}

// Renew extends a lease to its full duration. It returns ErrLeaseNotFound when
// the lease has expired.
func (m *Mem) Renew(ctx context.Context, id LeaseID) error {
	_, err := m.write(ctx, func() (Revision, error) {
		l := m.leases[id]
		if l == nil || !l.timer.Stop() {
			return 0, ErrLeaseNotFound
		}
		l.timer.Reset(l.ttl)
		return 0, nil
	})
	return err
}

// Revoke ends a lease and deletes its keys.
func (m *Mem) Revoke(ctx context.Context, id LeaseID) error {
	_, err := m.write(ctx, func() (Revision, error) {
		if m.leases[id] == nil {
			return 0, ErrLeaseNotFound
		}
		m.expireLease(id)
		return 0, nil
	})
	return err
}

// ExpireLease ends a lease as if its duration had passed. It does not block.
func (m *Mem) ExpireLease(id LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLease(id)
}

// expireLease is ExpireLease with m.mu held.
func (m *Mem) expireLease(id LeaseID) {
	lease := m.leases[id]
	if lease == nil {
		return
	}
	lease.timer.Stop()
	delete(m.leases, id)
	var keys []string
	for k, v := range m.keys {
		if v.lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		m.putAtNextRevision(k, nil, 0)
	}
}

// Watch calls fn for each change under prefix after revision from.
func (m *Mem) Watch(ctx context.Context, prefix string, from Revision, fn func(Event) error) error {
	return m.watch(ctx, prefix, from, 0, func(e *Event) error { return fn(*e) })
}

// watch is Watch with progress notifications: it calls fn with nil whenever no
// event came for the time progress; 0 turns them off.
func (m *Mem) watch(ctx context.Context, prefix string, from Revision, progress time.Duration, fn func(*Event) error) error {
	broken, silenced, err := m.openWatch(ctx)
	if err != nil {
		return err
	}
	defer m.closeWatch()
	for {
		events, changed, err := m.eventsAfter(prefix, from)
		if err != nil {
			return err
		}
		for i := range events {
			if err := watchEndError(ctx, broken, silenced); err != nil {
				return err
			}
			if err := fn(&events[i]); err != nil {
				return err
			}
			from = events[i].Rev
		}
		var progressTimer <-chan time.Time
		if progress > 0 {
			progressTimer = time.After(progress)
		}
		select {
		case <-changed:
		case <-progressTimer:
			err = fn(nil)
		case <-broken:
		case <-silenced:
		case <-ctx.Done():
		}
		if err == nil {
			err = watchEndError(ctx, broken, silenced)
		}
		if err != nil {
			return err
		}
	}
}

// watchEndError returns the error with which a watch must end, or nil. For a
// silenced watch it blocks until ctx ends.
func watchEndError(ctx context.Context, broken, silenced <-chan struct{}) error {
	select {
	case <-silenced:
		<-ctx.Done()
		return ctx.Err()
	case <-broken:
		return ErrDown
	case <-ctx.Done():
		return ctx.Err()
	default:
		return nil
	}
}

// eventsAfter returns the events under prefix after a revision, and a channel
// that is closed at the next write. It returns ErrCompacted when events after
// that revision, under any prefix, have been discarded, or the store does not
// have that revision.
func (m *Mem) eventsAfter(prefix string, from Revision) ([]Event, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from < m.compactedTo || !m.has(from) {
		return nil, nil, errors.Annotatef(ErrCompacted, "watch from revision %d", from)
	}
	if m.nextWrite == nil {
		m.nextWrite = make(chan struct{})
	}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Rev > from })
	var events []Event
	for _, e := range m.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, m.nextWrite, nil
}

// Compact discards all events so far. A watch from an older revision then fails
// with ErrCompacted.
func (m *Mem) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedTo = m.rev
	m.history = nil
}
