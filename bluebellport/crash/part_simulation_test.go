package bbcrash

import (
	"fmt"
	"testing"
	"time"
)

func TestPartThatCrashesTargetsIsRefusedByTheWholeFleet(t *testing.T) {
	calm := func(*partLoad) {}
	backgroundCrashes := func(l *partLoad) {
		l.every(1, func() { l.crash(l.targets[l.Rand.IntN(len(l.targets))]) })
	}
	kills := func(l *partLoad) {
		for i := range 3 {
			l.After(time.Duration(1+7*i)*time.Second, func() { l.KillShare(0.4, 2*time.Second) })
		}
	}
	joins := func(l *partLoad) {
		for i := range len(l.nodes) / 2 {
			l.After(time.Duration(i)*100*time.Millisecond, l.Add)
		}
	}
	cut := func(l *partLoad) { l.After(500*time.Millisecond, func() { l.CutDomain("d1", 7*time.Second) }) }
	for _, c := range []struct {
		name               string
		instances, targets int
		loss               float64
		sound, guilty      float64 // a second
		places             []int
		warmUp             time.Duration
		trouble            func(l *partLoad)
	}{
		{"calm", 8, 16, 0, 40, 8, []int{2}, 5 * time.Second, calm},
		{"calm", 8, 16, 0.3, 40, 8, []int{2}, 5 * time.Second, calm},
		{"first in the prompt", 8, 16, 0.3, 40, 8, []int{0}, 5 * time.Second, calm},
		{"two parts", 8, 24, 0.3, 40, 5, []int{2, 1}, 5 * time.Second, calm},
		{"two a second", 8, 16, 0.3, 40, 2, []int{2}, 5 * time.Second, calm},
		{"other targets crash", 8, 16, 0.3, 40, 2, []int{2}, 5 * time.Second, backgroundCrashes},
		{"just started", 8, 16, 0.3, 40, 8, []int{2}, 0, calm},
		{"calm", 84, 94, 0.3, 150, 10, []int{2}, 5 * time.Second, calm},
		{"other targets crash", 84, 94, 0.3, 150, 10, []int{2}, 5 * time.Second, backgroundCrashes},
		{"instances killed", 84, 94, 0.3, 150, 10, []int{2}, 5 * time.Second, kills},
		{"new instances", 84, 94, 0.3, 150, 10, []int{2}, 5 * time.Second, joins},
		{"a domain cut off", 84, 94, 0.3, 150, 10, []int{2}, 5 * time.Second, cut},
		{"calm", 300, 150, 0.3, 200, 10, []int{2}, 5 * time.Second, calm},
	} {
		t.Run(fmt.Sprintf("%s, %d instances, loss %g, %g a second", c.name, c.instances, c.loss, c.guilty), func(t *testing.T) {
			var sum lateSends
			var refused, requests, lost int
			var slowest time.Duration
			for seed := range (*simSeeds + 1) / 2 {
				l := newPartLoad(c.instances, c.targets, c.loss, seed)
				l.every(c.sound, l.sendSound)
				l.Run(c.warmUp)
				for i, place := range c.places {
					l.addGuilty(fmt.Sprint("guilty", i), place, c.guilty)
				}
				c.trouble(l)
				for range 20 {
					if l.Run(time.Second); l.guilty[0].late.inTouch > 5*maxLateSends {
						break // has failed
					}
				}
				for _, g := range l.guilty {
					if g.late.inTouch > maxLateSends || len(g.ended) < partCrashes {
						t.Errorf("seed %d: %d sends later than %s after the fifth of %d crashes", seed, g.late.inTouch, partContact, len(g.ended))
					}
					sum.inTouch, sum.all = sum.inTouch+g.late.inTouch, sum.all+g.late.all
					slowest = max(slowest, g.firmAt.Sub(g.bound.Add(-partContact)))
				}
				if l.refusedParts > 0 {
					t.Logf("seed %d: sound requests refused for parts: %v", seed, l.refusedNames)
				}
				refused, requests, lost = refused+l.refusedParts, requests+l.refusedRequests, lost+l.lost
			}
			t.Logf("late sends in all seeds: %+v; first refusal at most %s after the fifth crash; sound requests refused for a part %d, for themselves %d, lost %d",
				sum, slowest, refused, requests, lost)
			if refused > 0 {
				t.Errorf("%d sound requests were refused for a part", refused)
			}
		})
	}
}

func TestSoundPartsAreNotRefusedForOtherCrashes(t *testing.T) {
	crashAll := func(share float64, span time.Duration) func(l *partLoad) {
		return func(l *partLoad) { l.crashShare(share, span) }
	}
	release := func(l *partLoad) {
		for i, target := range l.targets {
			l.After(time.Duration(i)*200*time.Millisecond, func() { l.crash(target) })
		}
	}
	background := func(l *partLoad) {
		l.every(1, func() { l.crash(l.targets[l.Rand.IntN(len(l.targets))]) })
	}
	for _, c := range []struct {
		name               string
		instances, targets int
		sound              float64 // a second
		longest            time.Duration
		duration           time.Duration
		trouble            func(l *partLoad)
	}{
		{"all targets at one moment", 84, 94, 300, 1500 * time.Millisecond, 12 * time.Second, crashAll(1, 0)},
		{"a quarter at one moment", 84, 94, 300, 1500 * time.Millisecond, 12 * time.Second, crashAll(0.25, 0)},
		{"a quarter within 0.5 s", 84, 94, 300, 1500 * time.Millisecond, 12 * time.Second, crashAll(0.25, 500*time.Millisecond)},
		{"all within 2 s", 8, 16, 60, 1500 * time.Millisecond, 12 * time.Second, crashAll(1, 2*time.Second)},
		{"nine of 16 within 0.5 s", 8, 16, 60, 1500 * time.Millisecond, 12 * time.Second, crashAll(0.6, 500*time.Millisecond)},
		{"one after the other", 8, 16, 60, 1500 * time.Millisecond, 12 * time.Second, release},
		{"one after the other, long answers", 8, 16, 20, 6 * time.Second, 20 * time.Second, release},
		{"one after the other", 84, 94, 300, 1500 * time.Millisecond, 25 * time.Second, release},
		{"one each second", 8, 16, 40, 1500 * time.Millisecond, 150 * time.Second, background},
	} {
		for _, warmUp := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, %d instances, answers take up to %s, %s after the start", c.name, c.instances, c.longest, warmUp), func(t *testing.T) {
				var served, refused, requests int
				for seed := range (*simSeeds + 1) / 2 {
					l := newPartLoad(c.instances, c.targets, 0.3, seed)
					l.longest = c.longest
					l.every(c.sound, l.sendSound)
					l.Run(warmUp)
					c.trouble(l)
					l.Run(c.duration)
					if l.refusedParts > 0 {
						t.Logf("seed %d: sound requests refused for parts: %v", seed, l.refusedNames)
					}
					served, refused, requests = served+l.served, refused+l.refusedParts, requests+l.refusedRequests
				}
				t.Logf("sound requests served %d, refused for a part %d, for themselves %d", served, refused, requests)
				if refused > 0 || served == 0 {
					t.Errorf("%d sound requests were refused for a part, %d served", refused, served)
				}
			})
		}
	}
}
