package bbroute

import (
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

func newTestAdmission(window float64) *AdmissionController {
	a := NewAdmissionController(AdmissionPolicy{MaxQueued: 3, MaxWait: 10 * time.Second})
	a.SetWindow(window, testNow)
	a.RecordDuration(time.Second)
	return a
}

func newTestWaiter(p bbunit.Priority, deadline time.Duration) *Waiter {
	w := &Waiter{Priority: p, ExpectedDuration: time.Second, Ready: make(chan error, 1)}
	if deadline > 0 {
		w.Deadline = testNow.Add(deadline)
	}
	return w
}

// waitResult reports whether the wait has ended, and its result.
func waitResult(w *Waiter) (bool, error) {
	select {
	case err := <-w.Ready:
		return true, err
	default:
		return false, nil
	}
}

func TestAdmissionPrefersHigherPriority(t *testing.T) {
	is := is.New(t)
	a := newTestAdmission(1)
	is.True(a.TryAcquire())
	is.True(!a.TryAcquire())
	low, high := newTestWaiter(0, 0), newTestWaiter(5, 0)
	is.NoErr(a.Enqueue(low, testNow))
	is.NoErr(a.Enqueue(high, testNow))
	a.Release()
	ok, _ := waitResult(low)
	is.True(!ok)
	ok, err := waitResult(high)
	is.True(ok)
	is.NoErr(err)
	is.Equal(a.InFlight(), 1)
}

func TestFullQueueEvictsLowestPriority(t *testing.T) {
	is := is.New(t)
	a := newTestAdmission(1)
	is.True(a.TryAcquire())
	var waiters []*Waiter
	for p := range bbunit.Priority(3) {
		waiters = append(waiters, newTestWaiter(p, 0))
		is.NoErr(a.Enqueue(waiters[p], testNow))
	}
	is.True(errors.Is(a.Enqueue(newTestWaiter(0, 0), testNow), ErrOverload)) // no waiter has a lower priority
	is.NoErr(a.Enqueue(newTestWaiter(1, 0), testNow))
	ok, err := waitResult(waiters[0])
	is.True(ok)
	is.True(errors.Is(err, ErrOverload))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.RetryAfter > 0)
}

func TestAdmissionRefusesMissedDeadlines(t *testing.T) {
	is := is.New(t)
	a := newTestAdmission(1)
	is.True(a.TryAcquire())
	for _, timeout := range []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond} {
		err := a.Enqueue(newTestWaiter(0, timeout), testNow) // waits 1 s and runs 1 s, plus the margin
		is.True(errors.Is(err, ErrOverload))
	}
	w := newTestWaiter(0, 2500*time.Millisecond)
	is.NoErr(a.Enqueue(w, testNow))
	a.SetWindow(1, testNow.Add(time.Second)) // still queued, and now too late
	ok, err := waitResult(w)
	is.True(ok)
	is.True(errors.Is(err, ErrOverload))
}

// TestWindow checks the admission window of one of 4 instances that share
// targets with 8 slots each.
func TestWindow(t *testing.T) {
	reported := func(running, own int) func(g *Group) {
		return func(g *Group) {
			for range own {
				g.Local[0].State.Begin(meanRequestWork, false)
			}
			_, _ = g.Local[0].State.Observe(LoadReport{Running: running, Slots: 8, SampledAt: testNow}, testNow)
		}
	}
	for _, c := range []struct {
		name    string
		domains []bbunit.DomainID
		setup   func(g *Group)
		want    int
	}{
		{"no report: all slots", []bbunit.DomainID{"d1"}, func(*Group) {}, 8},
		{"idle: an equal part of the room", []bbunit.DomainID{"d1"}, reported(0, 0), 3},
		{"others use all: the minimum", []bbunit.DomainID{"d1"}, reported(16, 0), 1},
		{"this instance uses all: the room too", []bbunit.DomainID{"d1"}, reported(8, 8), 12},
		{"over capacity: gives up its part of the excess", []bbunit.DomainID{"d1"}, reported(16, 8), 6},
		{"local and remote target: a part of the remote slots", []bbunit.DomainID{"d1", "d2"}, func(*Group) {}, 9},
		{"only remote targets: all slots", []bbunit.DomainID{"d2", "d2"}, func(*Group) {}, 16},
		{"local target down: all remote slots", []bbunit.DomainID{"d1", "d2"}, func(g *Group) { g.Local[0].State.MarkLeaving(testNow) }, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGroup(c.domains...)
			c.setup(g)
			g.UpdateWindow(testNow, 4)
			is.Equal(g.Admission().Window(), c.want)
		})
	}
}

// TestAdmissionInvariants runs random steps and checks that no more requests
// are admitted than the window allows at that time, that no request is queued
// while there is room, and that each wait ends exactly once.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAdmission(2)
		now, window, admitted := testNow, 2, 0
		var waiters []*Waiter
		collect := func() {
			waiters = slices.DeleteFunc(waiters, func(w *Waiter) bool {
				ok, err := waitResult(w)
				if ok && err == nil {
					admitted++
				}
				return ok
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if a.TryAcquire() {
					admitted++
					break
				}
				w := newTestWaiter(bbunit.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), 0)
				w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				if a.Enqueue(w, now) == nil {
					waiters = append(waiters, w)
				}
			case 2:
				if admitted > 0 {
					admitted--
					a.Release()
				}
			case 3:
				window = rapid.IntRange(1, 5).Draw(t, "window")
				a.SetWindow(float64(window), now)
			case 4:
				if len(waiters) > 0 && a.CancelWait(waiters[0]) {
					waiters = waiters[1:]
				}
			}
			collect()
			if a.InFlight() != admitted || a.Queued() != len(waiters) || len(waiters) > 3 {
				t.Fatalf("in flight %d, want %d; queued %d, want %d", a.InFlight(), admitted, a.Queued(), len(waiters))
			}
			if len(waiters) > 0 && admitted < window {
				t.Fatalf("%d queued while only %d of %d are in flight", len(waiters), admitted, window)
			}
		}
	})
}
