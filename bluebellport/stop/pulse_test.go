package bbstop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFreezeIsPartOfTheGracePeriod guards against a stop that counts the grace
// period from the end of a freeze, and is killed before its own end.
func TestFreezeIsPartOfTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	for _, c := range []struct {
		name        string
		frozen      time.Duration
		after, back time.Duration // from the end of the freeze to the order, and what counts before it
	}{
		{"running", 0, 0, 0},
		{"late by a little", 400 * time.Millisecond, 0, 0},
		{"late by more", 600 * time.Millisecond, 0, 600 * time.Millisecond},
		{"ordered while frozen", 2 * time.Second, 0, 2 * time.Second},
		{"the pulse came first", 2 * time.Second, 5 * time.Millisecond, 2005 * time.Millisecond},
		{"ordered later", 2 * time.Second, time.Second, 0},
		{"ordered soon after", 5 * time.Second, 200 * time.Millisecond, 0},
		{"frozen for long", 20 * time.Second, 0, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Pulse
			p.Beat(begin)
			now := begin.Add(c.frozen)
			if c.after > 0 {
				for at := time.Duration(0); at < c.after; at += PulseInterval {
					p.Beat(now.Add(at))
				}
			}
			now = now.Add(c.after)
			is.New(t).Equal(now.Sub(p.OrderedAt(now, grace)), c.back)
		})
	}
}

func TestOrderBeforeTheFirstBeat(t *testing.T) {
	var p Pulse
	is.New(t).Equal(p.OrderedAt(begin, time.Second), begin)
}
