package bbroute

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrSuperseded means that a later order took the place of this one.
const ErrSuperseded = errors.ConstError("order superseded")

// Intent is the last order to a target, as the key-value service keeps it: the
// one thing that orderers agree on. Each new one is written by compare-and-swap
// over the one before and carries the next fencing number.
type Intent struct {
	Fence  bbunit.Fence `json:"fence"`
	Action string       `json:"action"`
	Model  string       `json:"model"`
	// OrderID is unique to the order, so that the orderer finds its own write again
	// when the answer was lost.
	OrderID string `json:"by"`
	// Done tells that the target has acknowledged the order.
	Done bool `json:"done"`
}

//go:generate enumer -type=OrderStep -trimprefix=OrderStep -transform=kebab -output=orderstep_enumer.go

// OrderStep is what an orderer does next.
type OrderStep int

// Steps of an order.
const (
	// OrderStepWrite writes Mine over the intent that was read.
	OrderStepWrite OrderStep = iota
	// OrderStepWait reads again at Until.
	OrderStepWait
	// OrderStepSend sends Mine to the target; the call must end within the
	// call's time from before the intent was read.
	OrderStepSend
	// OrderStepMark writes Mine with Done.
	OrderStepMark
	// OrderStepEnd ends: the order is done.
	OrderStepEnd
	// OrderStepSuperseded ends: a later order counts.
	OrderStepSuperseded
)

// Order is one order on its way. It goes by one rule, which needs no help from
// the target: the intent is read before every call, and a call lasts no longer
// than a fixed time from before that reading. So once an intent stands, calls
// for the one before end within that time; a target that does not check fencing
// numbers gets nothing new until then, also when the one before was done, for
// that one may just be sent again.
type Order struct {
	Intent Intent
	// WaitUntil is when to go on after OrderStepWait.
	WaitUntil time.Time

	written      bool
	earlierCalls bool // an intent before may have calls under way
	acknowledged bool
}

// NewOrder returns an order whose by is unique to it.
func NewOrder(action, model, orderID string) *Order {
	return &Order{Intent: Intent{Action: action, Model: model, OrderID: orderID}}
}

// OnRead takes the intent as it was just read and returns the next step. Checks
// tells that the target refuses old fencing numbers; call is the longest time of
// a call. A write that was refused, or whose answer was lost, is followed by
// another reading.
func (o *Order) OnRead(now time.Time, latest Intent, checksFence bool, callTimeout time.Duration) OrderStep {
	switch {
	case !o.written && latest.OrderID != o.Intent.OrderID:
		o.Intent.Fence = latest.Fence + 1
		o.earlierCalls = latest.Fence > 0
		return OrderStepWrite
	case !o.written: // an answer was lost
		o.written, o.WaitUntil = true, now.Add(callTimeout)
	}
	switch {
	case latest.OrderID != o.Intent.OrderID:
		return OrderStepSuperseded
	case latest.Done:
		return OrderStepEnd
	case o.acknowledged:
		o.Intent.Done = true
		return OrderStepMark
	case !checksFence && o.earlierCalls && now.Before(o.WaitUntil):
		return OrderStepWait
	}
	return OrderStepSend
}

// OnWritten notes that the write of Mine was acknowledged at now.
func (o *Order) OnWritten(now time.Time, callTimeout time.Duration) {
	o.written, o.WaitUntil = true, now.Add(callTimeout)
}

// OnAcknowledged notes that the target acknowledged the order.
func (o *Order) OnAcknowledged() { o.acknowledged = true }

// Resender decides when the home of a target's orders sends the last one again:
// while it is not done, and, to a target that does not check fencing numbers,
// ever again, since an orderer that was paused may have sent an older one after
// it. The zero value has read nothing.
type Resender struct {
	fence       bbunit.Fence
	firstReadAt time.Time
}

// ShouldSend takes the intent as it was just read and tells whether to send it. Like
// an orderer, it first waits out calls for the intent before, since when this
// one was first read.
func (r *Resender) ShouldSend(now time.Time, latest Intent, checksFence bool, callTimeout time.Duration) bool {
	if r.fence != latest.Fence {
		r.fence, r.firstReadAt = latest.Fence, now
	}
	if checksFence {
		return latest.Fence > 0 && !latest.Done
	}
	return latest.Fence > 0 && !now.Before(r.firstReadAt.Add(callTimeout))
}
