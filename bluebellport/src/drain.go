package bbport

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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
	if f.waitForRequests(ctx, times.End) {
		return
	}
	ended := gate.endAll()
	f.deps.Log.WithFields(logrus.Fields{"event": "drain", "open": f.openRequests.Load(), "ended": ended}).Error("drain limit reached with requests open")
	f.waitForRequests(ctx, f.deps.Now().Add(endAnswerPeriod))
}

// waitForRequests waits until no request is open and reports whether that was
// before the end.
func (f *Frontend) waitForRequests(ctx context.Context, end time.Time) bool {
	for f.openRequests.Load() > 0 {
		if !f.deps.Now().Before(end) || !bbclock.Wait(ctx, frontendDrainPollInterval) {
			return false
		}
	}
	return true
}
