package bbstop

import (
	"math"
	"slices"
	"time"
)

// usualTime returns the usual time of requests: the usualQuantile of those that
// ended, given shortest first, and of the open ones that have lasted longer than
// that. Of these no more is known than that they take at least as long.
func usualTime(recent, ages []time.Duration) time.Duration {
	usual := quantileOf(recent)
	all := slices.Clone(recent)
	for _, age := range ages {
		if age > usual {
			all = append(all, age)
		}
	}
	slices.Sort(all)
	return quantileOf(all)
}

// quantileOf returns the usualQuantile of sorted durations, 0 if there are none.
func quantileOf(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(math.Ceil(usualQuantile*float64(len(sorted))))-1]
}

// medianOf returns the median of sorted durations, 0 if there are none.
func medianOf(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// openAges returns the ages of the open requests of the same kind, each in
// proportion if it is known to be larger than this one.
func (r *Request) openAges() []time.Duration {
	if r.Open == nil {
		return nil
	}
	var ages []time.Duration
	for _, o := range r.Open() {
		age := o.Age
		if r.Size > 0 && o.Size > r.Size {
			age = time.Duration(float64(age) * r.Size / o.Size)
		}
		ages = append(ages, age)
	}
	return ages
}
