// Package bbclock has helpers for times: a wait that ends early, and comparisons.
package bbclock

import (
	"context"
	"time"
)

// Wait waits for d and returns true, or returns false as soon as ctx is done.
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

// Repeat calls work until ctx ends, after each call once the time has passed that suits
// what work reports: busy or idle.
func Repeat(ctx context.Context, busy, idle time.Duration, work func() (isBusy bool)) {
	for ctx.Err() == nil {
		interval := idle
		if work() {
			interval = busy
		}
		Wait(ctx, interval)
	}
}
