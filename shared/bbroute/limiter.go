package bbroute

import (
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
)

// Limiter holds one instance's share of the limit of an account or a service.
// Enter and Leave take no lock.
type Limiter struct {
	Key string

	demand    atomic.Int64 // requests asked for since the last Tick
	inFlight  atomic.Int64 // requests in flight
	arrivalAt atomic.Int64 // theoretical arrival time, unix nanoseconds

	interval       atomic.Int64 // nanoseconds between requests; 0 does not limit
	burstTolerance atomic.Int64 // nanoseconds that requests may come early
	maxInFlight    atomic.Int64 // requests in flight; 0 does not limit

	meanDemand atomicFloat // requests a second asked for, a running mean
	limit      atomic.Pointer[bbticket.Limit]
}

// NewLimiter returns a limiter that holds the whole limit.
func NewLimiter(key string, limit bbticket.Limit) *Limiter {
	l := &Limiter{Key: key}
	l.SetLimit(limit)
	return l
}

// SetLimit sets the limit of the failure domain; the share follows at Adjust.
func (l *Limiter) SetLimit(limit bbticket.Limit) {
	if old := l.limit.Load(); old != nil && *old == limit {
		return
	}
	l.limit.Store(&limit)
	l.UpdateShare(Usage{}, nil, 1)
}

// Limited tells that the limit limits anything.
func (l *Limiter) Limited() bool {
	limit := l.limit.Load()
	return limit.Rate > 0 || limit.MaxInFlight > 0
}

// Acquire counts a request in, or returns a Refusal.
func (l *Limiter) Acquire(now time.Time) error {
	l.demand.Add(1)
	if maxInFlight := l.maxInFlight.Load(); l.inFlight.Add(1) > maxInFlight && maxInFlight > 0 {
		l.inFlight.Add(-1)
		return newRefusal(ErrLimit, inFlightRetryAfter)
	}
	if retryAfter := l.advanceArrival(now.UnixNano()); retryAfter > 0 {
		l.inFlight.Add(-1)
		return newRefusal(ErrLimit, retryAfter)
	}
	return nil
}

// advanceArrival moves the theoretical arrival time on by a step, or returns how long to
// wait until it may (generic cell rate algorithm).
func (l *Limiter) advanceArrival(now int64) time.Duration {
	interval := l.interval.Load()
	if interval == 0 {
		return 0
	}
	for {
		old := l.arrivalAt.Load()
		next := max(old, now) + interval
		if retryAfter := next - now - max(l.burstTolerance.Load(), interval); retryAfter > 0 {
			return time.Duration(retryAfter)
		}
		if l.arrivalAt.CompareAndSwap(old, next) {
			return 0
		}
	}
}

// Release counts a request out.
func (l *Limiter) Release() { l.inFlight.Add(-1) }

// Cancel counts a request out that was not let in after all, and gives its step
// back.
func (l *Limiter) Cancel() {
	l.inFlight.Add(-1)
	l.arrivalAt.Add(-l.interval.Load())
}

// Usage is what an instance asks of a limit.
type Usage struct {
	// Rate is in requests a second, refused ones included.
	Rate float64
	// InFlight is how many requests are in flight.
	InFlight int
}

// UpdateUsage folds the requests asked for since the last tick into the running mean
// and returns the instance's own usage.
func (l *Limiter) UpdateUsage(elapsed time.Duration) Usage {
	if elapsed > 0 {
		rate := float64(l.demand.Swap(0)) / elapsed.Seconds()
		l.meanDemand.store(l.meanDemand.load() + usageEWMAWeight*(rate-l.meanDemand.load()))
	}
	return Usage{Rate: l.meanDemand.load(), InFlight: int(max(l.inFlight.Load(), 0))}
}

// UpdateShare sets the share of this instance, one of n in its failure domain, from
// its own usage and what the others told of theirs.
func (l *Limiter) UpdateShare(own Usage, others []Usage, instances int) {
	limit := l.limit.Load()
	instances = max(instances, len(others)+1)
	if limit.Rate > 0 {
		fraction := share(own.Rate, sumRate(others), instances, limit.Rate)
		burst := limit.Burst
		if burst == 0 {
			burst = limit.Rate
		}
		interval := 1 / (limit.Rate * fraction)
		l.burstTolerance.Store(int64(secondsToDuration(max(burst*fraction, 1) * interval)))
		l.interval.Store(int64(max(secondsToDuration(interval), 1)))
	} else {
		l.interval.Store(0)
	}
	if limit.MaxInFlight > 0 {
		fraction := share(float64(own.InFlight), sumInFlight(others), instances, float64(limit.MaxInFlight))
		l.maxInFlight.Store(int64(max(float64(limit.MaxInFlight)*fraction, 1)))
	} else {
		l.maxInFlight.Store(0)
	}
}

// share returns the part of a limit that one of n instances may use. It follows
// its part of the usage; a floor for each leaves room to start. Over instances
// that know the same usage the parts add up to 1.
func share(own, others float64, instances int, limit float64) float64 {
	floor := limit * minUsageShare
	return (own + floor) / (own + others + float64(instances)*floor)
}

func sumRate(usages []Usage) (sum float64) {
	for _, u := range usages {
		sum += u.Rate
	}
	return sum
}

func sumInFlight(usages []Usage) (sum float64) {
	for _, u := range usages {
		sum += float64(u.InFlight)
	}
	return sum
}
