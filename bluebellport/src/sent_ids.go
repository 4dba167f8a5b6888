package bbport

import "sync"

// sentIDs remembers the ids of the requests that were sent last over pooled
// connections. The zero value remembers none.
type sentIDs struct {
	mu    sync.Mutex
	known map[string]bool
	order []string // the ids in known, a ring
	next  int
}

// add remembers an id in place of the oldest, if there are maxSentIDs.
func (s *sentIDs) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[id] {
		return
	}
	s.known[id] = true
	if len(s.order) < maxSentIDs {
		s.order = append(s.order, id)
		return
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % maxSentIDs
}

// has reports whether an id is remembered.
func (s *sentIDs) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}
