package bblimit

import "time"

// Statement is what a target says of its limit in an answer. The times are on
// the clock of the instance that holds it. The zero value says nothing.
type Statement struct {
	// Limit is in requests a second. If it is Ended, the target names none.
	Limit float64
	Ended bool
	// Even means that the requests have to come evenly spread: the target can't let
	// several wait that come at once.
	Even bool
	// SentAt is when the request was sent, HeardAt when the head of the answer
	// came. The target said so at some time in between.
	SentAt, HeardAt time.Time
}

// named reports whether the target has a limit.
func (s *Statement) named() bool { return !s.HeardAt.IsZero() && !s.Ended }

// stricterThan reports whether s allows less than o.
func (s *Statement) stricterThan(o *Statement) bool {
	if s.Ended || o.Ended {
		return !s.Ended && o.Ended
	}
	return s.Limit < o.Limit
}

// replacedBy reports whether o is to be believed instead of s. Answers may
// overtake each other: of two that may have been given in either order, the
// stricter one counts.
func (s *Statement) replacedBy(o *Statement) bool {
	switch {
	case o.HeardAt.IsZero():
		return false
	case s.HeardAt.IsZero() || o.SentAt.After(s.HeardAt.Add(clockTolerance)):
		return true
	case s.SentAt.After(o.HeardAt.Add(clockTolerance)):
		return false
	case o.stricterThan(s):
		return true
	}
	return !s.stricterThan(o) && o.HeardAt.After(s.HeardAt)
}

// isNewsAfter reports whether the whole fleet has to know of s if it was last
// told of o.
func (s *Statement) isNewsAfter(o *Statement) bool {
	if s.named() != o.named() {
		return true
	}
	return s.named() && s.Limit < fallenFactor*o.Limit
}
