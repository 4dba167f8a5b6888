// Package bbpressure decides whether an instance is short of its link, of file descriptors,
// memory or processor time, and what follows from that: how many connections it gives back,
// whether it is ready, which request bodies it reads and when refused callers come back. It
// reads no clock and does no I/O.
package bbpressure

import (
	"math"
	"strings"
	"time"
)

// Resources are a set of resources.
type Resources uint8

// The resources.
const (
	LinkIn Resources = 1 << iota
	LinkOut
	Descriptors
	Memory
	Processor
)

// Has reports whether any of the resources is in the set.
func (r Resources) Has(of Resources) bool { return r&of != 0 }

// String returns the names of the resources.
func (r Resources) String() string {
	var names []string
	for i, name := range []string{"link-in", "link-out", "descriptors", "memory", "processor"} {
		if r.Has(1 << i) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// Sample is what an instance uses of its resources. A value of 0 means that nothing is used,
// or that the limit is not known.
type Sample struct {
	// In and Out are the bytes in each direction since the last sample, Bodies those of
	// In that belong to large bodies that were admitted. Elapsed is the time since then.
	In, Out, Bodies int64
	Elapsed         time.Duration
	// Descriptors and Memory are the parts of their limits that are in use.
	Descriptors, Memory float64
	// Late is by how much the timer of the sample was late.
	Late time.Duration
	// Conns is how many connections from clients are open.
	Conns int
	// Domain is what is known of the failure domain.
	Domain Domain
}

// State is the state of an instance until the next sample.
type State struct {
	// Short are the resources that are short. If it is empty, all else is zero.
	Short Resources
	// NotReady means that the balancer is to send no new connections.
	NotReady bool
	// GiveBack is how many connections are to be given back.
	GiveBack int
	// CloseIdle is how many of the connections that wait for a request are to be closed,
	// the ones that have waited longest first.
	CloseIdle int
	// BodyBytes is how many bytes of large bodies may be read while LinkIn is short,
	// UrgentBytes how many more for urgent requests.
	BodyBytes, UrgentBytes int64
	// OutBytes is how many bytes of large responses may be written while LinkOut is short.
	OutBytes int64
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Monitor decides on the state of one instance. It is not safe for concurrent use.
type Monitor struct {
	linkRate                                    float64 // bytes a second in each direction; 0 for none
	linkIn, linkOut, descriptors, memory, timer gauge
	shortSince                                  time.Time
	notReady                                    bool
	notReadySince                               time.Time
	credit                                      time.Duration // for which it may be not ready
	owed                                        float64       // part of a connection not given back yet
}

// NewMonitor returns the monitor of an instance whose link carries so many bytes a second, 0
// if that is not known.
func NewMonitor(linkRate float64) *Monitor {
	return &Monitor{
		linkRate: linkRate, credit: notReadyCredit, linkIn: gauge{thresholds: linkThresholds}, linkOut: gauge{thresholds: linkThresholds},
		descriptors: gauge{thresholds: descriptorThresholds}, memory: gauge{thresholds: memoryThresholds}, timer: gauge{thresholds: processorThresholds},
	}
}

// gauges returns the gauges in the order of the resources.
func (m *Monitor) gauges() []*gauge {
	return []*gauge{&m.linkIn, &m.linkOut, &m.descriptors, &m.memory, &m.timer}
}

// Update takes a sample and returns the state until the next one.
func (m *Monitor) Update(s Sample, now time.Time) State {
	m.linkIn.update(m.linkPart(s.In, s.Elapsed), now)
	m.linkOut.update(m.linkPart(s.Out, s.Elapsed), now)
	m.descriptors.update(s.Descriptors, now)
	m.memory.update(s.Memory, now)
	m.timer.update(s.Late.Seconds(), now)
	var state State
	severe, excess, end := false, 0.0, time.Duration(0)
	for i, g := range m.gauges() {
		if g.short {
			state.Short |= 1 << i
		}
		severe = severe || g.isSevere()
		excess, end = max(excess, g.excess()), max(end, g.expectedEnd(now))
	}
	m.decideReady(s.Domain, s.Elapsed, state.Short != 0, severe, now)
	state.NotReady = m.notReady
	if state.Short == 0 {
		m.owed = 0
		return state
	}
	state.GiveBack = m.giveBack(s, excess)
	if m.descriptors.excess() > 0 {
		state.CloseIdle = state.GiveBack
	}
	state.BodyBytes, state.UrgentBytes = m.bodyAllowance(s)
	state.OutBytes = int64(admittedLink * m.linkRate * CheckInterval.Seconds())
	state.RetryAfter = min(max(end, minRetryAfter), maxRetryAfter)
	return state
}

// linkPart returns the part of the link's rate that so many bytes have used.
func (m *Monitor) linkPart(bytes int64, elapsed time.Duration) float64 {
	if m.linkRate <= 0 {
		return 0
	}
	return float64(bytes) / max(elapsed, CheckInterval).Seconds() / m.linkRate
}

// decideReady begins or ends a period in which the instance is not ready. It ends early if
// instances that come before this one have become crowded.
func (m *Monitor) decideReady(domain Domain, elapsed time.Duration, short, severe bool, now time.Time) {
	switch {
	case !short:
		m.shortSince = time.Time{}
	case m.shortSince.IsZero():
		m.shortSince = now
	}
	elapsed = min(max(elapsed, 0), maxElapsed)
	m.credit = min(m.credit+time.Duration(notReadyPart*float64(elapsed)), notReadyCredit)
	if m.notReady {
		m.credit -= elapsed
		done := now.Sub(m.notReadySince) >= minNotReady && !short
		m.notReady = !done && m.credit > 0 && domain.mayBeNotReady()
		return
	}
	announced := short && now.Sub(m.shortSince) >= announceTime
	if severe && announced && m.credit >= minNotReady && domain.mayBeNotReady() {
		m.notReady, m.notReadySince = true, now
	}
}

// giveBack returns how many connections are to be given back until the next sample: the
// excess within moveTime, and less where few other instances could take them.
func (m *Monitor) giveBack(s Sample, excess float64) int {
	part := excess * s.Domain.spare() * min(CheckInterval.Seconds()/moveTime.Seconds(), 1)
	m.owed += float64(s.Conns) * part
	whole := math.Floor(m.owed)
	m.owed -= whole
	return int(whole)
}

// bodyAllowance returns how many bytes of large bodies may be read until the next sample: what
// is left of the link beside everything else.
func (m *Monitor) bodyAllowance(s Sample) (common, urgent int64) {
	if !m.linkIn.short {
		return 0, 0
	}
	rate := m.linkRate * CheckInterval.Seconds()
	others := float64(max(s.In-s.Bodies, 0)) * CheckInterval.Seconds() / max(s.Elapsed, CheckInterval).Seconds()
	allowance := max(admittedLink*rate-others, minBodyLink*rate)
	common = int64(commonPart * allowance)
	return common, int64(allowance) - common
}
