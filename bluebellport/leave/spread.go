package bbleave

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// errMalformed means that a message of another instance is not usable.
const errMalformed = errors.ConstError("malformed message about targets that leave")

type outgoing = bbnews.Outgoing[*bbwire.Leavings]

func (k *Keeper) tick(now time.Time) []outgoing {
	k.rounds.Follow(k.cfg.Network.View(), now)
	if !now.Before(k.nextPrune) {
		k.prune(now)
		k.nextPrune = now.Add(time.Second)
	}
	out := k.flood(now)
	if len(k.entries) > 0 && k.rounds.CompareDue(now) {
		msg := k.comparison(bbwire.Limits_COMPARE)
		msg.Entries = k.encode(k.runs(func(e *entry) bool { return now.Sub(e.learnedAt) < freshPeriod }), now)
		out = append(out, k.toRandom(1, msg)...)
	}
	if k.rounds.QuestionDue(now) {
		out = append(out, k.toRandom(learnFanout, k.comparison(bbwire.Limits_COMPARE))...)
	}
	return out
}

// flood tells a few random instances of what is new here, and they tell others.
func (k *Keeper) flood(now time.Time) []outgoing {
	if len(k.dirty) == 0 {
		return nil
	}
	runs := slices.SortedFunc(maps.Keys(k.dirty), bbplan.TargetRun.Compare)
	runs = runs[:min(len(runs), maxEntriesPerMessage)]
	for _, run := range runs {
		delete(k.dirty, run)
	}
	return k.toRandom(floodFanout, &bbwire.Leavings{Entries: k.encode(runs, now)})
}

// runs returns the runs whose entries match, in order.
func (k *Keeper) runs(matches func(e *entry) bool) []bbplan.TargetRun {
	var out []bbplan.TargetRun
	for run, e := range k.entries {
		if matches(e) {
			out = append(out, run)
		}
	}
	slices.SortFunc(out, bbplan.TargetRun.Compare)
	return out
}

// encode converts what fits in a message of the entries, chosen at random. Times
// become ages.
func (k *Keeper) encode(runs []bbplan.TargetRun, now time.Time) []*bbwire.Leaving {
	var out []*bbwire.Leaving
	for i := range min(len(runs), maxEntriesPerMessage) {
		j := i + k.cfg.Rand(len(runs)-i)
		runs[i], runs[j] = runs[j], runs[i]
		age := min(max(now.Sub(k.entries[runs[i]].heardAt), 0), maxMessageAge)
		out = append(out, &bbwire.Leaving{Target: string(runs[i].ID), Born: runs[i].StartedAtMillis, Heard: uint64(age.Microseconds())})
	}
	return out
}

// comparison returns a message of a comparison, without entries.
func (k *Keeper) comparison(step bbwire.Limits_Step) *bbwire.Leavings {
	return &bbwire.Leavings{Step: step, Digest: k.digest, Complete: k.rounds.Complete()}
}

// toRandom addresses a message to a few random instances.
func (k *Keeper) toRandom(n int, msg *bbwire.Leavings) []outgoing {
	return bbnews.ToEach(k.rounds.View().RandomOthers(n, k.cfg.Rand), msg)
}

// envelope returns the envelope of a message.
func envelope(msg *bbwire.Leavings) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Leavings{Leavings: msg}}
}

// receive handles a message of another instance.
func (k *Keeper) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg, now := e.GetLeavings(), k.cfg.Now()
	k.mu.Lock()
	out := k.handle(from, msg, now)
	k.mu.Unlock()
	k.sender.Send(out)
	return nil
}

// handle applies a message and returns the replies.
func (k *Keeper) handle(from bbunit.InstanceID, msg *bbwire.Leavings, now time.Time) []outgoing {
	k.rounds.Follow(k.cfg.Network.View(), now)
	for _, m := range msg.GetEntries()[:min(len(msg.GetEntries()), maxEntriesPerMessage)] {
		k.merge(from, m, now)
	}
	out := k.flood(now)
	step, withEntries := k.rounds.Answer(msg.GetStep(), msg.GetComplete(), msg.GetDigest(), k.digest)
	if step == bbwire.Limits_NONE {
		return out
	}
	reply := k.comparison(step)
	if withEntries {
		reply.Entries = k.encode(k.runs(func(*entry) bool { return true }), now)
	}
	return append(out, outgoing{To: from, Msg: reply})
}

// merge takes an entry of another instance.
func (k *Keeper) merge(from bbunit.InstanceID, m *bbwire.Leaving, now time.Time) {
	run, age, err := decode(m)
	if err != nil {
		k.dropped.Inc(1)
		k.cfg.Log.WithError(err).WithField("peer", from).Warn("entry of a leaving dropped")
		return
	}
	heardAt := now.Add(-age)
	if e := k.entries[run]; e != nil && heardAt.Sub(e.heardAt) < refreshAge || k.isOver(run, age) {
		return
	}
	if k.add(run, heardAt, now) {
		k.cfg.Log.WithFields(logrus.Fields{"event": "leaving", "target": run.ID, "born": run.StartedAtMillis, "way": "peer", "peer": from, "age": age.Milliseconds()}).Info("target leaves")
	}
}

// decode converts an entry. Its error is an errMalformed.
func decode(m *bbwire.Leaving) (run bbplan.TargetRun, age time.Duration, err error) {
	run = bbplan.TargetRun{ID: bbunit.TargetID(m.GetTarget()), StartedAtMillis: m.GetBorn()}
	if run.ID == "" || len(run.ID) > maxTargetBytes || m.GetHeard() > uint64(maxMessageAge.Microseconds()) {
		return run, 0, errMalformed
	}
	return run, time.Duration(m.GetHeard()) * time.Microsecond, nil
}
