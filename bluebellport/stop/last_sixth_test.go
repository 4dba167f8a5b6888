package bbstop

import (
	"testing"
	"time"
)

// TestStopCutsBeforeTheLastSixth guards against a stop that ends answers in
// progress before the last sixth of the grace period, which nothing excuses.
func TestStopCutsBeforeTheLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 2900 * time.Millisecond, 3 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		if end, earliest := NewTimes(begin, grace).End.Sub(begin), grace-grace/6; end < earliest {
			t.Errorf("grace period %s: ends after %s, must not before %s", grace, end, earliest)
		}
	}
}
