// Package bbport implements an instance of the router: it admits the requests
// of client accounts, reserves tokens of their budgets, sends them to targets,
// streams the answers back and bills them.
package bbport

import (
	"sync/atomic"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
)

// Board holds the snapshots that the components of an instance share. Each is
// immutable and replaced as a whole by the only component that writes it.
// Readers take no lock.
type Board struct {
	// State is the configuration after the last applied change ticket. Written
	// by the follower.
	State atomic.Pointer[bbticket.State]
	// View is the live fleet as this instance sees it. Written by membership.
	View atomic.Pointer[bbmember.View]
	// Ready is set once State is at least as new as that of every peer which
	// this instance has heard from, or joinTimeout has passed. Written by the
	// follower.
	Ready atomic.Bool
	// Leaving is set when the instance is told to stop.
	Leaving atomic.Bool
	// Draining is set when the instance begins to refuse new requests.
	Draining atomic.Bool
	// Stop decides on requests during a planned stop.
	Stop stopGate
}

// NewBoard returns a board with an empty state and an empty fleet.
func NewBoard(self bbmember.Member) *Board {
	b := &Board{}
	b.State.Store(&bbticket.State{})
	b.View.Store(&bbmember.View{Self: self, Members: []bbmember.Member{self}})
	return b
}
