package bbplan

import (
	"cmp"

	"bluebellport.example/shared/bbunit"
)

// Target is one server of a service, as registered in the list of targets.
type Target struct {
	ID      bbunit.TargetID
	Service bbunit.ServiceID
	Address string // IP address and port
	Domain  bbunit.DomainID
	Slots   int
	// Leaving means that the target must get no new requests.
	Leaving bool
	// StartedAtMillis is when the target started, in milliseconds since the Unix
	// epoch, 0 if unknown. It tells a restarted target from its predecessor of the
	// same id.
	StartedAtMillis int64
	// Version is that of the target's software, empty if unknown.
	Version string
}

// TargetRun identifies one run of a target, from its start to its end.
type TargetRun struct {
	ID bbunit.TargetID
	// StartedAtMillis is the start in milliseconds since the Unix epoch, 0 if
	// unknown.
	StartedAtMillis int64
}

// Compare orders runs by target, then by start.
func (r TargetRun) Compare(o TargetRun) int {
	return cmp.Or(cmp.Compare(r.ID, o.ID), cmp.Compare(r.StartedAtMillis, o.StartedAtMillis))
}

// Run returns the run of the target.
func (t *Target) Run() TargetRun { return TargetRun{t.ID, t.StartedAtMillis} }

// TargetLoad is the load that a target reports.
type TargetLoad struct {
	// Running and Waiting count its requests. Slots is how many it runs at once, 0 if it
	// does not say.
	Running, Waiting, Slots int
	// Slowdown is how much longer than usual work takes on its machine now: 1 is as long
	// as usual, 0 is unknown.
	Slowdown float64
}
