// Package bbplace decides which target of a service gets a request, from what
// this instance has in flight, what targets last told of their load, and where
// the shared parts of the prompt are cached. It keeps no clock and does no input
// or output; choosing takes no lock.
package bbplace

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

const (
	// reportKeep is how long a report of load is of use.
	reportKeep = 1500 * time.Millisecond
	// otherDomain is what it costs to leave the failure domain.
	otherDomain = 3 * time.Millisecond
	// slotsTime is what a target with all slots taken costs more than an empty
	// one.
	slotsTime = 60 * time.Millisecond
	// failTime is the cost of a target all of whose answers fail.
	failTime = 250 * time.Millisecond
	// chanceTime bounds the part of chance in a cost, which keeps instances that
	// know the same from all choosing the same target.
	chanceTime = 2 * time.Millisecond
	// resultWeight is how far one result moves the mean of failures.
	resultWeight = 0.15
	// full is the load above which a target gets nothing, in parts of its slots.
	full = 1.6
	// defaultSlots is for targets that name none.
	defaultSlots = 8
	// prefillRate is how many tokens of a prompt an engine reads in a
	// millisecond.
	prefillRate = 140
)

// TargetState is what one instance knows of a target. The zero value knows nothing.
type TargetState struct {
	Circuit  bbroute.Circuit
	inflight atomic.Int64
	report   atomic.Pointer[report]
	fails    atomic.Uint64 // bits of the mean of failures, 0 to 1
	busy     atomic.Int64  // gets nothing until, in ns of the steady clock
	prefill  atomic.Int64  // reads prompts until, in ns of the steady clock
}

type report struct {
	running, waiting, slots int
	own                     int64 // in flight from here when it was made
	at                      time.Time
}

// Begin counts a request in flight; End takes it away.
func (k *TargetState) Begin() { k.inflight.Add(1) }

// End takes away what Begin counted.
func (k *TargetState) End() { k.inflight.Add(-1) }

// InFlight returns how many requests of this instance the target has.
func (k *TargetState) InFlight() int { return int(k.inflight.Load()) }

// ReportLoad takes what a target tells of its load.
func (k *TargetState) ReportLoad(running, waiting, slots int, now time.Time) {
	k.report.Store(&report{running: running, waiting: waiting, slots: slots, own: k.inflight.Load(), at: now})
}

// BackOffUntil keeps requests away until a time.
func (k *TargetState) BackOffUntil(until time.Time) { k.busy.Store(until.UnixNano()) }

// AddPrefill notes that the target has been sent a prompt of which it has to read
// that many tokens.
func (k *TargetState) AddPrefill(n bbunit.Tokens, now time.Time) {
	took := int64(prefillTime(n))
	for {
		old := k.prefill.Load()
		if k.prefill.CompareAndSwap(old, max(old, now.UnixNano())+took) {
			return
		}
	}
}

// prefillTime is how long an engine reads that many tokens of a prompt.
func prefillTime(n bbunit.Tokens) time.Duration {
	return time.Duration(n) * time.Millisecond / prefillRate
}

// backlog is how long the target is still thought to read prompts.
func (k *TargetState) backlog(now time.Time) time.Duration {
	return max(time.Duration(k.prefill.Load()-now.UnixNano()), 0)
}

// RecordResult notes whether a request that the target took ended well.
func (k *TargetState) RecordResult(ok bool) {
	v := 0.0
	if !ok {
		v = 1
	}
	for {
		old := k.fails.Load()
		was := math.Float64frombits(old)
		if k.fails.CompareAndSwap(old, math.Float64bits(was+resultWeight*(v-was))) {
			return
		}
	}
}

// Target is one target with what is known of it.
type Target struct {
	bbplan.Target
	State *TargetState
}

// load returns the requests that the target is thought to have, in parts of its
// slots.
func (t *Target) load(now time.Time) float64 {
	own := float64(t.State.inflight.Load())
	slots := t.Slots
	others := 0.0
	if r := t.State.report.Load(); r != nil {
		if r.slots > 0 {
			slots = r.slots
		}
		if age := now.Sub(r.at); age < reportKeep {
			part := 1 - float64(age)/float64(reportKeep)
			others = part * max(float64(r.running+r.waiting)-float64(r.own), 0)
		}
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	return (own + others) / float64(slots)
}

// Request is what a request asks of a placement.
type Request struct {
	Domain bbunit.DomainID
	// PromptHash is a hash of the parts that the prompt shares with others; 0 for
	// none. Shared is how many tokens they have, of Tokens in all.
	PromptHash                 uint64
	SharedTokens, PromptTokens bbunit.Tokens
	// Excluded are targets that are not to be used again.
	Excluded []bbunit.TargetID
	// Random breaks ties.
	Random uint64
}

// Reason tells why no target was chosen.
type Reason int

// Reasons for no target.
const (
	// ReasonNoneUsable means that no usable target is known.
	ReasonNoneUsable Reason = iota
	// ReasonAllFull means that all usable ones have as much as they may have.
	ReasonAllFull
)

// Choose returns the index of the target with the least cost, or -1 and why. The
// cost is a time: how long the target still reads other prompts, how long it
// would read this one, and what its load, its failures and its failure domain
// are counted as.
func Choose(targets []*Target, ask *Request, now time.Time) (int, Reason) {
	home := homeOf(targets, ask, now)
	best, least := -1, time.Duration(math.MaxInt64)
	why := ReasonNoneUsable
	for i, t := range targets {
		if !usable(t, ask, now) {
			continue
		}
		load := t.load(now)
		if load >= full {
			why = ReasonAllFull
			continue
		}
		cost := t.State.backlog(now) + prefillTime(ask.UncachedTokens(i == home)) + time.Duration(load*float64(slotsTime))
		cost += time.Duration(float64(failTime) * math.Float64frombits(t.State.fails.Load()))
		if t.Domain != ask.Domain {
			cost += otherDomain
		}
		cost += time.Duration(scramble(ask.Random+uint64(i)) % uint64(chanceTime))
		if cost < least {
			best, least = i, cost
		}
	}
	return best, why
}

// UncachedTokens returns how many tokens of the prompt a target has to read, which is
// the prompt's home or not.
func (a *Request) UncachedTokens(home bool) bbunit.Tokens {
	if home {
		return a.PromptTokens - a.SharedTokens
	}
	return a.PromptTokens
}

// IsCacheTarget tells whether a target is where the prompt's shared parts are kept.
func IsCacheTarget(targets []*Target, i int, ask *Request, now time.Time) bool {
	return i >= 0 && homeOf(targets, ask, now) == i
}

// homeOf returns the index of the target that a prompt hashes to, -1 for none.
func homeOf(targets []*Target, ask *Request, now time.Time) int {
	home, high := -1, uint64(0)
	if ask.PromptHash == 0 {
		return home
	}
	for i, t := range targets {
		if t.Leaving || !t.State.Circuit.Usable(now) {
			continue
		}
		if h := scramble(ask.PromptHash ^ xxhash.Sum64String(string(t.ID))); home < 0 || h > high {
			home, high = i, h
		}
	}
	return home
}

func usable(t *Target, ask *Request, now time.Time) bool {
	if t.Leaving || !t.State.Circuit.Usable(now) || now.UnixNano() < t.State.busy.Load() {
		return false
	}
	for _, id := range ask.Excluded {
		if id == t.ID {
			return false
		}
	}
	return true
}

// scramble mixes the bits of x (splitmix64).
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
