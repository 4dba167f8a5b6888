package bbproxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/bluebellport/speed"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// Target is a target with its load, its health and the connections to it.
type Target struct {
	bbplace.Target
	conns *connPool
	speed *bbspeed.Run // what requests of this instance show of its speed
}

// TargetSet holds the targets by id. The follower owns it.
type TargetSet struct {
	now     func() time.Time
	ways    *targetWays
	targets map[bbunit.TargetID]*Target
	// onSlowdown is called when a target says how long work takes on its machine.
	onSlowdown func(service bbunit.ServiceID)
}

// NewTargetSet returns an empty set.
func NewTargetSet(now func() time.Time, ways *targetWays) *TargetSet {
	return &TargetSet{now: now, ways: ways, targets: map[bbunit.TargetID]*Target{}, onSlowdown: func(bbunit.ServiceID) {}}
}

// Put adds or updates a target, and reports whether anything changed. A target
// with another Address or StartedAtMillis is a new one, with new connections
// and statistics.
func (set *TargetSet) Put(entry bbplan.Target) bool {
	old := set.targets[entry.ID]
	if old != nil && old.Target.Target == entry {
		return false
	}
	if old != nil && old.Address == entry.Address && old.StartedAtMillis == entry.StartedAtMillis {
		updated := *old
		updated.Target.Target = entry
		set.targets[entry.ID] = &updated
		return true
	}
	if old != nil {
		old.conns.close()
	}
	state := &bbplace.TargetState{}
	target := &Target{Target: bbplace.Target{Target: entry, State: state}, speed: &bbspeed.Run{}}
	target.conns = &connPool{address: entry.Address, ways: set.ways, onLoad: func(load bbplan.TargetLoad) {
		if load.Slowdown > 0 {
			set.onSlowdown(entry.Service)
		}
		state.ReportLoad(load, set.now())
	}}
	set.targets[entry.ID] = target
	return true
}

// Remove removes a target and closes the connections to it.
func (set *TargetSet) Remove(id bbunit.TargetID) {
	if target := set.targets[id]; target != nil {
		target.conns.close()
		delete(set.targets, id)
	}
}

// ByService returns the targets by service.
func (set *TargetSet) ByService() *map[bbunit.ServiceID]*ServiceTargets {
	out := map[bbunit.ServiceID]*ServiceTargets{}
	for _, target := range set.targets {
		service := out[target.Service]
		if service == nil {
			service = &ServiceTargets{}
			out[target.Service] = service
		}
		service.Targets = append(service.Targets, target)
		service.Candidates = append(service.Candidates, &target.Target)
	}
	return &out
}

// Digest returns a hash that is equal for equal sets, whatever their order.
func (set *TargetSet) Digest() uint64 {
	var sum uint64
	for _, target := range set.targets {
		sum ^= xxhash.Sum64String(fmt.Sprint(target.Target.Target))
	}
	return sum
}
