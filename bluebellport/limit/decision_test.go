package bblimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

var start = time.Unix(1e9, 0)

// at returns a statement of an answer to a request sent and heard at these times,
// in milliseconds. A limit below 0 has ended.
func at(sent, heard int, limit float64) Statement {
	return Statement{
		Limit: max(limit, 0), Ended: limit < 0,
		SentAt: start.Add(time.Duration(sent) * time.Millisecond), HeardAt: start.Add(time.Duration(heard) * time.Millisecond),
	}
}

func TestAnswersThatOvertakeEachOtherLeaveTheStricterLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new Statement
		want     bool
	}{
		{"first", Statement{}, at(0, 10, 3), true},
		{"later and stricter", at(0, 10, 3), at(500, 510, 2), true},
		{"later and looser", at(0, 10, 3), at(500, 510, 4), true},
		{"ended since", at(0, 10, 3), at(500, 510, -1), true},
		{"older, comes last", at(500, 510, 3), at(0, 10, 2), false},
		{"overlaps, stricter", at(0, 400, 3), at(300, 500, 2), true},
		{"overlaps, looser", at(0, 400, 3), at(300, 500, 4), false},
		{"overlaps, ended", at(0, 400, 3), at(300, 500, -1), false},
		{"overlaps, named again", at(0, 400, -1), at(300, 500, 3), true},
		{"overlaps, the same", at(0, 400, 3), at(300, 500, 3), true},
		{"says nothing", at(0, 10, 3), Statement{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.old.replacedBy(&c.new), c.want)
		})
	}
}

func TestEveryFourSecondsOfALineKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 50).Draw(t, "limit")
		now := start
		l := newLine(limit, now)
		var usable []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			n, delay := l.grant(now, rapid.IntRange(1, 4).Draw(t, "count"), 0, time.Duration(rapid.IntRange(0, 1500).Draw(t, "patience"))*time.Millisecond)
			for range n {
				usable = append(usable, now.Add(delay))
			}
		}
		bound := int(max(limit, minRate)*simWindow.Seconds()) + l.burst() + 1
		first := 0
		for i := range usable {
			for usable[i].Sub(usable[first]) >= simWindow {
				first++
			}
			if i-first+1 > bound {
				t.Fatalf("%d permits in 4 s, limit %g", i-first+1, limit)
			}
		}
	})
}

func TestLineMovesWithItsLimit(t *testing.T) {
	is := is.New(t)
	l := newLine(10, start)
	granted, delay := l.grant(start, 1, 0, time.Second)
	is.Equal(granted, 1)
	is.Equal(delay, 100*time.Millisecond) // nothing is at hand at first
	l.setLimit(1, start)
	_, delay = l.grant(start, 1, 0, 0)
	is.Equal(delay, 2*time.Second)
}

// TestMostHomesHaveToGrantEachPermit guards against a bound that each home holds
// alone: with any losses at most one and a half times what one home grants gets
// through.
func TestMostHomesHaveToGrantEachPermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5.0
		homes := map[bbunit.InstanceID]*home{}
		for i := range homeCount {
			homes[bbunit.InstanceID(fmt.Sprint("h", i))] = newHome(limit, start)
		}
		now, permits := start, 0
		steps := rapid.IntRange(1, 60).Draw(t, "asks")
		for id := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			r := &round{id: uint64(id), count: 1, startAt: now}
			for i := range homeCount {
				r.homes = append(r.homes, &homeState{id: bbunit.InstanceID(fmt.Sprint("h", i))})
			}
			for wait := time.Duration(0); wait <= askTimeout; wait += failoverInterval {
				o, over := r.result(limit, now)
				if over {
					permits += o.Permit.Count
					break
				}
				for _, h := range r.due(now.Add(wait)) {
					h.sentAt = now.Add(wait)
					h.tries++
					if rapid.Bool().Draw(t, "lost") {
						continue
					}
					answer := homes[h.id].answer(&ask{from: "a", id: r.id, count: 1, confirm: h.confirm}, limit, now, func(int) int { return 0 })
					if rapid.Bool().Draw(t, "reply lost") {
						continue
					}
					r.hear(h.id, answer, now)
				}
			}
		}
		burst := float64(minBurst + confirmBurst)
		if bound := 1.5 * (limit*now.Sub(start).Seconds() + burst); float64(permits) > bound {
			t.Fatalf("%d permits, at most %.1f", permits, bound)
		}
	})
}

func TestRepeatedQuestionGetsTheSameReply(t *testing.T) {
	is := is.New(t)
	h := newHome(4, start)
	now := start.Add(10 * time.Second)
	zero := func(int) int { return 0 }
	question := &ask{from: "a", id: 1, count: 1}
	is.Equal(h.answer(question, 4, now, zero).count, 1)
	next := h.line.next
	is.Equal(h.answer(question, 4, now.Add(time.Millisecond), zero).count, 1)
	is.Equal(h.line.next, next) // nothing more is granted
	is.Equal(h.answer(&ask{from: "b", id: 1, count: 1}, 4, now, zero).count, 1)
	is.True(h.line.next.After(next))
}

// TestInstanceWithALaggingListGrantsNothing guards against instances that have
// just started and take themselves for the homes of all targets.
func TestInstanceWithALaggingListGrantsNothing(t *testing.T) {
	is := is.New(t)
	s := newSimulation(30, 0, 1, 3.1)
	s.Run(time.Second)
	run := s.targets[0].run
	s.keepers[s.Nodes[0]].Observe(run, Statement{Limit: 3.1, SentAt: s.Now(), HeardAt: s.Now()})
	s.Run(10 * time.Second)
	s.Lag = homeWarmup
	s.Add()
	started := s.keepers[s.Nodes[30]]
	s.Run(500 * time.Millisecond)
	is.True(started.IsLimited(run))
	for range 10 {
		r := started.begin(run, Asker{})
		s.Run(150 * time.Millisecond)
		is.True(r == nil || (<-r.done).Permit.Count == 0) // whom it takes for homes declines
	}
	s.Run(homeWarmup)
	r := started.begin(run, Asker{Patience: time.Second})
	s.Run(askTimeout)
	is.Equal((<-r.done).Permit.Count, 1)
}

// Guards against an account that holds all permits and counts as the only one that asks.
func TestAccountThatGetsNothingHasAPart(t *testing.T) {
	is := is.New(t)
	h := newHome(3, start)
	now := start.Add(time.Second)
	for id := range uint64(20) {
		h.answer(&ask{from: "i1", id: id, count: 1, patience: time.Second, account: 1}, 3, now, func(int) int { return 0 })
	}
	is.True(!h.accounts.isHeavy(1, now)) // nobody else has asked
	is.Equal(h.answer(&ask{from: "i2", id: 1, count: 1, patience: time.Second, account: 2}, 3, now, func(int) int { return 0 }).count, 0)
	is.True(h.accounts.isHeavy(1, now))
	is.True(!h.accounts.isHeavy(2, now))
}

// TestEvenLineGrantsFewAtOnce guards against a burst of permits for a target that has no room
// for requests that come at once.
func TestEvenLineGrantsFewAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1e9, 0)
	l := newLine(100, start)
	l.even = true
	granted := 0
	for now := start.Add(10 * time.Second); now.Before(start.Add(10*time.Second + 100*time.Millisecond)); now = now.Add(time.Millisecond) {
		n, _ := l.grant(now, maxCount, 0, 0)
		is.True(n <= minBurst)
		granted += n
	}
	is.True(granted <= 100/10+minBurst)
}
