package bbversion

import (
	"slices"
	"strconv"
	"time"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

type outgoing = bbnews.Outgoing[*bbwire.Versions]

// news returns the messages about the split that are due.
func (k *Keeper) news(now time.Time) []outgoing {
	var out []outgoing
	if k.dirty {
		k.dirty = false
		out = k.toRandom(floodFanout, k.withSplit(bbwire.Limits_NONE))
	}
	if k.rounds.CompareDue(now) {
		out = append(out, k.toRandom(1, k.comparison(bbwire.Limits_COMPARE))...)
	}
	if k.rounds.QuestionDue(now) {
		out = append(out, k.toRandom(learnFanout, k.comparison(bbwire.Limits_COMPARE))...)
	}
	return out
}

// comparison returns a message of a comparison, without the split.
func (k *Keeper) comparison(step bbwire.Limits_Step) *bbwire.Versions {
	current := k.state.Load()
	return &bbwire.Versions{Step: step, Number: current.split.Number, Complete: current.complete}
}

// withSplit returns a message with the split.
func (k *Keeper) withSplit(step bbwire.Limits_Step) *bbwire.Versions {
	msg := k.comparison(step)
	msg.Split = k.state.Load().split.encode()
	return msg
}

// toRandom addresses a message to a few random instances.
func (k *Keeper) toRandom(n int, msg *bbwire.Versions) []outgoing {
	return bbnews.ToEach(k.rounds.View().RandomOthers(n, k.cfg.Rand), msg)
}

// envelope returns the envelope of a message.
func envelope(msg *bbwire.Versions) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Versions{Versions: msg}}
}

// receive handles a message of another instance.
func (k *Keeper) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetVersions()
	k.keepRecords(msg.GetStreams(), msg.GetLog())
	isNew := k.hear(from, msg.GetSplit(), msg.GetComplete())
	if msg.GetComplete() {
		k.learnComplete(msg.GetNumber())
	}
	k.mu.Lock()
	k.rounds.Follow(k.cfg.Network.View(), k.cfg.Now())
	own := k.state.Load().split.Number
	step, withSplit := k.rounds.Answer(msg.GetStep(), msg.GetComplete(), msg.GetNumber(), own)
	var out []outgoing
	if isNew {
		out = k.news(k.cfg.Now())
	}
	k.mu.Unlock()
	switch {
	case step == bbwire.Limits_NONE:
	case withSplit && own > msg.GetNumber():
		out = append(out, outgoing{To: from, Msg: k.withSplit(step)})
	default:
		out = append(out, outgoing{To: from, Msg: k.comparison(step)})
	}
	k.sender.Send(out)
	return nil
}

// hear takes the split of another instance, empty for none, and reports whether it
// is new.
func (k *Keeper) hear(from bbunit.InstanceID, text []byte, complete bool) bool {
	if len(text) == 0 {
		return false
	}
	split, err := decodeSplit(text)
	if err != nil {
		k.dropped.Inc(1)
		k.cfg.Log.WithError(err).WithField("peer", from).Warn("split of the versions of a peer dropped")
		return false
	}
	return k.adopt(split, complete)
}

// keepRecords keeps the records of streams for another instance, or takes them for
// the log of the failure domain.
func (k *Keeper) keepRecords(streams []*bbwire.Begun, log bool) {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range streams[:min(len(streams), maxStreamsPerMessage)] {
		switch {
		case len(s.GetVersion()) > maxVersionBytes:
			k.dropped.Inc(1)
		case log:
			k.log.add(StreamKey(s.GetStream()), s.GetVersion(), now)
		default:
			k.streams.keep(StreamKey(s.GetStream()), s.GetVersion(), now)
		}
	}
}

// streamRankKey is the rendezvous hash key that ranks the homes of a stream.
func streamRankKey(key StreamKey) string { return strconv.FormatUint(uint64(key), 16) }

// sendRecords tells the homes of streams, and the writer of the domain's log, which
// version began them.
func (k *Keeper) sendRecords(versions map[StreamKey]string) {
	view := k.cfg.Network.View()
	byHome := map[bbunit.InstanceID][]*bbwire.Begun{}
	var all []*bbwire.Begun
	for key, version := range versions {
		begun := &bbwire.Begun{Stream: uint64(key), Version: version}
		all = append(all, begun)
		for _, home := range homes(view, key) {
			byHome[home.ID] = append(byHome[home.ID], begun)
		}
	}
	var out []outgoing
	for home, streams := range byHome {
		for part := range slices.Chunk(streams, maxStreamsPerMessage) {
			out = append(out, outgoing{To: home, Msg: &bbwire.Versions{Number: k.state.Load().split.Number, Streams: part}})
		}
	}
	k.records.Inc(int64(len(versions)))
	k.sender.Send(append(out, k.toLog(view, all)...))
}

// answer tells another instance which version began a stream.
func (k *Keeper) answer(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	ask, current := e.GetBegunask(), k.state.Load()
	tell := &bbwire.BegunTell{Complete: current.complete}
	k.mu.Lock()
	tell.Version, tell.Known = k.streams.find(StreamKey(ask.GetStream()))
	k.mu.Unlock()
	if current.split.Number > ask.GetNumber() {
		tell.Split = current.split.encode()
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Beguntell{Beguntell: tell}}
}
