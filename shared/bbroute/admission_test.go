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

func newTestGate(window float64) *AdmissionController {
	g := NewAdmissionController(AdmissionPolicy{MaxQueued: 3, MaxWait: 10 * time.Second})
	g.SetWindow(window, testNow)
	g.RecordDuration(time.Second)
	return g
}

func newWaiter(p bbunit.Priority, deadline time.Duration) *Waiter {
	w := &Waiter{Priority: p, ExpectedDuration: time.Second, Ready: make(chan error, 1)}
	if deadline > 0 {
		w.Deadline = testNow.Add(deadline)
	}
	return w
}

// ended returns how the wait ended, and whether it did.
func ended(w *Waiter) (bool, error) {
	select {
	case err := <-w.Ready:
		return true, err
	default:
		return false, nil
	}
}

func TestGateLetsHigherPriorityInFirst(t *testing.T) {
	is := is.New(t)
	g := newTestGate(1)
	is.True(g.TryAcquire())
	is.True(!g.TryAcquire())
	low, high := newWaiter(0, 0), newWaiter(5, 0)
	is.NoErr(g.Enqueue(low, testNow))
	is.NoErr(g.Enqueue(high, testNow))
	g.Release()
	ok, _ := ended(low)
	is.True(!ok)
	ok, err := ended(high)
	is.True(ok)
	is.NoErr(err)
	is.Equal(g.InFlight(), 1)
}

func TestGateFullLineShedsLowestPriority(t *testing.T) {
	is := is.New(t)
	g := newTestGate(1)
	is.True(g.TryAcquire())
	var ws []*Waiter
	for p := range bbunit.Priority(3) {
		ws = append(ws, newWaiter(p, 0))
		is.NoErr(g.Enqueue(ws[p], testNow))
	}
	is.True(errors.Is(g.Enqueue(newWaiter(0, 0), testNow), ErrOverload)) // none below it
	is.NoErr(g.Enqueue(newWaiter(1, 0), testNow))
	ok, err := ended(ws[0])
	is.True(ok)
	is.True(errors.Is(err, ErrOverload))
	var r *Refusal
	is.True(errors.As(err, &r))
	is.True(r.RetryAfter > 0)
}

func TestGateRefusesWhatCannotEndInTime(t *testing.T) {
	is := is.New(t)
	g := newTestGate(1)
	is.True(g.TryAcquire())
	for _, left := range []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond} {
		err := g.Enqueue(newWaiter(0, left), testNow) // waits 1 s, runs 1 s and a margin
		is.True(errors.Is(err, ErrOverload))
	}
	w := newWaiter(0, 2500*time.Millisecond)
	is.NoErr(g.Enqueue(w, testNow))
	g.SetWindow(1, testNow.Add(time.Second)) // still waits, and is now too late
	ok, err := ended(w)
	is.True(ok)
	is.True(errors.Is(err, ErrOverload))
}

// TestWindow is the table of how many requests an instance lets in, of targets
// with 8 slots that 4 instances use.
func TestWindow(t *testing.T) {
	near := func(running, own int) func(g *Group) {
		return func(g *Group) {
			for range own {
				g.Local[0].State.Begin(workUnit, false)
			}
			_, _ = g.Local[0].State.Observe(LoadReport{Running: running, Slots: 8, SampledAt: testNow}, testNow)
		}
	}
	for _, c := range []struct {
		name    string
		domains []bbunit.DomainID
		set     func(g *Group)
		want    int
	}{
		{"no report: all slots", []bbunit.DomainID{"d1"}, func(*Group) {}, 8},
		{"idle: its part of the room", []bbunit.DomainID{"d1"}, near(0, 0), 3},
		{"others have all: the least", []bbunit.DomainID{"d1"}, near(16, 0), 1},
		{"it has all: the room too", []bbunit.DomainID{"d1"}, near(8, 8), 12},
		{"over the room: gives up its part", []bbunit.DomainID{"d1"}, near(16, 8), 6},
		{"a little of another failure domain", []bbunit.DomainID{"d1", "d2"}, func(*Group) {}, 9},
		{"only another failure domain", []bbunit.DomainID{"d2", "d2"}, func(*Group) {}, 16},
		{"own failure domain down", []bbunit.DomainID{"d1", "d2"}, func(g *Group) { g.Local[0].State.MarkLeaving(testNow) }, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := testGroup(c.domains...)
			c.set(g)
			g.UpdateWindow(testNow, 4)
			is.Equal(g.Admission().Window(), c.want)
		})
	}
}

// TestGateKeepsCount runs any sequence of steps: never more in than the window
// that let them in, nobody waits while there is room, and all ends are told once.
func TestGateKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(2)
		now, window, in := testNow, 2, 0
		var waiting []*Waiter
		settle := func() {
			waiting = slices.DeleteFunc(waiting, func(w *Waiter) bool {
				ok, err := ended(w)
				if ok && err == nil {
					in++
				}
				return ok
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if g.TryAcquire() {
					in++
					break
				}
				w := newWaiter(bbunit.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), 0)
				w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				if g.Enqueue(w, now) == nil {
					waiting = append(waiting, w)
				}
			case 2:
				if in > 0 {
					in--
					g.Release()
				}
			case 3:
				window = rapid.IntRange(1, 5).Draw(t, "window")
				g.SetWindow(float64(window), now)
			case 4:
				if len(waiting) > 0 && g.CancelWait(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			settle()
			if g.InFlight() != in || g.Queued() != len(waiting) || len(waiting) > 3 {
				t.Fatalf("open %d, in %d, waiting %d of %d", g.InFlight(), in, g.Queued(), len(waiting))
			}
			if len(waiting) > 0 && in < window {
				t.Fatalf("%d wait while %d of %d are in", len(waiting), in, window)
			}
		}
	})
}
