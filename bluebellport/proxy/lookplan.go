package bbproxy

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/path"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbstore"
)

// planLook is the answer to one look for plans newer than those as of a revision.
type planLook struct {
	from   bbstore.Revision
	events []bbstore.Event
	rev    bbstore.Revision
	err    error
}

// planLooks are looks for a newer plan, of which the first answer counts. The zero value
// is ready.
type planLooks struct {
	running sync.WaitGroup
}

// lookForPlan asks the store for a newer plan, without waiting for one, at intervals until
// a call is answered. It returns the revision to go on from, 0 if another instance watches
// or the plan has to be read again.
func (f *follower) lookForPlan(ctx context.Context) (bbstore.Revision, error) {
	lookCtx, cancel := context.WithCancelCause(ctx)
	looks := &planLooks{}
	f.stopPoll.Store(&cancel)
	defer func() {
		f.stopPoll.Store(nil)
		go func() { // not before they have ended, as that would close the connections of later looks
			looks.running.Wait()
			cancel(nil)
		}()
	}()
	a, ok := looks.untilAnswered(lookCtx, f, f.isWatcher, func() { f.logStoreState(errPollLost) })
	switch {
	case ok:
		f.logStoreState(a.err)
		return f.applyPoll(a.from, a.events, a.rev, a.err)
	case errors.Is(context.Cause(lookCtx), errPeersFaster):
		f.awaitPeersPlan(ctx)
		return max(bbstore.Revision(f.planCurrent.Load()), f.seenRevision()), nil
	}
	return 0, ctx.Err()
}

// untilAnswered looks at intervals until a look is answered, and returns the answer: a call
// that the path has lost holds up none of those after it. While an answer is arriving it
// asks no more. It calls missed whenever there is no answer within the interval, and
// returns false once goOn does or ctx ends.
func (l *planLooks) untilAnswered(ctx context.Context, f *follower, goOn func() bool, missed func()) (planLook, bool) {
	answers := make(chan planLook, 1)
	for began := time.Now(); ctx.Err() == nil && goOn(); {
		if !isArriving(f.store, bbplatform.PrefixOperator, false, began) {
			l.running.Go(func() { f.look(ctx, answers) })
		}
		next := time.NewTimer(bbpath.LookInterval(f.watchRank()))
		select {
		case a := <-answers:
			next.Stop()
			return a, true
		case <-next.C:
			missed()
		case <-ctx.Done():
			next.Stop()
			l.running.Wait()
		}
	}
	return planLook{}, false
}

// look asks the store once for a newer plan. An error is an answer only if the path works.
func (f *follower) look(ctx context.Context, answers chan<- planLook) {
	a := planLook{from: f.pollStart()}
	a.events, a.rev, a.err = f.store.Poll(ctx, bbplatform.PrefixOperator, a.from, 0)
	if a.err != nil && !errors.Is(a.err, bbstore.ErrCompacted) && (f.path.IsBroken() || ctx.Err() != nil) {
		return
	}
	select {
	case answers <- a:
	default: // another one was answered sooner
	}
}
