package bbspread

import (
	"encoding/binary"
	"slices"
	"time"

	"bluebellport.example/shared/bbstore"
)

// item is a packed form of a version.
type item struct {
	rev     bbstore.Revision
	base    Digest // of the text from which it differs, zero for the whole
	digest  Digest // of the text
	packed  []byte
	id      Digest // of all of the above
	askedAt time.Time
}

func newItem(rev bbstore.Revision, base, digest Digest, packed []byte, now time.Time) *item {
	it := &item{rev: rev, base: base, digest: digest, packed: packed, askedAt: now}
	it.id = it.identity()
	return it
}

// identity returns the digest of a packed form and of what it is, so that neither can
// be taken for that of another version.
func (it *item) identity() Digest {
	b := make([]byte, 0, len(it.packed)+2*len(it.base)+8)
	b = binary.BigEndian.AppendUint64(b, uint64(it.rev))
	b = append(append(b, it.base[:]...), it.digest[:]...)
	return digestOf(append(b, it.packed...))
}

// shelf holds the packed forms that peers can get: differences between versions,
// and whole versions. The zero value is empty.
type shelf struct {
	steps  []*item // oldest first
	wholes []*item // oldest first
}

// put adds a packed form, unless it has one for the same purpose.
func (s *shelf) put(it *item, now time.Time) {
	if it.base == (Digest{}) {
		s.putWhole(it, now)
		return
	}
	same := func(other *item) bool { return other.base == it.base && other.digest == it.digest }
	if !slices.ContainsFunc(s.steps, same) {
		s.steps = append(s.steps, it)
	}
	for len(s.steps) > maxSteps || s.stepBytes() > maxStepBytes && len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
}

// putWhole adds a whole version. Older ones go that are not being fetched.
func (s *shelf) putWhole(it *item, now time.Time) {
	if !slices.ContainsFunc(s.wholes, func(other *item) bool { return other.digest == it.digest }) {
		s.wholes = append(s.wholes, it)
	}
	newest := s.wholes[len(s.wholes)-1]
	s.wholes = slices.DeleteFunc(s.wholes, func(other *item) bool {
		return other != newest && now.Sub(other.askedAt) > keptPeriod
	})
	s.wholes = s.wholes[max(len(s.wholes)-maxWholes, 0):]
}

func (s *shelf) stepBytes() int {
	n := 0
	for _, it := range s.steps {
		n += len(it.packed)
	}
	return n
}

// byID returns the packed form with a digest, nil if there is none.
func (s *shelf) byID(id Digest) *item {
	for _, it := range slices.Concat(s.steps, s.wholes) {
		if it.id == id {
			return it
		}
	}
	return nil
}

// best returns the packed form by which a peer that has a text gets to the newest
// revision above one: a difference from that text, or a whole version. It returns
// nil if there is none.
func (s *shelf) best(have Digest, above bbstore.Revision) *item {
	for _, it := range slices.Backward(s.steps) {
		if it.base == have && it.rev > above {
			return it
		}
	}
	for _, it := range slices.Backward(s.wholes) {
		if it.rev > above {
			return it
		}
	}
	return nil
}

// has reports whether it has a version as a whole, or as the difference from a base.
func (s *shelf) has(digest, base Digest) bool {
	is := func(it *item) bool { return it.digest == digest && (it.base == base || it.base == Digest{}) }
	return slices.ContainsFunc(s.steps, is) || slices.ContainsFunc(s.wholes, is)
}
