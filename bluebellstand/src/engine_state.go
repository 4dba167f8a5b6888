package bbstand

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// TargetLoad is the load that a target reports.
type TargetLoad struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	// At is when the load was measured, in milliseconds since the epoch.
	At int64 `json:"at"`
}

// load returns the current load. The caller holds e.mu.
func (e *engine) load() TargetLoad {
	return TargetLoad{Running: e.running, Waiting: len(e.waiting), Slots: e.opts.Slots, Leaving: e.leaving}
}

// loadHistory keeps the load samples that cover the last lag, so that the engine
// can report an outdated load.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load TargetLoad
}

func (h *loadHistory) record(now time.Time, l TargetLoad) {
	h.samples = append(h.samples, loadSample{now, l})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) > h.lag {
		h.samples = h.samples[1:]
	}
}

// lagged returns the load as it was lag ago, or idle if no sample is that old.
func (h *loadHistory) lagged(now time.Time, idle TargetLoad) TargetLoad {
	load := idle
	for _, sample := range h.samples {
		if now.Sub(sample.at) < h.lag {
			break
		}
		load = sample.load
	}
	load.At = now.Add(-h.lag).UnixMilli()
	return load
}

// CacheEvent reports that a prompt prefix was added to the cache or removed
// from it.
type CacheEvent struct {
	Seq  int    `json:"seq"`
	Type string `json:"type"` // "stored" or "removed"
	Hash string `json:"hash"`
	At   int64  `json:"at"` // in milliseconds since the epoch
}

// prefixCache is an LRU cache of prompt prefixes with a log of its changes.
type prefixCache struct {
	size      int
	dropEvery int      // every n-th event is missing in the log; 0 drops none
	prefixes  []string // hashes, least recently used first
	events    []CacheEvent
	seq       int
}

// prefixHash returns the hash of the part of a prompt that other prompts can
// share: the model and all messages but the last.
func prefixHash(model string, messages []Message) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for _, m := range messages[:max(0, len(messages)-1)] {
		_, _ = digest.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// touch makes the prompt's prefix the most recently used one and reports
// whether it was already cached.
func (p *prefixCache) touch(model string, messages []Message, now time.Time) bool {
	hash := prefixHash(model, messages)
	for i, cached := range p.prefixes {
		if cached == hash {
			p.prefixes = append(append(p.prefixes[:i:i], p.prefixes[i+1:]...), hash)
			return true
		}
	}
	if p.size == 0 {
		return false
	}
	p.prefixes = append(p.prefixes, hash)
	p.addEvent("stored", hash, now)
	if len(p.prefixes) > p.size {
		p.addEvent("removed", p.prefixes[0], now)
		p.prefixes = p.prefixes[1:]
	}
	return false
}

func (p *prefixCache) addEvent(kind, hash string, now time.Time) {
	p.seq++
	if p.dropEvery > 0 && p.seq%p.dropEvery == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Type: kind, Hash: hash, At: now.UnixMilli()})
}

// eventsAfter returns the events with a number above seq that are not newer
// than until.
func (p *prefixCache) eventsAfter(seq int, until time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && e.At <= until.UnixMilli() {
			out = append(out, e)
		}
	}
	return out
}

// Order is an order to an engine, such as to load a model. Fence is its fencing
// number.
type Order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

const errStaleFence = errors.ConstError("old fencing number")

// orderLog records the accepted orders. If rejectStale is set, it rejects an
// order with a fencing number below the highest one seen.
type orderLog struct {
	rejectStale  bool
	highestFence uint64
	accepted     []Order
}

func (o *orderLog) accept(order Order) error {
	if o.rejectStale && order.Fence < o.highestFence {
		return errors.Annotatef(errStaleFence, "%d below %d", order.Fence, o.highestFence)
	}
	o.highestFence = max(o.highestFence, order.Fence)
	o.accepted = append(o.accepted, order)
	return nil
}
