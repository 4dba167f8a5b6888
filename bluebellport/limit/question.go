package bblimit

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// beginRound starts a round of questions for a permit.
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
	r := &round{id: k.newID(), entry: e, count: 1, asker: asker, derived: isDerived(run), startAt: now, done: make(chan Outcome, 1)}
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
			if h.id == k.comparisons.View().Self.ID {
				t := k.answerAsk(e, &ask{from: h.id, id: r.id, count: r.count, patience: r.asker.Patience, account: r.asker.Account, confirm: h.confirm}, now)
				r.hear(h.id, t, now)
				again = true
				continue
			}
			k.countTry(h.id, now)
			out = append(out, outgoing{To: h.id, Msg: questionOf(e, r, h, now)})
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
	if now.Sub(k.startedAt) < homeWarmup || !slices.Contains(k.rankOf(e), k.comparisons.View().Self.ID) {
		return tell{id: a.id, declined: true}
	}
	if isDerived(e.run) && !k.grantsDerived(now) {
		return tell{id: a.id, declined: true}
	}
	if e.home == nil {
		e.home = newHome(e.statement.Limit, now)
		if isDerived(e.run) {
			e.home = newDerivedHome(e.statement.Limit, now)
		}
	}
	if isDerived(e.run) {
		a.patience = min(a.patience, derivedPatience)
	}
	e.home.line.even = e.statement.Even
	return e.home.answer(a, e.statement.Limit, now, k.cfg.Rand)
}

// hearTell takes a home's reply.
func (k *Keeper) hearTell(from bbunit.InstanceID, t tell, now time.Time) []outgoing {
	r := k.rounds[t.id]
	if t.declined && (r == nil || !r.derived) {
		k.peers[from] = &peerState{passedUntil: now.Add(declinedPause), declined: true}
	}
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
	view := k.comparisons.View()
	if e.rankView == view {
		return e.rank
	}
	e.rankView, e.rank = view, nil
	for _, m := range view.Rank(rankKey(e.run), "", homeCandidates) {
		e.rank = append(e.rank, m.ID)
	}
	if len(e.rank) == 0 {
		e.rank = []bbunit.InstanceID{view.Self.ID}
	}
	return e.rank
}

// homesOf returns the homes of a target: the first in rank, without those that
// have been silent or have declined.
func (k *Keeper) homesOf(e *entry, now time.Time) []bbunit.InstanceID {
	homes := make([]bbunit.InstanceID, 0, homeCount)
	for _, id := range k.rankOf(e) {
		if p := k.peers[id]; p != nil && now.Before(p.passedUntil) && !isDerived(e.run) {
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
