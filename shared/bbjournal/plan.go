package bbjournal

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbwire"
)

// Plan is what a committer does next.
type Plan struct {
	// NeedsListing asks for a listing of the partition first.
	NeedsListing bool
	// Reads lists leaves that have to be read first.
	Reads []LeafNumber
	// Writes are made in their order; the verdicts hold once all took effect.
	Writes []Write
	// Verdicts has one verdict for each record, in their order.
	Verdicts []*bbwire.Verdict
}

// work is a plan in the making: changes on top of what the book knows.
type work struct {
	*ChainCache
	now     time.Time
	changes map[LeafNumber]map[string]*bbwire.Record // nil: removed
	place   map[string]LeafNumber
	order   []string // new requests of the head, as they came
	need    map[LeafNumber]bool
	size    int
}

// Plan decides what becomes of the records. The verdicts are final only when
// nothing is left to load, to read or to write.
func (b *ChainCache) Plan(records []*bbwire.Record, now time.Time) *Plan {
	p := &Plan{}
	if !b.loaded {
		p.NeedsListing = true
		return p
	}
	w := &work{
		ChainCache: b, now: now, need: map[LeafNumber]bool{},
		changes: map[LeafNumber]map[string]*bbwire.Record{}, place: map[string]LeafNumber{},
		size: proto.Size(b.head.value),
	}
	if b.head.stale {
		w.need[b.head.number] = true
	}
	for _, r := range records {
		p.Verdicts = append(p.Verdicts, w.apply(r))
	}
	if len(w.need) == 0 {
		p.Writes = w.writes()
	}
	for n := range w.need {
		p.Reads = append(p.Reads, n)
	}
	sort.Slice(p.Reads, func(i, j int) bool { return p.Reads[i] < p.Reads[j] })
	return p
}

func (w *work) apply(r *bbwire.Record) *bbwire.Verdict {
	key := keyOf(r)
	s, at := w.find(key)
	if s == nil && w.late(r) {
		return &bbwire.Verdict{Kind: bbwire.Verdict_LATE}
	}
	kind, next := decide(s, r)
	if next == s {
		if kind != bbwire.Verdict_TAKEN || r.Kind == bbwire.Record_WITHDRAWN {
			w.refresh() // a refusal never rests on what was read earlier
		}
		return &bbwire.Verdict{Kind: kind, Record: s}
	}
	if s == nil {
		w.size += proto.Size(r) + 4
		if w.size > leafMost {
			return &bbwire.Verdict{Kind: bbwire.Verdict_RETRY}
		}
		at = w.head.number
	}
	w.set(at, key, next)
	return &bbwire.Verdict{Kind: kind}
}

// refresh has the head read, unless it was read in this commit.
func (w *work) refresh() {
	if !w.head.fresh {
		w.need[w.head.number] = true
	}
}

// find returns the record that stands for the key and its leaf.
func (w *work) find(key string) (*bbwire.Record, LeafNumber) {
	if n, ok := w.place[key]; ok {
		return w.changes[n][key], n
	}
	if r, ok := w.head.index[key]; ok {
		return r, w.head.number
	}
	n, ok := w.sealed[w.hash(key)]
	if !ok {
		return nil, 0
	}
	l, ok := w.open[n]
	if !ok {
		w.need[n] = true
		return nil, n
	}
	return l.index[key], n
}

func (w *work) set(n LeafNumber, key string, r *bbwire.Record) {
	if w.changes[n] == nil {
		w.changes[n] = map[string]*bbwire.Record{}
	}
	if _, ok := w.changes[n][key]; !ok && n == w.head.number && w.head.index[key] == nil {
		w.order = append(w.order, key)
	}
	w.changes[n][key] = r
	w.place[key] = n
}

// late tells whether the request may have stood in a leaf that is deleted.
func (w *work) late(r *bbwire.Record) bool {
	limit := w.now.Add(-w.Retention)
	switch r.Kind {
	case bbwire.Record_CLAIM:
		made, ok := RequestIDTime(r.Request)
		return ok && made.Before(limit)
	case bbwire.Record_BILL, bbwire.Record_UNKNOWN:
		return r.Made < limit.UnixMilli()
	}
	return false
}

// writes turns the changes into writes, the head last: what goes from a sealed
// leaf has gone before the head takes it in again.
func (w *work) writes() []Write {
	var out []Write
	for n := range w.changes {
		if n != w.head.number {
			out = append(out, w.write(w.open[n], w.changes[n], nil))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	if len(w.changes[w.head.number]) > 0 || w.head.doubt {
		out = append(out, w.write(&w.head, w.changes[w.head.number], w.order))
	}
	return out
}

func (w *work) write(l *leaf, changes map[string]*bbwire.Record, order []string) Write {
	v := &bbwire.Leaf{Sealed: l.value.Sealed, Made: l.value.Made, Sealedat: l.value.Sealedat}
	for _, r := range l.value.Records {
		if next, ok := changes[keyOf(r)]; ok {
			r = next
		}
		if r != nil {
			v.Records = append(v.Records, r)
		}
	}
	for _, key := range order {
		if r := changes[key]; r != nil {
			v.Records = append(v.Records, r)
		}
	}
	w.close(v)
	value, _ := proto.Marshal(v) // fails only for text that is not UTF-8, which Check refuses
	return Write{Number: l.number, Key: w.Key(l.number), Value: value, Prev: l.rev, leaf: v}
}

// close seals a leaf that is full or old.
func (w *work) close(v *bbwire.Leaf) {
	now := w.now.UnixMilli()
	if v.Made == 0 {
		v.Made = now
	}
	old := now-v.Made > (w.Retention / leavesKept).Milliseconds()
	if !v.Sealed && (old || proto.Size(v) > leafFull) {
		v.Sealed, v.Sealedat = true, now
	}
}
