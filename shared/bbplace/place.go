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
	// reportMaxAge is how long a report of load is of use.
	reportMaxAge = 1500 * time.Millisecond
	// otherDomainCost is what it costs to leave the failure domain.
	otherDomainCost = 3 * time.Millisecond
	// fullLoadCost is what a target with all slots taken costs more than an empty
	// one.
	fullLoadCost = 60 * time.Millisecond
	// failureCost is the cost of a target all of whose answers fail.
	failureCost = 250 * time.Millisecond
	// maxJitter bounds the part of chance in a cost, which keeps instances that
	// know the same from all choosing the same target.
	maxJitter = 2 * time.Millisecond
	// failureSmoothing is how far one result moves the mean of failures.
	failureSmoothing = 0.15
	// maxLoad is the load above which a target gets nothing, in parts of its slots.
	maxLoad = 1.6
	// defaultSlots is for targets that name none.
	defaultSlots = 8
	// prefillTokensPerMilli is how many tokens of a prompt an engine reads in a
	// millisecond.
	prefillTokensPerMilli = 140
)

// TargetState is what one instance knows of a target. The zero value knows nothing.
type TargetState struct {
	Circuit      bbroute.Circuit
	inFlight     atomic.Int64
	lastReport   atomic.Pointer[loadReport]
	failureRate  atomic.Uint64 // bits of the mean of failures, 0 to 1
	backOffUntil atomic.Int64  // gets nothing until, in ns of the steady clock
	prefillUntil atomic.Int64  // reads prompts until, in ns of the steady clock
}

type loadReport struct {
	running, waiting, slots int
	ownInFlight             int64 // in flight from here when it was made
	receivedAt              time.Time
}

// Begin counts a request in flight; End takes it away.
func (s *TargetState) Begin() { s.inFlight.Add(1) }

// End takes away what Begin counted.
func (s *TargetState) End() { s.inFlight.Add(-1) }

// InFlight returns how many requests of this instance the target has.
func (s *TargetState) InFlight() int { return int(s.inFlight.Load()) }

// ReportLoad takes what a target tells of its load.
func (s *TargetState) ReportLoad(running, waiting, slots int, now time.Time) {
	s.lastReport.Store(&loadReport{running: running, waiting: waiting, slots: slots, ownInFlight: s.inFlight.Load(), receivedAt: now})
}

// BackOffUntil keeps requests away until a time.
func (s *TargetState) BackOffUntil(until time.Time) { s.backOffUntil.Store(until.UnixNano()) }

// AddPrefill notes that the target has been sent a prompt of which it has to read
// that many tokens.
func (s *TargetState) AddPrefill(n bbunit.Tokens, now time.Time) {
	duration := int64(prefillTime(n))
	for {
		old := s.prefillUntil.Load()
		if s.prefillUntil.CompareAndSwap(old, max(old, now.UnixNano())+duration) {
			return
		}
	}
}

// prefillTime is how long an engine reads that many tokens of a prompt.
func prefillTime(n bbunit.Tokens) time.Duration {
	return time.Duration(n) * time.Millisecond / prefillTokensPerMilli
}

// prefillBacklog is how long the target is still thought to read prompts.
func (s *TargetState) prefillBacklog(now time.Time) time.Duration {
	return max(time.Duration(s.prefillUntil.Load()-now.UnixNano()), 0)
}

// RecordResult notes whether a request that the target took ended well.
func (s *TargetState) RecordResult(ok bool) {
	result := 0.0
	if !ok {
		result = 1
	}
	for {
		old := s.failureRate.Load()
		mean := math.Float64frombits(old)
		if s.failureRate.CompareAndSwap(old, math.Float64bits(mean+failureSmoothing*(result-mean))) {
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
	own := float64(t.State.inFlight.Load())
	slots := t.Slots
	others := 0.0
	if r := t.State.lastReport.Load(); r != nil {
		if r.slots > 0 {
			slots = r.slots
		}
		if age := now.Sub(r.receivedAt); age < reportMaxAge {
			weight := 1 - float64(age)/float64(reportMaxAge)
			others = weight * max(float64(r.running+r.waiting)-float64(r.ownInFlight), 0)
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
func Choose(targets []*Target, req *Request, now time.Time) (int, Reason) {
	cached := cacheTarget(targets, req, now)
	best, minCost := -1, time.Duration(math.MaxInt64)
	reason := ReasonNoneUsable
	for i, t := range targets {
		if !usable(t, req, now) {
			continue
		}
		load := t.load(now)
		if load >= maxLoad {
			reason = ReasonAllFull
			continue
		}
		cost := t.State.prefillBacklog(now) + prefillTime(req.UncachedTokens(i == cached)) + time.Duration(load*float64(fullLoadCost))
		cost += time.Duration(float64(failureCost) * math.Float64frombits(t.State.failureRate.Load()))
		if t.Domain != req.Domain {
			cost += otherDomainCost
		}
		cost += time.Duration(splitmix64(req.Random+uint64(i)) % uint64(maxJitter))
		if cost < minCost {
			best, minCost = i, cost
		}
	}
	return best, reason
}

// UncachedTokens returns how many tokens of the prompt a target has to read, which is
// the prompt's home or not.
func (r *Request) UncachedTokens(cached bool) bbunit.Tokens {
	if cached {
		return r.PromptTokens - r.SharedTokens
	}
	return r.PromptTokens
}

// IsCacheTarget tells whether a target is where the prompt's shared parts are kept.
func IsCacheTarget(targets []*Target, i int, req *Request, now time.Time) bool {
	return i >= 0 && cacheTarget(targets, req, now) == i
}

// cacheTarget returns the index of the target that a prompt hashes to, -1 for none.
func cacheTarget(targets []*Target, req *Request, now time.Time) int {
	best, maxHash := -1, uint64(0)
	if req.PromptHash == 0 {
		return best
	}
	for i, t := range targets {
		if t.Leaving || !t.State.Circuit.Usable(now) {
			continue
		}
		if hash := splitmix64(req.PromptHash ^ xxhash.Sum64String(string(t.ID))); best < 0 || hash > maxHash {
			best, maxHash = i, hash
		}
	}
	return best
}

func usable(t *Target, req *Request, now time.Time) bool {
	if t.Leaving || !t.State.Circuit.Usable(now) || now.UnixNano() < t.State.backOffUntil.Load() {
		return false
	}
	for _, id := range req.Excluded {
		if id == t.ID {
			return false
		}
	}
	return true
}

// splitmix64 mixes the bits of x (splitmix64).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
