package bbproxy

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
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

	down bool // the followers of the plan and of the targets log the store's loss once

	mu        sync.Mutex // guards the rest, which peers also feed
	plan      bbstore.Entry
	packed    []byte // the plan as peers get it
	roster    *Roster
	entries   map[bbunit.TargetID]bbstore.Entry // as last read; gone ones without value
	troubleAt time.Time                         // last trouble with the store, on the targets' side
	gone      map[bbunit.TargetID]time.Time
	// fresh is called, without the lock, when the store told of a newer plan,
	// heard when it told of targets, with those that changed.
	fresh func()
	heard func(changed []bbstore.Entry)
	// duty tells whether this instance watches the store.
	duty func() bool
}

func newFollower(store Watched, board *Board, log logrus.FieldLogger, now func() time.Time, m *meter) *follower {
	return &follower{
		store: store, board: board, log: log, now: now,
		roster: NewRoster(now, m), entries: map[bbunit.TargetID]bbstore.Entry{}, gone: map[bbunit.TargetID]time.Time{},
		fresh: func() {}, heard: func([]bbstore.Entry) {}, duty: func() bool { return true },
	}
}

// followPlan reads the plan and watches for new ones until ctx ends.
func (f *follower) followPlan(ctx context.Context) {
	pause := storePause
	for ctx.Err() == nil {
		if !f.duty() {
			f.handed()
			bbclock.Wait(ctx, dutyEvery)
			continue
		}
		entry, err := f.store.Get(ctx, bbplatform.KeyPlan)
		if err == nil {
			pause = storePause
			if f.takePlan(entry) {
				f.fresh()
			}
			err = f.watchPlan(ctx, entry.Rev)
		}
		f.dependency(err)
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, storePauseMost)
	}
}

// readPlan reads the plan once, and tells whether the store answered.
func (f *follower) readPlan(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	entry, err := f.store.Get(ctx, bbplatform.KeyPlan)
	if err == nil {
		f.takePlan(entry)
	}
	return err == nil
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
			if e.Key == bbplatform.KeyPlan && f.takePlan(e.Entry) {
				f.fresh()
			}
		}
		if at < from || !f.duty() {
			return nil
		}
		from = at
	}
}

// takePlan puts a plan in force unless it is older than the one that is.
func (f *follower) takePlan(e bbstore.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(e.Value) == 0 || e.Rev <= f.plan.Rev {
		return false
	}
	plan, bad, err := bbplatform.ParsePlan(e.Value)
	if err != nil {
		f.log.WithError(err).WithField("revision", e.Rev).Warn("plan not readable; the last good one stays")
		return false
	}
	for _, b := range bad {
		f.log.WithError(b).Warn("entry of the plan left out")
	}
	old := f.board.Plan.Load()
	if old != nil && plan.Version <= old.Version {
		return false
	}
	f.plan = e
	if f.packed, err = pack(e.Value); err != nil {
		f.log.WithError(err).Warn("plan not packed; peers read it from the store")
	}
	f.board.Plan.Store(plan)
	f.log.WithFields(logrus.Fields{"event": "plan", "version": plan.Version, "revision": e.Rev, "accounts": len(plan.Accounts)}).Info("plan in force")
	return true
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

// handed logs, after a loss of the store, that another instance watches it: then
// nothing here tells when it is back.
func (f *follower) handed() {
	if f.down {
		f.log.WithField("event", "watch-handed").Info("another instance of the failure domain watches the store")
	}
	f.down = false
}

// followTargets reads the list of targets and looks for changes until ctx ends.
func (f *follower) followTargets(ctx context.Context) {
	pause := storePause
	for ctx.Err() == nil {
		if !f.duty() {
			bbclock.Wait(ctx, dutyEvery)
			continue
		}
		entries, at, err := f.store.List(ctx, bbplatform.PrefixTargets)
		if err == nil {
			pause = storePause
			f.heard(f.takeTargets(entries, at))
			if f.watchTargets(ctx, at) {
				continue
			}
		}
		f.mu.Lock()
		f.troubleAt = f.now()
		f.mu.Unlock()
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, storePauseMost)
	}
}

// watchTargets looks for changes every targetsEvery. It returns when the list has
// to be read anew, or, with true, when another instance watches.
func (f *follower) watchTargets(ctx context.Context, from bbstore.Revision) bool {
	for {
		events, at, err := f.store.Poll(ctx, bbplatform.PrefixTargets, from, targetsWait)
		if err != nil || at < from {
			return false
		}
		from = at
		f.heard(f.takeEvents(events))
		pause := targetsEvery
		if f.waiting() {
			pause = returnTime / 4
		}
		bbclock.Wait(ctx, pause)
		if ctx.Err() != nil || !f.duty() {
			return true
		}
	}
}

// takeTargets takes a whole list as it stood at a revision. What it lacks is
// gone.
func (f *follower) takeTargets(list []bbstore.Entry, at bbstore.Revision) []bbstore.Entry {
	have := map[string]bool{}
	events := make([]bbstore.Event, 0, len(list))
	for _, e := range list {
		have[e.Key] = true
		events = append(events, bbstore.Event{Entry: e})
	}
	f.mu.Lock()
	for _, e := range f.entries {
		if !have[e.Key] && e.Value != nil && e.Rev <= at {
			events = append(events, bbstore.Event{Entry: bbstore.Entry{Key: e.Key, Rev: at}})
		}
	}
	f.mu.Unlock()
	return f.takeEvents(events)
}

// takeEvents takes changes of the list in any order: for each target the one of
// the highest revision stands. It returns those that changed anything.
func (f *follower) takeEvents(events []bbstore.Event) []bbstore.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.expire() || f.board.Groups.Load() == nil
	var news []bbstore.Entry
	for _, e := range events {
		if f.takeEvent(e) {
			news = append(news, e.Entry)
		}
	}
	if changed || len(news) > 0 {
		f.board.Groups.Store(f.roster.Groups())
	}
	return news
}

// waiting tells that some targets are given time to return.
func (f *follower) waiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.gone) > 0
}

func (f *follower) takeEvent(e bbstore.Event) bool {
	name, ok := strings.CutPrefix(e.Key, bbplatform.PrefixTargets)
	id := bbunit.TargetID(name)
	if !ok || e.Rev <= f.entries[id].Rev {
		return false
	}
	f.entries[id] = e.Entry
	if e.Value == nil {
		return f.lose(id)
	}
	t, err := bbplatform.ParseTarget(e.Key, e.Value)
	if err != nil {
		f.log.WithError(err).Debug("entry of a target left out")
		return false
	}
	delete(f.gone, id)
	changed := f.roster.Put(t)
	if changed {
		f.log.WithFields(logrus.Fields{"event": "target", "target": t.ID, "address": t.Address, "domain": t.Domain, "leaving": t.Leaving, "revision": e.Rev}).Info("target changed")
	}
	return changed
}

// lose forgets a target whose entry is gone. Just after trouble with the store
// the entries of most targets of a service may be missing though they live;
// those are given a short time to return.
func (f *follower) lose(id bbunit.TargetID) bool {
	s := f.roster.servers[id]
	if s == nil {
		return false
	}
	if !s.Leaving && f.lapsed(s.Service) {
		if _, ok := f.gone[id]; !ok {
			f.gone[id] = f.now().Add(returnTime)
		}
		return false
	}
	f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target gone")
	f.roster.Drop(id)
	delete(f.gone, id)
	return true
}

// lapsed tells that the loss of one more entry of the service is rather the
// store's than the target's: the store was in trouble just now, and half of the
// service's entries are missing.
func (f *follower) lapsed(id bbunit.ServiceID) bool {
	if f.troubleAt.IsZero() || f.now().Sub(f.troubleAt) > storeBack {
		return false
	}
	all, missing := 0, 1
	for _, s := range f.roster.servers {
		if s.Service != id {
			continue
		}
		all++
		if f.entries[s.ID].Value == nil {
			missing++
		}
	}
	return 2*missing > all
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
