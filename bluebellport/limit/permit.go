package bblimit

import (
	"time"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
)

// Asker is for whom permits are asked: requests that do not wait for one, or the
// requests of one account that do. The zero value does not wait.
type Asker struct {
	// Patience is how long the permit may be delayed.
	Patience time.Duration
	// Account is a hash of the client account.
	Account uint64
}

// key returns for whom a pause holds.
func (a Asker) key() uint64 {
	if a.Patience <= 0 {
		return 0
	}
	return a.Account
}

// Access returns how a request may be sent to a target now.
func (k *Keeper) Access(run bbplan.TargetRun, asker Asker) bbplace.Access {
	if !k.IsLimited(run) {
		return bbplace.AccessOpen
	}
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[run]
	switch {
	case e == nil || !e.statement.named():
		return bbplace.AccessOpen
	case e.stocked(now):
		return bbplace.AccessPermit
	case now.Before(e.pauses[asker.key()].until):
		return bbplace.AccessClosed
	}
	return bbplace.AccessPermit
}

// WaitFor returns the time until a caller should come back whose request a
// target with a limit can't take now, 0 if that is not known.
func (k *Keeper) WaitFor(run bbplan.TargetRun, asker Asker) time.Duration {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[run]
	if e == nil || !e.statement.named() {
		return 0
	}
	p := e.pauses[asker.key()]
	return max(later(p.callerUntil, p.until).Sub(now), 0)
}

// Take takes a permit at hand. It reports whether there was one, or the target
// has no limit any more.
func (k *Keeper) Take(run bbplan.TargetRun) bool {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[run]
	return e == nil || !e.statement.named() || e.take(now, 0)
}

// Return puts back a permit that was taken and not used.
func (k *Keeper) Return(run bbplan.TargetRun) {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.entries[run]; e != nil && !isDerived(run) { // those are too old by now
		e.put(Permit{Count: 1, ExpiresAt: now.Add(permitTTL / 2), limit: e.statement.Limit})
	}
}

// Acquire gets a permit for a request and reports whether it did, or the target
// has no limit any more. It blocks for up to quickTimeout if the asker does not
// wait, else for up to askTimeout and its patience. It returns when gone is
// closed.
func (k *Keeper) Acquire(run bbplan.TargetRun, asker Asker, gone <-chan struct{}) bool {
	r := k.begin(run, asker)
	if r == nil {
		return false
	}
	defer k.abandon(run, r)
	timeout := quickTimeout
	if asker.Patience > 0 {
		timeout = askTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case o := <-r.done:
		if o.Ended || o.Permit.Count == 0 {
			return o.Ended
		}
		timer.Reset(max(o.Permit.UsableAt.Sub(k.cfg.Now()), 0))
	case <-timer.C:
		k.pauseUnanswered(run, asker)
		return false
	case <-gone:
		return false
	}
	select {
	case <-timer.C:
	case <-gone:
		return false
	}
	return k.claim(run, r)
}

// begin starts to ask for a permit. Of askers that do not wait one question is
// under way at a time; begin returns nil if there is one.
func (k *Keeper) begin(run bbplan.TargetRun, asker Asker) *round {
	now := k.cfg.Now()
	k.mu.Lock()
	r, out := k.beginRound(run, asker, now)
	k.mu.Unlock()
	k.sender.Send(out)
	return r
}

// claim takes the permit that a round got for its request.
func (k *Keeper) claim(run bbplan.TargetRun, r *round) bool {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[run]
	return e == nil || !e.statement.named() || e.take(now, r.id)
}

// abandon leaves what a round gets or got to other requests.
func (k *Keeper) abandon(run bbplan.TargetRun, r *round) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r.abandoned = true
	if e := k.entries[run]; e != nil {
		e.disown(r.id)
	}
}

// pauseUnanswered keeps requests for a while from waiting for homes that do not
// answer at once.
func (k *Keeper) pauseUnanswered(run bbplan.TargetRun, asker Asker) {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.entries[run]; e != nil {
		e.pause(asker, unansweredPause, unansweredPause, now)
	}
}
