// Package bbplace decides which target of a service gets a request, from what
// this instance has in flight, what targets last told of their load, and where
// the shared parts of the prompt are cached. It keeps no clock and does no input
// or output; choosing takes no lock.
package bbplace

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

const (
	// reportKeep is how long a report of load is of use.
	reportKeep = 1500 * time.Millisecond
	// otherDomain is what it costs to leave the failure domain, in parts of a
	// target's slots.
	otherDomain = 0.04
	// notCached is the same for a target that is not the first for a prompt;
	// the second costs half of it.
	notCached = 0.30
	// failWeight is the cost of a target all of whose answers fail.
	failWeight = 3.0
	// resultWeight is how far one result moves the mean of failures.
	resultWeight = 0.15
	// full is the load above which a target gets nothing, in parts of its slots.
	full = 1.6
	// defaultSlots is for targets that name none.
	defaultSlots = 8
)

// Known is what one instance knows of a target. The zero value knows nothing.
type Known struct {
	Circuit  bbroute.Circuit
	inflight atomic.Int64
	report   atomic.Pointer[report]
	fails    atomic.Uint64 // bits of the mean of failures, 0 to 1
	busy     atomic.Int64  // gets nothing until, in ns of the steady clock
}

type report struct {
	running, waiting, slots int
	own                     int64 // in flight from here when it was made
	at                      time.Time
}

// Begin counts a request in flight; End takes it away.
func (k *Known) Begin() { k.inflight.Add(1) }

// End takes away what Begin counted.
func (k *Known) End() { k.inflight.Add(-1) }

// InFlight returns how many requests of this instance the target has.
func (k *Known) InFlight() int { return int(k.inflight.Load()) }

// Report takes what a target tells of its load.
func (k *Known) Report(running, waiting, slots int, now time.Time) {
	k.report.Store(&report{running: running, waiting: waiting, slots: slots, own: k.inflight.Load(), at: now})
}

// Busy keeps requests away until a time.
func (k *Known) Busy(until time.Time) { k.busy.Store(until.UnixNano()) }

// Result notes whether a request that the target took ended well.
func (k *Known) Result(ok bool) {
	v := 0.0
	if !ok {
		v = 1
	}
	for {
		old := k.fails.Load()
		was := math.Float64frombits(old)
		if k.fails.CompareAndSwap(old, math.Float64bits(was+resultWeight*(v-was))) {
			return
		}
	}
}

// Target is one target with what is known of it.
type Target struct {
	bbplan.Target
	Known *Known
}

// load returns the requests that the target is thought to have, in parts of its
// slots.
func (t *Target) load(now time.Time) float64 {
	own := float64(t.Known.inflight.Load())
	slots := t.Slots
	others := 0.0
	if r := t.Known.report.Load(); r != nil {
		if r.slots > 0 {
			slots = r.slots
		}
		if age := now.Sub(r.at); age < reportKeep {
			part := 1 - float64(age)/float64(reportKeep)
			others = part * max(float64(r.running+r.waiting)-float64(r.own), 0)
		}
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	return (own + others) / float64(slots)
}

// Ask is what a request asks of a placement.
type Ask struct {
	Domain bbunit.DomainID
	// Prompt is a hash of the parts that the prompt shares with others; 0 for
	// none.
	Prompt uint64
	// Tried are targets that are not to be used again.
	Tried []bbunit.TargetID
	// Draw breaks ties.
	Draw uint64
}

// Full tells why no target was chosen.
type Full int

// Reasons for no target.
const (
	// FullNone means that no usable target is known.
	FullNone Full = iota
	// FullLoad means that all usable ones have as much as they may have.
	FullLoad
)

// Choose returns the index of the target with the least cost, or -1 and why.
func Choose(targets []*Target, ask *Ask, now time.Time) (int, Full) {
	first, second := ranks(targets, ask, now)
	best, least := -1, math.Inf(1)
	why := FullNone
	for i, t := range targets {
		if !usable(t, ask, now) {
			continue
		}
		load := t.load(now)
		if load >= full {
			why = FullLoad
			continue
		}
		cost := load + failWeight*math.Float64frombits(t.Known.fails.Load())
		if t.Domain != ask.Domain {
			cost += otherDomain
		}
		if ask.Prompt != 0 {
			switch t {
			case first:
			case second:
				cost += notCached / 2
			default:
				cost += notCached
			}
		}
		// A small part of chance keeps instances with the same reports from
		// all choosing the same target.
		cost += 0.02 * float64(scramble(ask.Draw+uint64(i))>>40) / (1 << 24)
		if cost < least {
			best, least = i, cost
		}
	}
	return best, why
}

// ranks returns the two targets that a prompt hashes to.
func ranks(targets []*Target, ask *Ask, now time.Time) (first, second *Target) {
	if ask.Prompt == 0 {
		return nil, nil
	}
	var high, next uint64
	for _, t := range targets {
		if t.Leaving || !t.Known.Circuit.Usable(now) {
			continue
		}
		switch h := scramble(ask.Prompt ^ xxhash.Sum64String(string(t.ID))); {
		case first == nil || h > high:
			first, second, high, next = t, first, h, high
		case second == nil || h > next:
			second, next = t, h
		}
	}
	return first, second
}

func usable(t *Target, ask *Ask, now time.Time) bool {
	if t.Leaving || !t.Known.Circuit.Usable(now) || now.UnixNano() < t.Known.busy.Load() {
		return false
	}
	for _, id := range ask.Tried {
		if id == t.ID {
			return false
		}
	}
	return true
}

// scramble mixes the bits of x (splitmix64).
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
