package bbstop

import (
	"slices"
	"sync/atomic"
	"time"
)

// Durations keeps how long the requests of one kind took. The zero value knows of
// none. It takes no lock and may be used by several goroutines.
//
// Where the size of an answer is known in advance, a duration has two parts: the
// time to the head, and the rest for each unit of the size. So a long stream is not
// judged by short ones.
type Durations struct {
	count  atomic.Int64
	recent [recentSamples]sample
	peaks  [peakPeriods]peak
}

// sample is the duration of one request.
type sample struct{ head, perUnit atomic.Int64 } // in ns

// peak holds the largest durations of one period.
type peak struct {
	period        atomic.Int64 // number of the period since the epoch of the clock
	head, perUnit atomic.Int64 // in ns
}

// Record adds a request that ended: its time to the head, the rest of its time,
// and the size that was expected, 0 if it was not known. A request that was given
// up as its time was over is recorded with the time that it had.
func (d *Durations) Record(now time.Time, head, rest time.Duration, size float64) {
	var perUnit int64
	if size > 0 {
		perUnit = int64(float64(rest) / size)
	} else {
		head += rest
	}
	s := &d.recent[(d.count.Add(1)-1)%recentSamples]
	s.head.Store(int64(head))
	s.perUnit.Store(perUnit)
	p := d.peakOf(now)
	raise(&p.head, int64(head))
	raise(&p.perUnit, perUnit)
}

// Count returns how many requests have been recorded.
func (d *Durations) Count() int64 { return d.count.Load() }

// peakOf returns the peak of the present period.
func (d *Durations) peakOf(now time.Time) *peak {
	period := now.UnixNano() / int64(peakPeriod)
	p := &d.peaks[period%peakPeriods]
	if old := p.period.Load(); old != period && p.period.CompareAndSwap(old, period) {
		p.head.Store(0)
		p.perUnit.Store(0)
	}
	return p
}

// raise raises v to at least n.
func raise(v *atomic.Int64, n int64) {
	for {
		old := v.Load()
		if n <= old || v.CompareAndSwap(old, n) {
			return
		}
	}
}

// recentOf returns how long the newest requests would have taken with a size,
// shortest first.
func (d *Durations) recentOf(size float64) []time.Duration {
	out := make([]time.Duration, 0, recentSamples)
	for i := range min(d.count.Load(), recentSamples) {
		out = append(out, ofSize(d.recent[i].head.Load(), d.recent[i].perUnit.Load(), size))
	}
	slices.Sort(out)
	return out
}

// longestOf returns the longest duration known of a request of a size: of the
// newest requests, and of all in the latest periods.
func (d *Durations) longestOf(now time.Time, size float64) time.Duration {
	var longest time.Duration
	if recent := d.recentOf(size); len(recent) > 0 {
		longest = recent[len(recent)-1]
	}
	oldest := now.UnixNano()/int64(peakPeriod) - peakPeriods
	for i := range d.peaks {
		if p := &d.peaks[i]; p.period.Load() > oldest {
			longest = max(longest, ofSize(p.head.Load(), p.perUnit.Load(), size))
		}
	}
	return longest
}

// ofSize returns the duration of a request of a size.
func ofSize(head, perUnit int64, size float64) time.Duration {
	return time.Duration(float64(head) + float64(perUnit)*size)
}
