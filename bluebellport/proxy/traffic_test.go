package bbproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst of traffic on a link of 1,000 bytes a second. The instance counts as
// saturated after two checks above saturationHigh, for saturationHold at least,
// and until the traffic is low again; a single check above it does nothing.
func TestSaturationDetector(t *testing.T) {
	is := is.New(t)
	detector := saturationDetector{limit: 1000}
	now := time.Unix(0, 0)
	check := func(rate float64) bool {
		now = now.Add(linkCheckInterval)
		return detector.update(rate, now)
	}
	is.True(!check(900))
	is.True(!check(100))
	is.True(!check(900))
	is.True(check(900))
	for range int(saturationHold/linkCheckInterval) - 1 {
		is.True(check(100))
	}
	is.True(check(400)) // the hold time is over, the traffic is not low
	is.True(check(100) == false)
	var unlimited saturationDetector
	is.True(!unlimited.update(1e12, now))
}
