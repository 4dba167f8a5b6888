package bbpressure

import "time"

// thresholds say when a resource is short, and what is to be reached by giving connections
// back.
type thresholds struct {
	enter, leave float64 // short above enter, until below leave
	severe       float64 // so short that the instance should get no new connections
	goal         float64
	checks       int // consecutive values above a threshold
}

// gauge decides whether one resource is short.
type gauge struct {
	thresholds
	above, severeFor int // consecutive samples
	short            bool
	since, holdUntil time.Time
	sample, value    float64 // the last sample, and the mean of the last two
}

// update takes a sample. The mean of two samples counts, so that a single burst does not.
func (g *gauge) update(value float64, now time.Time) {
	if !(value >= 0) { // also NaN
		value = 0
	}
	g.sample, value = value, (g.sample+value)/2
	g.value = value
	g.above = countAbove(g.above, value, g.enter)
	g.severeFor = countAbove(g.severeFor, value, g.severe)
	switch {
	case g.above >= g.checks:
		if !g.short {
			g.since = now
		}
		g.short, g.holdUntil = true, now.Add(hold)
	case g.short && value < g.leave && now.After(g.holdUntil):
		g.short = false
	}
}

// countAbove returns the number of consecutive samples above a limit.
func countAbove(before int, value, limit float64) int {
	if value > limit {
		return before + 1
	}
	return 0
}

// isSevere reports whether the resource is so short that the instance should get no new
// connections.
func (g *gauge) isSevere() bool { return g.short && g.severeFor >= g.checks }

// excess returns the part of the load that is to go elsewhere.
func (g *gauge) excess() float64 {
	if !g.short || g.value <= g.goal {
		return 0
	}
	if g.value >= fullValue {
		return fullExcess
	}
	return (g.value - g.goal) / g.value
}

// expectedEnd returns how long the shortage is expected to last: at least as long as it
// counts, and as long as it has lasted.
func (g *gauge) expectedEnd(now time.Time) time.Duration {
	if !g.short {
		return 0
	}
	return max(g.holdUntil.Sub(now), now.Sub(g.since))
}
