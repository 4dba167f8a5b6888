package bbport

import (
	"context"
	"time"

	"bluebellport.example/shared/bbclock"
)

// frontendDrainPollInterval is the time between two checks whether the open
// requests have ended.
const frontendDrainPollInterval = 20 * time.Millisecond

// drain stops accepting requests and waits until the open ones have ended or
// ctx ends. Since the load balancer learns with a delay that the instance
// leaves, new requests are still accepted for the linger time; their callers
// are asked to open a new connection. After that they are refused.
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
