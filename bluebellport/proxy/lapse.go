package bbproxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// removeTarget removes a target whose entry is deleted, and reports whether it
// did. A target whose entry may be back soon is kept for a while.
func (f *follower) removeTarget(id bbunit.TargetID, way newsWay) bool {
	target := f.targets.targets[id]
	if target == nil || f.entries[id].Value != nil {
		return false
	}
	fields := logrus.Fields{"target": id, "revision": f.entries[id].Rev, "way": way.String()}
	if grace := f.graceOf(target); grace > 0 {
		if _, ok := f.missingUntil[id]; !ok {
			f.missingUntil[id] = f.now().Add(grace)
			f.log.WithFields(fields).WithField("event", "target-missing").Info("entry missing; target kept for a while")
		}
		return false
	}
	f.log.WithFields(fields).WithField("event", "target-gone").Info("target gone")
	f.remove(target)
	delete(f.missingUntil, id)
	return true
}

// graceOf returns how long a target without an entry is kept, 0 for not at all.
func (f *follower) graceOf(target *Target) time.Duration {
	switch {
	case target.Leaving:
		return 0
	case f.left.lost[target.ID]:
		return eraTargetGrace
	case f.mayHaveLapsed(target.Service):
		return missingTargetGrace
	}
	return 0
}

// mayHaveLapsed reports whether a missing entry of the service is more likely to
// have lapsed during an outage of the store than to have been removed: an outage
// has just ended, most entries of the service are missing, and at least two of
// all services are. A planned removal takes one entry while the store answers.
func (f *follower) mayHaveLapsed(service bbunit.ServiceID) bool {
	if !f.outage.endedRecently(f.now()) {
		return false
	}
	total, missing, missingOfAll := 0, 0, 0
	for _, target := range f.targets.targets {
		isMissing := !target.Leaving && f.entries[target.ID].Value == nil
		if isMissing {
			missingOfAll++
		}
		if target.Service != service {
			continue
		}
		total++
		if isMissing {
			missing++
		}
	}
	return 2*missing > total && missingOfAll >= 2
}

// remove removes a target.
func (f *follower) remove(target *Target) {
	if !target.Leaving {
		f.onTargetEnded(target.Run())
	}
	f.cold.gone(target)
	f.left.add(target.Run(), f.entries[target.ID].Rev, true, f.now())
	f.targets.Remove(target.ID)
	delete(f.left.lost, target.ID)
}

// removeExpired removes the targets whose entry did not come back in time, and
// returns their entries.
func (f *follower) removeExpired() []bbstore.Entry {
	var removed []bbstore.Entry
	for id, deadline := range f.missingUntil {
		if !f.now().After(deadline) {
			continue
		}
		delete(f.missingUntil, id)
		if target := f.targets.targets[id]; target != nil {
			f.remove(target)
		}
		removed = append(removed, f.entries[id])
		f.log.WithFields(logrus.Fields{"event": "target-gone", "target": id}).Info("target did not return")
	}
	return removed
}

// hasMissing reports whether targets without an entry are kept for a while.
func (f *follower) hasMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.missingUntil) > 0
}
