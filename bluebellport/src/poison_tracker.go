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
func (p *poisonTracker) crashCount(fp uint64) int {
	if fp == 0 {
		return 0
	}
	return p.table.Load().CrashCount(fp)
}

// isPoisoned tells that the request is refused for good.
func (p *poisonTracker) isPoisoned(fp uint64) bool {
	return p.crashCount(fp) >= p.policy.CrashThreshold
}

// recordCrash notes that the target crashed with the request in flight, and tells
// whether that was news. A request that has run whole not long ago is not to
// blame.
func (p *poisonTracker) recordCrash(fp uint64, t bbunit.TargetID, now time.Time) bool {
	return fp != 0 && !p.knownGood.Contains(fp) && p.merge(fp, []bbunit.TargetID{t}, now)
}

// merge adds targets to the fingerprint's and tells whether that was news.
func (p *poisonTracker) merge(fp uint64, targets []bbunit.TargetID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, news := p.table.Load().With(fp, targets, now, &p.policy)
	if news {
		p.table.Store(next)
	}
	return news
}

// tick forgets old suspects.
func (p *poisonTracker) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.table.Load(); old.Len() > 0 {
		p.table.Store(old.Expire(now, &p.policy))
	}
}

// fillGossip adds the new marks, and in turn a few of the older ones.
func (p *poisonTracker) fillGossip(g *bbwire.Gossip, now time.Time) {
	all := p.table.Load().Records()
	n := 0
	for n < len(all) && n < maxNewPoisonsPerMessage && now.Sub(all[n].UpdatedAt) < poisonNewFor {
		n++
	}
	marks, older := all[:n:n], all[n:]
	p.mu.Lock()
	for range min(maxOldPoisonsPerMessage, len(older)) {
		p.cursor = (p.cursor + 1) % len(older)
		marks = append(marks, older[p.cursor])
	}
	p.mu.Unlock()
	for _, m := range marks {
		g.Poisons = append(g.Poisons, newPoisonMessage(&m))
	}
}

// newPoisonMessage is a mark as a message.
func newPoisonMessage(m *bbroute.CrashRecord) *bbwire.Poison {
	names := make([]string, len(m.Targets))
	for i, t := range m.Targets {
		names[i] = string(t)
	}
	return &bbwire.Poison{Print: m.Fingerprint, Crashes: uint32(len(names)), Targets: names}
}

// message returns the fingerprint's mark as a message, nil when there is none.
func (p *poisonTracker) message(fp uint64) *bbwire.Poison {
	for _, m := range p.table.Load().Records() {
		if m.Fingerprint == fp {
			return newPoisonMessage(&m)
		}
	}
	return nil
}

// mergeGossip joins another instance's marks. It returns the fingerprints of which it
// learned something, and how many marks it dropped as bad.
func (p *poisonTracker) mergeGossip(poisons []*bbwire.Poison, now time.Time) (news []uint64, dropped int) {
	for _, m := range poisons {
		if m.GetPrint() == 0 || len(m.GetTargets()) == 0 || len(m.Targets) > maxTargetsPerPoison {
			dropped++
			continue
		}
		targets := make([]bbunit.TargetID, len(m.Targets))
		for i, t := range m.Targets {
			targets[i] = bbunit.TargetID(t)
		}
		if p.merge(m.Print, targets, now) {
			news = append(news, m.Print)
		}
	}
	return news, dropped
}
