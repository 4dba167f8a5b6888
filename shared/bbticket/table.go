package bbticket

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// bucketCount is how many parts a Table has. A change copies one of them.
const bucketCount = 1024

// Table is an immutable map from ids to numbered objects. Set returns a changed
// copy that shares all but one bucket, so that one object among 100,000 is
// changed without copying the others. The zero value is empty.
type Table[K ~string, T any] struct {
	buckets *[bucketCount]map[K]Numbered[T]
	size    int
}

func bucketOf[K ~string](id K) uint64 { return xxhash.Sum64String(string(id)) % bucketCount }

// Len returns how many objects the table has.
func (t Table[K, T]) Len() int { return t.size }

// Get returns the object, with number 0 when there is none.
func (t Table[K, T]) Get(id K) Numbered[T] {
	if t.buckets == nil {
		return Numbered[T]{}
	}
	return t.buckets[bucketOf(id)][id]
}

// Set returns the table with the object written.
func (t Table[K, T]) Set(id K, o Numbered[T]) Table[K, T] {
	next := t.cloneBuckets()
	next.put(id, o, map[uint64]bool{})
	return next
}

// All returns the objects in no order.
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

// Sorted returns all ids in order.
func (t Table[K, T]) Sorted() []K {
	out := make([]K, 0, t.size)
	for id := range t.All() {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// cloneBuckets returns a copy whose list of buckets may be changed.
func (t Table[K, T]) cloneBuckets() Table[K, T] {
	next := Table[K, T]{buckets: new([bucketCount]map[K]Numbered[T]), size: t.size}
	if t.buckets != nil {
		*next.buckets = *t.buckets
	}
	return next
}

// put writes into a table made by writer; copied names the buckets that are its
// own already.
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

// merge writes the objects that are newer than what the table has.
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

// MarshalJSON writes the table as an object.
func (t Table[K, T]) MarshalJSON() ([]byte, error) {
	return json.Marshal(maps.Collect(t.All()))
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (t *Table[K, T]) UnmarshalJSON(b []byte) error {
	var m map[K]Numbered[T]
	if err := json.Unmarshal(b, &m); err != nil {
		return errors.Trace(err)
	}
	*t = Table[K, T]{}.merge(maps.All(m))
	return nil
}
