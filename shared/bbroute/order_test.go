package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestOrderRead(t *testing.T) {
	const call = time.Second
	before := Intent{Fence: 4, OrderID: "other"}
	mine := Intent{Fence: 5, OrderID: "me"}
	done := Intent{Fence: 5, OrderID: "me", Done: true}
	written := func(o *Order) { o.OnRead(testNow, before, false, call); o.OnWritten(testNow, call) }
	for _, c := range []struct {
		name   string
		do     func(o *Order)
		after  time.Duration
		top    Intent
		checks bool
		want   OrderStep
	}{
		{name: "first order", want: OrderStepWrite},
		{name: "over another", top: before, want: OrderStepWrite},
		{name: "lost answer, took effect", do: func(o *Order) { o.OnRead(testNow, before, false, call) }, top: mine, want: OrderStepWait},
		{name: "lost answer, no effect", do: func(o *Order) { o.OnRead(testNow, before, false, call) }, top: before, want: OrderStepWrite},
		{name: "lost answer, another came between", do: func(o *Order) { o.OnRead(testNow, before, false, call) }, top: Intent{Fence: 5, OrderID: "third"}, want: OrderStepWrite},
		{name: "waits out calls of the one before", do: written, after: call - 1, top: mine, want: OrderStepWait},
		{name: "sends after that", do: written, after: call, top: mine, want: OrderStepSend},
		{name: "sends at once to a target that checks", do: written, top: mine, checks: true, want: OrderStepSend},
		{name: "superseded", do: written, top: Intent{Fence: 6, OrderID: "third"}, checks: true, want: OrderStepSuperseded},
		{name: "superseded after its call", do: func(o *Order) { written(o); o.OnAcknowledged() }, top: Intent{Fence: 6, OrderID: "third"}, want: OrderStepSuperseded},
		{name: "marks", do: func(o *Order) { written(o); o.OnAcknowledged() }, top: mine, want: OrderStepMark},
		{name: "done", do: func(o *Order) { written(o); o.OnAcknowledged() }, top: done, want: OrderStepEnd},
		{name: "done by the home", do: written, top: done, want: OrderStepEnd},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := NewOrder("load", "m", "me")
			if c.do != nil {
				c.do(o)
			}
			is.Equal(o.OnRead(testNow.Add(c.after), c.top, c.checks, call), c.want)
		})
	}
}

// orderer is one order on its way in the model below.
type orderer struct {
	*Order
	step  OrderStep
	rev   int
	began time.Time
	over  bool
}

// orderCallTime is a call under way: until then it may have its effect.
type orderCallTime struct {
	intent Intent
	until  time.Time
}

// orderModel is a store with lost answers, orderers, a home that sends again,
// and a target that ignores fencing numbers.
type orderModel struct {
	t       *rapid.T
	now     time.Time
	top     Intent
	rev     int
	calls   []orderCallTime
	applied Intent
}

const modelCall = time.Second

// write compares and swaps; its answer may be lost either way.
func (m *orderModel) write(i Intent, rev int) bool {
	lost := rapid.IntRange(0, 3).Draw(m.t, "lost")
	if rev != m.rev || lost == 1 {
		return false
	}
	m.top, m.rev = i, m.rev+1
	return lost != 2
}

// send starts a call that was decided on at began. It fails the test when calls
// with another intent may still be under way.
func (m *orderModel) send(i Intent, began time.Time) bool {
	until := began.Add(modelCall)
	if m.now.After(until) {
		return false
	}
	for _, c := range m.calls {
		if m.now.Before(c.until) && c.intent.Fence != i.Fence {
			m.t.Fatalf("%v sent while %v may be under way", i, c.intent)
		}
	}
	m.calls = append(m.calls, orderCallTime{i, until})
	ok := rapid.Bool().Draw(m.t, "acknowledged")
	if ok || rapid.Bool().Draw(m.t, "effect") {
		m.applied = i
	}
	return ok
}

// advance does the orderer's next move: it reads, or does what it decided.
func (m *orderModel) advance(o *orderer) {
	if o.began.IsZero() {
		o.began, o.rev = m.now, m.rev
		o.step = o.OnRead(m.now, m.top, false, modelCall)
		return
	}
	switch o.step {
	case OrderStepWrite:
		if m.write(o.Intent, o.rev) {
			o.OnWritten(m.now, modelCall)
		}
	case OrderStepMark:
		m.write(o.Intent, o.rev)
	case OrderStepSend:
		if m.send(o.Intent, o.began) {
			o.OnAcknowledged()
		}
	case OrderStepEnd, OrderStepSuperseded:
		o.over = true
	}
	o.began = time.Time{}
}

// TestOrderersDoNoHarm lets orderers and the home take turns in any order, with
// writes and calls whose answers are lost, before a target that ignores fencing
// numbers: it never has calls with two intents under way, and ends with the
// last one.
func TestOrderersDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &orderModel{t: t, now: testNow}
		var all []*orderer
		for i := range rapid.IntRange(1, 3).Draw(t, "orderers") {
			all = append(all, &orderer{Order: NewOrder("load", "m", fmt.Sprint(i))})
		}
		var resend Resender
		var home *orderCallTime // what the home read and has not sent yet
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(all)).Draw(t, "turn")
			switch {
			case n < len(all) && !all[n].over:
				m.advance(all[n])
			case home == nil && resend.ShouldSend(m.now, m.top, false, modelCall):
				home = &orderCallTime{intent: m.top, until: m.now}
			case home != nil:
				m.send(home.intent, home.until)
				home = nil
			}
		}
		resend.ShouldSend(m.now, m.top, false, modelCall)
		m.now = m.now.Add(modelCall)
		if resend.ShouldSend(m.now, m.top, false, modelCall) { // the home goes on
			m.applied = m.top
		}
		if m.applied.Fence != m.top.Fence {
			t.Fatalf("ends with %v, ordered %v", m.applied, m.top)
		}
	})
}

// TestResend: the last order is sent again until it is done; to a target that
// ignores fencing numbers ever again, since a paused orderer may send late.
func TestResend(t *testing.T) {
	is := is.New(t)
	open, done := Intent{Fence: 6, OrderID: "me"}, Intent{Fence: 6, OrderID: "me", Done: true}
	later := testNow.Add(modelCall)
	var checked, ignored, none Resender
	is.True(checked.ShouldSend(testNow, open, true, modelCall))
	is.True(!checked.ShouldSend(later, done, true, modelCall))
	is.True(!ignored.ShouldSend(testNow, open, false, modelCall)) // calls of the one before
	is.True(ignored.ShouldSend(later, open, false, modelCall))
	is.True(ignored.ShouldSend(later, done, false, modelCall))
	is.True(!ignored.ShouldSend(later, Intent{Fence: 7}, false, modelCall))
	is.True(!none.ShouldSend(later, Intent{}, false, modelCall))
}
