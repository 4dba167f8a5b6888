package bblimit

import (
	"math"
	"time"
)

// line grants permits at a rate. Permits that are granted with a delay stand in
// line; an ask that is denied would have to stand there for too long. The zero
// value is not usable.
type line struct {
	limit float64
	even  bool // no more than minBurst permits come at once
	// next is when the line is empty, and a permit more than that each interval
	// after it keeps the rate.
	next time.Time
}

// newLine returns a line that has no permit at hand: what another home has
// granted before is not known.
func newLine(limit float64, now time.Time) line {
	l := line{limit: limit}
	l.next = now.Add(time.Duration(l.burst()) * l.interval())
	return l
}

// interval is the time between two permits.
func (l *line) interval() time.Duration {
	return time.Duration(float64(time.Second) / max(l.limit, minRate))
}

// burst is how many permits may come at once.
func (l *line) burst() int {
	if l.even {
		return minBurst
	}
	return max(minBurst, int(l.limit*burstPeriod.Seconds()))
}

// setLimit changes the rate. Who stands in line moves with it.
func (l *line) setLimit(limit float64, now time.Time) {
	if limit == l.limit {
		return
	}
	before := l.interval()
	l.limit = limit
	if ahead := l.next.Sub(now); ahead > 0 {
		l.next = now.Add(time.Duration(float64(ahead) * float64(l.interval()) / float64(before)))
	}
}

// delay returns the time until the next permit could be used, with extra more
// at once than usual.
func (l *line) delay(now time.Time, extra int) time.Duration {
	tolerance := time.Duration(l.burst()-1+extra) * l.interval()
	return max(l.next.Add(-tolerance).Sub(now), 0)
}

// grant takes up to count permits that can be used within patience. It returns
// how many, and the delay until all can be used, or until the next one could.
func (l *line) grant(now time.Time, count, extra int, patience time.Duration) (granted int, delay time.Duration) {
	for granted < count {
		d := l.delay(now, extra)
		if d > patience || granted > 0 && d > 0 {
			if granted == 0 {
				delay = d
			}
			break
		}
		delay = d
		granted++
		l.next = later(l.next, now).Add(l.interval())
	}
	return granted, delay
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scaled returns a duration times a factor, without overflow.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, float64(time.Hour)))
}
