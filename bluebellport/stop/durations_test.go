package bbstop

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRareLongRequestIsRemembered guards against a long request that many short
// ones displace.
func TestRareLongRequestIsRemembered(t *testing.T) {
	is := is.New(t)
	var d Durations
	d.Record(begin, 3*time.Second, 0, 0)
	for i := range 1000 {
		d.Record(begin.Add(time.Duration(i)*time.Millisecond), 20*time.Millisecond, 0, 0)
	}
	is.Equal(d.longestOf(begin.Add(time.Minute), 0), 3*time.Second)
	is.Equal(d.longestOf(begin.Add(peakPeriods*peakPeriod+peakPeriod), 0), 20*time.Millisecond)
	is.Equal(usualTime(d.recentOf(0), nil), 20*time.Millisecond)
}

// TestLargeStreamIsNotJudgedBySmallOnes guards against a stream that is taken since
// shorter ones ended in time.
func TestLargeStreamIsNotJudgedBySmallOnes(t *testing.T) {
	is := is.New(t)
	var d Durations
	for range 20 {
		d.Record(begin, 100*time.Millisecond, 400*time.Millisecond, 4)
	}
	is.Equal(usualTime(d.recentOf(4), nil), 500*time.Millisecond)
	is.Equal(usualTime(d.recentOf(40), nil), 4100*time.Millisecond)
	is.Equal(d.longestOf(begin, 40), 4100*time.Millisecond)
}

func TestDurationsRecordedAtOnce(t *testing.T) {
	var d Durations
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 1000 {
				d.Record(begin.Add(time.Duration(i)*time.Second), time.Duration(i), time.Second, float64(i%3))
				d.recentOf(1)
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(d.Count(), int64(4000))
}

func BenchmarkRecord(b *testing.B) {
	var d Durations
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Record(begin, time.Millisecond, time.Millisecond, 3)
		}
	})
}

func BenchmarkDecideOutsideAStop(b *testing.B) {
	var stop Stop
	r := Request{Limit: begin, Durations: &Durations{}}
	for b.Loop() {
		if times := stop.Times(); times != nil && !times.Decide(begin, &r).Take {
			b.Fatal("refused")
		}
	}
}
