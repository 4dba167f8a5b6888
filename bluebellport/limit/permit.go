package bblimit

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
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
	if e := k.entries[run]; e != nil {
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
	k.send(out)
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

func (k *Keeper) beginRound(run bbplan.TargetRun, asker Asker, now time.Time) (*round, []outgoing) {
	e := k.entries[run]
	if e == nil || !e.statement.named() {
		return nil, nil
	}
	quick := asker.Patience <= 0
	if quick && e.open > 0 || e.open >= maxRounds {
		e.missed++
		return nil, nil
	}
	k.updateView(now)
	r := &round{id: k.newID(), entry: e, count: 1, asker: asker, startAt: now, done: make(chan Outcome, 1)}
	if quick {
		r.count, e.missed = min(1+e.missed, maxCount), 0
	}
	for _, id := range k.homesOf(e, now) {
		r.homes = append(r.homes, &homeState{id: id})
	}
	k.rounds[r.id] = r
	e.open++
	k.asked.Inc(1)
	return r, k.advance(r, now)
}

// advance sends the questions of a round that are due and ends it if it is over.
// Questions to this instance itself are answered at once.
func (k *Keeper) advance(r *round, now time.Time) []outgoing {
	e := r.entry
	var out []outgoing
	for again := true; again; {
		again = false
		if o, over := r.result(e.statement.Limit, now); over {
			k.finish(r, o, now)
			return out
		}
		for _, h := range r.due(now) {
			h.sentAt = now
			h.tries++
			if h.id == k.view.Self.ID {
				t := k.answerAsk(e, &ask{from: h.id, id: r.id, count: r.count, patience: r.asker.Patience, account: r.asker.Account, confirm: h.confirm}, now)
				r.hear(h.id, t, now)
				again = true
				continue
			}
			k.countTry(h.id, now)
			out = append(out, outgoing{h.id, questionOf(e, r, h, now)})
		}
	}
	return out
}

// finish ends a round. What nobody waits for goes to the stock.
func (k *Keeper) finish(r *round, o Outcome, now time.Time) {
	e := r.entry
	delete(k.rounds, r.id)
	e.open--
	if o.Permit.Count > 0 {
		k.granted.Inc(int64(o.Permit.Count))
		e.stockOutcome(r, o.Permit)
	} else {
		k.denied.Inc(1)
		if o.unanswered {
			k.unanswered.Inc(1)
			k.cfg.Log.WithFields(logrus.Fields{"event": "limit", "target": e.run.ID, "ms": now.Sub(r.startAt).Milliseconds()}).Info("no home of the target's limit answered")
		}
		e.pause(r.asker, o.Pause, o.Wait, now)
	}
	r.done <- o
}

// endRounds ends the rounds of a target that has no limit any more.
func (k *Keeper) endRounds(e *entry) {
	for id, r := range k.rounds {
		if r.entry == e {
			delete(k.rounds, id)
			r.done <- Outcome{Ended: true}
		}
	}
	e.open = 0
}

// answerAsk answers a question as a home of the target. An instance that is not
// one of the first in rank, or that has just started, declines: its list or that
// of the other lags.
func (k *Keeper) answerAsk(e *entry, a *ask, now time.Time) tell {
	if now.Sub(k.startedAt) < homeWarmup || !slices.Contains(k.rankOf(e), k.view.Self.ID) {
		return tell{id: a.id, declined: true}
	}
	if e.home == nil {
		e.home = newHome(e.statement.Limit, now)
	}
	return e.home.answer(a, e.statement.Limit, now, k.cfg.Rand)
}

// hearTell takes a home's reply.
func (k *Keeper) hearTell(from bbunit.InstanceID, t tell, now time.Time) []outgoing {
	if t.declined {
		k.peers[from] = &peerState{passedUntil: now.Add(declinedPause), declined: true}
	}
	r := k.rounds[t.id]
	if r == nil || !r.hear(from, t, now) {
		if t.count > 0 {
			k.lost.Inc(int64(t.count))
		}
		return nil
	}
	return k.advance(r, now)
}

// newID returns an id that no other question of this run has.
func (k *Keeper) newID() uint64 {
	k.nextID++
	return k.nextID
}

// rankOf returns the first instances in rank for a target, this one if none is
// known.
func (k *Keeper) rankOf(e *entry) []bbunit.InstanceID {
	if e.rankView == k.view {
		return e.rank
	}
	e.rankView, e.rank = k.view, nil
	for _, m := range k.view.Rank(rankKey(e.run), "", homeCandidates) {
		e.rank = append(e.rank, m.ID)
	}
	if len(e.rank) == 0 {
		e.rank = []bbunit.InstanceID{k.view.Self.ID}
	}
	return e.rank
}

// homesOf returns the homes of a target: the first in rank, without those that
// have been silent or have declined.
func (k *Keeper) homesOf(e *entry, now time.Time) []bbunit.InstanceID {
	homes := make([]bbunit.InstanceID, 0, homeCount)
	for _, id := range k.rankOf(e) {
		if p := k.peers[id]; p != nil && now.Before(p.passedUntil) {
			continue
		}
		if homes = append(homes, id); len(homes) == homeCount {
			break
		}
	}
	return homes
}

// countTry counts a question to an instance, which is passed over for a time if
// it has answered none for long.
func (k *Keeper) countTry(id bbunit.InstanceID, now time.Time) {
	p := k.peers[id]
	if p == nil {
		p = &peerState{}
		k.peers[id] = p
	}
	if p.tries++; p.tries == 1 {
		p.firstAt = now
	}
	if p.tries >= silentTries && now.Sub(p.firstAt) >= silentPeriod {
		*p = peerState{passedUntil: now.Add(silentTTL)}
		k.silent.Inc(1)
		k.cfg.Log.WithFields(logrus.Fields{"event": "limit", "peer": id}).Info("home of limits is silent; the next in rank is asked")
	}
}

// pause keeps an asker from asking again for a while, and its callers for another.
func (e *entry) pause(asker Asker, d, callers time.Duration, now time.Time) {
	key := asker.key()
	p, known := e.pauses[key]
	if known || len(e.pauses) < maxAccounts {
		e.pauses[key] = pause{later(p.until, now.Add(d)), now.Add(callers)}
	}
}

// stocked reports whether a permit is at hand.
func (e *entry) stocked(now time.Time) bool {
	e.dropStale(now)
	return slices.ContainsFunc(e.stock, func(p Permit) bool { return p.owner == 0 && !now.Before(p.UsableAt) })
}

// stockOutcome puts what a round got in the stock, one permit of it for the
// request that waits.
func (e *entry) stockOutcome(r *round, p Permit) {
	if r.abandoned {
		e.put(p)
		return
	}
	own := p
	own.Count, own.owner = 1, r.id
	e.put(own)
	if p.Count--; p.Count > 0 {
		e.put(p)
	}
}

// disown lets any request take what is kept for the request of a round.
func (e *entry) disown(owner uint64) {
	for i := range e.stock {
		if e.stock[i].owner == owner {
			e.stock[i].owner = 0
		}
	}
}

// take takes a permit of an owner from the stock.
func (e *entry) take(now time.Time, owner uint64) bool {
	e.dropStale(now)
	i := slices.IndexFunc(e.stock, func(p Permit) bool { return p.owner == owner && !now.Before(p.UsableAt) })
	if i < 0 {
		return false
	}
	if e.stock[i].Count--; e.stock[i].Count == 0 {
		e.stock = slices.Delete(e.stock, i, i+1)
	}
	return true
}

// put adds a permit to the stock.
func (e *entry) put(p Permit) {
	if len(e.stock) < maxStock {
		e.stock = append(e.stock, p)
	}
}

// dropStale drops permits that have expired, or that were granted before the
// limit fell.
func (e *entry) dropStale(now time.Time) {
	e.stock = slices.DeleteFunc(e.stock, func(p Permit) bool {
		return now.After(p.ExpiresAt) || e.statement.Limit < fallenFactor*p.limit
	})
}
