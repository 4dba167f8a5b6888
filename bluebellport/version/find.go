package bbversion

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Find returns the version that began a stream which a client takes up again. It
// is false if nothing tells it. It asks the homes of the stream, and the store whether
// the split is the newest, and blocks for askTimeout and confirmTimeout at most, for
// twice that if the store does not answer, or until ctx ends.
func (k *Keeper) Find(ctx context.Context, service bbunit.ServiceID, key StreamKey) (version string, known bool) {
	begin := k.cfg.Now()
	k.mu.Lock()
	version, known = k.streams.find(key)
	k.mu.Unlock()
	source := "own"
	if !known {
		version, known = k.ask(ctx, key)
		source = "home"
	}
	if !known {
		version, known = k.fromSplit(ctx, service, key, begin)
		source = "split"
	}
	if !known {
		version, known = k.fromLogs(ctx, key)
		source = "log"
	}
	if !known {
		k.unknown.Inc(1)
		return "", false
	}
	k.found.Inc(1)
	k.cfg.Log.WithFields(logrus.Fields{"event": "stream-found", "service": service, "version": version, "source": source}).Debug("version of a stream found")
	return version, true
}

// OnlyVersion returns the version that began all streams of a service that may be
// taken up. It is false if there may be several. It blocks as Find does.
func (k *Keeper) OnlyVersion(ctx context.Context, service bbunit.ServiceID) (version string, known bool) {
	if version, known = k.onlyVersion(service); !known || !k.isInStep(ctx, k.cfg.Now()) {
		return "", false
	}
	return k.onlyVersion(service)
}

// onlyVersion is OnlyVersion by what is known here.
func (k *Keeper) onlyVersion(service bbunit.ServiceID) (version string, known bool) {
	current := k.state.Load()
	epochs, slots := current.split.Services[service], (*k.slots.Load())[service]
	if !current.complete || len(epochs) != 1 || len(epochs[0].Weights) != 1 || len(slots) != 1 {
		return "", false
	}
	version = epochs[0].Version(0)
	return version, slots[version] > 0
}

// fromSplit returns the version of a stream on which all epochs agree. An instance
// that may have missed a newer split does not rely on its own: it was cut off, or stood
// still, and so may those have been that it reaches.
func (k *Keeper) fromSplit(ctx context.Context, service bbunit.ServiceID, key StreamKey, begin time.Time) (version string, known bool) {
	tells := func() (string, bool) {
		current := k.state.Load()
		if !current.complete {
			return "", false
		}
		return versionIn(current.split.Services[service], key)
	}
	if version, known = tells(); !known || !k.isInStep(ctx, begin) {
		return "", false
	}
	return tells()
}

// isInStep makes sure that this instance knows the split that was the newest at a
// time: by the store, or if that does not answer, by all other instances.
func (k *Keeper) isInStep(ctx context.Context, at time.Time) bool {
	return k.confirm(ctx, at) || k.reachesAll(ctx)
}

// confirmation is the last word of the store on the split.
type confirmation struct {
	at, failedAt time.Time // when it was asked for, and when it last failed
}

// confirm reads the split from the store, unless another call has begun to do so since
// a time, and reports whether the store has none newer than the one now known here.
func (k *Keeper) confirm(ctx context.Context, since time.Time) bool {
	k.confirming.Lock()
	defer k.confirming.Unlock()
	asked := k.cfg.Now()
	k.mu.Lock()
	last := k.confirmed
	k.mu.Unlock()
	if !last.at.Before(since) {
		return true
	}
	if !last.failedAt.IsZero() && asked.Sub(last.failedAt) < confirmPause {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	k.reads.Inc(1)
	split := &Split{}
	entry, err := k.cfg.Store.Get(ctx, k.cfg.StoreKey)
	if err == nil && len(entry.Value) > 0 {
		split, err = decodeSplit(entry.Value)
	}
	if err != nil {
		k.cfg.Log.WithError(err).WithField("event", "versions-read").Warn("split of the versions not confirmed by the store")
		k.mu.Lock()
		k.confirmed.failedAt = k.cfg.Now()
		k.mu.Unlock()
		return false
	}
	k.adopt(split, true)
	return k.noteConfirmed(split, asked)
}

// noteConfirmed notes what the store held as it was asked, and reports whether that is
// the split known here.
func (k *Keeper) noteConfirmed(split *Split, asked time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if split.Number != k.state.Load().split.Number {
		return false
	}
	if asked.After(k.confirmed.at) {
		k.confirmed = confirmation{at: asked}
	}
	return true
}

// noteMembers notes which instances there are.
func (k *Keeper) noteMembers(view *bbmember.View, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range view.Members {
		k.members[m.ID] = seenMember{m, now}
	}
	for id, seen := range k.members {
		if now.Sub(seen.at) > memberRetention {
			delete(k.members, id)
		}
	}
}

// seenMember is an instance that was seen.
type seenMember struct {
	bbmember.Member
	at time.Time
}

// reachesAll asks the other instances for a newer split, and reports whether all have
// answered that were there of late: any of them could have changed the split. In a
// large fleet one of each failure domain is asked.
func (k *Keeper) reachesAll(ctx context.Context) bool {
	self := k.cfg.Network.View().Self
	k.mu.Lock()
	var members []bbmember.Member
	asked := map[bbunit.DomainID]bool{self.Domain: true}
	for id, m := range k.members {
		if id == self.ID || len(k.members) > maxAsked && asked[m.Domain] {
			continue
		}
		asked[m.Domain] = true
		members = append(members, m.Member)
	}
	k.mu.Unlock()
	answered := 0
	k.askEach(ctx, members, 0, func(r reply) bool {
		if r.tell.GetComplete() {
			answered++
		}
		return false
	})
	return answered == len(members)
}

// reply is what an instance knows of a stream; tell is nil if it did not answer.
type reply struct {
	from bbmember.Member
	tell *bbwire.BegunTell
}

// ask asks the homes of a stream which version began it.
func (k *Keeper) ask(ctx context.Context, key StreamKey) (version string, known bool) {
	k.askEach(ctx, homes(k.cfg.Network.View(), key), key, func(r reply) bool {
		version, known = r.tell.GetVersion(), r.tell.GetKnown()
		return known
	})
	return version, known
}

// askEach asks instances about a stream, takes newer splits from their answers, and
// passes each reply on until done returns true.
func (k *Keeper) askEach(ctx context.Context, members []bbmember.Member, key StreamKey, done func(reply) bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k.questions.Inc(int64(len(members)))
	question := &bbwire.BegunAsk{Stream: uint64(key), Number: k.state.Load().split.Number}
	replies := make(chan reply, len(members))
	for _, m := range members {
		go func() {
			e, err := k.cfg.Network.Call(ctx, m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Begunask{Begunask: question}})
			if err != nil {
				e = nil
			}
			replies <- reply{m, e.GetBeguntell()}
		}()
	}
	for range members {
		r := <-replies
		k.hear(r.from.ID, r.tell.GetSplit(), r.tell.GetComplete())
		if done(r) {
			return
		}
	}
}

// homes returns the instances that keep the record of a stream, but for this one.
func homes(view *bbmember.View, key StreamKey) []bbmember.Member {
	rank := view.Rank(streamRankKey(key), "", homeCount+1)
	rank = slices.DeleteFunc(rank, func(m bbmember.Member) bool { return m.ID == view.Self.ID })
	return rank[:min(len(rank), homeCount)]
}
