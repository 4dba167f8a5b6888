// Package bbstore defines the interface to the platform's key-value service
// (compare-and-swap, leases, watches) and has two implementations: a client of
// the JSON gateway of etcd v3, and a store in memory with faults for tests.
package bbstore

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Sentinel errors of a Store, for errors.Is.
const (
	// ErrConflict means that the key was not at the expected revision;
	// nothing was written.
	ErrConflict = errors.ConstError("compare-and-swap conflict")
	// ErrUnknown means that no response to a write arrived. The write may have
	// taken effect, or may still do so until the key has a newer revision.
	ErrUnknown = errors.ConstError("write outcome unknown")
	// ErrDown means that the service could not be reached or refused the call;
	// nothing was written.
	ErrDown = errors.ConstError("key-value service unavailable")
	// ErrTooLarge means that the value exceeds MaxValueBytes; nothing was
	// written.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrLeaseNotFound means that the lease does not exist or has expired.
	ErrLeaseNotFound = errors.ConstError("lease not found")
	// ErrCompacted means that the service no longer has the events that a watch
	// asked for. The caller must list the prefix and watch from the revision of
	// the listing.
	ErrCompacted = errors.ConstError("revision compacted")
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Entry is a key, its value and the revision of its last write.
type Entry struct {
	Key   string
	Value []byte
	Rev   Revision
}

// Event is one change under a watched prefix. A deletion has a nil Value.
type Event struct {
	Entry
}

// Store is the platform's key-value service. Every call may block until the
// deadline of its context and counts against the service's rate limits; a watch
// counts once, however long it waits.
type Store interface {
	// Get returns the entry, with Rev 0 and no error when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under the prefix in key order, and a revision
	// from which a watch misses no later change.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CAS (compare-and-swap) writes value if the key is at revision prev (0:
	// absent). A nil value deletes the key. It returns the new revision, or
	// ErrConflict, ErrUnknown, ErrDown, ErrLeaseNotFound or ErrTooLarge.
	CAS(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error)
	// Grant creates a lease. The keys written under it are deleted when it
	// expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its full duration. It returns ErrLeaseNotFound
	// when the lease has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change under prefix after revision from, in
	// order, until ctx ends, fn returns an error or the connection breaks.
	Watch(ctx context.Context, prefix string, from Revision, fn func(Event) error) error
}
