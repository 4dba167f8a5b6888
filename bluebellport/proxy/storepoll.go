package bbproxy

import (
	"context"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/path"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbstore"
)

// errPollLost ends a poll during which another call got no answer.
const errPollLost = errors.ConstError("the path to the store loses calls")

// observeStore makes a path learn how the calls to a store end. Idle connections are closed
// when it breaks: they may never carry an answer again.
func observeStore(store *bbplatform.Store, path *bbpath.Path) {
	path.OnBreak(store.CloseIdle)
	store.Observe(path)
}

// pollUntilLost polls a store for changes under a prefix. It ends with errPollLost once the
// path to the store may have lost the poll.
func pollUntilLost(ctx context.Context, store WatchStore, path *bbpath.Path, prefix string, after bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	waiting := path.BeginWait(func() { cancel(errPollLost) }, func() bool { return isArriving(store, prefix, true, began) })
	defer path.EndWait(waiting)
	events, rev, err := store.Poll(ctx, prefix, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errPollLost) {
		return nil, 0, errPollLost
	}
	return events, rev, err
}

// isArriving reports whether the answer to a poll, that waits or does not, and that began
// at or after a time, has begun to arrive, as far as the store can tell.
func isArriving(store WatchStore, prefix string, waits bool, since time.Time) bool {
	s, ok := store.(interface {
		IsArriving(prefix string, waits bool, since time.Time) bool
	})
	return ok && s.IsArriving(prefix, waits, since)
}
