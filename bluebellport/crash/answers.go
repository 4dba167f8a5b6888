package bbcrash

import (
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbhash"
)

// answerSet remembers when requests were last answered, in a bounded table. A new
// fingerprint replaces the one that hashes to the same entry. Access takes no
// lock. The zero value is empty.
type answerSet struct {
	entries [answersSize]atomic.Pointer[answer]
}

type answer struct {
	fingerprint uint64
	at          time.Time
	// duration is the longest of the answers with the fingerprint, where that is
	// kept.
	duration time.Duration
}

// add notes that a request with the fingerprint was answered.
func (s *answerSet) add(fingerprint uint64, now time.Time) {
	s.entries[bbhash.Mix(fingerprint)%answersSize].Store(&answer{fingerprint: fingerprint, at: now})
}

// last returns the last answer with the fingerprint, zero if none is known.
func (s *answerSet) last(fingerprint uint64) answer {
	if a := s.entries[bbhash.Mix(fingerprint)%answersSize].Load(); a != nil && a.fingerprint == fingerprint {
		return *a
	}
	return answer{}
}

// lastAt returns when a request with the fingerprint was last answered, zero if
// that is not known.
func (s *answerSet) lastAt(fingerprint uint64) time.Time { return s.last(fingerprint).at }
