package bbproxy

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbstore"
)

const (
	// lookBesideCheck is how often an instance that has no poll for plans under way checks
	// whether it has one.
	lookBesideCheck = 500 * time.Millisecond
	// overtakenGrace is how long the answer to a poll may take after its news have come by
	// another way.
	overtakenGrace = 500 * time.Millisecond
)

// planPoll is a poll for plans newer than those as of a revision that waits.
type planPoll struct {
	from  bbstore.Revision
	began time.Time
	lose  context.CancelCauseFunc // ends it with errPollLost
}

// lookBeside looks for a newer plan beside a poll that waits for one, whenever the store is
// not known to have answered any instance lately, until ctx ends.
func (f *follower) lookBeside(ctx context.Context) {
	for ctx.Err() == nil {
		poll := f.poll.Load()
		if poll == nil || !f.isWatcher() {
			bbclock.Wait(ctx, lookBesideCheck)
			continue
		}
		if due := f.confirmed.DueIn(f.now(), f.watchTurn()); due > 0 {
			bbclock.Wait(ctx, due)
			continue
		}
		if f.isPlanComing(poll) {
			bbclock.Wait(ctx, watcherCheckInterval)
			continue
		}
		f.lookOnceBeside(ctx, poll)
	}
}

// isPlanComing reports whether a newer plan is arriving, as the answer to a poll or, as far
// as peers have told lately, from them.
func (f *follower) isPlanComing(poll *planPoll) bool {
	_, known, behind := f.board.PlanLag.behind(f.now())
	return behind && known < planTransferTime || isArriving(f.store, bbplatform.PrefixOperator, true, poll.began)
}

// lookOnceBeside looks beside a poll until a look is answered or the poll has ended.
func (f *follower) lookOnceBeside(ctx context.Context, poll *planPoll) {
	f.looksBeside.Add(1)
	unconfirmed := f.unconfirmed()
	isWaiting := func() bool { return f.poll.Load() == poll }
	a, ok := (&planLooks{}).untilAnswered(ctx, f, isWaiting, func() {})
	switch {
	case !ok:
	case errors.Is(a.err, bbstore.ErrCompacted), a.err == nil && a.rev < a.from:
		poll.lose(errPollLost) // who polls decides how to go on
		bbclock.Wait(ctx, lookBesideCheck)
	case a.err != nil:
		bbclock.Wait(ctx, maxStoreBackoff)
	default:
		_, _ = f.applyPoll(a.from, a.events, a.rev, nil)
		if len(a.events) > 0 {
			f.log.WithFields(logrus.Fields{"event": "look", "unconfirmed": unconfirmed.Milliseconds(), "revision": a.rev}).Info("a look brought what no poll had")
			f.expectAnswer(poll)
		}
	}
}

// expectAnswer ends a poll as lost unless its answer, to news that have come by another
// way, begins to arrive within overtakenGrace.
func (f *follower) expectAnswer(poll *planPoll) {
	time.AfterFunc(overtakenGrace, func() {
		if f.poll.Load() != poll || isArriving(f.store, bbplatform.PrefixOperator, true, poll.began) {
			return
		}
		f.overtaken.Add(1)
		poll.lose(errPollLost)
	})
}
