package bbroute

import (
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// PickPolicy sets how a target is chosen.
type PickPolicy struct {
	Circuit CircuitPolicy
	// SlowStart is how long a new target takes to get its full share.
	SlowStart time.Duration
	// SpillWait is the expected wait in the own failure domain above which a
	// request goes to another one that has room.
	SpillWait time.Duration
}

// Group holds the targets of one service: those of the own failure domain, and
// the others. It is immutable but for what its targets count.
type Group struct {
	Service bbticket.Service
	Local   []Candidate
	Remote  []Candidate

	roundRobin  *atomic.Uint64
	meanOutput  *atomicFloat // mean tokens of an answer
	admission   *AdmissionController
	limiter     *Limiter
	retryBudget *RetryBudget
	// remoteRoom is how many requests other failure domains may take beside the
	// own one, and farSlots without it.
	remoteRoom, remoteSlots float64
}

// PickOptions tells what Pick must leave out, and how to break ties.
type PickOptions struct {
	Now  time.Time
	Rand uint64
	// RoundRobin counts the service's requests; Pick sets it.
	RoundRobin uint64
	Exclude    []bbunit.TargetID
	// Suspect requests keep away from targets that run another suspect.
	Suspect bool
}

// Pick returns the target for the request, already counted in its circuit, or
// nil when none is usable. It allocates nothing and takes no lock.
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
		opts.Rand = splitmix64(opts.Rand)
		opts.RoundRobin++
	}
	return nil
}

// choose weighs the own failure domain against the others.
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

// pickOfTwo returns the better of two usable places: the next one in turn and one
// drawn at random. The one in turn wins when they are about as loaded, which
// spreads requests more evenly than two random draws.
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

// pickRandom returns a usable place other than not. It looks at a few places at
// random, then at all in order, so that a usable one is never missed; only a
// suspect that finds all usable places shared takes one of those.
func pickRandom(candidates []Candidate, opts *PickOptions, excluded *Candidate) *Candidate {
	n := uint64(len(candidates))
	if n == 0 {
		return nil
	}
	for range 4 {
		opts.Rand = splitmix64(opts.Rand)
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

// eligible tells whether the place may get the request.
func (o *PickOptions) eligible(candidate *Candidate) bool {
	return candidate.Usable(o.Now) && (len(o.Exclude) == 0 || !slices.Contains(o.Exclude, candidate.State.ID))
}

// runsOtherSuspect tells that a crash of the place would not tell two suspects apart.
func (o *PickOptions) runsOtherSuspect(candidate *Candidate) bool {
	return o.Suspect && candidate.State.suspects.Load() > 0
}

// pickByAffinity returns the place that the request's prefix hashes to, unless it has
// more than its bound of the load; then the next one, then none.
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
		switch hash := splitmix64(key ^ candidate.State.idHash); {
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

// ExpectedWork returns the request's expected work, in thousandths of a mean request.
func (g *Group) ExpectedWork(req *Request) int64 {
	mean := g.meanOutput.load()
	if req.ExpectedOutput <= 0 || mean <= 0 {
		return meanRequestWork
	}
	ratio := float64(req.ExpectedOutput) / mean
	return int64(meanRequestWork * min(max(ratio, 0.25), 4))
}

// Admission returns the service's gate.
func (g *Group) Admission() *AdmissionController { return g.admission }

// RetryBudget returns the retry budget of the service.
func (g *Group) RetryBudget() *RetryBudget { return g.retryBudget }

// Limiter returns the limiter of the service.
func (g *Group) Limiter() *Limiter { return g.limiter }

// RecordCompletion notes a whole answer: how many tokens it had and how long it took.
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

// Find returns the place of a target, nil when the service has none of that id.
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

// Allow lets a request through to the place if it is usable.
func (c *Candidate) Allow(now time.Time, policy *PickPolicy) bool {
	return c.Usable(now) && c.State.Circuit.Allow(now, &policy.Circuit)
}
