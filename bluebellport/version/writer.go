package bbversion

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// writerKey is the rendezvous hash key that ranks instances as writers of the
// split.
const writerKey = "versions"

// followStore reads the split from the store if that is due, and changes it there
// if it no longer fits the targets and this instance is its turn.
func (k *Keeper) followStore(ctx context.Context) {
	now := k.cfg.Now()
	current := k.state.Load()
	if k.readDue(current, now) {
		k.read(ctx)
		return
	}
	next := k.change(current, now)
	if next == nil {
		k.unfitSince = time.Time{}
		return
	}
	if k.unfitSince.IsZero() {
		k.unfitSince = now
	}
	rank, mayWrite := writerRank(k.cfg.Network.View())
	if mayWrite && !now.Before(k.nextWrite) && now.Sub(k.unfitSince) >= time.Duration(rank)*writerTakeover {
		k.write(ctx, next)
	}
}

// writerRank returns the place of this instance among those that may change the
// split, and whether it is one of them.
func writerRank(view *bbmember.View) (rank int, mayWrite bool) {
	if len(view.Members) <= 1 {
		return 0, true
	}
	writers := view.Rank(writerKey, "", writerRanks)
	rank = slices.IndexFunc(writers, func(m bbmember.Member) bool { return m.ID == view.Self.ID })
	return rank, rank >= 0
}

// readDue reports whether the split has to be read from the store. Of instances that
// start together few read it, after random times, and the others learn it from them.
// One that watches the store for others looks again and again while a split may
// change.
func (k *Keeper) readDue(current *state, now time.Time) bool {
	if !current.complete && k.nextRead.IsZero() && len(k.cfg.Network.View().Members) > 1 {
		k.nextRead = now.Add(time.Duration(k.cfg.Rand(int(startWait))))
	}
	if now.Before(k.nextRead) {
		return false
	}
	if !current.complete {
		return true
	}
	return k.cfg.IsWatcher() && (k.cfg.Store.Era() != k.readEra || current.split.isMoving() || k.hasSeveralVersions())
}

// isMoving reports whether a service has more than one epoch.
func (s *Split) isMoving() bool {
	for _, epochs := range s.Services {
		if len(epochs) > 1 {
			return true
		}
	}
	return false
}

// hasSeveralVersions reports whether targets of one service differ in version.
func (k *Keeper) hasSeveralVersions() bool {
	for _, slots := range *k.slots.Load() {
		if len(slots) > 1 {
			return true
		}
	}
	return false
}

// read reads the split from the store.
func (k *Keeper) read(ctx context.Context) {
	k.nextRead = k.cfg.Now().Add(refreshInterval)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked, known := k.cfg.Now(), k.state.Load().split.Number
	k.readEra = k.cfg.Store.Era()
	k.reads.Inc(1)
	entry, err := k.cfg.Store.Get(ctx, k.cfg.StoreKey)
	if err != nil {
		k.nextRead = k.cfg.Now().Add(startWait)
		k.cfg.Log.WithError(err).WithField("event", "versions-read").Warn("split of the versions not read from the store")
		return
	}
	split := &Split{}
	if len(entry.Value) > 0 {
		if split, err = decodeSplit(entry.Value); err != nil {
			k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "versions-read", "revision": entry.Rev}).Warn("split of the versions unreadable; it is written anew")
			split = &Split{}
		}
	}
	k.behind = split.Number < known
	k.stored(split, entry.Rev, asked)
}

// stored takes a split that the store held at the time at.
func (k *Keeper) stored(split *Split, rev bbstore.Revision, at time.Time) {
	k.revision = rev
	k.adopt(split, true)
	k.noteConfirmed(split, at)
}

// change returns the split that should follow the current one, nil if that fits. A
// store that has gone back to an older split is brought forward.
func (k *Keeper) change(current *state, now time.Time) *Split {
	if !current.complete {
		return nil
	}
	next := current.split
	for service, slots := range *k.slots.Load() {
		epochs := current.split.Services[service]
		newest := current.split.newest(service)
		switch {
		case len(slots) == 0 || newest != nil && newest.fits(slots):
		case newest == nil || len(epochs) < maxEpochs && (newest.hasIdle(slots) || now.Sub(current.learned[newest.Number]) >= minChangeInterval):
			next = next.with(service, slots)
		}
	}
	expired := func(service bbunit.ServiceID, i int) bool {
		epochs := next.Services[service]
		learned, known := current.learned[epochs[i+1].Number]
		return known && now.Sub(learned) > epochRetention
	}
	if next.any(expired) {
		next = next.without(expired)
	}
	if next == current.split && k.behind {
		next = next.without(func(bbunit.ServiceID, int) bool { return false })
	}
	if next == current.split {
		return nil
	}
	return next
}

// any reports whether fn is true of an epoch that is not the newest of its service.
func (s *Split) any(fn func(service bbunit.ServiceID, i int) bool) bool {
	for service, epochs := range s.Services {
		for i := range len(epochs) - 1 {
			if fn(service, i) {
				return true
			}
		}
	}
	return false
}

// write writes a split to the store, unless another instance has changed it.
func (k *Keeper) write(ctx context.Context, next *Split) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := k.cfg.Now()
	k.writes.Inc(1)
	rev, err := k.cfg.Store.CAS(ctx, k.cfg.StoreKey, next.encode(), k.revision, 0)
	switch {
	case err == nil:
		k.behind = false
		k.stored(next, rev, asked)
	case errors.Is(err, bbstore.ErrConflict):
		k.read(ctx)
	default:
		k.cfg.Log.WithError(err).WithField("event", "versions-write").Warn("split of the versions not written")
		k.nextWrite = k.cfg.Now().Add(minChangeInterval)
		k.read(ctx)
	}
}
