// Package bbproxy is the reverse proxy that an instance runs on the platform.
// It reads requests off the wire, admits them by the plan that the operators
// declared, reserves the account's tokens, chooses a target and passes its
// response back.
package bbproxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	bbpressure "bluebellport.example/bluebellport/pressure"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// Board is the shared, lock-free state that the controllers write and the
// requests read: immutable snapshots, each replaced as a whole by the controller
// that owns it.
type Board struct {
	// Plan is what the operators declared. The follower owns it.
	Plan atomic.Pointer[bbplan.Plan]
	// PlanLag tells whether a newer plan is known to exist. The follower and the relay
	// own it.
	PlanLag planLag
	// Services holds the targets by service. The follower owns it.
	Services atomic.Pointer[map[bbunit.ServiceID]*ServiceTargets]
	// Evacuated holds the failure domains whose targets get no requests, nil until they
	// are known. The follower owns it.
	Evacuated atomic.Pointer[map[bbunit.DomainID]bool]
	// onReturned is called with the targets of a failure domain that is no longer
	// evacuated, before they are used. It may be nil, and is set before the first plan.
	onReturned func(runs []bbplan.TargetRun)
	// slowdowns holds the services of which a target has said how long work takes on its
	// machine (bbunit.ServiceID). Only these are placed by expected times.
	slowdowns sync.Map
	// Leaving is set once the instance has been told to stop.
	Leaving atomic.Bool
	// Pressure is what the instance does while it is short of a resource, nil while it
	// is short of nothing. The pressure monitor owns it.
	Pressure atomic.Pointer[bbpressure.Intake]
	// LinkSaturated is set while the link is short in one direction. Each response then asks
	// its client to connect again, and the instance is not ready: small requests wait behind
	// large ones on such a link.
	LinkSaturated atomic.Bool
	// Instances is how many instances share the accounts, at least 1.
	Instances atomic.Int64
}

// ServiceTargets are the targets of one service.
type ServiceTargets struct {
	Targets []*Target
	// Candidates are the same targets, in the same order, as package bbplace takes
	// them.
	Candidates []*bbplace.Target
}

// Ready reports whether new connections should come to this instance.
func (b *Board) Ready() bool {
	return b.isInForce() && !b.Leaving.Load() && !b.isNotReady()
}

// isInForce reports whether all is known that requests need: the plan, the targets and
// which failure domains are evacuated.
func (b *Board) isInForce() bool {
	return b.Plan.Load() != nil && b.Services.Load() != nil && b.Evacuated.Load() != nil
}

// noteSlowdown records that a target of a service has said how long work takes on its
// machine.
func (b *Board) noteSlowdown(service bbunit.ServiceID) {
	if !b.tellsSlowdown(service) {
		b.slowdowns.Store(service, true)
	}
}

// tellsSlowdown reports whether the targets of a service say how long work takes.
func (b *Board) tellsSlowdown(service bbunit.ServiceID) bool {
	_, ok := b.slowdowns.Load(service)
	return ok
}

// UsesHomes reports whether the fleet is larger than maxDirectFleet. Then each
// account has a home in each failure domain, which gets grants from the store
// for the other instances there.
func (b *Board) UsesHomes() bool { return b.Instances.Load() > maxDirectFleet }

// isNotReady reports whether the instance is so short of a resource that the balancer is to
// send new connections elsewhere.
func (b *Board) isNotReady() bool {
	intake := b.Pressure.Load()
	return b.LinkSaturated.Load() || intake != nil && intake.NotReady
}

// givesBack reports whether a response asks its client to connect again, which may take it to
// another instance. The connection had waited for so long for the request.
func (b *Board) givesBack(waited time.Duration) bool {
	if b.Leaving.Load() || b.LinkSaturated.Load() {
		return true
	}
	intake := b.Pressure.Load()
	return intake != nil && intake.GivesBack(waited)
}

// hasTarget reports whether the list of targets has a run, or is not known yet.
func (b *Board) hasTarget(run bbplan.TargetRun) bool {
	services := b.Services.Load()
	if services == nil {
		return true
	}
	for _, service := range *services {
		if slices.ContainsFunc(service.Targets, func(t *Target) bool { return t.Run() == run }) {
			return true
		}
	}
	return false
}

// targetsOf returns the targets of a service, nil if none is known.
func (b *Board) targetsOf(id bbunit.ServiceID) *ServiceTargets {
	services := b.Services.Load()
	if services == nil {
		return nil
	}
	return (*services)[id]
}

// forEachTarget calls fn for each target that is known.
func (b *Board) forEachTarget(fn func(*Target)) {
	services := b.Services.Load()
	if services == nil {
		return
	}
	for _, service := range *services {
		for _, target := range service.Targets {
			fn(target)
		}
	}
}

// poolOf returns the connections to the target at an address, nil if none is known there.
func (b *Board) poolOf(address string) (pool *connPool) {
	b.forEachTarget(func(target *Target) {
		if target.Address == address {
			pool = target.conns
		}
	})
	return pool
}
