package bbpressure

import (
	"sync/atomic"
	"time"
)

// Intake is a state with what has been used of it. Requests use it concurrently.
type Intake struct {
	State
	idle, anyConn          atomic.Int64 // connections still to be given back
	bodies, urgentB, outgo atomic.Int64 // bytes left
}

// NewIntake returns a state of which nothing is used. What before, nil for none, has left to
// give back is now taken from any connection.
func NewIntake(state State, before *Intake) *Intake {
	i := &Intake{State: state}
	i.idle.Store(int64(state.GiveBack))
	if before != nil {
		i.anyConn.Store(min(max(before.idle.Load(), 0)+max(before.anyConn.Load(), 0), maxCarried))
	}
	i.bodies.Store(state.BodyBytes)
	i.urgentB.Store(state.UrgentBytes)
	i.outgo.Store(state.OutBytes)
	return i
}

const (
	// idleTime is for how long a connection has waited for its request that is given back
	// first.
	idleTime = 500 * time.Millisecond
	// maxCarried is how many connections that were not given back are given back later.
	maxCarried = 64
)

// GivesBack reports whether a connection is given back with its present response. It had
// waited for so long for the request.
func (i *Intake) GivesBack(waited time.Duration) bool {
	return waited >= idleTime && takeOne(&i.idle) || takeOne(&i.anyConn)
}

// takeOne takes one if there is any.
func takeOne(n *atomic.Int64) bool {
	return n.Load() > 0 && n.Add(-1) >= 0
}

// IsLarge reports whether a body of a size, -1 if it is not known, may be refused.
func (i *Intake) IsLarge(size int64) bool {
	return i.Short.Has(LinkIn) && (size < 0 || size >= LargeBody)
}

// ReadsBody reports whether a body of a size, -1 if it is not known, is read. HasMoney tells
// whether its account can pay for the request here. Urgent is a request whose caller has no
// time to come back.
func (i *Intake) ReadsBody(size int64, hasMoney, urgent bool) bool {
	if !i.IsLarge(size) {
		return true
	}
	if !hasMoney {
		return false
	}
	size = max(size, LargeBody)
	return takeBytes(&i.bodies, size) || urgent && takeBytes(&i.urgentB, size)
}

// WritesPart reports whether a part of a large response may be written now.
func (i *Intake) WritesPart(size int64) bool {
	return !i.Short.Has(LinkOut) || takeBytes(&i.outgo, size)
}

// takeBytes takes bytes while any are left; the last one may take more than that, so that a
// body that is larger than an allowance is not refused for good.
func takeBytes(left *atomic.Int64, size int64) bool {
	return left.Load() > 0 && left.Add(-size) > -size
}

// IsUrgent reports whether a caller that waits for so long has no time to come back after a
// refusal: it waits for up to a third of its time.
func (i *Intake) IsUrgent(timeout time.Duration) bool { return timeout < 3*i.RetryAfter }
