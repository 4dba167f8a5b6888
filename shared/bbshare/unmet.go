package bbshare

import (
	"sync"

	"bluebellport.example/shared/bbunit"
)

// unmetRequests are the requests that wait for tokens of one account, each counted
// once however often it is tried. The zero value has none.
type unmetRequests struct {
	mu      sync.Mutex
	waiting map[*int64]bool
	// loans are the parts of loans that could not be granted since the last clearLoans.
	loans []int64
}

// add records a request of n tokens until the returned function is called.
func (u *unmetRequests) add(n int64) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting == nil {
		u.waiting = map[*int64]bool{}
	}
	u.waiting[&n] = true
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.waiting, &n)
	}
}

// addLoan records that n tokens of a loan could not be granted.
func (u *unmetRequests) addLoan(n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans = append(u.loans, n)
}

// clearLoans forgets the loans: who still needs one asks again.
func (u *unmetRequests) clearLoans() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans = u.loans[:0]
}

// unmetSizes are the sizes of unmet requests, in tokens.
type unmetSizes struct {
	// sum is that of all that are not larger than a limit, largest the largest of
	// these.
	sum, largest int64
	// smallest is the smallest of all, whatever the limit, 0 if there are none.
	smallest int64
}

// sizes returns the sizes of the unmet requests. One that is larger than the limit
// can't be met.
func (u *unmetRequests) sizes(limit int64) unmetSizes {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out unmetSizes
	for n := range u.waiting {
		out.add(*n, limit)
	}
	for _, n := range u.loans {
		out.add(n, limit)
	}
	return out
}

func (s *unmetSizes) add(n, limit int64) {
	if s.smallest == 0 || n < s.smallest {
		s.smallest = n
	}
	if n <= limit {
		s.sum += n
		s.largest = max(s.largest, n)
	}
}

// AwaitRow makes the next write learn the present state of the row for a loan of n.
func (s *AccountShare) AwaitRow(n bbunit.Tokens) {
	s.refresh = true
	s.Balance.unmet.addLoan(int64(n))
}
