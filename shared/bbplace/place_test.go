package bbplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

var start = time.Unix(1000, 0)

func fleet(n int) []*Target {
	out := make([]*Target, n)
	for i := range out {
		out[i] = &Target{
			Target: bbplan.Target{ID: bbunit.TargetID(fmt.Sprint("t", i)), Domain: bbunit.DomainID(fmt.Sprint("d", i%3)), Slots: 64},
			Known:  &Known{},
		}
	}
	return out
}

// Targets that are leaving, tried, busy or failing get nothing.
func TestWhoGetsNothing(t *testing.T) {
	cases := []struct {
		name string
		set  func(x *Target, a *Ask)
		full Full
	}{
		{"leaving", func(x *Target, _ *Ask) { x.Leaving = true }, FullNone},
		{"tried", func(x *Target, a *Ask) { a.Tried = append(a.Tried, x.ID) }, FullNone},
		{"busy", func(x *Target, _ *Ask) { x.Known.Busy(start.Add(time.Second)) }, FullNone},
		{"full", func(x *Target, _ *Ask) { x.Known.Report(100, 10, 64, start) }, FullLoad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			targets := fleet(2)
			ask := &Ask{}
			c.set(targets[0], ask)
			for draw := range uint64(20) {
				ask.Draw = draw
				i, _ := Choose(targets, ask, start)
				is.Equal(i, 1)
			}
			c.set(targets[1], ask)
			i, why := Choose(targets, ask, start)
			is.Equal(i, -1)
			is.Equal(why, c.full)
		})
	}
}

// The load: prompts of 20,000 tokens come four at a time at an instance whose nine
// targets report nothing. None of them waits behind another, so that no stream
// beside them pauses for two.
func TestLargePromptsSpread(t *testing.T) {
	is := is.New(t)
	targets := fleet(9)
	now := start
	for round := range 50 {
		used := map[int]bool{}
		for k := range 4 {
			ask := &Ask{Domain: "d0", Tokens: 20_000, Draw: uint64(round*4 + k)}
			i, _ := Choose(targets, ask, now)
			is.True(!used[i])
			used[i] = true
			targets[i].Known.Prefill(ask.Tokens, now)
		}
		now = now.Add(400 * time.Millisecond)
	}
}

// The load: requests that share 5,000 of 6,000 tokens. They meet where these are
// kept, until that target reads so much that another would be sooner.
func TestSharedPromptsMeet(t *testing.T) {
	is := is.New(t)
	targets := fleet(9)
	ask := &Ask{Prompt: 77, Shared: 5000, Tokens: 6000}
	first, _ := Choose(targets, ask, start)
	for range 5 {
		ask.Draw++
		i, _ := Choose(targets, ask, start)
		is.Equal(i, first)
		is.True(Home(targets, i, ask, start))
	}
	targets[first].Known.Prefill(10_000, start)
	i, _ := Choose(targets, ask, start)
	is.True(i != first)
}

// A target half of whose answers fail is left to others while they are good.
func TestFailingTarget(t *testing.T) {
	is := is.New(t)
	targets := fleet(3)
	for k := range 30 {
		targets[0].Known.Result(k%2 == 0)
	}
	for draw := range uint64(50) {
		i, _ := Choose(targets, &Ask{Domain: "d0", Draw: draw}, start)
		is.True(i != 0)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 64} {
		targets := fleet(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			ask := &Ask{Prompt: 5, Shared: 100, Tokens: 2000}
			for b.Loop() {
				ask.Draw++
				Choose(targets, ask, start)
			}
		})
	}
}
