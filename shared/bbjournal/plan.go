package bbjournal

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbwire"
)

// Plan lists the next steps of a committer.
type Plan struct {
	// NeedsListing means that the partition has to be listed before planning
	// again.
	NeedsListing bool
	// Reads lists the leaves that have to be read before planning again.
	Reads []LeafNumber
	// Writes have to be made in this order. The verdicts are valid once all of
	// them have taken effect.
	Writes []Write
	// Verdicts has one verdict per record, in the order of the records.
	Verdicts []*bbwire.Verdict
}

// planner holds the state of one call of Plan: the changes that the records
// make to the cached leaves.
type planner struct {
	*ChainCache
	now       time.Time
	changes   map[LeafNumber]map[string]*bbwire.Record // by leaf and record key; nil removes the record
	leafOf    map[string]LeafNumber                    // leaf of each changed record
	newKeys   []string                                 // records to append to the head, in order of arrival
	reads     map[LeafNumber]bool                      // leaves that have to be read first
	headBytes int                                      // size of the head with the new records
}

// Plan decides on the records. It has to be called again after the listing or
// the reads that it asks for, and after a write that failed. The verdicts are
// final once the plan needs no listing and no reads and its writes have taken
// effect.
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
	if existing == nil && p.pastRetention(r) {
		return &bbwire.Verdict{Kind: bbwire.Verdict_LATE}
	}
	kind, next := decide(existing, r)
	if next == existing {
		if kind != bbwire.Verdict_TAKEN || r.Kind == bbwire.Record_WITHDRAWN {
			p.requireFreshHead() // a refusal must not be based on a head read in an earlier commit
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

// requireFreshHead schedules a read of the head unless it was read or written
// in this commit.
func (p *planner) requireFreshHead() {
	if !p.head.fresh {
		p.reads[p.head.number] = true
	}
}

// lookup returns the current record of the key and its leaf. If that leaf is
// sealed and not yet read, it schedules the read and returns nil with the
// leaf's number.
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

// pastRetention reports whether r is older than the retention, so that an
// earlier record of its request may have been deleted with its leaf.
func (p *planner) pastRetention(r *bbwire.Record) bool {
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

// buildWrites returns the writes that make the changes. The head comes last, so
// that a record removed from a sealed leaf is gone before the head accepts its
// request again. A head with a write of unknown outcome is written even without
// changes, so that the earlier write can no longer take effect.
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
	value, _ := proto.Marshal(v) // fails only on invalid UTF-8, which Check refuses
	return Write{Number: l.number, Key: p.Key(l.number), Value: value, Prev: l.rev, leaf: v}
}

// sealIfDue seals v if it is full or old. It also sets the creation time of a
// new leaf.
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
