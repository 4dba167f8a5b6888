package bbroute

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrSuperseded means that a later order has replaced this one.
const ErrSuperseded = errors.ConstError("order superseded")

// Intent is the last order to a target, as stored in the key-value service. The
// store decides between concurrent orders: each one is written by
// compare-and-swap over its predecessor and has the next higher fencing token.
type Intent struct {
	Fence  bbunit.Fence `json:"fence"`
	Action string       `json:"action"`
	Model  string       `json:"model"`
	// OrderID is unique to the order. It lets the sender recognize its own
	// write when the answer to the write was lost.
	OrderID string `json:"by"`
	// Done means that the target has acknowledged the order.
	Done bool `json:"done"`
}

//go:generate enumer -type=OrderStep -trimprefix=OrderStep -transform=kebab -output=orderstep_enumer.go

// OrderStep is the next step of the sender of an order.
type OrderStep int

// Steps of an order.
const (
	// OrderStepWrite writes Order.Intent over the intent that was read.
	OrderStepWrite OrderStep = iota
	// OrderStepWait waits until Order.WaitUntil and reads the intent again.
	OrderStepWait
	// OrderStepSend sends Order.Intent to the target. The call must end within
	// the call timeout, counted from before the intent was read.
	OrderStepSend
	// OrderStepMark writes Order.Intent, which now has Done set.
	OrderStepMark
	// OrderStepEnd ends the order: it is done.
	OrderStepEnd
	// OrderStepSuperseded ends the order: a later one has replaced it.
	OrderStepSuperseded
)

// Order is the state machine of one order. It is safe without the target's
// cooperation: the sender reads the intent before every call, and a call ends
// within a fixed timeout from before that reading. Once an intent is stored,
// all calls for its predecessor therefore end within that timeout. A target
// that does not check fencing tokens is sent nothing new before then, even if
// the predecessor is done, because done orders are also sent again.
type Order struct {
	Intent Intent
	// WaitUntil is when to continue after OrderStepWait.
	WaitUntil time.Time

	written      bool
	earlierCalls bool // calls for the predecessor may be in progress
	acknowledged bool
}

// NewOrder returns an order. The orderID must be unique.
func NewOrder(action, model, orderID string) *Order {
	return &Order{Intent: Intent{Action: action, Model: model, OrderID: orderID}}
}

// OnRead handles the intent that was just read and returns the next step. With
// checksFence, the target refuses old fencing tokens. After a write that was
// refused, or whose answer was lost, the caller reads again.
func (o *Order) OnRead(now time.Time, latest Intent, checksFence bool, callTimeout time.Duration) OrderStep {
	switch {
	case !o.written && latest.OrderID != o.Intent.OrderID:
		o.Intent.Fence = latest.Fence + 1
		o.earlierCalls = latest.Fence > 0
		return OrderStepWrite
	case !o.written: // the write succeeded, but its answer was lost
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

// OnWritten notes that the write of o.Intent was acknowledged at now.
func (o *Order) OnWritten(now time.Time, callTimeout time.Duration) {
	o.written, o.WaitUntil = true, now.Add(callTimeout)
}

// OnAcknowledged notes that the target acknowledged the order.
func (o *Order) OnAcknowledged() { o.acknowledged = true }

// Resender decides when the instance responsible for the orders to a target
// sends the last one again. It does so until the order is done. To a target
// that does not check fencing tokens it never stops, because a sender that was
// paused may have sent an older order later. In the zero value no intent has
// been read.
type Resender struct {
	fence       bbunit.Fence
	firstReadAt time.Time
}

// ShouldSend handles the intent that was just read and reports whether to send
// it. To a target that does not check fencing tokens it first waits, from the
// first reading of the intent, until all calls for the predecessor have ended.
func (r *Resender) ShouldSend(now time.Time, latest Intent, checksFence bool, callTimeout time.Duration) bool {
	if r.fence != latest.Fence {
		r.fence, r.firstReadAt = latest.Fence, now
	}
	if checksFence {
		return latest.Fence > 0 && !latest.Done
	}
	return latest.Fence > 0 && !now.Before(r.firstReadAt.Add(callTimeout))
}
