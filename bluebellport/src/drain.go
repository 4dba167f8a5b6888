package bbport

import (
	"context"
	"time"

	"bluebellport.example/shared/bbclock"
)

// frontendDrainPollInterval is the time between two checks whether the open
// requests have ended.
const frontendDrainPollInterval = 20 * time.Millisecond

// drain stops accepting requests and waits until the open ones have ended. Since
// the load balancer learns with a delay that the instance leaves, new requests that
// can end in time are still accepted for the linger time; their callers are asked
// to open a new connection. After that all are refused. Requests that are open at
// the end of the stop are ended with an answer that says so.
func (f *Frontend) drain(ctx context.Context) {
	gate := &f.deps.Board.Stop
	gate.stop.Begin(f.opts.stopTimes(f.deps.Now()))
	times := gate.stop.Times()
	bbclock.Wait(ctx, times.AcceptUntil.Sub(f.deps.Now()))
	f.deps.Board.Draining.Store(true)
	noCallers := func() bool { return f.openRequests.Load() == 0 }
	if !f.waitUntil(ctx, times.End, noCallers) {
		f.deps.Log.WithField("event", "drain").WithField("open", f.openRequests.Load()).Error("drain limit reached with requests open")
	}
	// Also a run whose callers have left is ended, so that it is billed.
	if ended := gate.endAll(); ended > 0 {
		f.deps.Log.WithField("event", "drain").WithField("runs", ended).Warn("runs ended by the stop")
	}
	f.waitUntil(ctx, f.deps.Now().Add(endAnswerPeriod), func() bool { return noCallers() && gate.isEmpty() })
}

// waitUntil waits until a condition holds and reports whether it did before the
// end.
func (f *Frontend) waitUntil(ctx context.Context, end time.Time, done func() bool) bool {
	for !done() {
		if !f.deps.Now().Before(end) || !bbclock.Wait(ctx, frontendDrainPollInterval) {
			return false
		}
	}
	return true
}
