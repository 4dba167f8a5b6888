package bbroute

import (
	"math"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbticket"
)

// TestLimiterEnforcesRate checks that no more requests are admitted than rate
// and burst allow, and that a refused request is admitted after its RetryAfter.
func TestLimiterEnforcesRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		burst := rapid.Float64Range(1, 50).Draw(t, "burst")
		l := NewLimiter("k", bbticket.Limit{Rate: rate, Burst: burst})
		now, admitted := testNow, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			err := l.Acquire(now)
			if err != nil {
				var refusal *Refusal
				if !errors.As(err, &refusal) || !errors.Is(err, ErrLimit) || refusal.RetryAfter <= 0 {
					t.Fatalf("refused with %v", err)
				}
				now = now.Add(refusal.RetryAfter)
				if err := l.Acquire(now); err != nil {
					t.Fatalf("refused again after %s: %v", refusal.RetryAfter, err)
				}
			}
			admitted++
			allowed := burst + rate*now.Sub(testNow).Seconds() + 1
			if float64(admitted) > allowed {
				t.Fatalf("%d admitted, at most %.1f allowed", admitted, allowed)
			}
		}
	})
}

// TestSharesAddUp checks that the shares of instances that know the same usage
// add up to the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usage := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 12).Draw(t, "usage")
		limit := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		var total, sum float64
		for _, u := range usage {
			total += u
		}
		for _, u := range usage {
			sum += share(u, total-u, len(usage), limit)
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares add up to %g", sum)
		}
	})
}

func TestLimiterFollowsUsage(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("k", bbticket.Limit{Rate: 100, MaxInFlight: 10})
	rate := func() float64 { return float64(time.Second) / float64(l.interval.Load()) }
	l.UpdateShare(Usage{}, nil, 4)
	is.True(math.Abs(rate()-25) < 1) // all idle: equal shares
	l.UpdateShare(Usage{Rate: 200, InFlight: 10}, []Usage{{}, {}, {}}, 4)
	is.True(rate() > 90) // the only busy instance gets nearly all
	is.Equal(l.maxInFlight.Load(), int64(8))
	l.UpdateShare(Usage{}, []Usage{{Rate: 200}, {}, {}}, 4)
	is.True(rate() > 1 && rate() < 5) // an idle instance can still start
}

func TestLimiterInFlight(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("k", bbticket.Limit{MaxInFlight: 1})
	is.NoErr(l.Acquire(testNow))
	is.True(errors.Is(l.Acquire(testNow), ErrLimit))
	l.Release()
	is.NoErr(l.Acquire(testNow))
}

func TestLimiterCancelRefunds(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("k", bbticket.Limit{Rate: 1, Burst: 1})
	is.NoErr(l.Acquire(testNow))
	l.Cancel()
	is.NoErr(l.Acquire(testNow))
	is.True(l.Acquire(testNow) != nil)
}

func TestTinyRateLimits(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("k", bbticket.Limit{Rate: 1e-300, Burst: 1})
	is.NoErr(l.Acquire(testNow))
	for range 3 {
		is.True(l.Acquire(testNow.Add(time.Hour)) != nil)
	}
}
