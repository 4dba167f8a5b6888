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
	// leafFull is the size at which a leaf is sealed, in bytes.
	leafFull = 64 << 10
	// leafMost is the largest leaf that a plan writes, in bytes; records that
	// would pass it have to come again.
	leafMost = 512 << 10
	// leavesKept is into how many leaves the retention is cut at least.
	leavesKept = 8
	// skew is the largest difference of clocks that the retention allows for.
	skew = 10 * time.Minute
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
	// doubt tells that a write based on rev may still take effect.
	doubt bool
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

	loaded bool
	begun  time.Time
	read   time.Time // the head is known to have been the head then
	head   leaf
	// contended tells that others write to the head, so that it is read before
	// a write rather than after the write has failed.
	contended bool
	sealed    map[uint64]LeafNumber
	old       map[LeafNumber]*sealedLeaf
	open      map[LeafNumber]*leaf
}

type sealedLeaf struct {
	rev bbstore.Revision
	at  int64 // milliseconds since the epoch
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
func (b *ChainCache) Begin(now time.Time) {
	if now.Sub(b.read) > b.Retention/2 {
		b.loaded = false
	}
	b.begun = now
	b.head.fresh = false
	b.head.stale = b.head.stale || b.contended
	b.open = map[LeafNumber]*leaf{}
}

// Loaded tells whether the partition was listed.
func (b *ChainCache) Loaded() bool { return b.loaded }

// Load takes a listing of the partition.
func (b *ChainCache) Load(entries []bbstore.Entry) error {
	leaves, err := decodeLeaves(entries)
	if err != nil {
		return err
	}
	b.sealed, b.old, b.open = map[uint64]LeafNumber{}, map[LeafNumber]*sealedLeaf{}, map[LeafNumber]*leaf{}
	b.head = leaf{number: 1, value: &bbwire.Leaf{}, fresh: true}
	for _, l := range leaves {
		if l.value.Sealed {
			b.seal(l)
		} else {
			b.setHead(l) // the last one is the head, whatever came before
		}
	}
	b.loaded, b.read = true, b.begun
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

// seal remembers which requests a sealed leaf holds and opens the next number.
func (b *ChainCache) seal(l *leaf) {
	b.old[l.number] = &sealedLeaf{rev: l.rev, at: l.value.Sealedat}
	for _, r := range l.value.Records {
		b.sealed[b.hash(keyOf(r))] = l.number
	}
	if l.number >= b.head.number {
		b.head = leaf{number: l.number + 1, value: &bbwire.Leaf{}}
	}
}

func (b *ChainCache) setHead(l *leaf) {
	l.index = indexOf(l.value)
	l.fresh = true
	b.head = *l
}

func indexOf(v *bbwire.Leaf) map[string]*bbwire.Record {
	index := make(map[string]*bbwire.Record, len(v.Records))
	for _, r := range v.Records {
		index[keyOf(r)] = r
	}
	return index
}

func (b *ChainCache) hash(key string) uint64 {
	d := xxhash.NewWithSeed(b.Seed)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Key returns the key of a leaf.
func (b *ChainCache) Key(n LeafNumber) string { return b.Partition.leafKey(n) }

// OnLeafRead takes what was read of leaf n.
func (b *ChainCache) OnLeafRead(n LeafNumber, e bbstore.Entry) error {
	l := &leaf{number: n, rev: e.Rev, value: &bbwire.Leaf{}, fresh: true}
	if err := proto.Unmarshal(e.Value, l.value); err != nil {
		return err
	}
	if n != b.head.number {
		b.seeSealed(l)
		return nil
	}
	b.read = b.begun
	b.contended = e.Rev != b.head.rev
	switch {
	case e.Rev == 0 && b.head.rev != 0:
		b.loaded = false // sealed by others and deleted since
	case l.value.Sealed:
		b.seal(l)
		b.head.stale = true
	default:
		l.doubt = b.head.doubt && e.Rev == b.head.rev
		b.setHead(l)
	}
	return nil
}

func (b *ChainCache) seeSealed(l *leaf) {
	if l.rev != 0 {
		l.index = indexOf(l.value)
		b.open[l.number] = l
		if o := b.old[l.number]; o != nil {
			o.rev = l.rev
		}
		return
	}
	delete(b.old, l.number)
	for h, n := range b.sealed {
		if n == l.number {
			delete(b.sealed, h)
		}
	}
}

// OnWritten reports that w took effect at revision rev.
func (b *ChainCache) OnWritten(w Write, rev bbstore.Revision) {
	l := &leaf{number: w.Number, rev: rev, value: w.leaf, fresh: true}
	switch {
	case w.Value == nil:
		l.rev = 0
		b.seeSealed(l)
	case w.Number != b.head.number:
		b.seeSealed(l)
	case w.leaf.Sealed:
		b.read = b.begun
		b.seal(l)
	default:
		b.read = b.begun
		b.setHead(l)
	}
}

// OnWriteFailed reports that w met a conflict (unsure false) or that its outcome is not
// known (unsure true): the leaf has to be read again.
func (b *ChainCache) OnWriteFailed(w Write, unsure bool) {
	if w.Number != b.head.number {
		delete(b.open, w.Number)
		return
	}
	b.head.stale = true
	b.head.doubt = b.head.doubt || unsure
}

// Expired returns the deletions of leaves that are past the retention, at most
// n.
func (b *ChainCache) Expired(now time.Time, n int) []Write {
	var out []Write
	limit := now.Add(-b.Retention - skew).UnixMilli()
	for number, l := range b.old {
		if l.at < limit {
			out = append(out, Write{Number: number, Key: b.Key(number), Prev: l.rev})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	if len(out) > n {
		out = out[:n]
	}
	return out
}
