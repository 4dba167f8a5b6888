// Package bbplace chooses the target of a request among the targets of a service.
// It considers the requests that this instance has in flight, the last load reports
// and failures of the targets, and where the shared prefix of the prompt is cached.
// The package reads no clock and does no I/O. Choosing takes no lock.
package bbplace

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

const (
	// reportMaxAge is the age at which a load report is no longer used. Its weight
	// falls linearly to 0 until then.
	reportMaxAge = 1500 * time.Millisecond
	// overfullCost is the cost of a target whose memory the request would overfill: more than
	// all other costs of a target that has room.
	overfullCost = time.Second
	// maxJitter bounds the random part of a cost, which keeps instances with the
	// same load reports from all choosing the same target.
	maxJitter = 2 * time.Millisecond
	// failureSmoothing is the weight of one result in the moving average of
	// failures.
	failureSmoothing = 0.15
	// maxLoad is the load from which a target gets no more requests, as a multiple of
	// its slots.
	maxLoad = 1.6
	// defaultSlots is assumed for targets that state no number of slots.
	defaultSlots = 8
	// permitBonus is how much cheaper a target is that a request may use although it
	// has a limit: what it takes is to be used before others are loaded more.
	permitBonus = 60 * time.Millisecond
)

// TargetState is what one instance has observed of a target. It is safe for
// concurrent use. The zero value has no observations.
type TargetState struct {
	Circuit      bbroute.Circuit
	inFlight     atomic.Int64
	lastReport   atomic.Pointer[loadReport]
	failureRate  atomic.Uint64 // float64 bits of the moving average, 0 to 1
	backOffUntil atomic.Int64  // Unix ns of the caller's steady clock
	pausedUntil  atomic.Int64  // the same
	prefillUntil atomic.Int64  // estimated end of queued prefills, on the same clock
	speed        atomic.Pointer[speed]
	idHash       atomic.Uint64 // hash of the target's id, 0 until it is needed
	refusals     refusals
	heldTokens   atomic.Int64 // of this instance's requests in flight
	heldBodies   atomic.Int64 // the bytes of their bodies
}

// loadReport is the last load report of a target.
type loadReport struct {
	bbplan.TargetLoad
	ownInFlight int64 // requests of this instance in flight at receivedAt
	receivedAt  time.Time
}

// Begin counts a request as in flight until End.
func (s *TargetState) Begin() { s.inFlight.Add(1) }

// End ends a request that Begin counted.
func (s *TargetState) End() { s.inFlight.Add(-1) }

// InFlight returns the number of this instance's requests in flight at the target.
func (s *TargetState) InFlight() int { return int(s.inFlight.Load()) }

// ReportLoad records a load report of the target.
func (s *TargetState) ReportLoad(load bbplan.TargetLoad, now time.Time) {
	s.lastReport.Store(&loadReport{TargetLoad: load, ownInFlight: s.inFlight.Load(), receivedAt: now})
}

// BackOffUntil excludes the target until the given time.
func (s *TargetState) BackOffUntil(until time.Time) { s.backOffUntil.Store(until.UnixNano()) }

// PauseUntil excludes the target until the given time, as it wants no requests
// before. Of several such times the latest counts. It reports whether this begins a
// pause.
func (s *TargetState) PauseUntil(until, now time.Time) (begins bool) {
	for {
		old := s.pausedUntil.Load()
		if !until.After(now) || old >= until.UnixNano() {
			return false
		}
		if s.pausedUntil.CompareAndSwap(old, until.UnixNano()) {
			return old <= now.UnixNano()
		}
	}
}

// PauseLeft returns how long the target still wants no requests, 0 if it wants
// some.
func (s *TargetState) PauseLeft(now time.Time) time.Duration {
	return max(time.Duration(s.pausedUntil.Load()-now.UnixNano()), 0)
}

// RecordResult records whether a request that the target accepted succeeded.
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

// Target is a target and its observed state.
type Target struct {
	bbplan.Target
	State *TargetState
}

// SlotsOf returns how many requests the target says that it runs at once, or what is
// assumed if it says nothing.
func SlotsOf(t *Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// Request holds the properties of a request that matter for the choice.
type Request struct {
	Domain bbunit.DomainID
	// PromptHash is the hash of the prefix that the prompt shares with other
	// prompts, 0 for none. The prefix has SharedTokens tokens, the whole prompt
	// PromptTokens.
	PromptHash                 uint64
	SharedTokens, PromptTokens bbunit.Tokens
	// LatencyObjective is the target latency of the answer, or of the first event of a
	// stream; GapObjective is the longest acceptable pause between events. 0 is none.
	LatencyObjective, GapObjective time.Duration
	// ByLoad means that the targets are compared by their load, the prompts queued and the
	// prompt to be read alone: those of a service that does not say how long work takes.
	ByLoad bool
	// TimeLeft is the time until the deadline, 0 if that is not known.
	TimeLeft time.Duration
	// WholeAnswer means that LatencyObjective is for the whole answer.
	WholeAnswer bool
	// Excluded lists targets that must not be used, such as those already tried.
	Excluded []bbunit.TargetID
	// SkipRefusing leaves out targets that have just refused a request, which are
	// otherwise chosen if there are no others.
	SkipRefusing bool
	// Random seeds the random part of the costs.
	Random uint64
	// Access tells how the request may use a target; nil if no target has a limit.
	Access func(t *Target) Access
	// Leaves reports whether a target has said otherwise than in its entry that it
	// leaves; nil if none has.
	Leaves func(t *Target) bool
	// Version is the software version that a target must have; nil for any.
	Version *string
	// Holding is what the request takes at a target; nil if that needs no check.
	Holding *Holding
}

// Access tells whether a request may use a target that may have a limit of its
// own.
type Access int

// Ways to a target.
const (
	// AccessOpen means that the target has no limit.
	AccessOpen Access = iota
	// AccessPermit means that the target has a limit and there may be a permit.
	AccessPermit
	// AccessClosed means that the target's limit is used up.
	AccessClosed
)

// Reason is why no target was chosen.
type Reason int

// Reasons why no target was chosen.
const (
	// ReasonNoneUsable means that there are no targets, or that every target is
	// leaving, excluded, backing off, pausing or behind an open circuit breaker.
	ReasonNoneUsable Reason = iota
	// ReasonAllFull means that all usable targets have reached maxLoad, or have so much
	// queued that the request would miss its objective by waiting.
	ReasonAllFull
	// ReasonLimited means that the limits of usable targets are used up, and all
	// others are full.
	ReasonLimited
)

// Choose returns the index of the target with the lowest cost, or -1 and the reason
// if there is none. Targets that have just refused a request come after all others.
func Choose(targets []*Target, req *Request, now time.Time) (int, Reason) {
	cached := cacheTarget(targets, req, now)
	best, minCost, bestRefuses := -1, time.Duration(math.MaxInt64), true
	reason, nowNanos := ReasonNoneUsable, now.UnixNano()
	for i, t := range targets {
		if !usable(t, req, now) {
			continue
		}
		load := t.loadAt(now)
		if load.requests >= t.State.maxRequests(req, &load) || req.Holding != nil && !req.Holding.fits(t) {
			reason = max(reason, ReasonAllFull)
			continue
		}
		access := req.access(t)
		if access == AccessClosed {
			reason = ReasonLimited
			continue
		}
		refuses := t.State.refusals.avoids(now)
		if refuses && (req.SkipRefusing || !bestRefuses) {
			continue
		}
		expect := t.expect(req, i == cached, &load, nowNanos)
		if expect.isTooLate(req) {
			reason = max(reason, ReasonAllFull)
			continue
		}
		cost := t.cost(req, &expect, &load) + t.State.speedOf().jitter(bbhash.Mix(req.Random+uint64(i)), req, i == cached)
		if req.Holding != nil && req.Holding.overfills(t, load.others) {
			cost += overfullCost
		}
		if access == AccessPermit {
			cost -= permitBonus
		}
		if cost < minCost || bestRefuses && !refuses {
			best, minCost, bestRefuses = i, cost, refuses
		}
	}
	return best, reason
}

// access returns how the request may use a target.
func (r *Request) access(t *Target) Access {
	if r.Access == nil {
		return AccessOpen
	}
	return r.Access(t)
}

// IsLeaving reports whether a target must get no new requests.
func (r *Request) IsLeaving(t *Target) bool {
	return t.Leaving || r.Leaves != nil && r.Leaves(t)
}

// HasVersion reports whether a target has a software version that the request may
// use.
func (r *Request) HasVersion(t *Target) bool { return r.Version == nil || t.Version == *r.Version }

// UncachedTokens returns how many tokens of the prompt a target must process, given
// whether it has the shared prefix cached.
func (r *Request) UncachedTokens(cached bool) bbunit.Tokens {
	if cached {
		return r.PromptTokens - r.SharedTokens
	}
	return r.PromptTokens
}

// IsCacheTarget reports whether the target at index i is the one that caches the
// shared prefix of the prompt.
func IsCacheTarget(targets []*Target, i int, req *Request, now time.Time) bool {
	return i >= 0 && cacheTarget(targets, req, now) == i
}

// cacheTarget returns the index of the target that caches the shared prefix of the
// prompt, chosen by rendezvous hashing, or -1 if there is none.
func cacheTarget(targets []*Target, req *Request, now time.Time) int {
	best, maxHash := -1, uint64(0)
	if req.PromptHash == 0 {
		return best
	}
	for i, t := range targets {
		if !t.isOpen(req, now) {
			continue
		}
		if hash := bbhash.Mix(req.PromptHash ^ t.hash()); best < 0 || hash > maxHash {
			best, maxHash = i, hash
		}
	}
	return best
}

// hash returns the hash of the target's id. It is kept, as it is needed for every target
// in each choice.
func (t *Target) hash() uint64 {
	h := t.State.idHash.Load()
	if h == 0 {
		h = xxhash.Sum64String(string(t.ID))
		t.State.idHash.Store(h)
	}
	return h
}

// isOpen reports whether a target takes requests at all.
func (t *Target) isOpen(req *Request, now time.Time) bool {
	return !req.IsLeaving(t) && req.HasVersion(t) && t.State.PauseLeft(now) == 0 && t.State.Circuit.Usable(now)
}

// usable reports whether a target may get the request, apart from its load.
func usable(t *Target, req *Request, now time.Time) bool {
	if !t.isOpen(req, now) || now.UnixNano() < t.State.backOffUntil.Load() || t.State.refusals.holds(now) {
		return false
	}
	for _, id := range req.Excluded {
		if id == t.ID {
			return false
		}
	}
	return true
}
