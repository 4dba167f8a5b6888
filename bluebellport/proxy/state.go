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

// SharedState is what controllers write and requests read: immutable snapshots, each
// replaced whole by the controller that owns it.
type SharedState struct {
	// Plan is what the operators declared; the plan follower owns it.
	Plan atomic.Pointer[bbplan.Plan]
	// Services are the targets by service; the target follower owns it.
	Services atomic.Pointer[map[bbunit.ServiceID]*ServiceTargets]
	// Leaving is set once the instance was told to stop.
	Leaving atomic.Bool
	// LinkSaturated is set while the instance has more traffic than its link carries.
	LinkSaturated atomic.Bool
	// Instances is how many instances share the accounts, at least 1.
	Instances atomic.Int64
}

// ServiceTargets is the targets of one service.
type ServiceTargets struct {
	Targets []*Target
	// Candidates are the same targets as decisions see them.
	Candidates []*bbplace.Target
}

// Ready tells whether requests can be served.
func (s *SharedState) Ready() bool {
	return s.Plan.Load() != nil && s.Services.Load() != nil && !s.closeConns()
}

// UsesHomes tells whether the fleet is so large that accounts have homes that draw
// for the others of their failure domain.
func (s *SharedState) UsesHomes() bool { return s.Instances.Load() > maxDirectFleet }

// closeConns tells whether callers are asked to connect anew.
func (s *SharedState) closeConns() bool { return s.Leaving.Load() || s.LinkSaturated.Load() }

// targetsOf returns the targets of a service, nil when none is known.
func (s *SharedState) targetsOf(id bbunit.ServiceID) *ServiceTargets {
	services := s.Services.Load()
	if services == nil {
		return nil
	}
	return (*services)[id]
}
