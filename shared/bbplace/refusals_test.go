package bbplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
)

// refusalPlay is an instance with three targets that refuse a fraction of what they
// are offered. Requests come one per interval and are told roundTrip later.
type refusalPlay struct {
	fraction            float64
	interval, roundTrip time.Duration
}

// play returns how many of the requests were offered to a target and how many served.
// No request is offered twice.
func (p *refusalPlay) play(requests int) (offered, served int) {
	const targetCount = 3
	type offer struct {
		target *Target
		sentAt time.Time
	}
	random := rand.New(rand.NewPCG(1, 1))
	targets, now := newTargets(targetCount), start
	var open []offer
	for n := range requests {
		for len(open) > 0 && !now.Before(open[0].sentAt.Add(p.roundTrip)) {
			if told := open[0]; random.Float64() < p.fraction {
				told.target.State.RecordRefusal(told.sentAt, now)
			} else {
				told.target.State.RecordTaken()
				served++
			}
			open = open[1:]
		}
		if i, _ := Choose(targets, &Request{Random: uint64(n)}, now); i >= 0 {
			offered++
			open = append(open, offer{targets[i], now})
		}
		now = now.Add(p.interval)
	}
	return offered, served
}

// TestLoadOfferedToTargetsThatRefuse guards against requests that are offered nowhere
// though targets serve some, and against a flood to targets that serve none.
func TestLoadOfferedToTargetsThatRefuse(t *testing.T) {
	const requests = 10_000
	cases := []struct {
		name                string
		play                refusalPlay
		minServed, maxOffer float64 // of all requests
	}{
		{"a third, 1 at a time", refusalPlay{1. / 3, time.Millisecond, time.Millisecond}, 0.6, 1},
		{"a third, 8 at a time", refusalPlay{1. / 3, time.Millisecond, 8 * time.Millisecond}, 0.6, 1},
		{"a third, 200 ms apart", refusalPlay{1. / 3, 200 * time.Millisecond, time.Millisecond}, 0.6, 1},
		{"half, 8 at a time", refusalPlay{0.5, time.Millisecond, 8 * time.Millisecond}, 0.4, 1},
		// Each of 3 targets gets what comes in a round trip, then nothing for 50 ms.
		{"all, 1 at a time", refusalPlay{1, time.Millisecond, time.Millisecond}, 0, 3 * 2. / 50},
		{"all, 8 at a time", refusalPlay{1, time.Millisecond, 8 * time.Millisecond}, 0, 3 * 9. / 50},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			offered, served := c.play.play(requests)
			t.Logf("offered %d, served %d of %d", offered, served, requests)
			is.True(float64(served) >= c.minServed*requests)
			is.True(float64(offered) <= c.maxOffer*requests)
		})
	}
}

// TestRefusingTargetComesAfterTheOthers guards against a request that is sent to a
// target that has just refused one, though another has not.
func TestRefusingTargetComesAfterTheOthers(t *testing.T) {
	is := is.New(t)
	targets := newTargets(2)
	targets[0].State.RecordRefusal(start, start)
	targets[1].State.AddPrefill(100_000, start)
	choose := func(req *Request, now time.Time) int {
		i, _ := Choose(targets, req, now)
		return i
	}
	is.Equal(choose(&Request{}, start), 1)
	is.Equal(choose(&Request{}, start.Add(refusalAvoidance)), 0) // long ago
	tried := &Request{Excluded: []bbunit.TargetID{targets[1].ID}}
	is.Equal(choose(tried, start), 0)
	tried.SkipRefusing = true
	is.Equal(choose(tried, start), -1)
}

// TestRefusalsInARowHoldRequestsBack guards against a target that is taken for full by
// refusals that were on their way together, and against one that is never held.
func TestRefusalsInARowHoldRequestsBack(t *testing.T) {
	is := is.New(t)
	var r refusals
	now := start
	for range 8 {
		r.record(start.Add(-time.Millisecond), now) // all sent before the first was told
		is.True(!r.holds(now))
	}
	for _, hold := range []time.Duration{5, 10, 20, 40, 50, 50} {
		now = now.Add(time.Second)
		r.record(now, now)
		is.True(r.holds(now.Add(hold*time.Millisecond - 1)))
		is.True(!r.holds(now.Add(hold * time.Millisecond)))
	}
	r.end()
	is.True(!r.holds(now))
	is.True(!r.avoids(now))
}
