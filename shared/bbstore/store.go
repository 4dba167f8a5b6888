// Package bbstore reaches the platform's key-value service through one narrow
// interface: compare-and-swap, leases and watches.
package bbstore

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors of a Store, tested with errors.Is.
const (
	// ErrConflict means that the key was not at the expected revision, and
	// that nothing was written.
	ErrConflict = errors.ConstError("compare-and-swap conflict")
	// ErrUnknown means that the answer was lost: the write may have taken
	// effect, and may still take effect until the key moves on.
	ErrUnknown = errors.ConstError("write outcome unknown")
	// ErrDown means that the service could not be reached or refused the call:
	// nothing was written.
	ErrDown = errors.ConstError("key-value service unavailable")
	// ErrTooLarge means that the value is above MaxValue; nothing was sent.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrLeaseNotFound means that the lease is unknown or has lapsed.
	ErrLeaseNotFound = errors.ConstError("lease not found")
	// ErrCompacted means that a watch asked for events that are no longer kept;
	// the caller lists the prefix and watches from the listed revision.
	ErrCompacted = errors.ConstError("revision compacted")
)

// MaxValueBytes is the largest value the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Revision orders the writes of the whole service; 0 means absent.
type Revision int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Entry is one key with its value and the revision that last wrote it.
type Entry struct {
	Key   string
	Value []byte
	Rev   Revision
}

// Event is one change under a watched prefix. A deletion has a nil Value.
type Event struct {
	Entry
}

// Store is the platform's key-value service. Every call may block up to the
// context's deadline and counts against the service's rates; a waiting watch
// counts as one.
type Store interface {
	// Get returns the entry, with Rev 0 and no error when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under the prefix in key order, and the revision
	// the listing stands for.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CAS writes value if the key is at revision prev (0: absent). A nil value
	// deletes. It returns the new revision, or ErrConflict, ErrUnknown,
	// ErrDown, ErrLease or ErrTooLarge.
	CAS(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error)
	// Grant makes a lease; keys written under it go when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its full time; ErrLease when it has lapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change under prefix after revision from, in
	// order, until ctx ends, fn fails or the connection breaks.
	Watch(ctx context.Context, prefix string, from Revision, fn func(Event) error) error
}
