package bbproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The load: a link of 1,000 bytes a second with a burst of traffic. The instance
// steps back after two looks, stays back for a while, and returns once the
// traffic has gone; one look above the mark does nothing.
func TestSaturationDetector(t *testing.T) {
	is := is.New(t)
	detector := saturationDetector{limit: 1000}
	now := time.Unix(0, 0)
	tick := func(rate float64) bool {
		now = now.Add(linkCheckInterval)
		return detector.update(rate, now)
	}
	is.True(!tick(900))
	is.True(!tick(100))
	is.True(!tick(900))
	is.True(tick(900))
	for range int(saturationHold/linkCheckInterval) - 1 {
		is.True(tick(100))
	}
	is.True(tick(400)) // the time is over, the traffic is not
	is.True(tick(100) == false)
	var unlimited saturationDetector
	is.True(!unlimited.update(1e12, now))
}
