package bbport

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sharedLimits divides the limits of accounts and services among the instances
// of the failure domain, according to the usage that they report by gossip.
type sharedLimits struct {
	deps       Deps
	mu         sync.Mutex // guards the fields below; not taken by requests
	ownUsage   map[string]bbroute.Usage
	peerUsage  map[string]map[bbunit.InstanceID]reportedUsage
	lastTickAt time.Time
	// cursor rotates through the limits whose usage does not fit into every
	// message.
	cursor int
}

// reportedUsage is another instance's usage of a limit.
type reportedUsage struct {
	usage      bbroute.Usage
	receivedAt time.Time
}

func newSharedLimits(deps Deps) *sharedLimits {
	return &sharedLimits{deps: deps, peerUsage: make(map[string]map[bbunit.InstanceID]reportedUsage)}
}

// tick updates this instance's share of every limit.
func (l *sharedLimits) tick(t *bbroute.Table, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastTickAt)
	if l.lastTickAt.IsZero() {
		elapsed = 0
	}
	l.lastTickAt = now
	n := l.domainInstances()
	l.ownUsage = make(map[string]bbroute.Usage)
	for _, limiter := range t.Limiters() {
		usage := limiter.UpdateUsage(elapsed)
		l.ownUsage[limiter.Key] = usage
		limiter.UpdateShare(usage, l.freshPeerUsage(limiter.Key, now), n)
	}
	l.expirePeerUsage(now)
}

// freshPeerUsage returns the other instances' usage of the limit, in no order.
func (l *sharedLimits) freshPeerUsage(key string, now time.Time) []bbroute.Usage {
	var out []bbroute.Usage
	for _, u := range l.peerUsage[key] {
		if now.Sub(u.receivedAt) <= usageRetention {
			out = append(out, u.usage)
		}
	}
	return out
}

// expirePeerUsage deletes usage older than usageRetention.
func (l *sharedLimits) expirePeerUsage(now time.Time) {
	for key, byInstance := range l.peerUsage {
		for id, u := range byInstance {
			if now.Sub(u.receivedAt) > usageRetention {
				delete(byInstance, id)
			}
		}
		if len(byInstance) == 0 {
			delete(l.peerUsage, key)
		}
	}
}

// domainInstances returns the number of instances in this failure domain, this
// one included.
func (l *sharedLimits) domainInstances() int {
	n := 0
	for _, m := range l.deps.Board.View.Load().Members {
		if string(m.Domain) == l.deps.Opts.Self.Domain {
			n++
		}
	}
	return max(n, 1)
}

// fillGossip adds this instance's usage to the message. If not all fits, half of
// the entries are the busiest limits, and the others take turns.
func (l *sharedLimits) fillGossip(g *bbwire.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := busiestUsageKeys(l.ownUsage)
	if len(keys) > maxUsagesPerMessage {
		rest := keys[maxUsagesPerMessage/2:]
		keys = keys[: maxUsagesPerMessage/2 : maxUsagesPerMessage/2]
		for range maxUsagesPerMessage / 2 {
			l.cursor = (l.cursor + 1) % len(rest)
			keys = append(keys, rest[l.cursor])
		}
	}
	for _, key := range keys {
		u := l.ownUsage[key]
		g.Usages = append(g.Usages, &bbwire.Usage{
			Key: key, Instance: l.deps.Opts.Self.Instance, Rate: u.Rate, Open: uint32(u.InFlight),
		})
	}
}

// mergeGossip records the usage reported by another instance of this failure
// domain, and returns the number of invalid entries dropped.
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
		if _, ok := l.ownUsage[u.Key]; !ok {
			dropped++
			continue
		}
		byInstance := l.peerUsage[u.Key]
		if byInstance == nil {
			byInstance = make(map[bbunit.InstanceID]reportedUsage)
			l.peerUsage[u.Key] = byInstance
		}
		byInstance[from] = reportedUsage{usage: bbroute.Usage{Rate: u.Rate, InFlight: int(u.Open)}, receivedAt: now}
	}
	return dropped
}
