package bbplan

import "bluebellport.example/shared/bbunit"

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
}
