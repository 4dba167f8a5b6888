package bbport

import (
	"context"
	"time"

	"bluebellport.example/shared/bbclock"
)

// frontendDrainPollInterval is how often a stopping instance looks whether its requests ended.
const frontendDrainPollInterval = 20 * time.Millisecond

// drain ends the callers' side: for the linger time it still takes requests,
// since the balancer learns late that the instance leaves, and asks each caller
// to open a new connection; then it refuses new ones and waits for the open
// ones until ctx ends.
func (f *Frontend) drain(ctx context.Context) {
	bbclock.Wait(ctx, f.opts.LingerTime)
	f.deps.Board.Draining.Store(true)
	for f.openRequests.Load() > 0 {
		if !bbclock.Wait(ctx, frontendDrainPollInterval) {
			f.deps.Log.WithField("event", "drain").WithField("open", f.openRequests.Load()).Error("drain limit reached with requests open")
			return
		}
	}
}
