package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestOrderOnRead(t *testing.T) {
	const callTimeout = time.Second
	previous := Intent{Fence: 4, OrderID: "other"}
	mine := Intent{Fence: 5, OrderID: "me"}
	done := Intent{Fence: 5, OrderID: "me", Done: true}
	written := func(o *Order) { o.OnRead(testNow, previous, false, callTimeout); o.OnWritten(testNow, callTimeout) }
	for _, c := range []struct {
		name        string
		setup       func(o *Order)
		elapsed     time.Duration
		latest      Intent
		checksFence bool
		want        OrderStep
	}{
		{name: "first order", want: OrderStepWrite},
		{name: "over another", latest: previous, want: OrderStepWrite},
		{name: "lost answer, took effect", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: mine, want: OrderStepWait},
		{name: "lost answer, no effect", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: previous, want: OrderStepWrite},
		{name: "lost answer, another came between", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: Intent{Fence: 5, OrderID: "third"}, want: OrderStepWrite},
		{name: "waits out calls of the one before", setup: written, elapsed: callTimeout - 1, latest: mine, want: OrderStepWait},
		{name: "sends after that", setup: written, elapsed: callTimeout, latest: mine, want: OrderStepSend},
		{name: "sends at once to a target that checks", setup: written, latest: mine, checksFence: true, want: OrderStepSend},
		{name: "superseded", setup: written, latest: Intent{Fence: 6, OrderID: "third"}, checksFence: true, want: OrderStepSuperseded},
		{name: "superseded after its call", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: Intent{Fence: 6, OrderID: "third"}, want: OrderStepSuperseded},
		{name: "marks", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: mine, want: OrderStepMark},
		{name: "done", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: done, want: OrderStepEnd},
		{name: "done by the home", setup: written, latest: done, want: OrderStepEnd},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := NewOrder("load", "m", "me")
			if c.setup != nil {
				c.setup(o)
			}
			is.Equal(o.OnRead(testNow.Add(c.elapsed), c.latest, c.checksFence, callTimeout), c.want)
		})
	}
}

// simOrder is one order on its way in the model below.
type simOrder struct {
	*Order
	step     OrderStep
	revision int
	readAt   time.Time
	ended    bool
}

// orderCall is a call under way: until then it may have its effect.
type orderCall struct {
	intent   Intent
	deadline time.Time
}

// orderSimulation is a store with lost answers, orderers, a home that sends again,
// and a target that ignores fencing numbers.
type orderSimulation struct {
	t        *rapid.T
	now      time.Time
	latest   Intent
	revision int
	calls    []orderCall
	applied  Intent
}

const testCallTimeout = time.Second

// write compares and swaps; its answer may be lost either way.
func (s *orderSimulation) write(intent Intent, revision int) bool {
	lost := rapid.IntRange(0, 3).Draw(s.t, "lost")
	if revision != s.revision || lost == 1 {
		return false
	}
	s.latest, s.revision = intent, s.revision+1
	return lost != 2
}

// send starts a call that was decided on at began. It fails the test when calls
// with another intent may still be under way.
func (s *orderSimulation) send(intent Intent, readAt time.Time) bool {
	deadline := readAt.Add(testCallTimeout)
	if s.now.After(deadline) {
		return false
	}
	for _, call := range s.calls {
		if s.now.Before(call.deadline) && call.intent.Fence != intent.Fence {
			s.t.Fatalf("%v sent while %v may be under way", intent, call.intent)
		}
	}
	s.calls = append(s.calls, orderCall{intent, deadline})
	acknowledged := rapid.Bool().Draw(s.t, "acknowledged")
	if acknowledged || rapid.Bool().Draw(s.t, "effect") {
		s.applied = intent
	}
	return acknowledged
}

// advance does the orderer's next move: it reads, or does what it decided.
func (s *orderSimulation) advance(o *simOrder) {
	if o.readAt.IsZero() {
		o.readAt, o.revision = s.now, s.revision
		o.step = o.OnRead(s.now, s.latest, false, testCallTimeout)
		return
	}
	switch o.step {
	case OrderStepWrite:
		if s.write(o.Intent, o.revision) {
			o.OnWritten(s.now, testCallTimeout)
		}
	case OrderStepMark:
		s.write(o.Intent, o.revision)
	case OrderStepSend:
		if s.send(o.Intent, o.readAt) {
			o.OnAcknowledged()
		}
	case OrderStepEnd, OrderStepSuperseded:
		o.ended = true
	}
	o.readAt = time.Time{}
}

// TestConcurrentOrdersNeverOverlap lets orderers and the home take turns in any order, with
// writes and calls whose answers are lost, before a target that ignores fencing
// numbers: it never has calls with two intents under way, and ends with the
// last one.
func TestConcurrentOrdersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &orderSimulation{t: t, now: testNow}
		var orders []*simOrder
		for i := range rapid.IntRange(1, 3).Draw(t, "orderers") {
			orders = append(orders, &simOrder{Order: NewOrder("load", "m", fmt.Sprint(i))})
		}
		var resend Resender
		var pendingResend *orderCall // what the home read and has not sent yet
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(orders)).Draw(t, "turn")
			switch {
			case n < len(orders) && !orders[n].ended:
				s.advance(orders[n])
			case pendingResend == nil && resend.ShouldSend(s.now, s.latest, false, testCallTimeout):
				pendingResend = &orderCall{intent: s.latest, deadline: s.now}
			case pendingResend != nil:
				s.send(pendingResend.intent, pendingResend.deadline)
				pendingResend = nil
			}
		}
		resend.ShouldSend(s.now, s.latest, false, testCallTimeout)
		s.now = s.now.Add(testCallTimeout)
		if resend.ShouldSend(s.now, s.latest, false, testCallTimeout) { // the home goes on
			s.applied = s.latest
		}
		if s.applied.Fence != s.latest.Fence {
			t.Fatalf("ends with %v, ordered %v", s.applied, s.latest)
		}
	})
}

// TestResender: the last order is sent again until it is done; to a target that
// ignores fencing numbers ever again, since a paused orderer may send late.
func TestResender(t *testing.T) {
	is := is.New(t)
	pending, acknowledged := Intent{Fence: 6, OrderID: "me"}, Intent{Fence: 6, OrderID: "me", Done: true}
	later := testNow.Add(testCallTimeout)
	var checked, ignored, none Resender
	is.True(checked.ShouldSend(testNow, pending, true, testCallTimeout))
	is.True(!checked.ShouldSend(later, acknowledged, true, testCallTimeout))
	is.True(!ignored.ShouldSend(testNow, pending, false, testCallTimeout)) // calls of the one before
	is.True(ignored.ShouldSend(later, pending, false, testCallTimeout))
	is.True(ignored.ShouldSend(later, acknowledged, false, testCallTimeout))
	is.True(!ignored.ShouldSend(later, Intent{Fence: 7}, false, testCallTimeout))
	is.True(!none.ShouldSend(later, Intent{}, false, testCallTimeout))
}
