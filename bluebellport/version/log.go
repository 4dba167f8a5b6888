package bbversion

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// logKey is the rendezvous hash key that ranks instances as writers of their log,
// fleetLog the name of the log of a small fleet.
const (
	logKey   = "begun"
	fleetLog = "*"
)

// streamLog holds the streams that go into the log of the failure domain, or of a
// small fleet. The homes' records do not outlive a kill of all instances; the log
// does, but for the streams of its last interval. All instances send theirs to one
// of them, so that the store gets one write for many streams. The caller locks.
type streamLog struct {
	// entries are the streams that this instance writes, changed reports that some
	// are not written yet.
	entries map[StreamKey]logEntry
	changed bool

	// The fields below are used by Tick only.

	nextWrite time.Time
	key       string // of the last write
	revision  bbstore.Revision
}

// logEntry is a stream of a log.
type logEntry struct {
	version string
	at      time.Time // when it was added
}

// add adds a stream, or keeps it for longer.
func (l *streamLog) add(key StreamKey, version string, now time.Time) {
	if l.entries == nil {
		l.entries = map[StreamKey]logEntry{}
	}
	if _, known := l.entries[key]; !known {
		l.changed = true
	}
	l.entries[key] = logEntry{version, now}
}

// prune drops the streams that nobody takes up any more, and the oldest of too
// many.
func (l *streamLog) prune(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ StreamKey, e logEntry) bool { return now.Sub(e.at) > logRetention })
	if len(l.entries) <= maxLogStreams {
		return
	}
	keys := l.keys()
	slices.SortFunc(keys, func(a, b StreamKey) int { return l.entries[a].at.Compare(l.entries[b].at) })
	for _, key := range keys[:len(keys)-maxLogStreams] {
		delete(l.entries, key)
	}
}

// keys returns the streams in order.
func (l *streamLog) keys() []StreamKey {
	return slices.SortedFunc(maps.Keys(l.entries), cmp.Compare)
}

// encode returns the log's text.
func (l *streamLog) encode() []byte {
	msg := &bbwire.BegunLog{}
	for _, key := range l.keys() {
		msg.Streams = append(msg.Streams, &bbwire.Begun{Stream: uint64(key), Version: l.entries[key].version})
	}
	text, err := proto.Marshal(msg)
	if err != nil {
		panic(err) // versions are valid UTF-8: they come from JSON
	}
	return text
}

// toLog returns the messages that take streams of this instance to the writer of its
// log. If that is this instance itself, it takes them.
func (k *Keeper) toLog(view *bbmember.View, streams []*bbwire.Begun) []outgoing {
	writer := logPlace(view).writer
	if writer == "" || writer == view.Self.ID {
		now := k.cfg.Now()
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, s := range streams {
			k.log.add(StreamKey(s.Stream), s.Version, now)
		}
		return nil
	}
	var out []outgoing
	for part := range slices.Chunk(streams, maxStreamsPerMessage) {
		out = append(out, outgoing{To: writer, Msg: &bbwire.Versions{Number: k.state.Load().split.Number, Streams: part, Log: true}})
	}
	return out
}

// place is where an instance's streams are logged.
type place struct {
	writer bbunit.InstanceID // empty if there is none
	// name is that of the log, interval the time between two writes.
	name     string
	interval time.Duration
}

// logPlace returns the log of this instance: that of its failure domain, or of the
// whole fleet if that is small. One writer can then write more often.
func logPlace(view *bbmember.View) place {
	if len(view.Members) <= maxOneLog {
		m, _ := view.Home(logKey, "")
		return place{m.ID, fleetLog, fleetLogInterval}
	}
	m, _ := view.Home(logKey, view.Self.Domain)
	return place{m.ID, string(view.Self.Domain), logInterval}
}

// writeLog writes the domain's log to the store, if it has changed.
func (k *Keeper) writeLog(ctx context.Context) {
	now := k.cfg.Now()
	k.mu.Lock()
	due := k.log.changed && !now.Before(k.log.nextWrite)
	if due {
		k.log.prune(now)
		k.log.changed = false
	}
	text := []byte(nil)
	if due {
		text = k.log.encode()
	}
	k.mu.Unlock()
	if !due {
		return
	}
	to := logPlace(k.cfg.Network.View())
	k.log.nextWrite = now.Add(to.interval)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.logWrites.Inc(1)
	key := k.cfg.LogPrefix + to.name
	if key != k.log.key {
		k.log.key, k.log.revision = key, 0
	}
	rev, err := k.cfg.Store.CAS(ctx, key, text, k.log.revision, 0)
	if err == nil {
		k.log.revision = rev
		return
	}
	k.mu.Lock()
	k.log.changed = true // to be written again
	k.mu.Unlock()
	if !errors.Is(err, bbstore.ErrConflict) {
		k.cfg.Log.WithError(err).WithField("event", "versions-log").Warn("log of streams not written")
	}
	k.mergeLog(ctx, key)
}

// mergeLog takes the streams that another writer, or this instance before its
// start, has left in the log.
func (k *Keeper) mergeLog(ctx context.Context, key string) {
	entry, err := k.cfg.Store.Get(ctx, key)
	if err != nil {
		return // the next write fails as well, and comes here again
	}
	k.log.revision = entry.Rev
	for _, s := range decodeLog(entry.Value) {
		k.mu.Lock()
		k.log.add(StreamKey(s.GetStream()), s.GetVersion(), k.cfg.Now())
		k.mu.Unlock()
	}
}

// decodeLog returns the streams of a log, none if it is unreadable.
func decodeLog(text []byte) []*bbwire.Begun {
	msg := &bbwire.BegunLog{}
	if proto.Unmarshal(text, msg) != nil {
		return nil
	}
	return msg.Streams
}

// lookup holds what the logs of all domains had when they were read last.
type lookup struct {
	mu      sync.Mutex
	streams map[StreamKey]string
	readAt  time.Time
}

// Beliefs returns what an answer about a stream of a service rests on, for the log.
func (k *Keeper) Beliefs(service bbunit.ServiceID) logrus.Fields {
	current := k.state.Load()
	k.lookup.mu.Lock()
	defer k.lookup.mu.Unlock()
	fields := logrus.Fields{"split": current.split.Number, "epochs": len(current.split.Services[service]), "complete": current.complete, "logged": len(k.lookup.streams)}
	if !k.lookup.readAt.IsZero() {
		fields["age"] = k.cfg.Now().Sub(k.lookup.readAt).Milliseconds()
	}
	return fields
}

// fromLogs returns the version of a stream that is in the log of a failure domain.
// It reads the logs if it has not done so of late, and blocks for that.
func (k *Keeper) fromLogs(ctx context.Context, key StreamKey) (version string, known bool) {
	if !k.state.Load().complete {
		return "", false
	}
	l := &k.lookup
	l.mu.Lock()
	defer l.mu.Unlock()
	if version, known = l.streams[key]; known || k.cfg.Now().Sub(l.readAt) < lookupInterval {
		return version, known
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.readAt = k.cfg.Now()
	k.logReads.Inc(1)
	entries, _, err := k.cfg.Store.List(ctx, k.cfg.LogPrefix)
	if err != nil {
		k.cfg.Log.WithError(err).WithField("event", "versions-log").Warn("logs of streams not read")
		return "", false
	}
	l.streams = map[StreamKey]string{}
	for _, entry := range entries {
		for _, s := range decodeLog(entry.Value) {
			l.streams[StreamKey(s.GetStream())] = s.GetVersion()
		}
	}
	version, known = l.streams[key]
	return version, known
}
