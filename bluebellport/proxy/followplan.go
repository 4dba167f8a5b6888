package bbproxy

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/spread"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// followPlan reads the plan and watches for newer ones until ctx ends.
func (f *follower) followPlan(ctx context.Context) {
	pause := minStoreBackoff
	for ctx.Err() == nil {
		if !f.isWatcher() {
			f.logHandover()
			f.learnEvacuations(ctx)
			bbclock.Wait(ctx, watcherCheckInterval)
			continue
		}
		from, err := f.pollStart(), error(nil)
		switch {
		case from == 0:
			if err = f.listEvacuations(ctx); err == nil {
				from, err = f.readPlan(ctx)
			}
		case f.path.IsBroken():
			if from, err = f.lookForPlan(ctx); from == 0 && err == nil {
				continue
			}
		}
		if err == nil {
			pause = minStoreBackoff
			err = f.watchPlan(ctx, from)
		}
		if ctx.Err() != nil {
			return // the end of its own calls says nothing of the store
		}
		f.logStoreState(err)
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
}

// readPlan reads the plan once. It returns the revision of the store as of which it is
// the newest.
func (f *follower) readPlan(ctx context.Context) (bbstore.Revision, error) {
	begin := f.now()
	entry, rev, err := f.store.Read(ctx, bbplatform.KeyPlan)
	log := f.log.WithFields(logrus.Fields{"event": "plan-read", "revision": entry.Rev, "bytes": len(entry.Value), "ms": f.now().Sub(begin).Milliseconds()})
	if err != nil {
		log.WithError(err).Warn("plan not read from the store")
		return 0, err
	}
	log.Info("plan read from the store")
	f.applyPlan(entry, wayList)
	f.planConfirmed(rev)
	return rev, nil
}

// watchPlan applies new plans. It returns when another instance watches or the plan
// has to be read again, with an error if a call failed.
func (f *follower) watchPlan(ctx context.Context, from bbstore.Revision) error {
	for {
		wait := planPollWait
		if f.board.Plan.Load() == nil {
			wait = time.Second
		}
		var err error
		if from, err = f.catchUp(ctx, from); err != nil {
			return err
		}
		events, rev, err := f.pollPlan(ctx, from, wait)
		if errors.Is(err, errPeersFaster) {
			from = max(from, f.seenRevision())
			continue
		}
		if errors.Is(err, errPollLost) {
			from, err = f.lookForPlan(ctx)
		} else {
			from, err = f.applyPoll(from, events, rev, err)
		}
		if err != nil || from == 0 || !f.isWatcher() {
			return err
		}
	}
}

// applyPoll applies what a poll for newer plans than those as of a revision returned. It
// returns the revision to go on from, 0 if the plan has to be read again.
func (f *follower) applyPoll(from bbstore.Revision, events []bbstore.Event, rev bbstore.Revision, err error) (bbstore.Revision, error) {
	if err != nil && !errors.Is(err, bbstore.ErrCompacted) {
		return 0, err
	}
	if err == nil {
		f.applyEvacuations(from, events, rev) // first, as plans take long to parse
	}
	for _, e := range events {
		if e.Key == bbplatform.KeyPlan {
			f.applyPlan(e.Entry, wayPoll)
		}
	}
	if err != nil || rev < from {
		f.planCurrent.Store(0)
		return 0, nil
	}
	f.planConfirmed(rev)
	return rev, nil
}

// errPeersFaster ends a poll for a newer plan, as peers have one and send it sooner.
const errPeersFaster = errors.ConstError("peers send the plan sooner than the store")

// pollPlan polls for a newer plan. It returns errPeersFaster if stopPlanWatch has ended
// the poll and the plan has come from peers, or planTransferTime has passed, and
// errPollLost if the answer may have been lost.
func (f *follower) pollPlan(ctx context.Context, from bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error) {
	pollCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.stopPoll.Store(&cancel)
	poll := &planPoll{from: from, began: time.Now(), lose: cancel}
	f.poll.Store(poll)
	events, rev, err := pollUntilLost(pollCtx, f.store, f.path, bbplatform.PrefixOperator, from, wait)
	f.poll.Store(nil)
	f.stopPoll.Store(nil)
	if errors.Is(err, errPollLost) {
		f.log.WithFields(logrus.Fields{"event": "poll-lost", "ms": time.Since(poll.began).Milliseconds(), "wait": wait.Milliseconds()}).
			Info("poll for a newer plan ended: it, or another call of this time, got no answer, or its news came by another way")
		return nil, 0, err
	}
	if err == nil || !errors.Is(context.Cause(pollCtx), errPeersFaster) {
		return events, rev, err
	}
	f.awaitPeersPlan(ctx)
	return nil, 0, errPeersFaster
}

// awaitPeersPlan waits until the newest plan heard of has come from peers, at most
// planTransferTime.
func (f *follower) awaitPeersPlan(ctx context.Context) {
	begin := f.now()
	for ctx.Err() == nil && f.now().Sub(begin) < planTransferTime {
		if _, _, behind := f.board.PlanLag.behind(f.now()); !behind {
			break
		}
		bbclock.Wait(ctx, watcherCheckInterval)
	}
	f.log.WithFields(logrus.Fields{"event": "watch-stopped", "revision": f.planSeen.Load(), "ms": f.now().Sub(begin).Milliseconds()}).Info("peers had a newer plan sooner than the store has sent it")
}

// stopPlanWatch ends the poll for a newer plan that is under way.
func (f *follower) stopPlanWatch() {
	if cancel := f.stopPoll.Load(); cancel != nil {
		(*cancel)(errPeersFaster)
	}
}

// planLooked notes that no plan is newer than the one looked at, as of a revision of
// the store.
func (f *follower) planLooked(rev bbstore.Revision) {
	for {
		old := f.planCurrent.Load()
		if int64(rev) <= old || f.planCurrent.CompareAndSwap(old, int64(rev)) {
			return
		}
	}
}

// planConfirmed is planLooked for what the store has just answered. The watchers of the
// other failure domains are told.
func (f *follower) planConfirmed(rev bbstore.Revision) {
	f.planLooked(rev)
	f.confirmed.Confirm(f.now())
	f.onConfirmed()
}

// hearLooked is planLooked for what a peer tells, together with when the store answered
// that. It is no news if more is known here.
func (f *follower) hearLooked(tell *bbwire.NewsTell) {
	if tell.LookedAge > 0 && tell.Looked >= f.planCurrent.Load() {
		f.confirmed.Confirm(f.now().Add(-time.Duration(tell.LookedAge-1) * time.Millisecond))
	}
	f.planLooked(max(bbstore.Revision(tell.Looked), f.seenRevision()))
}

// addLooked adds to a message as of which revision no plan is newer than the one here, and
// when the store answered that.
func (f *follower) addLooked(tell *bbwire.NewsTell) {
	tell.Looked = f.planCurrent.Load()
	if age, ok := f.confirmed.Age(f.now()); ok {
		tell.LookedAge = uint32(min(max(age.Milliseconds(), 0)+1, math.MaxUint32))
	}
}

// unconfirmed returns for how long the store is not known to have answered any instance
// that no plan is newer than the one looked at, 0 if it never has.
func (f *follower) unconfirmed() time.Duration {
	age, _ := f.confirmed.Age(f.now())
	return age
}

// applyVersion puts a plan in force that peers have sent.
func (f *follower) applyVersion(v bbspread.Version) {
	f.applyPlan(bbstore.Entry{Value: v.Text, Rev: v.Rev}, wayPeer)
}

// seenRevision returns the newest revision of a plan that was looked at.
func (f *follower) seenRevision() bbstore.Revision { return bbstore.Revision(f.planSeen.Load()) }

// applyPlan puts a plan in force, unless it is unreadable or not newer than the one
// in force. Parsing takes long; nothing but another plan waits for it.
func (f *follower) applyPlan(e bbstore.Entry, way newsWay) {
	f.planMu.Lock()
	defer f.planMu.Unlock()
	if len(e.Value) == 0 || int64(e.Rev) <= f.planSeen.Load() {
		return
	}
	begin := f.now()
	f.onPlanHeard(e.Rev)
	plan, rejected, err := f.parser.Parse(e.Value)
	if err != nil {
		f.board.PlanLag.looked(e.Rev)
		f.log.WithError(err).WithField("revision", e.Rev).Warn("plan unreadable; the last good one stays in force")
		return
	}
	for _, entryErr := range rejected {
		f.log.WithError(entryErr).Warn("invalid entry of the plan ignored")
	}
	f.putInForce(e, plan, way, begin)
}

// putInForce puts a plan in force, unless that of a higher version is. The caller holds
// planMu and has begun to parse it at a time.
func (f *follower) putInForce(e bbstore.Entry, plan *bbplan.Plan, way newsWay, begin time.Time) {
	f.planSeen.Store(int64(e.Rev))
	defer f.board.PlanLag.looked(e.Rev)
	old := f.board.Plan.Load()
	if old != nil && plan.Version < old.Version {
		return
	}
	f.mu.Lock()
	f.planEntry = e
	f.mu.Unlock()
	if old == nil || plan.Version > old.Version { // otherwise it was written again
		f.cold.setPlan(plan)
		f.board.Plan.Store(plan)
		f.log.WithFields(logrus.Fields{"event": "plan", "version": plan.Version, "revision": e.Rev, "accounts": len(plan.Accounts), "bytes": len(e.Value), "ms": f.now().Sub(begin).Milliseconds(), "way": way.String(), "unconfirmed": f.unconfirmed().Milliseconds()}).Info("plan in force")
	}
	if poll := f.poll.Load(); poll != nil && way != wayPoll && poll.from < e.Rev {
		f.expectAnswer(poll)
	}
	f.onPlan(e)
}
