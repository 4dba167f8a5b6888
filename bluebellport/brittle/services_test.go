package bbbrittle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTargetThatStartsIsLimitedLikeTheOthers guards against a target that is back after a
// fall and gets everything at once.
func TestTargetThatStartsIsLimitedLikeTheOthers(t *testing.T) {
	is := is.New(t)
	s, now := &Services{}, time.Unix(1e9, 0)
	limited := func(at time.Time) bool {
		_, ok := s.Limit("desk", 6, at)
		return ok
	}
	is.True(!limited(now))
	s.RecordTime("desk", 20*time.Millisecond)
	is.True(!limited(now))
	is.True(s.Said("desk", 10, now))
	is.True(!s.Said("desk", 10, now))
	is.True(limited(now) && limited(now.Add(memory)))
	_, ok := s.Limit("llm", 6, now)
	is.True(!ok)
	is.True(!limited(now.Add(memory + 1)))
}

// TestMeanFollowsTheTimes guards against a limit that stays what it was as targets slow down.
func TestMeanFollowsTheTimes(t *testing.T) {
	is := is.New(t)
	s, now := &Services{}, time.Unix(1e9, 0)
	s.Said("desk", 0, now)
	s.RecordTime("desk", 10*time.Millisecond)
	fast, _ := s.Limit("desk", 6, now)
	for range 100 {
		s.RecordTime("desk", 100*time.Millisecond)
	}
	slow, _ := s.Limit("desk", 6, now)
	is.True(slow < fast/8)
}
