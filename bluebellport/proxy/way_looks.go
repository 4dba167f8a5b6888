package bbproxy

import (
	"context"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/reach"
	"bluebellport.example/shared/bbclock"
)

// run looks at the paths that may be lost, or may be back, until ctx ends.
func (w *targetWays) run(ctx context.Context) {
	w.pulse.Beat(w.now(), reachInterval)
	for bbclock.Wait(ctx, reachInterval) {
		w.pulse.Beat(w.now(), reachInterval)
		if w.isStrained() || w.board.Leaving.Load() {
			continue
		}
		for _, address := range w.tracker.Due(w.now()) {
			go w.look(address)
		}
	}
}

// look tries the own path to an address, and a peer's if it fails and was not known to.
// A connection is kept for the next request.
func (w *targetWays) look(address string) {
	w.looks.Inc(1)
	wasLost := w.usesPeer(address)
	d := w.dial(address)
	if d.err == nil {
		w.looked(address, true, false)
		if pool := w.board.poolOf(address); pool != nil {
			conn := pool.wrap(d.conn, false)
			conn.reusable = true
			conn.release()
			return
		}
		closeConn(d.conn)
		return
	}
	if wasLost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := w.tryPeers(ctx, address, connectTimeout)
	closeConn(conn)
	w.compared(address, d.err, err)
}

// looked records what a try to connect to an address has shown, and what follows for its
// target, or for all: connections over a lost path carry nothing, and what failed over it
// is not the target's failure.
func (w *targetWays) looked(address string, own, peer bool) {
	event := w.tracker.Looked(address, own, peer, w.now())
	if event == bbreach.EventNone {
		return
	}
	w.log.WithFields(logrus.Fields{"event": "path-" + event.String(), "address": address, "lost": w.tracker.Lost()}).Info("own path to targets changed")
	all := event == bbreach.EventCut || event == bbreach.EventCutEnded
	w.board.forEachTarget(func(target *Target) {
		if !all && target.Address != address {
			return
		}
		target.State.Circuit.RecordSuccess()
		if w.usesPeer(target.Address) {
			target.conns.closeIdle()
		}
	})
}

// compared records that the own path to an address failed, for a reason, and what came of
// asking peers. That nothing listens there was heard over the path.
func (w *targetWays) compared(address string, own, peer error) {
	if errors.Is(peer, errStrained) || w.isStrained() {
		return
	}
	if peer == nil || !errors.Is(own, syscall.ECONNREFUSED) {
		w.looked(address, false, peer == nil)
	}
}

// isStrained reports whether this instance's link or processor is used up.
func (w *targetWays) isStrained() bool {
	return w.board.LinkSaturated.Load() || w.pulse.IsLate(w.now())
}
