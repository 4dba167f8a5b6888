package bbport

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sharedLimits shares the limits of accounts and services among the instances of the
// failure domain, by the usage that they tell each other.
type sharedLimits struct {
	deps       Deps
	mu         sync.Mutex // guards the fields below; not on the path of a request
	ownUsage   map[string]bbroute.Usage
	peerUsage  map[string]map[bbunit.InstanceID]reportedUsage
	lastTickAt time.Time
	// cursor tells whose turn it is in messages that cannot hold all usage.
	cursor int
}

// reportedUsage is another instance's usage and when it was heard.
type reportedUsage struct {
	usage      bbroute.Usage
	receivedAt time.Time
}

func newSharedLimits(p Deps) *sharedLimits {
	return &sharedLimits{deps: p, peerUsage: make(map[string]map[bbunit.InstanceID]reportedUsage)}
}

// tick sets the shares of all limits anew.
func (l *sharedLimits) tick(t *bbroute.Table, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := now.Sub(l.lastTickAt)
	if l.lastTickAt.IsZero() {
		past = 0
	}
	l.lastTickAt = now
	n := l.domainInstances()
	l.ownUsage = make(map[string]bbroute.Usage)
	for _, lim := range t.Limiters() {
		own := lim.UpdateUsage(past)
		l.ownUsage[lim.Key] = own
		lim.UpdateShare(own, l.freshPeerUsage(lim.Key, now), n)
	}
	l.expirePeerUsage(now)
}

// freshPeerUsage returns what the other instances told of the key, in no order.
func (l *sharedLimits) freshPeerUsage(key string, now time.Time) []bbroute.Usage {
	var out []bbroute.Usage
	for _, u := range l.peerUsage[key] {
		if now.Sub(u.receivedAt) <= usageRetention {
			out = append(out, u.usage)
		}
	}
	return out
}

// expirePeerUsage drops what is too old.
func (l *sharedLimits) expirePeerUsage(now time.Time) {
	for key, by := range l.peerUsage {
		for id, u := range by {
			if now.Sub(u.receivedAt) > usageRetention {
				delete(by, id)
			}
		}
		if len(by) == 0 {
			delete(l.peerUsage, key)
		}
	}
}

// domainInstances counts the instances of the own failure domain, this one included.
func (l *sharedLimits) domainInstances() int {
	n := 0
	for _, m := range l.deps.Board.View.Load().Members {
		if string(m.Domain) == l.deps.Opts.Self.Domain {
			n++
		}
	}
	return max(n, 1)
}

// fillGossip adds this instance's usage: when it does not fit, that of the busiest
// limits, and in turn that of the others.
func (l *sharedLimits) fillGossip(g *bbwire.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := busiestUsageKeys(l.ownUsage)
	if len(keys) > maxUsagesPerMessage {
		others := keys[maxUsagesPerMessage/2:]
		keys = keys[: maxUsagesPerMessage/2 : maxUsagesPerMessage/2]
		for range maxUsagesPerMessage / 2 {
			l.cursor = (l.cursor + 1) % len(others)
			keys = append(keys, others[l.cursor])
		}
	}
	for _, key := range keys {
		u := l.ownUsage[key]
		g.Usages = append(g.Usages, &bbwire.Usage{
			Key: key, Instance: l.deps.Opts.Self.Instance, Rate: u.Rate, Open: uint32(u.InFlight),
		})
	}
}

// mergeGossip reads what another instance of the failure domain uses, and returns how
// many entries it dropped.
func (l *sharedLimits) mergeGossip(from bbunit.InstanceID, usages []*bbwire.Usage, now time.Time) int {
	if len(usages) == 0 {
		return 0
	}
	m, ok := l.deps.Board.View.Load().Find(from)
	if !ok || string(m.Domain) != l.deps.Opts.Self.Domain || m.ID == l.deps.Opts.Self.ID() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := 0
	for _, u := range usages {
		if bbunit.InstanceID(u.Instance) != from || !(u.Rate >= 0 && u.Rate < maxUsageRate) || u.Open > maxUsageInFlight {
			dropped++
			continue
		}
		if _, known := l.ownUsage[u.Key]; !known {
			dropped++
			continue
		}
		by := l.peerUsage[u.Key]
		if by == nil {
			by = make(map[bbunit.InstanceID]reportedUsage)
			l.peerUsage[u.Key] = by
		}
		by[from] = reportedUsage{usage: bbroute.Usage{Rate: u.Rate, InFlight: int(u.Open)}, receivedAt: now}
	}
	return dropped
}
