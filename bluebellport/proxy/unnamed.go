package bbproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbunit"
)

// unnamedRefusals knows the services whose targets refuse requests without
// naming them. Such a refusal is a proof only on a connection that has carried
// nothing else, so requests to these services get one of their own for as long as
// such refusals are to be expected. The zero value knows none.
type unnamedRefusals struct {
	until sync.Map // bbunit.ServiceID -> *atomic.Int64, a time in nanoseconds
	any   atomic.Bool
}

// record takes the origin of a refusal of a target of the service. It returns
// until when such refusals are expected for it, 0 if it bears an id.
func (u *unnamedRefusals) record(service bbunit.ServiceID, o origin, now time.Time) int64 {
	period := unnamedRefusalPeriod
	switch o {
	case originUnproven:
		period = unprovenRefusalPeriod
	case originOnlyRequest:
	default:
		return 0
	}
	u.any.Store(true)
	value, _ := u.until.LoadOrStore(service, &atomic.Int64{})
	until, end := value.(*atomic.Int64), now.Add(period).UnixNano()
	for old := until.Load(); old < end; old = until.Load() {
		if until.CompareAndSwap(old, end) {
			break
		}
	}
	return end
}

// withdraw takes back an unproven refusal, for which record returned end: it was
// another request's, as the request's own response has come. Refusals recorded
// since stay.
func (u *unnamedRefusals) withdraw(service bbunit.ServiceID, end int64) {
	if value, ok := u.until.Load(service); ok {
		value.(*atomic.Int64).CompareAndSwap(end, 0)
	}
}

// expected reports whether a refusal without an id is to be expected.
func (u *unnamedRefusals) expected(service bbunit.ServiceID, now time.Time) bool {
	if !u.any.Load() {
		return false
	}
	value, ok := u.until.Load(service)
	return ok && now.UnixNano() < value.(*atomic.Int64).Load()
}
