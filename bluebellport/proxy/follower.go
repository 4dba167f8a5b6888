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

// WatchStore is the part of the platform's store that the followers use.
type WatchStore interface {
	Get(ctx context.Context, key string) (bbstore.Entry, error)
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	Poll(ctx context.Context, prefix string, after bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error)
}

// follower keeps a board in step with what the store holds. State only goes
// forward: an older plan never replaces a newer one, whoever tells of it.
type follower struct {
	store  WatchStore
	shared *SharedState
	log    logrus.FieldLogger
	now    func() time.Time

	storeLost bool // the followers of the plan and of the targets log the store's loss once

	mu             sync.Mutex // guards the rest, which peers also feed
	planEntry      bbstore.Entry
	compressedPlan []byte // the plan as peers get it
	targets        *TargetSet
	entries        map[bbunit.TargetID]bbstore.Entry // as last read; gone ones without value
	lastErrorAt    time.Time                         // last trouble with the store, on the targets' side
	missingUntil   map[bbunit.TargetID]time.Time
	// onNewPlan is called, without the lock, when the store told of a newer plan,
	// heard when it told of targets, with those that changed.
	onNewPlan     func()
	onTargetsRead func(changed []bbstore.Entry)
	// isWatcher tells whether this instance watches the store.
	isWatcher func() bool
}

func newFollower(store WatchStore, shared *SharedState, log logrus.FieldLogger, now func() time.Time, traffic *trafficMeter) *follower {
	return &follower{
		store: store, shared: shared, log: log, now: now,
		targets: NewTargetSet(now, traffic), entries: map[bbunit.TargetID]bbstore.Entry{}, missingUntil: map[bbunit.TargetID]time.Time{},
		onNewPlan: func() {}, onTargetsRead: func([]bbstore.Entry) {}, isWatcher: func() bool { return true },
	}
}

// followPlan reads the plan and watches for new ones until ctx ends.
func (f *follower) followPlan(ctx context.Context) {
	pause := minStoreBackoff
	for ctx.Err() == nil {
		if !f.isWatcher() {
			f.logHandover()
			bbclock.Wait(ctx, watcherCheckInterval)
			continue
		}
		entry, err := f.store.Get(ctx, bbplatform.KeyPlan)
		if err == nil {
			pause = minStoreBackoff
			if f.applyPlan(entry) {
				f.onNewPlan()
			}
			err = f.watchPlan(ctx, entry.Rev)
		}
		f.logStoreState(err)
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
}

// readPlan reads the plan once, and tells whether the store answered.
func (f *follower) readPlan(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, planReadTimeout)
	defer cancel()
	entry, err := f.store.Get(ctx, bbplatform.KeyPlan)
	if err == nil {
		f.applyPlan(entry)
	}
	return err == nil
}

// watchPlan returns when the watch has to begin anew.
func (f *follower) watchPlan(ctx context.Context, from bbstore.Revision) error {
	for {
		wait := planPollWait
		if f.shared.Plan.Load() == nil {
			wait = time.Second
		}
		events, rev, err := f.store.Poll(ctx, bbplatform.PrefixOperator, from, wait)
		if errors.Is(err, bbstore.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range events {
			if e.Key == bbplatform.KeyPlan && f.applyPlan(e.Entry) {
				f.onNewPlan()
			}
		}
		if rev < from || !f.isWatcher() {
			return nil
		}
		from = rev
	}
}

// applyPlan puts a plan in force unless it is older than the one that is.
func (f *follower) applyPlan(e bbstore.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(e.Value) == 0 || e.Rev <= f.planEntry.Rev {
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
	old := f.shared.Plan.Load()
	if old != nil && plan.Version <= old.Version {
		return false
	}
	f.planEntry = e
	if f.compressedPlan, err = compressPlan(e.Value); err != nil {
		f.log.WithError(err).Warn("plan not packed; peers read it from the store")
	}
	f.shared.Plan.Store(plan)
	f.log.WithFields(logrus.Fields{"event": "plan", "version": plan.Version, "revision": e.Rev, "accounts": len(plan.Accounts)}).Info("plan in force")
	return true
}

// logStoreState logs the loss and the return of the store once each.
func (f *follower) logStoreState(err error) {
	switch {
	case err != nil && !f.storeLost:
		f.log.WithError(err).WithField("event", "store-lost").Warn("store unreachable; going on with what is known")
	case err == nil && f.storeLost:
		f.log.WithField("event", "store-back").Info("store reachable again")
	}
	f.storeLost = err != nil
}

// logHandover logs, after a loss of the store, that another instance watches it: then
// nothing here tells when it is back.
func (f *follower) logHandover() {
	if f.storeLost {
		f.log.WithField("event", "watch-handed").Info("another instance of the failure domain watches the store")
	}
	f.storeLost = false
}

// followTargets reads the list of targets and looks for changes until ctx ends.
func (f *follower) followTargets(ctx context.Context) {
	pause := minStoreBackoff
	for ctx.Err() == nil {
		if !f.isWatcher() {
			bbclock.Wait(ctx, watcherCheckInterval)
			continue
		}
		entries, rev, err := f.store.List(ctx, bbplatform.PrefixTargets)
		if err == nil {
			pause = minStoreBackoff
			f.onTargetsRead(f.applyTargetList(entries, rev))
			if f.watchTargets(ctx, rev) {
				continue
			}
		}
		f.mu.Lock()
		f.lastErrorAt = f.now()
		f.mu.Unlock()
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
}

// watchTargets looks for changes every targetsEvery. It returns when the list has
// to be read anew, or, with true, when another instance watches.
func (f *follower) watchTargets(ctx context.Context, from bbstore.Revision) bool {
	for {
		events, rev, err := f.store.Poll(ctx, bbplatform.PrefixTargets, from, targetPollWait)
		if err != nil || rev < from {
			return false
		}
		from = rev
		f.onTargetsRead(f.applyEvents(events))
		pause := targetPollInterval
		if f.hasMissing() {
			pause = missingTargetGrace / 4
		}
		bbclock.Wait(ctx, pause)
		if ctx.Err() != nil || !f.isWatcher() {
			return true
		}
	}
}

// applyTargetList takes a whole list as it stood at a revision. What it lacks is
// gone.
func (f *follower) applyTargetList(list []bbstore.Entry, rev bbstore.Revision) []bbstore.Entry {
	listed := map[string]bool{}
	events := make([]bbstore.Event, 0, len(list))
	for _, e := range list {
		listed[e.Key] = true
		events = append(events, bbstore.Event{Entry: e})
	}
	f.mu.Lock()
	for _, e := range f.entries {
		if !listed[e.Key] && e.Value != nil && e.Rev <= rev {
			events = append(events, bbstore.Event{Entry: bbstore.Entry{Key: e.Key, Rev: rev}})
		}
	}
	f.mu.Unlock()
	return f.applyEvents(events)
}

// applyEvents takes changes of the list in any order: for each target the one of
// the highest revision stands. It returns those that changed anything.
func (f *follower) applyEvents(events []bbstore.Event) []bbstore.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.removeExpired() || f.shared.Services.Load() == nil
	var applied []bbstore.Entry
	for _, e := range events {
		if f.applyEvent(e) {
			applied = append(applied, e.Entry)
		}
	}
	if changed || len(applied) > 0 {
		f.shared.Services.Store(f.targets.ByService())
	}
	return applied
}

// hasMissing tells that some targets are given time to return.
func (f *follower) hasMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.missingUntil) > 0
}

func (f *follower) applyEvent(e bbstore.Event) bool {
	name, ok := strings.CutPrefix(e.Key, bbplatform.PrefixTargets)
	id := bbunit.TargetID(name)
	if !ok || e.Rev <= f.entries[id].Rev {
		return false
	}
	f.entries[id] = e.Entry
	if e.Value == nil {
		return f.removeTarget(id)
	}
	target, err := bbplatform.ParseTarget(e.Key, e.Value)
	if err != nil {
		f.log.WithError(err).Debug("entry of a target left out")
		return false
	}
	delete(f.missingUntil, id)
	changed := f.targets.Put(target)
	if changed {
		f.log.WithFields(logrus.Fields{"event": "target", "target": target.ID, "address": target.Address, "domain": target.Domain, "leaving": target.Leaving, "revision": e.Rev}).Info("target changed")
	}
	return changed
}

// removeTarget forgets a target whose entry is gone. Just after trouble with the store
// the entries of most targets of a service may be missing though they live;
// those are given a short time to return.
func (f *follower) removeTarget(id bbunit.TargetID) bool {
	target := f.targets.targets[id]
	if target == nil {
		return false
	}
	if !target.Leaving && f.isMassLoss(target.Service) {
		if _, ok := f.missingUntil[id]; !ok {
			f.missingUntil[id] = f.now().Add(missingTargetGrace)
		}
		return false
	}
	f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target gone")
	f.targets.Remove(id)
	delete(f.missingUntil, id)
	return true
}

// isMassLoss tells that the loss of one more entry of the service is rather the
// store's than the target's: the store was in trouble just now, and half of the
// service's entries are missing.
func (f *follower) isMassLoss(service bbunit.ServiceID) bool {
	if f.lastErrorAt.IsZero() || f.now().Sub(f.lastErrorAt) > storeRecoveryWindow {
		return false
	}
	total, missing := 0, 1
	for _, target := range f.targets.targets {
		if target.Service != service {
			continue
		}
		total++
		if f.entries[target.ID].Value == nil {
			missing++
		}
	}
	return 2*missing > total
}

// removeExpired forgets targets that were given time and did not return.
func (f *follower) removeExpired() bool {
	changed := false
	for id, deadline := range f.missingUntil {
		if f.now().After(deadline) {
			delete(f.missingUntil, id)
			f.targets.Remove(id)
			f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target did not return")
			changed = true
		}
	}
	return changed
}
