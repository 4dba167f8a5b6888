package bbroute

import (
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbticket"
)

// Limiter enforces one instance's share of the limit of an account or a
// service: a rate by the generic cell rate algorithm, and a number of requests
// in flight. Acquire and Release take no lock.
type Limiter struct {
	Key string

	demand      atomic.Int64 // requests, refused ones included, since the last UpdateUsage
	inFlight    atomic.Int64 // requests
	nextArrival atomic.Int64 // theoretical arrival time, unix nanoseconds

	interval       atomic.Int64 // nanoseconds between requests; 0 means no limit
	burstTolerance atomic.Int64 // nanoseconds that a request may come early
	maxInFlight    atomic.Int64 // requests; 0 means no limit

	meanDemand atomicFloat // requests a second, refused ones included
	limit      atomic.Pointer[bbticket.Limit]
}

// NewLimiter returns a limiter whose share is the whole limit.
func NewLimiter(key string, limit bbticket.Limit) *Limiter {
	l := &Limiter{Key: key}
	l.SetLimit(limit)
	return l
}

// SetLimit sets the limit of the whole failure domain. When it changes, this
// instance's share is the whole limit until the next UpdateShare.
func (l *Limiter) SetLimit(limit bbticket.Limit) {
	if old := l.limit.Load(); old != nil && *old == limit {
		return
	}
	l.limit.Store(&limit)
	l.UpdateShare(Usage{}, nil, 1)
}

// Limited reports whether there is any limit.
func (l *Limiter) Limited() bool {
	limit := l.limit.Load()
	return limit.Rate > 0 || limit.MaxInFlight > 0
}

// Acquire admits a request, or returns a Refusal with ErrLimit.
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

// advanceArrival moves the theoretical arrival time of the generic cell rate
// algorithm forward by one interval. If the request is too early, it returns
// the remaining time instead.
func (l *Limiter) advanceArrival(now int64) time.Duration {
	interval := l.interval.Load()
	if interval == 0 {
		return 0
	}
	for {
		old := l.nextArrival.Load()
		next := max(old, now) + interval
		if retryAfter := next - now - max(l.burstTolerance.Load(), interval); retryAfter > 0 {
			return time.Duration(retryAfter)
		}
		if l.nextArrival.CompareAndSwap(old, next) {
			return 0
		}
	}
}

// Release ends an admitted request.
func (l *Limiter) Release() { l.inFlight.Add(-1) }

// Cancel reverts Acquire for a request that was refused after all: neither the
// requests in flight nor the rate count it any more.
func (l *Limiter) Cancel() {
	l.inFlight.Add(-1)
	l.nextArrival.Add(-l.interval.Load())
}

// Usage is the demand of one instance on a limit.
type Usage struct {
	// Rate is in requests a second, refused ones included.
	Rate float64
	// InFlight is the number of requests in flight.
	InFlight int
}

// UpdateUsage adds the requests since the last call, elapsed ago, to the mean
// demand and returns this instance's usage.
func (l *Limiter) UpdateUsage(elapsed time.Duration) Usage {
	if elapsed > 0 {
		rate := float64(l.demand.Swap(0)) / elapsed.Seconds()
		l.meanDemand.store(l.meanDemand.load() + usageEWMAWeight*(rate-l.meanDemand.load()))
	}
	return Usage{Rate: l.meanDemand.load(), InFlight: int(max(l.inFlight.Load(), 0))}
}

// UpdateShare sets the share of this instance from its own usage and that of
// the other instances that reported theirs. The limit is divided among the
// given number of instances, or more if more have reported.
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

// share returns the fraction of a limit that one of the instances may use. It
// is proportional to the instance's usage plus a floor, so that an idle
// instance can start. The fractions of all instances add up to 1 if all know
// the same usage.
func share(own, others float64, instances int, limit float64) float64 {
	floor := limit * usageFloorFraction
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
