package bbport

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// poisonTracker keeps crash records: which requests crashed which targets. Readers take no lock.
type poisonTracker struct {
	policy    bbroute.PoisonPolicy
	table     atomic.Pointer[bbroute.CrashTable]
	knownGood bbroute.KnownGood

	mu     sync.Mutex // guards cursor and replacing the table
	cursor int
}

func newPoisonTracker(policy bbroute.PoisonPolicy) *poisonTracker {
	p := &poisonTracker{policy: policy}
	p.table.Store(&bbroute.CrashTable{})
	return p
}

// crashCount returns the number of targets that crashed while a request with
// this fingerprint was in flight.
func (p *poisonTracker) crashCount(fingerprint uint64) int {
	if fingerprint == 0 {
		return 0
	}
	return p.table.Load().CrashCount(fingerprint)
}

// isPoisoned reports whether requests with this fingerprint are refused.
func (p *poisonTracker) isPoisoned(fingerprint uint64) bool {
	return p.crashCount(fingerprint) >= p.policy.CrashThreshold
}

// recordCrash records that the target crashed while the request was in flight,
// and reports whether that was new. A request that completed not long ago is not
// blamed.
func (p *poisonTracker) recordCrash(fingerprint uint64, target bbunit.TargetID, now time.Time) bool {
	return fingerprint != 0 && !p.knownGood.Contains(fingerprint) && p.merge(fingerprint, []bbunit.TargetID{target}, now)
}

// merge adds targets to the record of the fingerprint and reports whether any
// was new.
func (p *poisonTracker) merge(fingerprint uint64, targets []bbunit.TargetID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, changed := p.table.Load().With(fingerprint, targets, now, &p.policy)
	if changed {
		p.table.Store(next)
	}
	return changed
}

// tick expires old records.
func (p *poisonTracker) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if table := p.table.Load(); table.Len() > 0 {
		p.table.Store(table.Expire(now, &p.policy))
	}
}

// fillGossip adds the new records to the message, and a few older ones in turn.
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

// newPoisonMessage converts a record to a message.
func newPoisonMessage(record *bbroute.CrashRecord) *bbwire.Poison {
	names := make([]string, len(record.Targets))
	for i, t := range record.Targets {
		names[i] = string(t)
	}
	return &bbwire.Poison{Print: record.Fingerprint, Crashes: uint32(len(names)), Targets: names}
}

// message returns the record of the fingerprint as a message, or nil if there is
// none.
func (p *poisonTracker) message(fingerprint uint64) *bbwire.Poison {
	for _, record := range p.table.Load().Records() {
		if record.Fingerprint == fingerprint {
			return newPoisonMessage(&record)
		}
	}
	return nil
}

// mergeGossip merges another instance's records. It returns the fingerprints
// with new targets, and the number of malformed records dropped.
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
