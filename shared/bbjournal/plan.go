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

// planner is a plan in the making: changes on top of what the book knows.
type planner struct {
	*ChainCache
	now       time.Time
	changes   map[LeafNumber]map[string]*bbwire.Record // nil: removed
	leafOf    map[string]LeafNumber
	newKeys   []string // new requests of the head, as they came
	reads     map[LeafNumber]bool
	headBytes int
}

// Plan decides what becomes of the records. The verdicts are final only when
// nothing is left to load, to read or to write.
func (c *ChainCache) Plan(records []*bbwire.Record, now time.Time) *Plan {
	plan := &Plan{}
	if !c.loaded {
		plan.NeedsListing = true
		return plan
	}
	p := &planner{
		ChainCache: c, now: now, reads: map[LeafNumber]bool{},
		changes: map[LeafNumber]map[string]*bbwire.Record{}, leafOf: map[string]LeafNumber{},
		headBytes: proto.Size(c.head.value),
	}
	if c.head.stale {
		p.reads[c.head.number] = true
	}
	for _, r := range records {
		plan.Verdicts = append(plan.Verdicts, p.planRecord(r))
	}
	if len(p.reads) == 0 {
		plan.Writes = p.buildWrites()
	}
	for n := range p.reads {
		plan.Reads = append(plan.Reads, n)
	}
	sort.Slice(plan.Reads, func(i, j int) bool { return plan.Reads[i] < plan.Reads[j] })
	return plan
}

func (p *planner) planRecord(r *bbwire.Record) *bbwire.Verdict {
	key := keyOf(r)
	existing, number := p.lookup(key)
	if existing == nil && p.expired(r) {
		return &bbwire.Verdict{Kind: bbwire.Verdict_LATE}
	}
	kind, next := decide(existing, r)
	if next == existing {
		if kind != bbwire.Verdict_TAKEN || r.Kind == bbwire.Record_WITHDRAWN {
			p.requireFreshHead() // a refusal never rests on what was read earlier
		}
		return &bbwire.Verdict{Kind: kind, Record: existing}
	}
	if existing == nil {
		p.headBytes += proto.Size(r) + 4
		if p.headBytes > maxLeafBytes {
			return &bbwire.Verdict{Kind: bbwire.Verdict_RETRY}
		}
		number = p.head.number
	}
	p.setRecord(number, key, next)
	return &bbwire.Verdict{Kind: kind}
}

// requireFreshHead has the head read, unless it was read in this commit.
func (p *planner) requireFreshHead() {
	if !p.head.fresh {
		p.reads[p.head.number] = true
	}
}

// lookup returns the record that stands for the key and its leaf.
func (p *planner) lookup(key string) (*bbwire.Record, LeafNumber) {
	if n, ok := p.leafOf[key]; ok {
		return p.changes[n][key], n
	}
	if r, ok := p.head.index[key]; ok {
		return r, p.head.number
	}
	n, ok := p.sealedRecords[p.hash(key)]
	if !ok {
		return nil, 0
	}
	l, ok := p.readLeaves[n]
	if !ok {
		p.reads[n] = true
		return nil, n
	}
	return l.index[key], n
}

func (p *planner) setRecord(n LeafNumber, key string, r *bbwire.Record) {
	if p.changes[n] == nil {
		p.changes[n] = map[string]*bbwire.Record{}
	}
	if _, ok := p.changes[n][key]; !ok && n == p.head.number && p.head.index[key] == nil {
		p.newKeys = append(p.newKeys, key)
	}
	p.changes[n][key] = r
	p.leafOf[key] = n
}

// expired tells whether the request may have stood in a leaf that is deleted.
func (p *planner) expired(r *bbwire.Record) bool {
	cutoff := p.now.Add(-p.Retention)
	switch r.Kind {
	case bbwire.Record_CLAIM:
		made, ok := RequestIDTime(r.Request)
		return ok && made.Before(cutoff)
	case bbwire.Record_BILL, bbwire.Record_UNKNOWN:
		return r.Made < cutoff.UnixMilli()
	}
	return false
}

// buildWrites turns the changes into writes, the head last: what goes from a sealed
// leaf has gone before the head takes it in again.
func (p *planner) buildWrites() []Write {
	var out []Write
	for n := range p.changes {
		if n != p.head.number {
			out = append(out, p.buildWrite(p.readLeaves[n], p.changes[n], nil))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	if len(p.changes[p.head.number]) > 0 || p.head.unknownWrite {
		out = append(out, p.buildWrite(&p.head, p.changes[p.head.number], p.newKeys))
	}
	return out
}

func (p *planner) buildWrite(l *leaf, changes map[string]*bbwire.Record, newKeys []string) Write {
	v := &bbwire.Leaf{Sealed: l.value.Sealed, Made: l.value.Made, Sealedat: l.value.Sealedat}
	for _, r := range l.value.Records {
		if next, ok := changes[keyOf(r)]; ok {
			r = next
		}
		if r != nil {
			v.Records = append(v.Records, r)
		}
	}
	for _, key := range newKeys {
		if r := changes[key]; r != nil {
			v.Records = append(v.Records, r)
		}
	}
	p.sealIfDue(v)
	value, _ := proto.Marshal(v) // fails only for text that is not UTF-8, which Check refuses
	return Write{Number: l.number, Key: p.Key(l.number), Value: value, Prev: l.rev, leaf: v}
}

// sealIfDue seals a leaf that is full or old.
func (p *planner) sealIfDue(v *bbwire.Leaf) {
	now := p.now.UnixMilli()
	if v.Made == 0 {
		v.Made = now
	}
	aged := now-v.Made > (p.Retention / minLeavesPerRetention).Milliseconds()
	if !v.Sealed && (aged || proto.Size(v) > sealLeafBytes) {
		v.Sealed, v.Sealedat = true, now
	}
}
