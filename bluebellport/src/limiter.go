package bbport

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// limiter shares the limits of accounts and services among the instances of the
// failure domain, by the usage that they tell each other.
type limiter struct {
	p    Parts
	mu   sync.Mutex // guards the fields below; not on the path of a request
	own  map[string]bbroute.Usage
	told map[string]map[bbunit.InstanceID]toldUsage
	last time.Time
	// cursor tells whose turn it is in messages that cannot hold all usage.
	cursor int
}

// toldUsage is another instance's usage and when it was heard.
type toldUsage struct {
	usage bbroute.Usage
	at    time.Time
}

func newLimiter(p Parts) *limiter {
	return &limiter{p: p, told: make(map[string]map[bbunit.InstanceID]toldUsage)}
}

// tick sets the shares of all limits anew.
func (l *limiter) tick(t *bbroute.Table, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := now.Sub(l.last)
	if l.last.IsZero() {
		past = 0
	}
	l.last = now
	n := l.peers()
	l.own = make(map[string]bbroute.Usage)
	for _, lim := range t.Limiters() {
		own := lim.UpdateUsage(past)
		l.own[lim.Key] = own
		lim.UpdateShare(own, l.others(lim.Key, now), n)
	}
	l.forget(now)
}

// others returns what the other instances told of the key, in no order.
func (l *limiter) others(key string, now time.Time) []bbroute.Usage {
	var out []bbroute.Usage
	for _, u := range l.told[key] {
		if now.Sub(u.at) <= usageKeep {
			out = append(out, u.usage)
		}
	}
	return out
}

// forget drops what is too old.
func (l *limiter) forget(now time.Time) {
	for key, by := range l.told {
		for id, u := range by {
			if now.Sub(u.at) > usageKeep {
				delete(by, id)
			}
		}
		if len(by) == 0 {
			delete(l.told, key)
		}
	}
}

// peers counts the instances of the own failure domain, this one included.
func (l *limiter) peers() int {
	n := 0
	for _, m := range l.p.Board.View.Load().Members {
		if string(m.Domain) == l.p.Opts.Self.Domain {
			n++
		}
	}
	return max(n, 1)
}

// fill adds this instance's usage: when it does not fit, that of the busiest
// limits, and in turn that of the others.
func (l *limiter) fill(g *bbwire.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := busyUsage(l.own)
	if len(keys) > usageMost {
		others := keys[usageMost/2:]
		keys = keys[: usageMost/2 : usageMost/2]
		for range usageMost / 2 {
			l.cursor = (l.cursor + 1) % len(others)
			keys = append(keys, others[l.cursor])
		}
	}
	for _, key := range keys {
		u := l.own[key]
		g.Usages = append(g.Usages, &bbwire.Usage{
			Key: key, Instance: l.p.Opts.Self.Instance, Rate: u.Rate, Open: uint32(u.InFlight),
		})
	}
}

// take reads what another instance of the failure domain uses, and returns how
// many entries it dropped.
func (l *limiter) take(from bbunit.InstanceID, usages []*bbwire.Usage, now time.Time) int {
	if len(usages) == 0 {
		return 0
	}
	m, ok := l.p.Board.View.Load().Find(from)
	if !ok || string(m.Domain) != l.p.Opts.Self.Domain || m.ID == l.p.Opts.Self.ID() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := 0
	for _, u := range usages {
		if bbunit.InstanceID(u.Instance) != from || !(u.Rate >= 0 && u.Rate < usageRateMost) || u.Open > usageOpenMost {
			dropped++
			continue
		}
		if _, known := l.own[u.Key]; !known {
			dropped++
			continue
		}
		by := l.told[u.Key]
		if by == nil {
			by = make(map[bbunit.InstanceID]toldUsage)
			l.told[u.Key] = by
		}
		by[from] = toldUsage{usage: bbroute.Usage{Rate: u.Rate, InFlight: int(u.Open)}, at: now}
	}
	return dropped
}
