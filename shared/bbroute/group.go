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

	turn    *atomic.Uint64
	output  *gauge // mean tokens of an answer
	gate    *AdmissionController
	limiter *Limiter
	retries *RetryBudget
	// farRoom is how many requests other failure domains may take beside the
	// own one, and farSlots without it.
	farRoom, farSlots float64
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
func (g *Group) Pick(ask *Request, c *PickOptions, rule *PickPolicy) *Candidate {
	c.RoundRobin = g.turn.Add(1)
	for range len(g.Local) + len(g.Remote) {
		p := g.choose(ask, c, rule)
		if p == nil {
			return nil
		}
		if p.State.Circuit.Allow(c.Now, &rule.Circuit) {
			return p
		}
		c.Rand = mix(c.Rand)
		c.RoundRobin++
	}
	return nil
}

// choose weighs the own failure domain against the others.
func (g *Group) choose(ask *Request, c *PickOptions, rule *PickPolicy) *Candidate {
	near := affine(g.Local, ask, c, rule)
	if near == nil {
		near = pickTwo(g.Local, c, rule)
	}
	if near != nil && near.ExpectedWait(c.Now) <= rule.SpillWait {
		return near
	}
	far := pickTwo(g.Remote, c, rule)
	if near == nil {
		return far
	}
	if far != nil && far.roomFar() && far.ExpectedWait(c.Now) < near.ExpectedWait(c.Now) {
		return far
	}
	return near
}

// pickTwo returns the better of two usable places: the next one in turn and one
// drawn at random. The one in turn wins when they are about as loaded, which
// spreads requests more evenly than two random draws.
func pickTwo(places []Candidate, c *PickOptions, rule *PickPolicy) *Candidate {
	if len(places) == 0 {
		return nil
	}
	first := &places[c.RoundRobin%uint64(len(places))]
	if !c.open(first) || c.shared(first) {
		if first = draw(places, c, nil); first == nil {
			return nil
		}
	}
	second := draw(places, c, first)
	if second == nil {
		return first
	}
	margin := choiceMargin / second.slots() * second.paceSeconds()
	if first.Score(c.Now, rule) <= second.Score(c.Now, rule)+margin {
		return first
	}
	return second
}

// draw returns a usable place other than not. It looks at a few places at
// random, then at all in order, so that a usable one is never missed; only a
// suspect that finds all usable places shared takes one of those.
func draw(places []Candidate, c *PickOptions, not *Candidate) *Candidate {
	n := uint64(len(places))
	if n == 0 {
		return nil
	}
	for range 4 {
		c.Rand = mix(c.Rand)
		if p := &places[c.Rand%n]; p != not && c.open(p) && !c.shared(p) {
			return p
		}
	}
	start := c.Rand % n
	var shared *Candidate
	for i := range n {
		p := &places[(start+i)%n]
		if p == not || !c.open(p) {
			continue
		}
		if !c.shared(p) {
			return p
		}
		shared = p
	}
	return shared
}

// open tells whether the place may get the request.
func (c *PickOptions) open(p *Candidate) bool {
	return p.Usable(c.Now) && (len(c.Exclude) == 0 || !slices.Contains(c.Exclude, p.State.ID))
}

// shared tells that a crash of the place would not tell two suspects apart.
func (c *PickOptions) shared(p *Candidate) bool { return c.Suspect && p.State.suspects.Load() > 0 }

// affine returns the place that the request's prefix hashes to, unless it has
// more than its bound of the load; then the next one, then none.
func affine(places []Candidate, ask *Request, c *PickOptions, rule *PickPolicy) *Candidate {
	if len(ask.PrefixHashes) == 0 || len(places) < 2 || c.Suspect {
		return nil
	}
	key := ask.PrefixHashes[min(affinityDepth, len(ask.PrefixHashes))-1]
	var first, second *Candidate
	var high, next uint64
	var sum float64
	var usable int
	for i := range places {
		p := &places[i]
		if !c.open(p) {
			continue
		}
		usable++
		sum += p.Score(c.Now, rule)
		switch h := mix(key ^ p.State.hash); {
		case first == nil || h > high:
			first, second, high, next = p, first, h, high
		case second == nil || h > next:
			second, next = p, h
		}
	}
	bound := affinityBound * sum / float64(max(usable, 1))
	for _, p := range []*Candidate{first, second} {
		if p != nil && p.Score(c.Now, rule) <= bound && p.ExpectedWait(c.Now) == 0 {
			return p
		}
	}
	return nil
}

// ExpectedWork returns the request's expected work, in thousandths of a mean request.
func (g *Group) ExpectedWork(ask *Request) int64 {
	mean := g.output.load()
	if ask.ExpectedOutput <= 0 || mean <= 0 {
		return workUnit
	}
	part := float64(ask.ExpectedOutput) / mean
	return int64(workUnit * min(max(part, 0.25), 4))
}

// Admission returns the service's gate.
func (g *Group) Admission() *AdmissionController { return g.gate }

// RetryBudget returns the retry budget of the service.
func (g *Group) RetryBudget() *RetryBudget { return g.retries }

// Limiter returns the limiter of the service.
func (g *Group) Limiter() *Limiter { return g.limiter }

// RecordCompletion notes a whole answer: how many tokens it had and how long it took.
func (g *Group) RecordCompletion(t *TargetState, output bbunit.Tokens, total time.Duration) {
	if total <= 0 {
		return
	}
	g.gate.RecordDuration(total)
	work := 1.0
	if output > 0 {
		g.output.average(float64(output), paceWeight)
		work = float64(output) / g.output.load()
	}
	t.pace.average(total.Seconds()/max(work, 0.1), paceWeight)
}

// Find returns the place of a target, nil when the service has none of that id.
func (g *Group) Find(id bbunit.TargetID) *Candidate {
	for _, places := range [][]Candidate{g.Local, g.Remote} {
		for i := range places {
			if places[i].State.ID == id {
				return &places[i]
			}
		}
	}
	return nil
}

// Allow lets a request through to the place if it is usable.
func (p *Candidate) Allow(now time.Time, rule *PickPolicy) bool {
	return p.Usable(now) && p.State.Circuit.Allow(now, &rule.Circuit)
}
