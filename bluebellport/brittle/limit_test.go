package bbbrittle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitKeepsRefusalsWithinBounds guards against a limit above what a target can do and
// refuse, and against one that starves it.
func TestLimitKeepsRefusalsWithinBounds(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{1, 6, 48, 64} {
		for _, mean := range []time.Duration{time.Millisecond, 15 * time.Millisecond, time.Second, time.Minute} {
			for _, refusals := range []float64{0, 1, 10, 100} {
				limit, ok := Limit(slots, mean, refusals)
				can := float64(slots) / mean.Seconds()
				is.True(ok)
				is.True(limit <= can+refusals/2)
				is.True(limit >= 0.8*can)
			}
		}
	}
}

// TestLimitStaysWhileTheTimeHardlyChanges guards against news with each answer.
func TestLimitStaysWhileTheTimeHardlyChanges(t *testing.T) {
	is := is.New(t)
	limits := map[float64]bool{}
	for us := 20_000; us < 21_000; us += 10 {
		limit, _ := Limit(6, time.Duration(us)*time.Microsecond, 10)
		limits[limit] = true
	}
	is.True(len(limits) <= 2)
	_, ok := Limit(6, 0, 10)
	is.True(!ok)
}
