package bbstore

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Swap is a compare-and-swap of several keys: it writes all entries at one
// revision if every key is at the revision of its entry, and none otherwise. A
// nil value deletes the key. With ErrConflict it returns the current entries.
func (m *Mem) Swap(ctx context.Context, entries []Entry, lease LeaseID) (Revision, []Entry, error) {
	copies := make([]Entry, len(entries))
	for i, e := range entries {
		if len(e.Value) > MaxValueBytes {
			return 0, nil, errors.Annotatef(ErrTooLarge, "%s: %d bytes", e.Key, len(e.Value))
		}
		copies[i] = e
		if e.Value != nil {
			copies[i].Value = append([]byte{}, e.Value...)
		}
	}
	rev, err := m.write(ctx, func() (Revision, error) { return m.applySwap(copies, lease) })
	if !errors.Is(err, ErrConflict) {
		return rev, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := make([]Entry, len(entries))
	for i, e := range entries {
		current[i] = m.entry(e.Key)
	}
	return 0, current, err
}

// applySwap executes a Swap. Unlike applyCAS it makes an event and a revision
// also for deleting an absent key.
func (m *Mem) applySwap(entries []Entry, lease LeaseID) (Revision, error) {
	for _, e := range entries {
		if current := m.keys[e.Key].rev; current != e.Rev {
			return 0, errors.Annotatef(ErrConflict, "%s: at revision %d, expected %d", e.Key, current, e.Rev)
		}
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, ErrLeaseNotFound
	}
	m.rev++
	for _, e := range entries {
		m.putAtRevision(e.Key, e.Value, lease)
	}
	return m.rev, nil
}

// Poll waits up to wait for changes under prefix after a revision. It returns
// them and the revision to continue from.
func (m *Mem) Poll(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	broken, silenced, err := m.openWatch(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer m.closeWatch()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		next := m.rev
		m.mu.Unlock()
		events, changed, err := m.eventsAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, next, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, next, nil
		case <-broken:
			return nil, 0, errors.Trace(ErrDown)
		case <-silenced:
			<-ctx.Done()
			return nil, 0, errors.Annotate(ErrDown, ctx.Err().Error())
		case <-ctx.Done():
			return nil, 0, errors.Annotate(ErrDown, ctx.Err().Error())
		}
	}
}
