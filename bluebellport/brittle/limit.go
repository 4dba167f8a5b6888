// Package bbbrittle decides how many requests a second a target gets that falls over if it
// has to refuse too many. It answers load beyond what the target has room for.
package bbbrittle

import (
	"math"
	"time"
)

const (
	// utilization is the part of its slots that a brittle target is to use: evenly spread
	// requests rarely find all of them taken.
	utilization = 0.9
	// refusalShare is the part of the refusals that it bears which may be used up by
	// requests beyond that.
	refusalShare = 0.25
	// step is the ratio of two limits that are told apart, so that the limit does not
	// change with each answer.
	step = 1.1
)

// Limit returns the requests a second that a target with so many slots is to get from all
// instances together, where a request takes a slot for mean and the target bears so many
// refusals a second. It reports false if the time is not known.
func Limit(slots int, mean time.Duration, refusals float64) (perSecond float64, ok bool) {
	if slots <= 0 || mean <= 0 {
		return 0, false
	}
	exact := utilization*float64(slots)/mean.Seconds() + refusalShare*refusals
	return math.Pow(step, math.Floor(math.Log(exact)/math.Log(step))), true
}
