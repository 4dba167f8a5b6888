package bbjournal

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

const (
	// sealLeafBytes is the size at which a leaf is sealed, in bytes.
	sealLeafBytes = 64 << 10
	// maxLeafBytes is the largest leaf that a plan writes, in bytes; records that
	// would pass it have to come again.
	maxLeafBytes = 512 << 10
	// minLeavesPerRetention is into how many leaves the retention is cut at least.
	minLeavesPerRetention = 8
	// maxClockSkew is the largest difference of clocks that the retention allows for.
	maxClockSkew = 10 * time.Minute
)

// leaf is what is known of one leaf.
type leaf struct {
	number LeafNumber
	rev    bbstore.Revision
	value  *bbwire.Leaf
	index  map[string]*bbwire.Record
	// fresh tells that the leaf was read or written since Begin.
	fresh bool
	// stale tells that the leaf is known to have changed.
	stale bool
	// unknownWrite tells that a write based on rev may still take effect.
	unknownWrite bool
}

// ChainCache is what one committer knows of a partition. It keeps the head whole and
// of sealed leaves only which requests they hold. It is not safe for concurrent
// use, and it does no I/O: the committer reads what Plan needs, writes what Plan
// says and reports how that went.
type ChainCache struct {
	Partition Partition
	// Retention is how long a request id is remembered at least.
	Retention time.Duration
	// Seed keeps callers from choosing ids whose hashes collide.
	Seed uint64

	loaded          bool
	commitStartedAt time.Time
	headConfirmedAt time.Time // the head is known to have been the head then
	head            leaf
	// contended tells that others write to the head, so that it is read before
	// a write rather than after the write has failed.
	contended     bool
	sealedRecords map[uint64]LeafNumber
	sealedLeaves  map[LeafNumber]*sealedLeaf
	readLeaves    map[LeafNumber]*leaf
}

type sealedLeaf struct {
	rev      bbstore.Revision
	sealedAt int64 // milliseconds since the epoch
}

// Write is one compare-and-swap that a plan asks for. A nil Value deletes.
type Write struct {
	Number LeafNumber
	Key    string
	Value  []byte
	Prev   bbstore.Revision
	leaf   *bbwire.Leaf
}

// Begin starts a commit: what was read before it may have changed since. After
// a long rest the partition is listed anew, lest a deleted number is used again.
func (c *ChainCache) Begin(now time.Time) {
	if now.Sub(c.headConfirmedAt) > c.Retention/2 {
		c.loaded = false
	}
	c.commitStartedAt = now
	c.head.fresh = false
	c.head.stale = c.head.stale || c.contended
	c.readLeaves = map[LeafNumber]*leaf{}
}

// Loaded tells whether the partition was listed.
func (c *ChainCache) Loaded() bool { return c.loaded }

// Load takes a listing of the partition.
func (c *ChainCache) Load(entries []bbstore.Entry) error {
	leaves, err := decodeLeaves(entries)
	if err != nil {
		return err
	}
	c.sealedRecords, c.sealedLeaves, c.readLeaves = map[uint64]LeafNumber{}, map[LeafNumber]*sealedLeaf{}, map[LeafNumber]*leaf{}
	c.head = leaf{number: 1, value: &bbwire.Leaf{}, fresh: true}
	for _, l := range leaves {
		if l.value.Sealed {
			c.addSealed(l)
		} else {
			c.setHead(l) // the last one is the head, whatever came before
		}
	}
	c.loaded, c.headConfirmedAt = true, c.commitStartedAt
	return nil
}

// decodeLeaves returns the leaves of a listing in the order of their numbers.
func decodeLeaves(entries []bbstore.Entry) ([]*leaf, error) {
	var out []*leaf
	for _, e := range entries {
		n, err := strconv.ParseUint(e.Key[strings.LastIndexByte(e.Key, '/')+1:], 10, 32)
		if err != nil {
			return nil, err
		}
		v := &bbwire.Leaf{}
		if err := proto.Unmarshal(e.Value, v); err != nil {
			return nil, err
		}
		out = append(out, &leaf{number: LeafNumber(n), rev: e.Rev, value: v})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].number < out[j].number })
	return out, nil
}

// addSealed remembers which requests a sealed leaf holds and opens the next number.
func (c *ChainCache) addSealed(l *leaf) {
	c.sealedLeaves[l.number] = &sealedLeaf{rev: l.rev, sealedAt: l.value.Sealedat}
	for _, r := range l.value.Records {
		c.sealedRecords[c.hash(keyOf(r))] = l.number
	}
	if l.number >= c.head.number {
		c.head = leaf{number: l.number + 1, value: &bbwire.Leaf{}}
	}
}

func (c *ChainCache) setHead(l *leaf) {
	l.index = indexRecords(l.value)
	l.fresh = true
	c.head = *l
}

func indexRecords(v *bbwire.Leaf) map[string]*bbwire.Record {
	index := make(map[string]*bbwire.Record, len(v.Records))
	for _, r := range v.Records {
		index[keyOf(r)] = r
	}
	return index
}

func (c *ChainCache) hash(key string) uint64 {
	d := xxhash.NewWithSeed(c.Seed)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Key returns the key of a leaf.
func (c *ChainCache) Key(n LeafNumber) string { return c.Partition.leafKey(n) }

// OnLeafRead takes what was read of leaf n.
func (c *ChainCache) OnLeafRead(n LeafNumber, e bbstore.Entry) error {
	l := &leaf{number: n, rev: e.Rev, value: &bbwire.Leaf{}, fresh: true}
	if err := proto.Unmarshal(e.Value, l.value); err != nil {
		return err
	}
	if n != c.head.number {
		c.updateSealed(l)
		return nil
	}
	c.headConfirmedAt = c.commitStartedAt
	c.contended = e.Rev != c.head.rev
	switch {
	case e.Rev == 0 && c.head.rev != 0:
		c.loaded = false // sealed by others and deleted since
	case l.value.Sealed:
		c.addSealed(l)
		c.head.stale = true
	default:
		l.unknownWrite = c.head.unknownWrite && e.Rev == c.head.rev
		c.setHead(l)
	}
	return nil
}

func (c *ChainCache) updateSealed(l *leaf) {
	if l.rev != 0 {
		l.index = indexRecords(l.value)
		c.readLeaves[l.number] = l
		if o := c.sealedLeaves[l.number]; o != nil {
			o.rev = l.rev
		}
		return
	}
	delete(c.sealedLeaves, l.number)
	for h, n := range c.sealedRecords {
		if n == l.number {
			delete(c.sealedRecords, h)
		}
	}
}

// OnWritten reports that w took effect at revision rev.
func (c *ChainCache) OnWritten(w Write, rev bbstore.Revision) {
	l := &leaf{number: w.Number, rev: rev, value: w.leaf, fresh: true}
	switch {
	case w.Value == nil:
		l.rev = 0
		c.updateSealed(l)
	case w.Number != c.head.number:
		c.updateSealed(l)
	case w.leaf.Sealed:
		c.headConfirmedAt = c.commitStartedAt
		c.addSealed(l)
	default:
		c.headConfirmedAt = c.commitStartedAt
		c.setHead(l)
	}
}

// OnWriteFailed reports that w met a conflict (unsure false) or that its outcome is not
// known (unsure true): the leaf has to be read again.
func (c *ChainCache) OnWriteFailed(w Write, unknown bool) {
	if w.Number != c.head.number {
		delete(c.readLeaves, w.Number)
		return
	}
	c.head.stale = true
	c.head.unknownWrite = c.head.unknownWrite || unknown
}

// Expired returns the deletions of leaves that are past the retention, at most
// n.
func (c *ChainCache) Expired(now time.Time, n int) []Write {
	var out []Write
	cutoff := now.Add(-c.Retention - maxClockSkew).UnixMilli()
	for number, l := range c.sealedLeaves {
		if l.sealedAt < cutoff {
			out = append(out, Write{Number: number, Key: c.Key(number), Prev: l.rev})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	if len(out) > n {
		out = out[:n]
	}
	return out
}
