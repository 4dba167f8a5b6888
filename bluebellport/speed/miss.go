package bbspeed

import (
	"time"

	"bluebellport.example/shared/bbplan"
)

// missFactor is how large the random part of a choice is as a multiple of the mean error
// of expected times. In the plays with 79 instances and 140 targets, of which each
// instance sees little, 5 to 8 gave more answers in time than 2 and 3; with 12 instances
// and 20 targets the difference was within the spread of the seeds.
const missFactor = 5

// Misses returns for each run how random its choice has to be: the less is known of the
// queues of a service, the more, and for a slow run more than for a fast one, so that
// without any knowledge the runs are chosen in proportion to their speed.
func (s *Service) Misses(speeds map[bbplan.TargetRun]Figures, now time.Time) map[bbplan.TargetRun]time.Duration {
	mean := s.meanMiss(now)
	out := make(map[bbplan.TargetRun]time.Duration, len(speeds))
	for id, factor := range slowness(speeds) {
		out[id] = time.Duration(missFactor * mean * factor * float64(time.Millisecond))
	}
	return out
}

// meanMiss returns the mean difference, in milliseconds, between when answers of the service
// were expected to begin and when they did, 0 if it is not known.
func (s *Service) meanMiss(now time.Time) float64 {
	var sum, weight float64
	for _, m := range s.runs {
		for i := range m.run.misses.slots {
			if o := m.run.misses.slots[i].Load(); o != nil {
				w := freshness(now.Sub(o.at))
				sum, weight = sum+w*o.value, weight+w
			}
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// slowness returns how much slower each run is than the median of its service in reading
// prompts, or in whole requests if it reads none.
func slowness(speeds map[bbplan.TargetRun]Figures) map[bbplan.TargetRun]float64 {
	times := make(map[bbplan.TargetRun]float64, len(speeds))
	var all []float64
	for id, f := range speeds {
		if times[id] = f.Work; f.Prompt > 0 {
			times[id] = 1 / f.Prompt
		}
		all = append(all, times[id])
	}
	median := medianOf(all)
	for id, v := range times {
		if times[id] = 1; median > 0 && v > 0 {
			times[id] = v / median
		}
	}
	return times
}
