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
		{name: "replaces an earlier order", latest: previous, want: OrderStepWrite},
		{name: "write with lost answer, took effect", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: mine, want: OrderStepWait},
		{name: "write with lost answer, no effect", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: previous, want: OrderStepWrite},
		{name: "write with lost answer, another order came first", setup: func(o *Order) { o.OnRead(testNow, previous, false, callTimeout) }, latest: Intent{Fence: 5, OrderID: "third"}, want: OrderStepWrite},
		{name: "waits until calls for the predecessor end", setup: written, elapsed: callTimeout - 1, latest: mine, want: OrderStepWait},
		{name: "sends after the wait", setup: written, elapsed: callTimeout, latest: mine, want: OrderStepSend},
		{name: "sends at once to a target that checks fencing tokens", setup: written, latest: mine, checksFence: true, want: OrderStepSend},
		{name: "superseded", setup: written, latest: Intent{Fence: 6, OrderID: "third"}, checksFence: true, want: OrderStepSuperseded},
		{name: "superseded after the target acknowledged", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: Intent{Fence: 6, OrderID: "third"}, want: OrderStepSuperseded},
		{name: "marks an acknowledged order", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: mine, want: OrderStepMark},
		{name: "done", setup: func(o *Order) { written(o); o.OnAcknowledged() }, latest: done, want: OrderStepEnd},
		{name: "done by a resender", setup: written, latest: done, want: OrderStepEnd},
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

// simOrder is one order in the simulation below.
type simOrder struct {
	*Order
	step     OrderStep
	revision int
	readAt   time.Time
	ended    bool
}

// orderCall is a call to the target. It may take effect until its deadline.
type orderCall struct {
	intent   Intent
	deadline time.Time
}

// orderSimulation simulates a store and a target that both lose answers. The
// target ignores fencing tokens.
type orderSimulation struct {
	t        *rapid.T
	now      time.Time
	latest   Intent
	revision int
	calls    []orderCall
	applied  Intent
}

const testCallTimeout = time.Second

// write is a compare-and-swap that may fail, or succeed and lose its answer.
func (s *orderSimulation) write(intent Intent, revision int) bool {
	lost := rapid.IntRange(0, 3).Draw(s.t, "lost")
	if revision != s.revision || lost == 1 {
		return false
	}
	s.latest, s.revision = intent, s.revision+1
	return lost != 2
}

// send starts a call whose deadline counts from readAt. It fails the test when
// calls with another intent may still be in progress.
func (s *orderSimulation) send(intent Intent, readAt time.Time) bool {
	deadline := readAt.Add(testCallTimeout)
	if s.now.After(deadline) {
		return false
	}
	for _, call := range s.calls {
		if s.now.Before(call.deadline) && call.intent.Fence != intent.Fence {
			s.t.Fatalf("%v sent while a call with %v may be in progress", intent, call.intent)
		}
	}
	s.calls = append(s.calls, orderCall{intent, deadline})
	acknowledged := rapid.Bool().Draw(s.t, "acknowledged")
	if acknowledged || rapid.Bool().Draw(s.t, "effect") {
		s.applied = intent
	}
	return acknowledged
}

// advance makes the next move of the order: a reading, or the step that the
// last reading returned.
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

// TestConcurrentOrdersNeverOverlap interleaves orders and a resender at random,
// with lost answers, and a target that ignores fencing tokens. Calls with two
// intents are never in progress at the same time, and the last order is the one
// in effect at the end.
func TestConcurrentOrdersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &orderSimulation{t: t, now: testNow}
		var orders []*simOrder
		for i := range rapid.IntRange(1, 3).Draw(t, "orders") {
			orders = append(orders, &simOrder{Order: NewOrder("load", "m", fmt.Sprint(i))})
		}
		var resender Resender
		var pendingResend *orderCall // not sent yet; its deadline holds when the resender read the intent
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			turn := rapid.IntRange(0, len(orders)).Draw(t, "turn")
			switch {
			case turn < len(orders) && !orders[turn].ended:
				s.advance(orders[turn])
			case pendingResend == nil && resender.ShouldSend(s.now, s.latest, false, testCallTimeout):
				pendingResend = &orderCall{intent: s.latest, deadline: s.now}
			case pendingResend != nil:
				s.send(pendingResend.intent, pendingResend.deadline)
				pendingResend = nil
			}
		}
		resender.ShouldSend(s.now, s.latest, false, testCallTimeout)
		s.now = s.now.Add(testCallTimeout)
		if resender.ShouldSend(s.now, s.latest, false, testCallTimeout) { // the resender continues
			s.applied = s.latest
		}
		if s.applied.Fence != s.latest.Fence {
			t.Fatalf("in effect at the end: %v, last order: %v", s.applied, s.latest)
		}
	})
}

// TestResender checks that the last order is sent again until it is done, and
// without end to a target that ignores fencing tokens, because a paused sender
// may send an older order late.
func TestResender(t *testing.T) {
	is := is.New(t)
	pending, acknowledged := Intent{Fence: 6, OrderID: "me"}, Intent{Fence: 6, OrderID: "me", Done: true}
	later := testNow.Add(testCallTimeout)
	var checked, ignored, none Resender
	is.True(checked.ShouldSend(testNow, pending, true, testCallTimeout))
	is.True(!checked.ShouldSend(later, acknowledged, true, testCallTimeout))
	is.True(!ignored.ShouldSend(testNow, pending, false, testCallTimeout)) // calls for the predecessor may be in progress
	is.True(ignored.ShouldSend(later, pending, false, testCallTimeout))
	is.True(ignored.ShouldSend(later, acknowledged, false, testCallTimeout))
	is.True(!ignored.ShouldSend(later, Intent{Fence: 7}, false, testCallTimeout))
	is.True(!none.ShouldSend(later, Intent{}, false, testCallTimeout))
}
