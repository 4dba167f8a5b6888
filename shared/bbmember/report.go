package bbmember

import (
	"net/netip"
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// maxIDBytes is the maximum length of an instance or failure domain id.
	maxIDBytes = 128
	// maxHeartbeatAhead is how far a heartbeat, read as milliseconds since the
	// epoch, may be ahead of this instance's clock.
	maxHeartbeatAhead = 366 * 24 * time.Hour
)

func validIDs(id bbunit.InstanceID, d bbunit.DomainID) bool {
	return id != "" && len(id) <= maxIDBytes && d != "" && len(d) <= maxIDBytes
}

// ValidAddress reports whether address is a specified IP address and a non-zero
// port. Host names are not accepted.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// validReport reports whether r is well formed: valid ids and address, a
// non-zero incarnation, and a heartbeat that is not too far in the future.
func (f *Fleet) validReport(r Report) bool {
	switch {
	case !validIDs(r.ID, r.Domain), !ValidAddress(r.Address):
		return false
	case r.Inc == 0, r.Heartbeat == 0:
		return false
	}
	return r.Heartbeat <= uint64(max(f.lastEventAt.Add(maxHeartbeatAhead).UnixMilli(), 0))
}
