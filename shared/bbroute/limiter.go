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

	demand atomic.Int64 // requests asked for since the last Tick
	open   atomic.Int64 // requests in flight
	next   atomic.Int64 // theoretical arrival time, unix nanoseconds

	step  atomic.Int64 // nanoseconds between requests; 0 does not limit
	burst atomic.Int64 // nanoseconds that requests may come early
	most  atomic.Int64 // requests in flight; 0 does not limit

	wanted gauge // requests a second asked for, a running mean
	limit  atomic.Pointer[bbticket.Limit]
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
	if most := l.most.Load(); l.open.Add(1) > most && most > 0 {
		l.open.Add(-1)
		return refuse(ErrLimit, openRetry)
	}
	if after := l.take(now.UnixNano()); after > 0 {
		l.open.Add(-1)
		return refuse(ErrLimit, after)
	}
	return nil
}

// take moves the theoretical arrival time on by a step, or returns how long to
// wait until it may (generic cell rate algorithm).
func (l *Limiter) take(now int64) time.Duration {
	step := l.step.Load()
	if step == 0 {
		return 0
	}
	for {
		was := l.next.Load()
		next := max(was, now) + step
		if early := next - now - max(l.burst.Load(), step); early > 0 {
			return time.Duration(early)
		}
		if l.next.CompareAndSwap(was, next) {
			return 0
		}
	}
}

// Release counts a request out.
func (l *Limiter) Release() { l.open.Add(-1) }

// Cancel counts a request out that was not let in after all, and gives its step
// back.
func (l *Limiter) Cancel() {
	l.open.Add(-1)
	l.next.Add(-l.step.Load())
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
func (l *Limiter) UpdateUsage(past time.Duration) Usage {
	if past > 0 {
		rate := float64(l.demand.Swap(0)) / past.Seconds()
		l.wanted.store(l.wanted.load() + usageWeight*(rate-l.wanted.load()))
	}
	return Usage{Rate: l.wanted.load(), InFlight: int(max(l.open.Load(), 0))}
}

// UpdateShare sets the share of this instance, one of n in its failure domain, from
// its own usage and what the others told of theirs.
func (l *Limiter) UpdateShare(own Usage, others []Usage, n int) {
	limit := l.limit.Load()
	n = max(n, len(others)+1)
	if limit.Rate > 0 {
		part := share(own.Rate, sumRate(others), n, limit.Rate)
		burst := limit.Burst
		if burst == 0 {
			burst = limit.Rate
		}
		step := 1 / (limit.Rate * part)
		l.burst.Store(int64(nanos(max(burst*part, 1) * step)))
		l.step.Store(int64(max(nanos(step), 1)))
	} else {
		l.step.Store(0)
	}
	if limit.MaxInFlight > 0 {
		part := share(float64(own.InFlight), sumOpen(others), n, float64(limit.MaxInFlight))
		l.most.Store(int64(max(float64(limit.MaxInFlight)*part, 1)))
	} else {
		l.most.Store(0)
	}
}

// share returns the part of a limit that one of n instances may use. It follows
// its part of the usage; a floor for each leaves room to start. Over instances
// that know the same usage the parts add up to 1.
func share(own, others float64, n int, limit float64) float64 {
	floor := limit * shareFloor
	return (own + floor) / (own + others + float64(n)*floor)
}

func sumRate(us []Usage) (sum float64) {
	for _, u := range us {
		sum += u.Rate
	}
	return sum
}

func sumOpen(us []Usage) (sum float64) {
	for _, u := range us {
		sum += float64(u.InFlight)
	}
	return sum
}
