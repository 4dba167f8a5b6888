package bbticket

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// bucketCount is the number of buckets of a Table. A change copies one of them.
const bucketCount = 1024

// Table is an immutable map from ids to numbered objects. Set returns a copy
// that shares all buckets but the changed one, so that one of 100,000 objects
// can be changed without copying all the others. The zero value is empty.
type Table[K ~string, T any] struct {
	buckets *[bucketCount]map[K]Numbered[T]
	size    int
}

func bucketOf[K ~string](id K) uint64 { return xxhash.Sum64String(string(id)) % bucketCount }

// Len returns the number of objects.
func (t Table[K, T]) Len() int { return t.size }

// Get returns the object with the given id. Its Number is 0 if there is none.
func (t Table[K, T]) Get(id K) Numbered[T] {
	if t.buckets == nil {
		return Numbered[T]{}
	}
	return t.buckets[bucketOf(id)][id]
}

// Set returns a copy of the table in which id has object o.
func (t Table[K, T]) Set(id K, o Numbered[T]) Table[K, T] {
	next := t.cloneBuckets()
	next.put(id, o, map[uint64]bool{})
	return next
}

// All iterates over the objects in no particular order.
func (t Table[K, T]) All() iter.Seq2[K, Numbered[T]] {
	return func(yield func(K, Numbered[T]) bool) {
		if t.buckets == nil {
			return
		}
		for _, m := range t.buckets {
			for id, o := range m {
				if !yield(id, o) {
					return
				}
			}
		}
	}
}

// SortedIDs returns all ids, sorted.
func (t Table[K, T]) SortedIDs() []K {
	out := make([]K, 0, t.size)
	for id := range t.All() {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// cloneBuckets returns a copy with a bucket array of its own. The buckets
// themselves are shared; put copies them before it writes.
func (t Table[K, T]) cloneBuckets() Table[K, T] {
	next := Table[K, T]{buckets: new([bucketCount]map[K]Numbered[T]), size: t.size}
	if t.buckets != nil {
		*next.buckets = *t.buckets
	}
	return next
}

// put stores an object in a table made by cloneBuckets. copied is the set of
// buckets that are no longer shared with the original.
func (t *Table[K, T]) put(id K, o Numbered[T], copied map[uint64]bool) {
	b := bucketOf(id)
	if !copied[b] {
		m := make(map[K]Numbered[T], len(t.buckets[b])+1)
		maps.Copy(m, t.buckets[b])
		t.buckets[b], copied[b] = m, true
	}
	if _, ok := t.buckets[b][id]; !ok {
		t.size++
	}
	t.buckets[b][id] = o
}

// merge returns a copy of the table with those objects that have a higher
// number than the table's own. It returns t itself if there are none.
func (t Table[K, T]) merge(objects iter.Seq2[K, Numbered[T]]) Table[K, T] {
	next, copied, changed := t, map[uint64]bool{}, false
	for id, o := range objects {
		if next.Get(id).Number >= o.Number {
			continue
		}
		if !changed {
			next, changed = t.cloneBuckets(), true
		}
		next.put(id, o, copied)
	}
	return next
}

// MarshalJSON encodes the table as a JSON object keyed by id.
func (t Table[K, T]) MarshalJSON() ([]byte, error) {
	return json.Marshal(maps.Collect(t.All()))
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (t *Table[K, T]) UnmarshalJSON(b []byte) error {
	var m map[K]Numbered[T]
	if err := json.Unmarshal(b, &m); err != nil {
		return errors.Trace(err)
	}
	*t = Table[K, T]{}.merge(maps.All(m))
	return nil
}
