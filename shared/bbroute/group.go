package bbroute

import (
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// ChoiceRule sets how a target is chosen.
type ChoiceRule struct {
	Circuit CircuitRule
	// SlowStart is how long a new target takes to get its full share.
	SlowStart time.Duration
	// Spill is the expected wait in the own failure domain above which a
	// request goes to another one that has room.
	Spill time.Duration
}

// Group holds the targets of one service: those of the own failure domain, and
// the others. It is immutable but for what its targets count.
type Group struct {
	Service bbticket.Service
	Near    []Place
	Far     []Place

	turn    *atomic.Uint64
	output  *gauge // mean tokens of an answer
	gate    *Gate
	limiter *Limiter
	retries *RetryBudget
	// farRoom is how many requests other failure domains may take beside the
	// own one, and farSlots without it.
	farRoom, farSlots float64
}

// Choice tells what Pick must leave out, and how to break ties.
type Choice struct {
	Now  time.Time
	Rand uint64
	// Turn counts the service's requests; Pick sets it.
	Turn  uint64
	Tried []bbunit.TargetID
	// Suspect requests keep away from targets that run another suspect.
	Suspect bool
}

// Pick returns the target for the request, already counted in its circuit, or
// nil when none is usable. It allocates nothing and takes no lock.
func (g *Group) Pick(ask *Ask, c *Choice, rule *ChoiceRule) *Place {
	c.Turn = g.turn.Add(1)
	for range len(g.Near) + len(g.Far) {
		p := g.choose(ask, c, rule)
		if p == nil {
			return nil
		}
		if p.Known.Circuit.Enter(c.Now, &rule.Circuit) {
			return p
		}
		c.Rand = mix(c.Rand)
		c.Turn++
	}
	return nil
}

// choose weighs the own failure domain against the others.
func (g *Group) choose(ask *Ask, c *Choice, rule *ChoiceRule) *Place {
	near := affine(g.Near, ask, c, rule)
	if near == nil {
		near = pickTwo(g.Near, c, rule)
	}
	if near != nil && near.Wait(c.Now) <= rule.Spill {
		return near
	}
	far := pickTwo(g.Far, c, rule)
	if near == nil {
		return far
	}
	if far != nil && far.roomFar() && far.Wait(c.Now) < near.Wait(c.Now) {
		return far
	}
	return near
}

// pickTwo returns the better of two usable places: the next one in turn and one
// drawn at random. The one in turn wins when they are about as loaded, which
// spreads requests more evenly than two random draws.
func pickTwo(places []Place, c *Choice, rule *ChoiceRule) *Place {
	if len(places) == 0 {
		return nil
	}
	first := &places[c.Turn%uint64(len(places))]
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
func draw(places []Place, c *Choice, not *Place) *Place {
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
	var shared *Place
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
func (c *Choice) open(p *Place) bool {
	return p.Usable(c.Now) && (len(c.Tried) == 0 || !slices.Contains(c.Tried, p.Known.ID))
}

// shared tells that a crash of the place would not tell two suspects apart.
func (c *Choice) shared(p *Place) bool { return c.Suspect && p.Known.suspects.Load() > 0 }

// affine returns the place that the request's prefix hashes to, unless it has
// more than its bound of the load; then the next one, then none.
func affine(places []Place, ask *Ask, c *Choice, rule *ChoiceRule) *Place {
	if len(ask.Prefix) == 0 || len(places) < 2 || c.Suspect {
		return nil
	}
	key := ask.Prefix[min(affinityDepth, len(ask.Prefix))-1]
	var first, second *Place
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
		switch h := mix(key ^ p.Known.hash); {
		case first == nil || h > high:
			first, second, high, next = p, first, h, high
		case second == nil || h > next:
			second, next = p, h
		}
	}
	bound := affinityBound * sum / float64(max(usable, 1))
	for _, p := range []*Place{first, second} {
		if p != nil && p.Score(c.Now, rule) <= bound && p.Wait(c.Now) == 0 {
			return p
		}
	}
	return nil
}

// Work returns the request's expected work, in thousandths of a mean request.
func (g *Group) Work(ask *Ask) int64 {
	mean := g.output.load()
	if ask.Output <= 0 || mean <= 0 {
		return workUnit
	}
	part := float64(ask.Output) / mean
	return int64(workUnit * min(max(part, 0.25), 4))
}

// Gate returns the service's gate.
func (g *Group) Gate() *Gate { return g.gate }

// Retries returns the retry budget of the service.
func (g *Group) Retries() *RetryBudget { return g.retries }

// Limiter returns the limiter of the service.
func (g *Group) Limiter() *Limiter { return g.limiter }

// Done notes a whole answer: how many tokens it had and how long it took.
func (g *Group) Done(t *Target, output bbunit.Tokens, total time.Duration) {
	if total <= 0 {
		return
	}
	g.gate.Took(total)
	work := 1.0
	if output > 0 {
		g.output.average(float64(output), paceWeight)
		work = float64(output) / g.output.load()
	}
	t.pace.average(total.Seconds()/max(work, 0.1), paceWeight)
}

// Find returns the place of a target, nil when the service has none of that id.
func (g *Group) Find(id bbunit.TargetID) *Place {
	for _, places := range [][]Place{g.Near, g.Far} {
		for i := range places {
			if places[i].Known.ID == id {
				return &places[i]
			}
		}
	}
	return nil
}

// Enter lets a request through to the place if it is usable.
func (p *Place) Enter(now time.Time, rule *ChoiceRule) bool {
	return p.Usable(now) && p.Known.Circuit.Enter(now, &rule.Circuit)
}
