package bbproxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbroute"
)

// crashWatch finds out which targets crashed, and so which attempts without a
// response were in flight at a crash. That an attempt ends without a response is
// not enough: targets also close connections, and callers leave.
type crashWatch struct {
	board  *Board
	now    func() time.Time
	log    logrus.FieldLogger
	record func(bbcrash.Observation)
	// answered is called for a successful answer that ended with its connection and
	// is known to be whole.
	answered func(bbcrash.Observation)
	// look looks whether a target still listens. It may open a connection for that
	// if mayDial says so.
	look       func(target *Target, mayDial func() bool) lookResult
	lookBudget bbroute.RetryBudget

	mu      sync.Mutex // guards the fields below
	targets map[bbcrash.TargetRun]*watchedTarget
	pruned  time.Time
	// alertUntil is until when all answers are looked at that ended with their
	// connection.
	alertUntil time.Time
}

// watchedTarget is what is known of a target at which attempts ended without a
// response, or with an answer that ended with its connection.
type watchedTarget struct {
	target  *Target // set if an answer ended with its connection
	ended   []endedAttempt
	downAt  time.Time // when it last accepted no connection
	goneAt  time.Time // when the list showed that its run had ended
	probing bool
	looking bool // at the target after answers that ended with their connection
}

// endedAttempt is an attempt without a response, or with an answer that ended with
// its connection.
type endedAttempt struct {
	bbcrash.Observation // BrokenAt is the end of the attempt
	// brokeOff means that the target broke off or was silent. Otherwise the
	// instance gave up.
	brokeOff bool
	// callerLeft means that the instance gave up as nobody waited any more.
	callerLeft bool
	// answered means that an answer came and ended with its connection, succeeded
	// that it was a success.
	answered, succeeded bool
}

// add adds an attempt. Above maxEndedAttempts the oldest is forgotten.
func (t *watchedTarget) add(attempt endedAttempt) {
	if len(t.ended) >= maxEndedAttempts {
		t.ended = append(t.ended[:0], t.ended[1:]...)
	}
	t.ended = append(t.ended, attempt)
}

func newCrashWatch(board *Board, now func() time.Time, log logrus.FieldLogger, record func(bbcrash.Observation)) *crashWatch {
	return &crashWatch{board: board, now: now, log: log, record: record, targets: map[bbcrash.TargetRun]*watchedTarget{}}
}

// attemptEnded is called after an attempt without a response. If the connection
// broke, it looks whether the target has crashed, without waiting for that.
func (w *crashWatch) attemptEnded(target *Target, attempt endedAttempt, connBroken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prune()
	watched := w.watch(attempt.Run)
	if crashedAt, ok := watched.crashDuring(&attempt); ok {
		attempt.BrokenAt = bbclock.Earlier(attempt.BrokenAt, crashedAt)
		w.raiseAlert()
		w.record(attempt.Observation)
		return
	}
	watched.add(attempt)
	if connBroken && !watched.probing {
		watched.probing = true
		go w.probe(target, attempt.Run)
	}
}

// probe looks whether a target still accepts connections. It blocks for up to
// dialTimeout.
func (w *crashWatch) probe(target *Target, run bbcrash.TargetRun) {
	conn, err := net.DialTimeout("tcp4", target.Address, dialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	w.mu.Lock()
	if watched := w.targets[run]; watched != nil {
		watched.probing = false
	}
	w.mu.Unlock()
	if err == nil || w.board.LinkSaturated.Load() {
		w.log.WithField("target", target.ID).Info("no crash recorded yet: the target accepts connections or this instance's link is saturated")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down(w.watch(run), errors.Is(err, syscall.ECONNREFUSED))
}

// targetDown is called when a target accepts no connection: the attempts that
// have just ended or are still to end without a response were in flight at its
// crash.
func (w *crashWatch) targetDown(run bbcrash.TargetRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down(w.watch(run), true)
}

// down is targetDown. Where the target has not refused a connection but could not be
// reached, no answer is taken for one that a crash has ended. The caller holds the
// lock.
func (w *crashWatch) down(watched *watchedTarget, refused bool) {
	now := w.now()
	watched.downAt = now
	w.recordEnded(watched, func(a *endedAttempt) bool { return now.Sub(a.BrokenAt) < downPeriod && (refused || !a.answered) })
}

// watch returns what is known of a target. The caller holds the lock, as for all
// methods below.
func (w *crashWatch) watch(run bbcrash.TargetRun) *watchedTarget {
	watched := w.targets[run]
	if watched == nil {
		watched = &watchedTarget{}
		w.targets[run] = watched
	}
	return watched
}

// crashDuring returns when the target was found to have crashed since the
// attempt was sent. A target that is gone from the list may still serve, so a
// caller that leaves it proves nothing.
func (t *watchedTarget) crashDuring(attempt *endedAttempt) (time.Time, bool) {
	if !t.downAt.Before(attempt.SentAt) {
		return t.downAt, true
	}
	return t.goneAt, !attempt.callerLeft && !t.goneAt.Before(attempt.SentAt)
}

// targetEnded is called when the list shows that a run of a target has ended
// though it was not leaving. The target may have been back before it was
// probed.
func (w *crashWatch) targetEnded(run bbcrash.TargetRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	watched := w.watch(run)
	watched.goneAt = now
	w.recordEnded(watched, func(a *endedAttempt) bool {
		period := abandonedPeriod
		if a.brokeOff {
			period = brokeOffPeriod
		}
		return now.Sub(a.BrokenAt) < period && !a.answered
	})
}

// recordEnded records the attempts that match as in flight at a crash, and
// forgets all.
func (w *crashWatch) recordEnded(watched *watchedTarget, matches func(a *endedAttempt) bool) {
	w.raiseAlert()
	for i := range watched.ended {
		if matches(&watched.ended[i]) {
			w.record(watched.ended[i].Observation)
		}
	}
	watched.ended = nil
}

// prune forgets attempts and targets that no longer matter, once a second.
func (w *crashWatch) prune() {
	now := w.now()
	if now.Sub(w.pruned) < time.Second {
		return
	}
	w.pruned = now
	for run, watched := range w.targets {
		kept := watched.ended[:0]
		for _, a := range watched.ended {
			if now.Sub(a.BrokenAt) < brokeOffPeriod {
				kept = append(kept, a)
			}
		}
		watched.ended = kept
		if len(kept) == 0 && !watched.probing && !watched.looking && now.Sub(watched.downAt) > downRetention && now.Sub(watched.goneAt) > downRetention {
			delete(w.targets, run)
		}
	}
}
