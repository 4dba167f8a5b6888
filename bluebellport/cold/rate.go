// Package bbcold decides which runs of targets are cold, until when, and how many requests a
// second each gets meanwhile. It answers load that jumps onto a target that has just started
// or has returned to use: such a target crashes well above the rate that it tolerates. It has
// neither clock nor network.
package bbcold

import "time"

// Bounds limit what a cold target gets in any second, over all instances together: Overage
// times the rate that it tolerates, plus Slack. With the zero value no target is ever cold.
type Bounds struct{ Overage, Slack float64 }

// The fleet's permits (package bblimit) are granted by three homes, two of which have to
// grant each. Each home's line has at most stretch x rate + ahead places whose permits can
// reach the target within one second, so at most lines times as many arrive.
const (
	lines = 1.5
	// Lateness is how long after its place in the line a permit may be used: the longest
	// delay of a permit and its lifetime. travel is the time from there until the request arrives.
	Lateness = 280 * time.Millisecond
	travel   = 80 * time.Millisecond
	// ahead is the permits of a line beyond its rate: two at once, and one more for a
	// confirmation.
	ahead = 3
)

// Rate returns the permits a second for a target that tolerates perSecond while it is cold,
// so that the bound holds whichever homes grant. It is 0 if bounds leave no room for that.
func Rate(perSecond float64, bounds Bounds) float64 {
	bound := perSecond*bounds.Overage + bounds.Slack
	stretch := (time.Second + Lateness + travel).Seconds()
	return max(min(perSecond, (bound/lines-ahead)/stretch), 0)
}
