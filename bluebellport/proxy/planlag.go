package bbproxy

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbstore"
)

// planLag knows which revision of the plan is in force here and the newest one of which
// this instance has heard. The zero value knows of none.
type planLag struct {
	mu             sync.Mutex
	inForce, heard bbstore.Revision
	heardAt        time.Time // when heard was first heard of
}

// hear notes that a revision exists, and reports whether none as new was heard of before.
func (l *planLag) hear(rev bbstore.Revision, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rev <= max(l.heard, l.inForce) {
		return false
	}
	l.heard, l.heardAt = rev, now
	return true
}

// looked notes that a revision is in force, or was not accepted.
func (l *planLag) looked(rev bbstore.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = max(l.inForce, rev)
}

// behind returns the newest revision heard of and for how long it has been known, and
// whether it is newer than the one in force.
func (l *planLag) behind(now time.Time) (rev bbstore.Revision, known time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard <= l.inForce {
		return 0, 0, false
	}
	return l.heard, now.Sub(l.heardAt), true
}
