package bbplan

import "bluebellport.example/shared/bbunit"

// Target is one server as the list of targets tells of it.
type Target struct {
	ID      bbunit.TargetID
	Service bbunit.ServiceID
	Address string // IP number and port
	Domain  bbunit.DomainID
	Slots   int
	// Leaving targets get no new work.
	Leaving bool
	// StartedAtMillis is when the target started, in milliseconds since the epoch; 0 when
	// it does not tell. A target may start again under its id.
	StartedAtMillis int64
}
