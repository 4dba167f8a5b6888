// Package bbclock waits.
package bbclock

import (
	"context"
	"time"
)

// Wait waits for d, or until ctx ends; then it returns false.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
