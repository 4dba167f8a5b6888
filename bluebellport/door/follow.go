package bbdoor

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// Watched is the part of the platform's store that the followers use.
type Watched interface {
	Get(ctx context.Context, key string) (bbstore.Entry, error)
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	Poll(ctx context.Context, prefix string, after bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error)
}

// follower keeps a board in step with what the store holds. State only goes
// forward: an older plan never replaces a newer one, whoever tells of it.
type follower struct {
	store Watched
	board *Board
	log   logrus.FieldLogger
	now   func() time.Time

	planRev   bbstore.Revision
	roster    *Roster
	revs      map[bbunit.TargetID]bbstore.Revision
	troubleAt time.Time // last trouble with the store, on the targets' side
	gone      map[bbunit.TargetID]time.Time
	down      bool
}

func newFollower(store Watched, board *Board, log logrus.FieldLogger, now func() time.Time) *follower {
	return &follower{
		store: store, board: board, log: log, now: now,
		roster: NewRoster(now), revs: map[bbunit.TargetID]bbstore.Revision{}, gone: map[bbunit.TargetID]time.Time{},
	}
}

// followPlan reads the plan and watches for new ones until ctx ends.
func (f *follower) followPlan(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := f.store.Get(ctx, bbplatform.KeyPlan)
		if err == nil {
			f.takePlan(entry)
			err = f.watchPlan(ctx, entry.Rev)
		}
		f.dependency(err)
		sleep(ctx, storePause)
	}
}

// watchPlan returns when the watch has to begin anew.
func (f *follower) watchPlan(ctx context.Context, from bbstore.Revision) error {
	for {
		wait := watchWait
		if f.board.Plan.Load() == nil {
			wait = time.Second
		}
		events, at, err := f.store.Poll(ctx, bbplatform.PrefixOperator, from, wait)
		if errors.Is(err, bbstore.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range events {
			if e.Key == bbplatform.KeyPlan {
				f.takePlan(e.Entry)
			}
		}
		if at < from {
			return nil
		}
		from = at
	}
}

// takePlan puts a plan in force unless it is older than the one that is.
func (f *follower) takePlan(e bbstore.Entry) {
	if len(e.Value) == 0 || e.Rev <= f.planRev {
		return
	}
	plan, bad, err := bbplatform.ParsePlan(e.Value)
	if err != nil {
		f.log.WithError(err).WithField("revision", e.Rev).Warn("plan not readable; the last good one stays")
		return
	}
	for _, b := range bad {
		f.log.WithError(b).Warn("entry of the plan left out")
	}
	old := f.board.Plan.Load()
	if old != nil && plan.Version <= old.Version {
		return
	}
	f.planRev = e.Rev
	f.board.Plan.Store(plan)
	f.log.WithFields(logrus.Fields{"event": "plan", "version": plan.Version, "revision": e.Rev, "accounts": len(plan.Accounts)}).Info("plan in force")
}

// dependency logs the loss and the return of the store once each.
func (f *follower) dependency(err error) {
	switch {
	case err != nil && !f.down:
		f.log.WithError(err).WithField("event", "store-lost").Warn("store unreachable; going on with what is known")
	case err == nil && f.down:
		f.log.WithField("event", "store-back").Info("store reachable again")
	}
	f.down = err != nil
}

// followTargets reads the list of targets and looks for changes until ctx ends.
func (f *follower) followTargets(ctx context.Context) {
	for ctx.Err() == nil {
		entries, at, err := f.store.List(ctx, bbplatform.PrefixTargets)
		if err == nil {
			f.takeTargets(entries)
			f.watchTargets(ctx, at)
		}
		f.troubleAt = f.now()
		sleep(ctx, storePause)
	}
}

// watchTargets looks for changes every targetsEvery; it returns when the list
// has to be read anew.
func (f *follower) watchTargets(ctx context.Context, from bbstore.Revision) {
	for {
		events, at, err := f.store.Poll(ctx, bbplatform.PrefixTargets, from, time.Second)
		if err != nil || at < from {
			return
		}
		from = at
		changed := f.expire()
		for _, e := range events {
			changed = f.takeEvent(e) || changed
		}
		if changed {
			f.publish()
		}
		sleep(ctx, targetsEvery)
		if ctx.Err() != nil {
			return
		}
	}
}

// takeTargets takes a whole list. What it lacks is gone.
func (f *follower) takeTargets(entries []bbstore.Entry) {
	have := map[bbunit.TargetID]bool{}
	for _, e := range entries {
		t, err := bbplatform.ParseTarget(e.Key, e.Value)
		if err != nil {
			f.log.WithError(err).Debug("entry of a target left out")
			continue
		}
		have[t.ID] = true
		f.put(t, e.Rev)
	}
	for id := range f.roster.servers {
		if !have[id] {
			f.lose(id)
		}
	}
	f.publish()
}

func (f *follower) takeEvent(e bbstore.Event) bool {
	if e.Value == nil {
		return f.lose(bbunit.TargetID(e.Key[min(len(e.Key), len(bbplatform.PrefixTargets)):]))
	}
	t, err := bbplatform.ParseTarget(e.Key, e.Value)
	if err != nil {
		f.log.WithError(err).Debug("entry of a target left out")
		return false
	}
	return f.put(t, e.Rev)
}

func (f *follower) put(t bbplan.Target, rev bbstore.Revision) bool {
	if rev < f.revs[t.ID] {
		return false
	}
	f.revs[t.ID] = rev
	_, returned := f.gone[t.ID]
	delete(f.gone, t.ID)
	changed := f.roster.Put(t)
	if changed {
		f.log.WithFields(logrus.Fields{"event": "target", "target": t.ID, "address": t.Address, "domain": t.Domain, "leaving": t.Leaving, "revision": rev}).Info("target changed")
	}
	return changed || returned
}

// lose forgets a target whose entry is gone. Just after trouble with the store
// an entry may be missing though its target lives; it is given time to return.
func (f *follower) lose(id bbunit.TargetID) bool {
	s := f.roster.servers[id]
	if s == nil {
		return false
	}
	if !s.Leaving && !f.troubleAt.IsZero() && f.now().Sub(f.troubleAt) < storeBack {
		if _, ok := f.gone[id]; !ok {
			f.gone[id] = f.now().Add(storeBack)
		}
		return false
	}
	f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target gone")
	f.roster.Drop(id)
	delete(f.gone, id)
	return true
}

// expire forgets targets that were given time and did not return.
func (f *follower) expire() bool {
	changed := false
	for id, until := range f.gone {
		if f.now().After(until) {
			delete(f.gone, id)
			f.roster.Drop(id)
			f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target did not return")
			changed = true
		}
	}
	return changed
}

func (f *follower) publish() { f.board.Groups.Store(f.roster.Groups()) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
