package bbproxy

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// leftTargets knows the runs of targets that the store has said to leave or to be
// gone. When the store comes back from an older copy, the copy may still list them
// as ready: such entries are withheld.
type leftTargets struct {
	runs     map[bbplan.TargetRun]leftRun
	withheld map[bbunit.TargetID]bbstore.Event // looked at again with the next news
	// lost holds the targets that the first listing of an era lacks, and that
	// nobody has removed: they may only be newer than the copy.
	lost map[bbunit.TargetID]bool
	// eraStart is the revision of the first listing of the newest era seen, eraAt
	// when it was read. Both are zero in an instance that has read no listing since
	// the store went back.
	eraStart bbstore.Revision
	eraAt    time.Time
	// heardEra is the newest era of an entry that was withheld or passed, heardAt
	// when it was first heard of. They serve instances that read no listings.
	heardEra bbstore.Era
	heardAt  time.Time
}

// leftRun is when a run left.
type leftRun struct {
	rev  bbstore.Revision // of the entry that said so
	gone bool             // the entry was removed
	at   time.Time
}

func newLeftTargets() *leftTargets {
	return &leftTargets{runs: map[bbplan.TargetRun]leftRun{}, withheld: map[bbunit.TargetID]bbstore.Event{}, lost: map[bbunit.TargetID]bool{}}
}

// listed notes the revision of a listing, and reports whether it is the first of
// a new era.
func (l *leftTargets) listed(rev bbstore.Revision, now time.Time) bool {
	if rev.Era() <= l.eraStart.Era() {
		return false
	}
	l.eraStart, l.eraAt = rev, now
	return true
}

// add notes that a run leaves or is gone, and forgets those that left long ago.
func (l *leftTargets) add(run bbplan.TargetRun, rev bbstore.Revision, gone bool, now time.Time) {
	for old, left := range l.runs {
		if now.Sub(left.at) > leftRetention {
			delete(l.runs, old)
		}
	}
	if run.ID != "" {
		l.runs[run] = leftRun{rev: rev, gone: gone, at: now}
	}
}

// withholds reports whether an entry that calls a run ready is only that of an
// older copy. A run that was leaving stays so in later eras; one that was gone is
// back if its entry was written again, or is still there after goneHold.
func (l *leftTargets) withholds(run bbplan.TargetRun, rev bbstore.Revision, now time.Time) bool {
	left, ok := l.runs[run]
	if !ok || rev.Era() == left.rev.Era() {
		return false
	}
	if !left.gone && run.StartedAtMillis != 0 {
		return true
	}
	if rev.Era() > l.heardEra {
		l.heardEra, l.heardAt = rev.Era(), now
	}
	if rev.Era() > l.eraStart.Era() {
		return now.Sub(l.heardAt) < goneHold
	}
	return rev <= l.eraStart && now.Sub(l.eraAt) < goneHold
}

// withhold reports whether an entry of a target is withheld, and keeps it to be
// looked at again.
func (f *follower) withhold(e bbstore.Event, target *bbplan.Target) bool {
	run := target.Run()
	if target.Leaving || !f.left.withholds(run, e.Rev, f.now()) {
		delete(f.left.withheld, target.ID)
		return false
	}
	if _, known := f.left.withheld[target.ID]; !known {
		f.log.WithFields(logrus.Fields{"event": "target-withheld", "target": target.ID, "revision": e.Rev}).Info("entry of an older copy ignored: the target has left")
	}
	f.left.withheld[target.ID] = e
	return true
}

// removedSince returns the keys of known targets that are not in the first listing
// of a new era and have been removed in that era, not lost with the old one. It
// polls the store once if a target is missing.
func (f *follower) removedSince(ctx context.Context, list []bbstore.Entry, rev bbstore.Revision) map[string]bool {
	from := f.oldestMissing(list, rev)
	if from == 0 {
		return nil
	}
	events, _, err := f.store.Poll(ctx, bbplatform.PrefixTargets, from, targetPollWait)
	if err != nil { // the store does not have that revision: the targets are newer than the copy
		return nil
	}
	removed := map[string]bool{}
	for _, e := range events {
		removed[e.Key] = e.Value == nil
	}
	return removed
}

// oldestMissing returns, in the era of a listing, the oldest revision of the known
// targets that it lacks, 0 if it lacks none or is not the first of its era. Those
// above the listing's revision are certainly newer than the copy.
func (f *follower) oldestMissing(list []bbstore.Entry, rev bbstore.Revision) bbstore.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev.Era() <= f.left.eraStart.Era() {
		return 0
	}
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.Key] = true
	}
	oldest := int64(0)
	for _, e := range f.entries {
		if c := e.Rev.Counter(); !listed[e.Key] && e.Value != nil && c <= rev.Counter() && (oldest == 0 || c < oldest) {
			oldest = c
		}
	}
	return bbstore.NewRevision(rev.Era(), oldest)
}
