package bblimit

import (
	"time"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
)

// A derived limit is one that instances work out for a target, such as that of a cold one,
// beside the limit that the target names. It has an entry, homes and permits of its own, so
// that the lower one counts, and differs in these points, as its bound holds in any second
// and over all instances, also those that are cut off:
//
//   - It is a lease: it lapses derivedTTL after the last instance has renewed it. Its end
//     needs no message, and an instance that is wrong about it ends it for no other.
//   - Its homes are the first three in rank, whoever is silent. An instance that sees no
//     majority of the instances that it has known of late grants nothing.
//   - Its permits are used within derivedLateness of their places in the lines, or not at
//     all, and a question that one home denies is denied.
const (
	// derivedTTL is how long a derived limit holds after it was last renewed.
	derivedTTL = time.Second
	// derivedPatience is the longest delay of its permits, derivedLifetime how long they can
	// be used.
	derivedPatience = 200 * time.Millisecond
	derivedLifetime = 80 * time.Millisecond
	derivedLateness = derivedPatience + derivedLifetime
	// fleetMemory is how long an instance remembers how many others there were: one side of
	// a partition that lasts longer can take itself for the whole fleet.
	fleetMemory = 2 * time.Minute
	// shrinkPause is how long no home grants after several members were lost within that time,
	// two of which may be homes: the lists of the others may still name them.
	shrinkPause = 2 * time.Second
)

// derivedRun returns the key of a target's derived limit. Targets name no start before 1970.
func derivedRun(run bbplan.TargetRun) bbplan.TargetRun {
	run.StartedAtMillis = ^run.StartedAtMillis
	return run
}

func isDerived(run bbplan.TargetRun) bool { return run.StartedAtMillis < 0 }

// Derive sets or renews the derived limit of a target.
func (k *Keeper) Derive(run bbplan.TargetRun, perSecond float64) {
	now := k.cfg.Now()
	k.Observe(derivedRun(run), Statement{Limit: perSecond, Even: true, SentAt: now, HeardAt: now})
}

// ttl returns how long an entry is kept after the statement that it is from.
func (e *entry) ttl() time.Duration {
	switch {
	case isDerived(e.run):
		return derivedTTL
	case e.statement.Ended:
		return endedTTL
	}
	return entryTTL
}

// newDerivedHome returns a home that grants nothing as long as permits of the homes before it
// may still be used.
func newDerivedHome(limit float64, now time.Time) *home {
	h := newHome(limit, now)
	h.line.next = h.line.next.Add(derivedLateness)
	return h
}

// derivedExpiry returns until when a permit of a derived limit may be used: within
// derivedLateness of its place in each line.
func (r *round) derivedExpiry() time.Time {
	var first time.Time
	for _, h := range r.homes {
		if !h.answered || h.tell.count == 0 {
			continue
		}
		end := h.askedAt.Add(derivedLateness)
		if h.tell.delay > 0 {
			end = h.heardAt.Add(h.tell.delay + derivedLifetime)
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// fleetPeak remembers the largest number of members in the last fleetMemory.
type fleetPeak struct {
	since          time.Time
	current, older int
	last           int
	// lostAt is when a member was last lost, shrunkAt when several were within shrinkPause.
	lostAt, shrunkAt time.Time
}

// note takes the number of members, at a time.
func (p *fleetPeak) note(members int, now time.Time) {
	if now.Sub(p.since) >= fleetMemory {
		p.older, p.current, p.since = max(p.current, p.last), 0, now
	}
	if members < p.last {
		if p.last-members > 1 || !p.lostAt.IsZero() && now.Sub(p.lostAt) < shrinkPause {
			p.shrunkAt = now
		}
		p.lostAt = now
	}
	p.last, p.current = members, max(p.current, members)
}

// mayGrant reports whether an instance that sees so many members may grant derived permits.
func (p *fleetPeak) mayGrant(members, listed int, now time.Time) bool {
	p.note(members, now)
	calm := p.shrunkAt.IsZero() || now.Sub(p.shrunkAt) >= shrinkPause
	return calm && 2*members > max(p.current, p.older, listed)
}

// grantsDerived reports whether this instance may grant permits of derived limits.
func (k *Keeper) grantsDerived(now time.Time) bool {
	listed := 0
	if k.cfg.Listed != nil {
		listed = k.cfg.Listed()
	}
	return k.peak.mayGrant(k.memberCount(), listed, now)
}

// memberCount returns how many instances this one believes to live, itself included.
func (k *Keeper) memberCount() int { return max(len(k.comparisons.View().Members), 1) }

// Limits applies the limits that targets name and derived ones together: where a target has
// both, a request needs a permit of each.
type Limits struct{ *Keeper }

// IsLimited reports whether a target has a limit. It takes no lock.
func (l Limits) IsLimited(run bbplan.TargetRun) bool {
	return l.Keeper.IsLimited(run) || l.IsDerived(run)
}

// IsDerived reports whether a target has a derived limit. It takes no lock.
func (l Limits) IsDerived(run bbplan.TargetRun) bool { return l.Keeper.IsLimited(derivedRun(run)) }

// LimitOf returns the lower limit of a target.
func (l Limits) LimitOf(run bbplan.TargetRun) (perSecond float64, limited bool) {
	perSecond, limited = l.Keeper.LimitOf(run)
	if derived, ok := l.Keeper.LimitOf(derivedRun(run)); ok && (!limited || derived < perSecond) {
		return derived, true
	}
	return perSecond, limited
}

// Access returns how a request may be sent to a target now.
func (l Limits) Access(run bbplan.TargetRun, asker Asker) bbplace.Access {
	own := l.Keeper.Access(run, asker)
	if own == bbplace.AccessClosed || !l.IsDerived(run) {
		return own
	}
	return l.Keeper.Access(derivedRun(run), asker)
}

// WaitFor returns the time until a caller should come back, see Keeper.WaitFor.
func (l Limits) WaitFor(run bbplan.TargetRun, asker Asker) time.Duration {
	wait := time.Duration(0)
	for _, key := range l.keys(run) {
		wait = max(wait, l.Keeper.WaitFor(key, asker))
	}
	return wait
}

// keys returns the entries of which a request to a target needs permits, the one whose
// permits last longer first.
func (l Limits) keys(run bbplan.TargetRun) []bbplan.TargetRun {
	if !l.IsDerived(run) {
		return []bbplan.TargetRun{run}
	}
	if !l.Keeper.IsLimited(run) {
		return []bbplan.TargetRun{derivedRun(run)}
	}
	return []bbplan.TargetRun{run, derivedRun(run)}
}

// Take takes the permits at hand, see Keeper.Take.
func (l Limits) Take(run bbplan.TargetRun) bool {
	return l.each(run, l.Keeper.Take)
}

// Acquire gets the permits for a request, see Keeper.Acquire.
func (l Limits) Acquire(run bbplan.TargetRun, asker Asker, gone <-chan struct{}) bool {
	return l.each(run, func(key bbplan.TargetRun) bool {
		return len(l.keys(run)) > 1 && l.Keeper.Take(key) || l.Keeper.Acquire(key, asker, gone)
	})
}

// each gets a permit of each limit of a target, or none.
func (l Limits) each(run bbplan.TargetRun, get func(key bbplan.TargetRun) bool) bool {
	keys := l.keys(run)
	for i, key := range keys {
		if !get(key) {
			for _, got := range keys[:i] {
				l.Keeper.Return(got)
			}
			return false
		}
	}
	return true
}

// Return puts back the permits that were taken and not used.
func (l Limits) Return(run bbplan.TargetRun) {
	for _, key := range l.keys(run) {
		l.Keeper.Return(key)
	}
}
