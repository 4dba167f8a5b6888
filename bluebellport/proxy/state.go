// Package bbproxy is the front door of an instance on the platform: it takes
// requests as they come over the wire, checks them against what the operators
// declared, reserves money, places them at targets and passes the answers back.
package bbproxy

import (
	"sync/atomic"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// Board is what controllers write and requests read: immutable snapshots, each
// replaced whole by the controller that owns it.
type Board struct {
	// Plan is what the operators declared; the plan follower owns it.
	Plan atomic.Pointer[bbplan.Plan]
	// Groups are the targets by service; the target follower owns it.
	Groups atomic.Pointer[map[bbunit.ServiceID]*Group]
	// Leaving is set once the instance was told to stop.
	Leaving atomic.Bool
	// Crowded is set while the instance has more traffic than its link carries.
	Crowded atomic.Bool
	// Instances is how many instances share the accounts, at least 1.
	Instances atomic.Int64
}

// Group is the targets of one service.
type Group struct {
	Servers []*Server
	// Places are the same targets as decisions see them.
	Places []*bbplace.Target
}

// Ready tells whether requests can be served.
func (b *Board) Ready() bool {
	return b.Plan.Load() != nil && b.Groups.Load() != nil && !b.closing()
}

// Homes tells whether the fleet is so large that accounts have homes that draw
// for the others of their failure domain.
func (b *Board) Homes() bool { return b.Instances.Load() > directFleet }

// closing tells whether callers are asked to connect anew.
func (b *Board) closing() bool { return b.Leaving.Load() || b.Crowded.Load() }

// group returns the targets of a service, nil when none is known.
func (b *Board) group(id bbunit.ServiceID) *Group {
	groups := b.Groups.Load()
	if groups == nil {
		return nil
	}
	return (*groups)[id]
}
