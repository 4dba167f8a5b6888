package bbport

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// poisonTracker remembers which requests crashed targets. Reading takes no lock.
type poisonTracker struct {
	policy    bbroute.PoisonPolicy
	table     atomic.Pointer[bbroute.CrashTable]
	knownGood bbroute.KnownGood

	mu     sync.Mutex // guards writing the table, and cursor
	cursor int
}

func newPoisonTracker(rule bbroute.PoisonPolicy) *poisonTracker {
	p := &poisonTracker{policy: rule}
	p.table.Store(&bbroute.CrashTable{})
	return p
}

// crashCount returns how many targets crashed with the fingerprint in flight.
func (p *poisonTracker) crashCount(fingerprint uint64) int {
	if fingerprint == 0 {
		return 0
	}
	return p.table.Load().CrashCount(fingerprint)
}

// isPoisoned tells that the request is refused for good.
func (p *poisonTracker) isPoisoned(fingerprint uint64) bool {
	return p.crashCount(fingerprint) >= p.policy.CrashThreshold
}

// recordCrash notes that the target crashed with the request in flight, and tells
// whether that was news. A request that has run whole not long ago is not to
// blame.
func (p *poisonTracker) recordCrash(fingerprint uint64, target bbunit.TargetID, now time.Time) bool {
	return fingerprint != 0 && !p.knownGood.Contains(fingerprint) && p.merge(fingerprint, []bbunit.TargetID{target}, now)
}

// merge adds targets to the fingerprint's and tells whether that was news.
func (p *poisonTracker) merge(fingerprint uint64, targets []bbunit.TargetID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, changed := p.table.Load().With(fingerprint, targets, now, &p.policy)
	if changed {
		p.table.Store(next)
	}
	return changed
}

// tick forgets old suspects.
func (p *poisonTracker) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if table := p.table.Load(); table.Len() > 0 {
		p.table.Store(table.Expire(now, &p.policy))
	}
}

// fillGossip adds the new marks, and in turn a few of the older ones.
func (p *poisonTracker) fillGossip(g *bbwire.Gossip, now time.Time) {
	records := p.table.Load().Records()
	n := 0
	for n < len(records) && n < maxNewPoisonsPerMessage && now.Sub(records[n].UpdatedAt) < poisonNewFor {
		n++
	}
	selected, older := records[:n:n], records[n:]
	p.mu.Lock()
	for range min(maxOldPoisonsPerMessage, len(older)) {
		p.cursor = (p.cursor + 1) % len(older)
		selected = append(selected, older[p.cursor])
	}
	p.mu.Unlock()
	for _, record := range selected {
		g.Poisons = append(g.Poisons, newPoisonMessage(&record))
	}
}

// newPoisonMessage is a mark as a message.
func newPoisonMessage(record *bbroute.CrashRecord) *bbwire.Poison {
	names := make([]string, len(record.Targets))
	for i, t := range record.Targets {
		names[i] = string(t)
	}
	return &bbwire.Poison{Print: record.Fingerprint, Crashes: uint32(len(names)), Targets: names}
}

// message returns the fingerprint's mark as a message, nil when there is none.
func (p *poisonTracker) message(fingerprint uint64) *bbwire.Poison {
	for _, record := range p.table.Load().Records() {
		if record.Fingerprint == fingerprint {
			return newPoisonMessage(&record)
		}
	}
	return nil
}

// mergeGossip joins another instance's marks. It returns the fingerprints of which it
// learned something, and how many marks it dropped as bad.
func (p *poisonTracker) mergeGossip(poisons []*bbwire.Poison, now time.Time) (changed []uint64, dropped int) {
	for _, message := range poisons {
		if message.GetPrint() == 0 || len(message.GetTargets()) == 0 || len(message.Targets) > maxTargetsPerPoison {
			dropped++
			continue
		}
		targets := make([]bbunit.TargetID, len(message.Targets))
		for i, t := range message.Targets {
			targets[i] = bbunit.TargetID(t)
		}
		if p.merge(message.Print, targets, now) {
			changed = append(changed, message.Print)
		}
	}
	return changed, dropped
}
