// Package bbspeed estimates how fast each run of a target reads prompts, makes events
// and does whole requests, from what an instance observes of its own requests and what
// its peers tell. Adding a sample takes no lock. The package reads no clock, does no I/O
// and starts no goroutine.
package bbspeed

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// memory is the age at which a sample and what peers told no longer count. Their
	// weight falls linearly until then, so that a change shows within seconds.
	memory = 6 * time.Second
	// ringSize is how many samples of a figure are kept for each run.
	ringSize = 16
	// minSampleTokens is the shortest prompt whose time says something of the speed of
	// reading: below it steps and the network take most of the time.
	minSampleTokens = 600
	// minSampleEvents is the fewest pauses of a stream that make a sample.
	minSampleEvents = 4
	// maxMiss is the largest difference, in milliseconds, between an expected and an
	// observed time that is used.
	maxMiss = 6e4
	// fixedTime is the part of the time to the first event in which no prompt is read:
	// the network and one step.
	fixedTime = 3 * time.Millisecond
)

// Figures are the speeds of a run of a target; 0 is unknown.
type Figures struct {
	// Prompt is the prompt tokens read per millisecond, Event the milliseconds between
	// two events, Work the milliseconds of a whole request.
	Prompt, Event, Work float64
}

// figureKind is one of the figures.
type figureKind int

const (
	kindPrompt figureKind = iota
	kindEvent
	kindWork
	kindCount // of the figures that a run has
)

// bounds are the least and the largest value of each figure that a target can have.
var bounds = [kindCount][2]float64{kindPrompt: {0.1, 1e5}, kindEvent: {0.01, 6e4}, kindWork: {0.01, 6e5}}

// isSound reports whether a value can be a figure of a target.
func (k figureKind) isSound(v float64) bool { return v >= bounds[k][0] && v <= bounds[k][1] } // NaN is neither

// faster reports whether a is a higher speed than b.
func (k figureKind) faster(a, b float64) bool { return a > b == (k == kindPrompt) }

func (f *Figures) get(k figureKind) float64 {
	return [kindCount]float64{f.Prompt, f.Event, f.Work}[k]
}

func (f *Figures) set(k figureKind, v float64) {
	*[kindCount]*float64{&f.Prompt, &f.Event, &f.Work}[k] = v
}

// Sample is what an instance has observed of one request that a target answered whole.
type Sample struct {
	// Tokens is the prompt tokens that the target had to read, 0 for a request without a
	// prompt. First is the time from the sending to the first event, 0 for a request
	// without events.
	Tokens bbunit.Tokens
	First  time.Duration
	// Pauses is the number of pauses between events, Stream their sum.
	Pauses int
	Stream time.Duration
	// Whole is the time from the sending to the end of the answer.
	Whole time.Duration
	// Idle reports that nothing was known that made the request wait or slowed it down.
	// The times of other samples only show that the target is at least so fast.
	Idle bool
	// Expected is when placement expected the answer to begin, 0 if it did not tell.
	Expected time.Duration
}

// observation is a sample of one figure.
type observation struct {
	value float64
	at    time.Time
	idle  bool
}

// ring holds the latest observations of one figure.
type ring struct {
	next  atomic.Uint32
	slots [ringSize]atomic.Pointer[observation]
}

func (r *ring) add(o *observation) { r.slots[r.next.Add(1)%ringSize].Store(o) }

// Run is what is observed of one run of a target. It is safe for concurrent use.
type Run struct {
	rings  [kindCount]ring
	misses ring // milliseconds between the expected and the observed beginning of answers
}

// Add records a sample and returns how many figures in it were absurd, which are not
// used.
func (r *Run) Add(s *Sample, now time.Time) (absurd int) {
	add := func(k figureKind, v float64) {
		if !k.isSound(v) {
			absurd++
			return
		}
		r.rings[k].add(&observation{value: v, at: now, idle: s.Idle})
	}
	if begins := max(s.First, 0); s.Expected > 0 {
		if begins == 0 {
			begins = s.Whole
		}
		if miss := math.Abs(millis(begins - s.Expected)); miss <= maxMiss {
			r.misses.add(&observation{value: miss, at: now})
		}
	}
	if s.Tokens >= minSampleTokens && s.First != 0 {
		add(kindPrompt, float64(s.Tokens)/millis(max(s.First-fixedTime, s.First/2)))
	}
	if s.Pauses >= minSampleEvents {
		add(kindEvent, millis(s.Stream)/float64(s.Pauses))
	}
	if s.First == 0 {
		add(kindWork, millis(s.Whole))
	} else {
		r.rings[kindWork].add(&observation{value: millis(s.Whole - s.First), at: now, idle: true})
	}
	return absurd
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// estimate is an estimate of one figure.
type estimate struct {
	value  float64
	weight float64   // number of samples, falling with their age; 0 if there are none
	at     time.Time // of the newest sample
	count  int
	// atLeast is the fastest that the target has shown although requests may have waited,
	// 0 if unknown.
	atLeast float64
}

// freshness returns how much of its weight an observation of an age still has.
func freshness(age time.Duration) float64 {
	return min(max(1-float64(age)/float64(memory), 0), 1)
}

// estimate returns what the observations of a figure show. Of idle ones the quartile
// towards the fast counts: some of them waited for what this instance does not know.
// The fastest of all is no better, as the prompt that a target had cached unexpectedly
// looks like great speed.
func (r *ring) estimate(k figureKind, now time.Time) estimate {
	var out estimate
	var values []float64
	for i := range r.slots {
		o := r.slots[i].Load()
		if o == nil || freshness(now.Sub(o.at)) == 0 {
			continue
		}
		if !o.idle {
			if out.atLeast == 0 || k.faster(o.value, out.atLeast) {
				out.atLeast = o.value
			}
			continue
		}
		values = append(values, o.value)
		out.weight += freshness(now.Sub(o.at))
		if o.at.After(out.at) {
			out.at = o.at
		}
	}
	if out.count = len(values); out.count > 0 {
		if out.value = fastQuartile(k, values); k == kindWork {
			out.value = values[len(values)/2]
		}
	}
	return out
}

// fastQuartile returns the value than which a quarter of the values is faster.
func fastQuartile(k figureKind, values []float64) float64 {
	slices.Sort(values)
	i := len(values) / 4
	if k == kindPrompt {
		i = len(values) - 1 - i
	}
	return values[i]
}

// Share returns the figures that the run has shown to this instance itself, with the
// number of samples and the time of the newest, for peers.
func (r *Run) Share(now time.Time) (f Figures, samples int, newest time.Time) {
	for k := range kindCount {
		e := r.rings[k].estimate(k, now)
		if e.count == 0 {
			continue
		}
		f.set(k, e.value)
		samples = max(samples, e.count)
		if e.at.After(newest) {
			newest = e.at
		}
	}
	return f, samples, newest
}

// blend is a weighted geometric mean, in which one absurd value moves the mean less than
// in a sum.
type blend struct{ sum, weight float64 }

func (b *blend) add(v, weight float64) {
	if v > 0 && weight > 0 {
		b.sum += math.Log(v) * weight
		b.weight += weight
	}
}

func (b *blend) mean() float64 {
	if b.weight == 0 {
		return 0
	}
	return math.Exp(b.sum / b.weight)
}
