package bbroute

import (
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// PickPolicy configures target selection.
type PickPolicy struct {
	Circuit CircuitPolicy
	// SlowStart is how long a new target takes to reach its full share of
	// requests.
	SlowStart time.Duration
	// SpillWait is the expected wait in the instance's own failure domain above
	// which a request may go to another domain.
	SpillWait time.Duration
}

// Group holds the targets of one service: Local are those in the instance's own
// failure domain, Remote those in other domains. The group is immutable; its
// counters and the state of its targets are not.
type Group struct {
	Service bbticket.Service
	Local   []Candidate
	Remote  []Candidate

	roundRobin  *atomic.Uint64
	meanOutput  *atomicFloat // mean tokens of an answer
	admission   *AdmissionController
	limiter     *Limiter
	retryBudget *RetryBudget
	// remoteRoom is how many requests remote targets may take in addition to
	// the local ones; remoteSlots is how many they may take while no local
	// target is usable.
	remoteRoom, remoteSlots float64
}

// PickOptions holds the inputs of one Pick besides the request.
type PickOptions struct {
	Now time.Time
	// Rand holds random bits; Pick advances it.
	Rand uint64
	// RoundRobin is the index of the round-robin candidate; Pick sets it.
	RoundRobin uint64
	// Exclude lists targets that must not be picked.
	Exclude []bbunit.TargetID
	// Suspect marks a request that has been in flight at a crash. It avoids
	// targets that run another suspect.
	Suspect bool
}

// Pick returns the target for the request, nil when none is usable. The
// target's circuit breaker has then already allowed the request. Pick allocates
// nothing and takes no lock.
func (g *Group) Pick(req *Request, opts *PickOptions, policy *PickPolicy) *Candidate {
	opts.RoundRobin = g.roundRobin.Add(1)
	for range len(g.Local) + len(g.Remote) {
		candidate := g.choose(req, opts, policy)
		if candidate == nil {
			return nil
		}
		if candidate.State.Circuit.Allow(opts.Now, &policy.Circuit) {
			return candidate
		}
		opts.Rand = bbhash.Mix(opts.Rand)
		opts.RoundRobin++
	}
	return nil
}

// choose prefers the own failure domain and spills over to another one when the
// expected wait is too long.
func (g *Group) choose(req *Request, opts *PickOptions, policy *PickPolicy) *Candidate {
	local := pickByAffinity(g.Local, req, opts, policy)
	if local == nil {
		local = pickOfTwo(g.Local, opts, policy)
	}
	if local != nil && local.ExpectedWait(opts.Now) <= policy.SpillWait {
		return local
	}
	remote := pickOfTwo(g.Remote, opts, policy)
	if local == nil {
		return remote
	}
	if remote != nil && remote.hasRemoteRoom() && remote.ExpectedWait(opts.Now) < local.ExpectedWait(opts.Now) {
		return remote
	}
	return local
}

// pickOfTwo returns the better of two usable candidates, the next one in
// round-robin order and a random one. The round-robin candidate wins unless it
// has clearly more load, which spreads requests more evenly than two random
// candidates do.
func pickOfTwo(candidates []Candidate, opts *PickOptions, policy *PickPolicy) *Candidate {
	if len(candidates) == 0 {
		return nil
	}
	first := &candidates[opts.RoundRobin%uint64(len(candidates))]
	if !opts.eligible(first) || opts.runsOtherSuspect(first) {
		if first = pickRandom(candidates, opts, nil); first == nil {
			return nil
		}
	}
	second := pickRandom(candidates, opts, first)
	if second == nil {
		return first
	}
	margin := roundRobinMargin / second.slots() * second.responseSeconds()
	if first.Score(opts.Now, policy) <= second.Score(opts.Now, policy)+margin {
		return first
	}
	return second
}

// pickRandom returns a usable candidate other than excluded. It tries a few at
// random and then all in order, so that it finds one if there is one. A suspect
// gets a target with another suspect only when there is no other.
func pickRandom(candidates []Candidate, opts *PickOptions, excluded *Candidate) *Candidate {
	n := uint64(len(candidates))
	if n == 0 {
		return nil
	}
	for range 4 {
		opts.Rand = bbhash.Mix(opts.Rand)
		if candidate := &candidates[opts.Rand%n]; candidate != excluded && opts.eligible(candidate) && !opts.runsOtherSuspect(candidate) {
			return candidate
		}
	}
	start := opts.Rand % n
	var fallback *Candidate
	for i := range n {
		candidate := &candidates[(start+i)%n]
		if candidate == excluded || !opts.eligible(candidate) {
			continue
		}
		if !opts.runsOtherSuspect(candidate) {
			return candidate
		}
		fallback = candidate
	}
	return fallback
}

// eligible reports whether the candidate may be picked.
func (o *PickOptions) eligible(candidate *Candidate) bool {
	return candidate.Usable(o.Now) && (len(o.Exclude) == 0 || !slices.Contains(o.Exclude, candidate.State.ID))
}

// runsOtherSuspect reports whether this request and one at the candidate are
// both suspects: if the target crashed, either could be the cause.
func (o *PickOptions) runsOtherSuspect(candidate *Candidate) bool {
	return o.Suspect && candidate.State.suspects.Load() > 0
}

// pickByAffinity returns the candidate that ranks first for the request's
// prefix by rendezvous hashing, or the second one when the first has too much
// load or a queue, or nil when both have.
func pickByAffinity(candidates []Candidate, req *Request, opts *PickOptions, policy *PickPolicy) *Candidate {
	if len(req.PrefixHashes) == 0 || len(candidates) < 2 || opts.Suspect {
		return nil
	}
	key := req.PrefixHashes[min(affinityMessages, len(req.PrefixHashes))-1]
	var first, second *Candidate
	var firstHash, secondHash uint64
	var totalScore float64
	var usable int
	for i := range candidates {
		candidate := &candidates[i]
		if !opts.eligible(candidate) {
			continue
		}
		usable++
		totalScore += candidate.Score(opts.Now, policy)
		switch hash := bbhash.Mix(key ^ candidate.State.idHash); {
		case first == nil || hash > firstHash:
			first, second, firstHash, secondHash = candidate, first, hash, firstHash
		case second == nil || hash > secondHash:
			second, secondHash = candidate, hash
		}
	}
	bound := affinityLoadFactor * totalScore / float64(max(usable, 1))
	for _, candidate := range []*Candidate{first, second} {
		if candidate != nil && candidate.Score(opts.Now, policy) <= bound && candidate.ExpectedWait(opts.Now) == 0 {
			return candidate
		}
	}
	return nil
}

// ExpectedWork estimates the work of the request from its expected output, in
// thousandths of a mean request.
func (g *Group) ExpectedWork(req *Request) int64 {
	mean := g.meanOutput.load()
	if req.ExpectedOutput <= 0 || mean <= 0 {
		return meanRequestWork
	}
	ratio := float64(req.ExpectedOutput) / mean
	return int64(meanRequestWork * min(max(ratio, 0.25), 4))
}

// Admission returns the service's admission controller.
func (g *Group) Admission() *AdmissionController { return g.admission }

// RetryBudget returns the retry budget of the service.
func (g *Group) RetryBudget() *RetryBudget { return g.retryBudget }

// Limiter returns the limiter of the service.
func (g *Group) Limiter() *Limiter { return g.limiter }

// RecordCompletion updates the means with a complete answer of the target, its
// tokens and its duration.
func (g *Group) RecordCompletion(t *TargetState, output bbunit.Tokens, duration time.Duration) {
	if duration <= 0 {
		return
	}
	g.admission.RecordDuration(duration)
	work := 1.0
	if output > 0 {
		g.meanOutput.updateEWMA(float64(output), completionEWMAWeight)
		work = float64(output) / g.meanOutput.load()
	}
	t.meanResponseSeconds.updateEWMA(duration.Seconds()/max(work, 0.1), completionEWMAWeight)
}

// Find returns the candidate with that id, nil when the service has none.
func (g *Group) Find(id bbunit.TargetID) *Candidate {
	for _, candidates := range [][]Candidate{g.Local, g.Remote} {
		for i := range candidates {
			if candidates[i].State.ID == id {
				return &candidates[i]
			}
		}
	}
	return nil
}

// Allow reports whether a request may be sent to the candidate. In a half-open
// circuit it claims the probe.
func (c *Candidate) Allow(now time.Time, policy *PickPolicy) bool {
	return c.Usable(now) && c.State.Circuit.Allow(now, &policy.Circuit)
}
