package bbmember

import (
	"net/netip"
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// maxIDBytes is the longest id of an instance or failure domain, in bytes.
	maxIDBytes = 128
	// maxHeartbeatAhead is how far a beat may be ahead of this instance's clock.
	maxHeartbeatAhead = 366 * 24 * time.Hour
)

func validIDs(id bbunit.InstanceID, d bbunit.DomainID) bool {
	return id != "" && len(id) <= maxIDBytes && d != "" && len(d) <= maxIDBytes
}

// ValidAddress tells whether an address is an IP number and a port.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// validReport refuses reports that no instance sends.
func (f *Fleet) validReport(r Report) bool {
	switch {
	case !validIDs(r.ID, r.Domain), !ValidAddress(r.Address):
		return false
	case r.Inc == 0, r.Heartbeat == 0:
		return false
	}
	return r.Heartbeat <= uint64(max(f.lastEventAt.Add(maxHeartbeatAhead).UnixMilli(), 0))
}
