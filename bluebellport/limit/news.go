package bblimit

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

type outgoing = bbnews.Outgoing[*bbwire.Limits]

// rankKey is the rendezvous hash key that ranks the homes of a target.
func rankKey(run bbplan.TargetRun) string { return "limit\x00" + string(run.ID) }

// digestOf returns a hash of the fact that a target has a limit.
func digestOf(run bbplan.TargetRun) uint64 {
	return bbhash.Mix(xxhash.Sum64String(string(run.ID)) ^ uint64(run.StartedAtMillis))
}

// questionOf returns the message that asks a home.
func questionOf(e *entry, r *round, h *homeState, now time.Time) *bbwire.Limits {
	return &bbwire.Limits{Ask: encodeAsk(r, h.confirm, encodeEntry(e.run, e.statement, now))}
}

// updateView follows the membership. An instance that has started is asked
// again, whatever it did before.
func (k *Keeper) updateView(now time.Time) {
	for _, id := range k.comparisons.Follow(k.cfg.Network.View(), now) {
		delete(k.peers, id)
	}
	k.peak.note(k.memberCount(), now)
}

// envelope returns the envelope of a message.
func envelope(msg *bbwire.Limits) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Limits{Limits: msg}}
}

// flood tells a few random instances of what changed here, and they tell others.
func (k *Keeper) flood(now time.Time) []outgoing {
	var entries []*bbwire.LimitEntry
	for _, run := range slices.SortedFunc(maps.Keys(k.dirty), bbplan.TargetRun.Compare) {
		e := k.entries[run]
		if len(entries) == maxEntriesPerMessage || now.Sub(e.floodedAt) < minFloodInterval {
			continue
		}
		e.floodedAt = now
		delete(k.dirty, run)
		entries = append(entries, encodeEntry(run, e.statement, now))
	}
	if len(entries) == 0 {
		return nil
	}
	return k.toRandom(floodFanout, &bbwire.Limits{Entries: entries})
}

// compare starts a comparison with a random instance, if it is time and a target
// is known to have or have had a limit.
func (k *Keeper) compare(now time.Time) []outgoing {
	if len(k.entries) == 0 || !k.comparisons.CompareDue(now) {
		return nil
	}
	return k.toRandom(1, k.comparison(bbwire.Limits_COMPARE, false, now))
}

// learn asks random instances, until this one is complete.
func (k *Keeper) learn(now time.Time) []outgoing {
	if !k.comparisons.QuestionDue(now) {
		return nil
	}
	return k.toRandom(learnFanout, k.comparison(bbwire.Limits_COMPARE, false, now))
}

// toRandom addresses a message to a few random instances.
func (k *Keeper) toRandom(n int, msg *bbwire.Limits) []outgoing {
	return bbnews.ToEach(k.comparisons.View().RandomOthers(n, k.cfg.Rand), msg)
}

// comparison returns a message of a comparison, with entries if wanted.
func (k *Keeper) comparison(step bbwire.Limits_Step, withEntries bool, now time.Time) *bbwire.Limits {
	msg := &bbwire.Limits{Step: step, Digest: k.digest, Complete: k.comparisons.Complete()}
	if withEntries {
		msg.Entries = k.someEntries(now)
	}
	return msg
}

// someEntries returns what fits in a message of the entries, chosen at random.
func (k *Keeper) someEntries(now time.Time) []*bbwire.LimitEntry {
	runs := slices.SortedFunc(maps.Keys(k.entries), bbplan.TargetRun.Compare)
	var out []*bbwire.LimitEntry
	for i := range min(len(runs), maxEntriesPerMessage) {
		j := i + k.cfg.Rand(len(runs)-i)
		runs[i], runs[j] = runs[j], runs[i]
		out = append(out, encodeEntry(runs[i], k.entries[runs[i]].statement, now))
	}
	return out
}

// receive handles a message of another instance.
func (k *Keeper) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg, now := e.GetLimits(), k.cfg.Now()
	k.mu.Lock()
	out := k.handle(from, msg, now)
	k.mu.Unlock()
	k.sender.Send(out)
	return nil
}

// handle applies a message and returns the replies.
func (k *Keeper) handle(from bbunit.InstanceID, msg *bbwire.Limits, now time.Time) []outgoing {
	k.updateView(now)
	k.heardFrom(from)
	for _, m := range msg.Entries[:min(len(msg.Entries), maxEntriesPerMessage)] {
		k.merge(from, m, now)
	}
	var out []outgoing
	if msg.Ask != nil {
		out = append(out, k.handleAsk(from, msg.Ask, now)...)
	}
	if msg.Tell != nil {
		if k.merge(from, msg.Tell.Entry, now) != nil {
			out = append(out, k.hearTell(from, decodeTell(msg.Tell), now)...)
		}
	}
	out = append(out, k.answerComparison(from, msg, now)...)
	return append(out, k.flood(now)...)
}

// heardFrom notes that an instance is not silent.
func (k *Keeper) heardFrom(id bbunit.InstanceID) {
	if p := k.peers[id]; p != nil && !p.declined {
		delete(k.peers, id)
	}
}

// handleAsk answers a question for permits.
func (k *Keeper) handleAsk(from bbunit.InstanceID, m *bbwire.PermitAsk, now time.Time) []outgoing {
	e := k.merge(from, m.Entry, now)
	if e == nil {
		return nil
	}
	t := tell{id: m.Id}
	if e.statement.named() {
		t = k.answerAsk(e, decodeAsk(from, m), now)
	}
	return []outgoing{{To: from, Msg: &bbwire.Limits{Tell: encodeTell(&t, encodeEntry(e.run, e.statement, now))}}}
}

// answerComparison replies to a step of a comparison, unless both instances now
// know the same.
func (k *Keeper) answerComparison(from bbunit.InstanceID, msg *bbwire.Limits, now time.Time) []outgoing {
	step, withEntries := k.comparisons.Answer(msg.Step, msg.Complete, msg.Digest, k.digest)
	if step == bbwire.Limits_NONE {
		return nil
	}
	return []outgoing{{To: from, Msg: k.comparison(step, withEntries, now)}}
}

// merge merges an entry of another instance and returns what is then known of its
// target, nil if that is nothing.
func (k *Keeper) merge(from bbunit.InstanceID, m *bbwire.LimitEntry, now time.Time) *entry {
	run, s, err := decodeEntry(m, now)
	if err != nil {
		k.dropped.Inc(1)
		k.cfg.Log.WithError(err).WithField("peer", from).Warn("entry of a limit dropped")
		return nil
	}
	before := k.statementOf(run)
	if k.apply(run, s, now) && before.named() != s.named() {
		k.cfg.Log.WithFields(logrus.Fields{"event": "limit", "target": run.ID, "limit": s.Limit, "ended": s.Ended, "peer": from}).Info("limit learned")
	}
	return k.entries[run]
}
