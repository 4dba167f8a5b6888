package bbspeed

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbplan"
)

const (
	// maxFactor bounds how far an estimate may lie from the median of its service.
	maxFactor = 8
	// priorWeight is the weight of the service's median in samples, so that one sample
	// does not decide alone.
	priorWeight = 1
	// peerSampleWeight is the weight of a peer's sample beside an own one.
	peerSampleWeight = 0.25
	// maxPeerWeight bounds the weight of what all peers told of a figure.
	maxPeerWeight = 4
	// maxToldSamples is how many samples of one report count.
	maxToldSamples = ringSize
)

// told is what peers have told of one figure of a run.
type told struct {
	value  float64
	weight float64
	at     time.Time
}

// add mixes a report of a time into what was told before.
func (t *told) add(v, weight float64, at, now time.Time) {
	var b blend
	b.add(t.value, t.weight*freshness(now.Sub(t.at)))
	b.add(v, weight*freshness(now.Sub(at)))
	if b.weight == 0 {
		return
	}
	t.value, t.weight = b.mean(), min(b.weight, maxPeerWeight)
	t.at = now // the weights are those of now
}

// Report is what a peer tells of a run of a target.
type Report struct {
	Run bbplan.TargetRun
	Figures
	Samples int
	Age     time.Duration // of the newest sample
}

// Service is what is known of the runs of one service. It is not safe for concurrent
// use, except that samples may be added to its runs at any time.
type Service struct{ runs map[bbplan.TargetRun]*member }

// member is a run of a service.
type member struct {
	run  *Run
	told [kindCount]told
}

// Keep makes the service consist of the given runs and forgets all others.
func (s *Service) Keep(runs map[bbplan.TargetRun]*Run) {
	next := make(map[bbplan.TargetRun]*member, len(runs))
	for id, run := range runs {
		if old := s.runs[id]; old != nil && old.run == run {
			next[id] = old
		} else {
			next[id] = &member{run: run}
		}
	}
	s.runs = next
}

// Hear takes a peer's report. It reports false if a figure in it is absurd, and uses
// none of them then; a report that is too old, or of a run that is unknown here, is
// ignored.
func (s *Service) Hear(r *Report, now time.Time) bool {
	if r.Samples < 0 || r.Age < 0 {
		return false
	}
	for k := range kindCount {
		if v := r.get(k); v != 0 && !k.isSound(v) {
			return false
		}
	}
	m := s.runs[r.Run]
	if m == nil || freshness(r.Age) == 0 || r.Samples == 0 {
		return true
	}
	for k := range kindCount {
		if v := r.get(k); v != 0 {
			m.told[k].add(v, peerSampleWeight*float64(min(r.Samples, maxToldSamples)), now.Add(-r.Age), now)
		}
	}
	return true
}

// Speeds returns the figures of all runs. What is known of no run of the service stays
// 0, and what is not known of a run is the median of the others.
func (s *Service) Speeds(now time.Time) map[bbplan.TargetRun]Figures {
	out := make(map[bbplan.TargetRun]Figures, len(s.runs))
	for k := range kindCount {
		known := make(map[bbplan.TargetRun]blend, len(s.runs))
		least := make(map[bbplan.TargetRun]float64, len(s.runs))
		var all []float64
		for id, m := range s.runs {
			var b blend
			own := m.run.rings[k].estimate(k, now)
			b.add(own.value, own.weight)
			b.add(m.told[k].value, m.told[k].weight*freshness(now.Sub(m.told[k].at)))
			if b.weight > 0 {
				all = append(all, b.mean())
			}
			known[id], least[id] = b, own.atLeast
		}
		median := medianOf(all)
		for id, m := range s.runs {
			f := out[id]
			f.set(k, m.settle(k, known[id], median, least[id]))
			out[id] = f
		}
	}
	return out
}

// medianOf returns the median of values, 0 if there are none.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// settle returns the figure of a run of which b is known, and that it is at least as
// fast as least, at the median of its service.
func (m *member) settle(k figureKind, b blend, median, least float64) float64 {
	if median == 0 {
		return 0
	}
	b.add(median, priorWeight)
	v := b.mean()
	if least > 0 && k.faster(least, v) {
		v = least
	}
	return min(max(v, median/maxFactor), median*maxFactor)
}
