package bbmember

import (
	"net/netip"
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// maxName is the longest id of an instance or failure domain, in bytes.
	maxName = 128
	// maxAhead is how far a beat may be ahead of this instance's clock.
	maxAhead = 366 * 24 * time.Hour
)

func validNames(id bbunit.InstanceID, d bbunit.DomainID) bool {
	return id != "" && len(id) <= maxName && d != "" && len(d) <= maxName
}

// ValidAddress tells whether an address is an IP number and a port.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// valid refuses reports that no instance sends.
func (f *Fleet) valid(r Report) bool {
	switch {
	case !validNames(r.ID, r.Domain), !ValidAddress(r.Address):
		return false
	case r.Inc == 0, r.Heartbeat == 0:
		return false
	}
	return r.Heartbeat <= uint64(max(f.last.Add(maxAhead).UnixMilli(), 0))
}
