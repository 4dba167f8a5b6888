package bbstand

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Load is what a target reports of itself.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	// At is when the load was so, in milliseconds since the epoch.
	At int64 `json:"at"`
}

// load returns the load of now; e.mu is held.
func (e *engine) load() Load {
	return Load{Running: e.running, Waiting: len(e.waiting), Slots: e.opts.Slots, Leaving: e.leaving}
}

// loadHistory keeps the loads of the last lag, so that reports come late.
type loadHistory struct {
	lag   time.Duration
	notes []loadNote
}

type loadNote struct {
	at   time.Time
	load Load
}

func (h *loadHistory) note(now time.Time, l Load) {
	h.notes = append(h.notes, loadNote{now, l})
	for len(h.notes) > 1 && now.Sub(h.notes[1].at) > h.lag {
		h.notes = h.notes[1:]
	}
}

// report returns the load as it was lag ago.
func (h *loadHistory) report(now time.Time, idle Load) Load {
	out := idle
	for _, n := range h.notes {
		if now.Sub(n.at) < h.lag {
			break
		}
		out = n.load
	}
	out.At = now.Add(-h.lag).UnixMilli()
	return out
}

// CacheEvent tells that a prompt's prefix came into the cache or left it.
type CacheEvent struct {
	Seq  int    `json:"seq"`
	Type string `json:"type"` // "stored" or "removed"
	Hash string `json:"hash"`
	At   int64  `json:"at"` // in milliseconds since the epoch
}

// prefixCache remembers the first messages of the last prompts.
type prefixCache struct {
	size   int
	gap    int
	hashes []string // least recently used first
	events []CacheEvent
	seq    int
}

// prefixHash names the part of a prompt that others may share: the model and
// all messages but the last.
func prefixHash(model string, messages []Message) string {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, m := range messages[:max(0, len(messages)-1)] {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// use puts the prompt's prefix into the cache and tells whether it was there.
func (p *prefixCache) use(model string, messages []Message, now time.Time) bool {
	hash := prefixHash(model, messages)
	for i, h := range p.hashes {
		if h == hash {
			p.hashes = append(append(p.hashes[:i:i], p.hashes[i+1:]...), hash)
			return true
		}
	}
	if p.size == 0 {
		return false
	}
	p.hashes = append(p.hashes, hash)
	p.event("stored", hash, now)
	if len(p.hashes) > p.size {
		p.event("removed", p.hashes[0], now)
		p.hashes = p.hashes[1:]
	}
	return false
}

func (p *prefixCache) event(kind, hash string, now time.Time) {
	p.seq++
	if p.gap > 0 && p.seq%p.gap == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Type: kind, Hash: hash, At: now.UnixMilli()})
}

// after returns the events with a higher number that are old enough.
func (p *prefixCache) after(seq int, old time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && e.At <= old.UnixMilli() {
			out = append(out, e)
		}
	}
	return out
}

// Order is an order to an engine.
type Order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

const errFence = errors.ConstError("old fencing number")

// orders records the orders that were obeyed.
type orders struct {
	fence   bool
	highest uint64
	obeyed  []Order
}

func (o *orders) take(r Order) error {
	if o.fence && r.Fence < o.highest {
		return errors.Annotatef(errFence, "%d below %d", r.Fence, o.highest)
	}
	o.highest = max(o.highest, r.Fence)
	o.obeyed = append(o.obeyed, r)
	return nil
}
