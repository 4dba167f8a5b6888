// Package bbport is one instance of the fleet: it takes callers' requests,
// checks, routes, streams and bills them.
package bbport

import (
	"sync/atomic"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
)

// Board is what controllers read and write: immutable snapshots, each replaced
// whole by the one controller that owns it. Readers take no lock.
type Board struct {
	// State is what the change tickets have put in force; the follower owns it.
	State atomic.Pointer[bbticket.State]
	// View is the live fleet; the membership controller owns it.
	View atomic.Pointer[bbmember.View]
	// Ready is set once a state is in force that is no older than any that a
	// reached peer has; the follower owns it.
	Ready atomic.Bool
	// Leaving is set once the instance was told to stop.
	Leaving atomic.Bool
	// Draining is set once the instance refuses new work.
	Draining atomic.Bool
}

// NewBoard returns a board with an empty state and an empty fleet.
func NewBoard(self bbmember.Member) *Board {
	b := &Board{}
	b.State.Store(&bbticket.State{})
	b.View.Store(&bbmember.View{Self: self, Members: []bbmember.Member{self}})
	return b
}
