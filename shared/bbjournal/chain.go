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
	// sealLeafBytes is the size above which a leaf is sealed.
	sealLeafBytes = 64 << 10
	// maxLeafBytes is the size of the largest leaf that a plan writes. Records
	// that would exceed it get the verdict RETRY.
	maxLeafBytes = 512 << 10
	// minLeavesPerRetention is the least number of leaves per retention: the
	// head is sealed once it is older than the retention divided by this
	// number.
	minLeavesPerRetention = 8
	// maxClockSkew is the largest clock difference between instances that the
	// retention allows for.
	maxClockSkew = 10 * time.Minute
)

// leaf is the cached content of one leaf.
type leaf struct {
	number LeafNumber
	rev    bbstore.Revision
	value  *bbwire.Leaf
	index  map[string]*bbwire.Record // records by key
	// fresh means that the leaf was read or written since Begin.
	fresh bool
	// stale means that the leaf has to be read before it is used: it has
	// changed, or may have.
	stale bool
	// unknownWrite means that the outcome of a write based on rev is unknown:
	// it may still take effect.
	unknownWrite bool
}

// ChainCache is one committer's cache of a partition's chain of leaves. It
// keeps the whole head, and for each sealed leaf only the hashes of the record
// keys in it. It does no I/O: the committer makes the reads and writes that
// Plan returns and reports their results. It is not safe for concurrent use.
type ChainCache struct {
	Partition Partition
	// Retention is the minimum time that a request id is remembered.
	Retention time.Duration
	// Seed seeds the hash of record keys, so that callers cannot choose ids
	// whose hashes collide.
	Seed uint64

	loaded          bool // the partition has been listed
	commitStartedAt time.Time
	headConfirmedAt time.Time // last time that head was known to be the head
	head            leaf
	// contended means that other committers write to the head too. It is then
	// read before the first write of a commit instead of after a write has
	// failed.
	contended     bool
	sealedRecords map[uint64]LeafNumber // sealed leaf by hash of the record key
	sealedLeaves  map[LeafNumber]*sealedLeaf
	readLeaves    map[LeafNumber]*leaf // sealed leaves read or written in this commit
}

// sealedLeaf is what is cached of a sealed leaf besides its record keys.
type sealedLeaf struct {
	rev      bbstore.Revision
	sealedAt int64 // milliseconds since the epoch
}

// Write is one compare-and-swap of a plan. It replaces the value at revision
// Prev (0: no value) with Value, or deletes it if Value is nil.
type Write struct {
	Number LeafNumber
	Key    string
	Value  []byte
	Prev   bbstore.Revision
	leaf   *bbwire.Leaf
}

// Begin starts a commit. Cached leaves may have changed since the last one. If
// the head has not been confirmed for half the retention, the partition is
// listed again; otherwise a write could reuse the number of a leaf that others
// have created, sealed and deleted meanwhile.
func (c *ChainCache) Begin(now time.Time) {
	if now.Sub(c.headConfirmedAt) > c.Retention/2 {
		c.loaded = false
	}
	c.commitStartedAt = now
	c.head.fresh = false
	c.head.stale = c.head.stale || c.contended
	c.readLeaves = map[LeafNumber]*leaf{}
}

// Loaded reports whether the partition has been listed.
func (c *ChainCache) Loaded() bool { return c.loaded }

// Load replaces the cache with a listing of the partition. The error means that
// a key or value is malformed.
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
			c.setHead(l) // the last unsealed leaf is the head
		}
	}
	c.loaded, c.headConfirmedAt = true, c.commitStartedAt
	return nil
}

// decodeLeaves returns the leaves of a listing, sorted by number.
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

// addSealed indexes the records of a sealed leaf. If it was the head, the next
// number becomes the head.
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

// Key returns the store key of leaf n.
func (c *ChainCache) Key(n LeafNumber) string { return c.Partition.leafKey(n) }

// OnLeafRead updates the cache with leaf n as read from the store. Rev is 0 if
// the leaf does not exist. The error means that the value is malformed.
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
		c.loaded = false // sealed by another committer and deleted since
	case l.value.Sealed:
		c.addSealed(l)
		c.head.stale = true
	default:
		l.unknownWrite = c.head.unknownWrite && e.Rev == c.head.rev
		c.setHead(l)
	}
	return nil
}

// updateSealed updates the cache of a sealed leaf, or removes it if the leaf
// was deleted (revision 0).
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

// OnWriteFailed reports that w met a conflict or, if unknown is set, that its
// outcome is unknown. The leaf has to be read again.
func (c *ChainCache) OnWriteFailed(w Write, unknown bool) {
	if w.Number != c.head.number {
		delete(c.readLeaves, w.Number)
		return
	}
	c.head.stale = true
	c.head.unknownWrite = c.head.unknownWrite || unknown
}

// Expired returns deletions of sealed leaves that are past the retention, at
// most n, sorted by number.
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
