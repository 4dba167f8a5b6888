package bbproxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// Target is a target as the door uses it: what is known of it, and the
// connections to it.
type Target struct {
	bbplace.Target
	conns *connPool
}

// TargetSet holds the targets by id. The target follower owns it.
type TargetSet struct {
	now     func() time.Time
	traffic *trafficMeter
	targets map[bbunit.TargetID]*Target
}

// NewTargetSet returns an empty roster.
func NewTargetSet(now func() time.Time, traffic *trafficMeter) *TargetSet {
	return &TargetSet{now: now, traffic: traffic, targets: map[bbunit.TargetID]*Target{}}
}

// Put takes an entry. It tells whether anything changed that requests see.
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
	target := &Target{Target: bbplace.Target{Target: entry, State: state}}
	target.conns = &connPool{address: entry.Address, meter: set.traffic, onLoad: func(running, waiting, slots int) { state.ReportLoad(running, waiting, slots, set.now()) }}
	set.targets[entry.ID] = target
	return true
}

// Remove forgets a target.
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

// Digest is a hash of all targets that two rosters share when they are equal.
func (set *TargetSet) Digest() uint64 {
	var sum uint64
	for _, target := range set.targets {
		sum ^= xxhash.Sum64String(fmt.Sprint(target.Target.Target))
	}
	return sum
}
