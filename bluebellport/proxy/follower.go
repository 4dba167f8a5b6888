package bbproxy

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/confirm"
	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/bluebellport/evacuate"
	"bluebellport.example/bluebellport/path"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// WatchStore is the part of the platform's store that follower uses.
type WatchStore interface {
	// Read returns an entry, and the revision of the store as of which it is the newest.
	Read(ctx context.Context, key string) (bbstore.Entry, bbstore.Revision, error)
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	Poll(ctx context.Context, prefix string, after bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error)
}

// follower keeps the plan and the targets on the Board in step with the store.
// They only move forward: an older version never replaces a newer one,
// whether the store or a peer sent it.
type follower struct {
	store WatchStore
	board *Board
	log   logrus.FieldLogger
	now   func() time.Time

	storeLost bool // used by followPlan only, to log the loss and the return once each

	planMu sync.Mutex // held while a plan is parsed and put in force
	parser bbplatform.PlanParser
	// planSeen is the newest revision of a plan that was looked at. The plan in force
	// is older if the store came back from an older copy.
	planSeen atomic.Int64
	// planCurrent is the newest revision of the store as of which no plan is newer
	// than planSeen, 0 if none is known.
	planCurrent atomic.Int64
	// confirmed keeps when the store last answered an instance that no plan is newer.
	confirmed bbconfirm.Newest

	mu           sync.Mutex // guards the fields down to missingUntil, which peers' messages also change
	planEntry    bbstore.Entry
	targets      *TargetSet
	entries      map[bbunit.TargetID]bbstore.Entry // as last read; without a value if deleted
	outage       outageMeter
	left         *leftTargets
	missingUntil map[bbunit.TargetID]time.Time // until when a target without an entry is kept
	// onPlan is called without the lock after a plan was put in force or written again,
	// in the order of their revisions; onTargetsRead after the store returned targets,
	// with the entries that changed.
	onPlan        func(e bbstore.Entry)
	onTargetsRead func(changed []bbstore.Entry)
	// onTargetEnded is called with the lock held when the list shows that a run of
	// a target has ended though it was not leaving.
	onTargetEnded func(run bbcrash.TargetRun)
	// onTargetLeaving is called with the lock held when an entry says that its target
	// leaves.
	onTargetLeaving func(run bbplan.TargetRun)
	// onTargetStarted is called with the lock held when an entry names a run that was not
	// known.
	onTargetStarted func(target bbplan.Target)
	// cold takes entries and plans before they are in force, nil if no target is ever cold.
	cold *coldTargets
	// onPlanHeard is called when the store returns or a peer sends a plan that may be newer,
	// before it is parsed.
	onPlanHeard func(rev bbstore.Revision)
	// evacuations keeps which failure domains are evacuated. OnEvacuations is called with
	// those that the store has just returned and that are new here.
	evacuations   *bbevacuate.Keeper
	onEvacuations func(changed []bbevacuate.Statement)
	// evacuationsAskedAt is when learnEvacuations last listed them, at first when the
	// follower was made. It is used by followPlan only.
	evacuationsAskedAt time.Time
	// stopPoll ends the poll for a newer plan that is under way, nil while none is.
	stopPoll atomic.Pointer[context.CancelCauseFunc]
	// poll is the poll for a newer plan that waits, nil while none does. LooksBeside counts
	// the looks beside polls, overtaken the polls that stayed silent after their news had
	// come by another way.
	poll                   atomic.Pointer[planPoll]
	looksBeside, overtaken atomic.Int64
	// onConfirmed is called after the store has answered that no plan is newer than the one
	// looked at.
	onConfirmed    func()
	invalidEntries metrics.Counter
	// isWatcher reports whether this instance watches the store, watchRank tells its rank
	// among those of its failure domain that do, watchTurn the place of its failure domain
	// among all.
	isWatcher func() bool
	watchRank func() int
	watchTurn func() int
	path      *bbpath.Path // to the store
}

func newFollower(store WatchStore, board *Board, log logrus.FieldLogger, now func() time.Time, ways *targetWays) *follower {
	f := &follower{
		store: store, board: board, log: log, now: now,
		targets: NewTargetSet(now, ways), entries: map[bbunit.TargetID]bbstore.Entry{}, missingUntil: map[bbunit.TargetID]time.Time{}, left: newLeftTargets(),
		onPlan: func(bbstore.Entry) {}, onTargetsRead: func([]bbstore.Entry) {}, onTargetEnded: func(bbcrash.TargetRun) {},
		onTargetLeaving: func(bbplan.TargetRun) {}, onTargetStarted: func(bbplan.Target) {}, isWatcher: func() bool { return true }, watchRank: func() int { return 0 }, watchTurn: func() int { return 0 }, onConfirmed: func() {},
		path: &bbpath.Path{}, evacuations: newEvacuations(board, log, metrics.NewRegistry()), onEvacuations: func([]bbevacuate.Statement) {}, evacuationsAskedAt: now(),
	}
	f.invalidEntries = metrics.NewCounter()
	f.targets.onSlowdown = board.noteSlowdown
	f.onPlanHeard = func(rev bbstore.Revision) { board.PlanLag.hear(rev, now()) }
	return f
}

// logStoreState logs the loss of the store and its return, once each.
func (f *follower) logStoreState(err error) {
	switch {
	case err != nil && !f.storeLost:
		f.log.WithError(err).WithField("event", "store-lost").Warn("store unreachable; going on with what is known")
	case err == nil && f.storeLost:
		f.log.WithField("event", "store-back").Info("store reachable again")
	}
	f.storeLost = err != nil
}

// logHandover logs that another instance took over watching a store that was
// lost here. This instance then does not log the store's return.
func (f *follower) logHandover() {
	if f.storeLost {
		f.log.WithField("event", "watch-handed").Info("another instance of the failure domain watches the store")
	}
	f.storeLost = false
}

// followTargets reads the list of targets and polls for changes until ctx ends.
func (f *follower) followTargets(ctx context.Context) {
	pause := minStoreBackoff
	watching := false
	for ctx.Err() == nil {
		if isWatcher := f.isWatcher(); isWatcher != watching {
			watching = isWatcher
			f.log.WithFields(logrus.Fields{"event": "watch", "watching": watching}).Info("watch of the targets begun or ended")
		}
		if !watching {
			bbclock.Wait(ctx, watcherCheckInterval)
			continue
		}
		entries, rev, err := f.store.List(ctx, bbplatform.PrefixTargets)
		f.recordCall(err)
		if err == nil {
			pause = minStoreBackoff
			f.onTargetsRead(f.applyTargetList(entries, rev, f.removedSince(ctx, entries, rev)))
			if f.watchTargets(ctx, rev) {
				continue
			}
		}
		bbclock.Wait(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
}

// recordCall records whether a call for targets was answered.
func (f *follower) recordCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && !errors.Is(err, bbstore.ErrCompacted) {
		f.outage.failed(f.now())
		return
	}
	f.outage.answered(f.now())
}

// watchTargets polls for changes every targetPollInterval. It returns false
// when a call failed, and true when the list has to be read again at once,
// another instance watches or ctx has ended.
func (f *follower) watchTargets(ctx context.Context, from bbstore.Revision) bool {
	for first := true; ; first = false {
		events, rev, err := f.store.Poll(ctx, bbplatform.PrefixTargets, from, targetPollWait)
		f.recordCall(err)
		if errors.Is(err, bbstore.ErrCompacted) {
			if first {
				bbclock.Wait(ctx, targetPollInterval) // no history at all
			}
			return true
		}
		if err != nil || rev < from {
			return false
		}
		from = rev
		f.onTargetsRead(f.applyEvents(events, wayPoll))
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

// applyTargetList applies the whole list of targets as of a revision. Targets
// that are not in it have been deleted, or lost if the store has gone back since
// and they are not in removed.
func (f *follower) applyTargetList(list []bbstore.Entry, rev bbstore.Revision, removed map[string]bool) []bbstore.Entry {
	listed := map[string]bool{}
	events := make([]bbstore.Event, 0, len(list))
	for _, e := range list {
		listed[e.Key] = true
		events = append(events, bbstore.Event{Entry: e})
	}
	f.mu.Lock()
	newEra := f.left.listed(rev, f.now())
	if newEra {
		for id := range f.missingUntil {
			f.missingUntil[id] = f.now().Add(eraTargetGrace)
		}
	}
	for id, e := range f.entries {
		if !listed[e.Key] && e.Value != nil && e.Rev <= rev {
			f.left.lost[id] = newEra && !removed[e.Key]
			events = append(events, bbstore.Event{Entry: bbstore.Entry{Key: e.Key, Rev: rev}})
		}
	}
	f.mu.Unlock()
	return f.applyEvents(events, wayList)
}

// applyEvents applies changes of targets, in any order: the one with the highest
// revision wins. It returns the entries that changed anything.
func (f *follower) applyEvents(events []bbstore.Event, way newsWay) []bbstore.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.removeExpired()
	for _, e := range f.left.withheld {
		events = append(events, e)
	}
	var deleted []bbunit.TargetID
	for _, e := range events {
		if f.applyEvent(e, way) {
			applied = append(applied, e.Entry)
		} else if e.Value == nil {
			deleted = append(deleted, bbunit.TargetID(strings.TrimPrefix(e.Key, bbplatform.PrefixTargets)))
		}
	}
	for _, id := range deleted { // once all of the message are known
		if f.removeTarget(id, way) {
			applied = append(applied, f.entries[id])
		}
	}
	if len(applied) > 0 || f.board.Services.Load() == nil {
		f.board.Services.Store(f.targets.ByService())
	}
	return applied
}

// applyEvent applies one change and reports whether the targets changed. Of a
// deletion it only takes note.
func (f *follower) applyEvent(e bbstore.Event, way newsWay) bool {
	name, ok := strings.CutPrefix(e.Key, bbplatform.PrefixTargets)
	id := bbunit.TargetID(name)
	if !ok || e.Rev <= f.entries[id].Rev {
		return false
	}
	if e.Value == nil {
		f.entries[id] = e.Entry
		delete(f.left.withheld, id)
		return false
	}
	target, err := bbplatform.ParseTarget(e.Key, e.Value)
	if err == nil && f.withhold(e, &target) {
		return false
	}
	if err != nil {
		f.ignoreEntry(id, e.Entry, err)
		return false
	}
	f.entries[id] = e.Entry
	delete(f.missingUntil, id)
	delete(f.left.lost, id)
	old := f.targets.targets[id]
	if old != nil && old.StartedAtMillis != target.StartedAtMillis {
		f.cold.gone(old)
		f.onTargetEnded(old.Run())
	}
	if old == nil || old.Run() != target.Run() {
		f.onTargetStarted(target)
	}
	if target.Leaving {
		f.left.add(target.Run(), e.Rev, false, f.now())
		f.onTargetLeaving(target.Run())
	}
	coldChanged := f.cold.hearEntry(&target, e.Value)
	changed := f.targets.Put(target)
	if changed {
		f.log.WithFields(logrus.Fields{"event": "target", "target": target.ID, "address": target.Address, "domain": target.Domain, "version": target.Version, "leaving": target.Leaving, "revision": e.Rev, "way": way.String()}).Info("target changed")
	}
	return changed || coldChanged
}

// ignoreEntry takes note of an entry that names no target. What is known of the target of
// that id holds: a sound entry, or the end of this one, replaces it.
func (f *follower) ignoreEntry(id bbunit.TargetID, e bbstore.Entry, err error) {
	f.invalidEntries.Inc(1)
	if old := f.entries[id]; old.Value == nil || len(old.Value) > 0 { // logged once
		f.log.WithError(err).WithFields(logrus.Fields{"event": "target-invalid", "key": clipped(e.Key), "bytes": len(e.Value), "revision": e.Rev}).Warn("invalid entry of a target ignored")
	}
	e.Value = []byte{} // neither kept nor told to peers
	f.entries[id] = e
}

// clipped returns the start of a key of another writer, for the log.
func clipped(key string) string { return key[:min(len(key), maxLoggedKey)] }
