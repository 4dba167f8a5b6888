package bbproxy

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/crash"
)

// lookResult is what a look whether a target still listens has found.
type lookResult int

const (
	// lookUnclear means that the look was not allowed or showed nothing.
	lookUnclear lookResult = iota
	// lookOpen means that an idle connection to the target is still open.
	lookOpen
	// lookAccepted means that the target accepted a new connection.
	lookAccepted
	// lookRefused means that nothing listens at the target's address.
	lookRefused
)

// answerEnded is called after an answer that ended with its connection. A crash ends
// such an answer in the same way, so a little later it is looked whether the target
// still listens.
func (w *crashWatch) answerEnded(target *Target, attempt endedAttempt) {
	w.lookBudget.Earn(&answerLookPolicy)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prune()
	watched := w.watch(attempt.Run)
	watched.target, attempt.answered = target, true
	watched.add(attempt)
	w.startLook(watched, attempt.Run)
}

// startLook looks at a target unless a look there is under way. The caller holds the
// lock.
func (w *crashWatch) startLook(watched *watchedTarget, run bbcrash.TargetRun) {
	if watched.looking {
		return
	}
	watched.looking = true
	target := watched.target
	go func() {
		for more := true; more; {
			time.Sleep(answerLookDelay)
			startedAt := w.now()
			more = w.looked(run, startedAt, w.look(target, w.mayDial))
		}
	}()
}

// mayDial reports whether a connection may be opened only to look at a target. In
// the time after a crash each one may.
func (w *crashWatch) mayDial() bool {
	now := w.now()
	w.mu.Lock()
	alert := now.Before(w.alertUntil)
	w.mu.Unlock()
	return alert || w.lookBudget.Spend(now, &answerLookPolicy)
}

// looked applies the result of a look at a target. It reports whether another look
// is due, as further answers have ended.
func (w *crashWatch) looked(run bbcrash.TargetRun, startedAt time.Time, found lookResult) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := w.watch(run)
	watched.looking = false
	switch found {
	case lookRefused:
		w.down(watched, true)
	case lookOpen, lookAccepted:
		watched.looking = w.takeWhole(watched, startedAt.Add(-answerLookDelay), found == lookAccepted)
	}
	return watched.looking
}

// takeWhole forgets the answers that ended up to a time, as their target is still
// there. If that is certain, they clear their requests. It reports whether other
// answers are left.
func (w *crashWatch) takeWhole(watched *watchedTarget, upTo time.Time, certain bool) bool {
	kept, left := watched.ended[:0], false
	for i := range watched.ended {
		a := watched.ended[i]
		if !a.answered || a.BrokenAt.After(upTo) {
			kept, left = append(kept, a), left || a.answered
			continue
		}
		if certain && a.succeeded {
			w.answered(a.Observation)
		}
	}
	watched.ended = kept
	return left
}

// raiseAlert is called when a target has crashed: all answers that ended with their
// connection are looked at for a while, those that wait for it at once. The caller
// holds the lock.
func (w *crashWatch) raiseAlert() {
	now := w.now()
	calm := !now.Before(w.alertUntil)
	w.alertUntil = now.Add(alertPeriod)
	if !calm {
		return
	}
	for run, watched := range w.targets {
		for i := range watched.ended {
			if watched.ended[i].answered {
				w.startLook(watched, run)
				break
			}
		}
	}
}

// lookAt looks whether a target still listens. An idle connection that is open shows
// that; otherwise a connection is opened if mayDial allows it, and kept for the next
// request. It blocks for up to dialTimeout.
func (p *Proxy) lookAt(target *Target, mayDial func() bool) lookResult {
	if target.conns.hasOpenIdle() {
		return lookOpen
	}
	if !mayDial() {
		return lookUnclear
	}
	p.metrics.looks.Inc(1)
	conn, err := target.conns.dial(context.Background())
	switch {
	case err == nil:
		conn.reusable = true
		conn.release()
		return lookAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return lookRefused
	}
	return lookUnclear
}
