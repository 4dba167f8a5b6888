// Package bbversion decides which software version of a service begins a stream,
// and finds out which one began a stream that a client takes up again: what two
// versions write does not fit together.
//
// The version is a function of the stream's key and of a split that is kept in the
// platform's store, so that an instance that has just started can tell it too.
// Where the split has changed within the life of a stream, its homes keep a record.
// Where nothing tells the version, the stream is not taken up.
package bbversion

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Network exchanges messages with the other instances.
type Network interface {
	bbnews.Network
	// Call sends a question and returns the reply. It blocks until ctx ends.
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
}

// Store is the part of the platform's store that a Keeper uses.
type Store interface {
	Get(ctx context.Context, key string) (bbstore.Entry, error)
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error)
	// Era returns the newest known era of the store.
	Era() bbstore.Era
}

// Config holds what a Keeper needs.
type Config struct {
	Network Network
	Store   Store
	// StoreKey is where the split is kept, LogPrefix the prefix of the logs of streams
	// of each failure domain.
	StoreKey, LogPrefix string
	// Now is a steady clock.
	Now func() time.Time
	// Rand returns a random number below n.
	Rand func(n int) int
	// Slots returns the slots of the targets that serve, by service and version, nil
	// while the targets are unknown. It must not block.
	Slots func() map[bbunit.ServiceID]map[string]int
	// IsWatcher reports whether this instance watches the store for others.
	IsWatcher func() bool
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
}

// Keeper knows the split and which version began streams.
//
//	targets --> Tick: writer --compare-and-swap--> platform's store
//	                                                  |
//	Version <-- split <--flooded, then compared-- the fleet
//	   |          |
//	Begin --> streams --records, where epochs differ--> homes
//	              |                                       |
//	Find <--------+---------------------------------------+
type Keeper struct {
	cfg   Config
	state atomic.Pointer[state] // for requests, which take no lock for it
	// slots holds what Config.Slots returned last.
	slots atomic.Pointer[map[bbunit.ServiceID]map[string]int]

	dropped, writes, reads                                  metrics.Counter
	records, questions, found, unknown, logWrites, logReads metrics.Counter
	sender                                                  *bbnews.Sender[*bbwire.Versions]

	// mu guards the fields below. Callers of unexported methods hold it, but for
	// those that send or receive a message or call the store.
	mu      sync.Mutex
	streams streams
	log     streamLog
	rounds  *bbnews.Rounds
	dirty   bool // the split is to be flooded
	// confirmed is when the store last showed that the split is the newest, members are
	// the instances that were there of late, this one among them.
	confirmed confirmation
	members   map[bbunit.InstanceID]seenMember

	confirming sync.Mutex // held while the store is asked for that; taken before mu
	lookup     lookup     // has a lock of its own

	// The fields below are used by Tick only.

	nextRead, nextWrite, nextRefresh time.Time
	// revision is the store's revision of the split that was read or written last,
	// readEra the store's era at the last read. behind reports that the store had an
	// older split than this instance.
	revision bbstore.Revision
	readEra  bbstore.Era
	behind   bool
	// unfitSince is since when the split has not fitted, zero if it fits.
	unfitSince time.Time
}

// state is a split as an instance knows it. It is immutable.
type state struct {
	split *Split
	// learned tells when an epoch became known here, activeAt from when on streams
	// begin by it, by its number.
	learned, activeAt map[uint64]time.Time
	// complete reports that the split is known to be that of the store, or of an
	// instance that knew it.
	complete bool
}

// New returns a keeper that handles messages. Its other work is done by Run, or
// by Tick.
func New(cfg Config) *Keeper {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("door.versions."+name, cfg.Metrics)
	}
	k := &Keeper{
		cfg: cfg, sender: bbnews.NewSender(cfg.Network, envelope, counter), dropped: counter("dropped"), writes: counter("writes"), reads: counter("reads"),
		logWrites: counter("logwrites"), logReads: counter("logreads"),
		records: counter("records"), questions: counter("questions"), found: counter("found"), unknown: counter("unknown"),
		streams: streams{byKey: map[StreamKey]*stream{}}, members: map[bbunit.InstanceID]seenMember{}, rounds: bbnews.NewRounds(&times, cfg.Now()),
	}
	k.state.Store(&state{split: &Split{}})
	k.slots.Store(&map[bbunit.ServiceID]map[string]int{})
	cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Versions{}}, k.receive)
	cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Begunask{}}, k.answer)
	return k
}

// Run does the keeper's work until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Tick(ctx)
		bbclock.Wait(ctx, tickInterval)
	}
}

// Tick does the work that is due: it spreads and compares the split, and reads or
// changes it in the store. It blocks while the store is called.
func (k *Keeper) Tick(ctx context.Context) {
	now, slots := k.cfg.Now(), k.cfg.Slots()
	k.slots.Store(&slots)
	k.noteMembers(k.cfg.Network.View(), now)
	k.mu.Lock()
	k.rounds.Follow(k.cfg.Network.View(), now)
	out := k.news(now)
	k.mu.Unlock()
	k.sender.Send(out)
	if !now.Before(k.nextRefresh) {
		k.nextRefresh = now.Add(recordRefresh)
		k.refreshRecords()
	}
	k.followStore(ctx)
	k.writeLog(ctx)
}

// Version returns the version at which a new stream begins. It is false if that is
// not known. It takes no lock.
func (k *Keeper) Version(service bbunit.ServiceID, key StreamKey) (version string, known bool) {
	current, slots := k.state.Load(), k.slotsOf(service)
	epoch := current.active(service, k.cfg.Now())
	if epoch == nil && len(slots) == 1 { // the split will hold this version alone
		for version = range slots {
			return version, true
		}
	}
	if epoch == nil {
		return "", false
	}
	version = epoch.Version(key)
	if newest := current.split.newest(service); slots[version] == 0 && newest != epoch {
		version = newest.Version(key) // nothing else can serve the stream
	}
	return version, true
}

// slotsOf returns the slots of the targets of a service, by version. Of a service that a
// plan has only just given streams, Tick has not seen them yet.
func (k *Keeper) slotsOf(service bbunit.ServiceID) map[string]int {
	if slots, seen := (*k.slots.Load())[service]; seen {
		return slots
	}
	return k.cfg.Slots()[service]
}

// Complete reports whether this instance knows what the store, or an instance that
// knew its split, had when it started.
func (k *Keeper) Complete() bool { return k.state.Load().complete }

// active returns the epoch by which streams begin, nil if there is none.
func (s *state) active(service bbunit.ServiceID, now time.Time) *Epoch {
	epochs := s.split.Services[service]
	for i := len(epochs) - 1; i >= 0; i-- {
		if i == 0 || !now.Before(s.activeAt[epochs[i].Number]) {
			return &epochs[i]
		}
	}
	return nil
}

// Begin notes that a stream is passed on from a target of a version, until End. If
// the split alone does not tell its version, the homes are told.
func (k *Keeper) Begin(service bbunit.ServiceID, key StreamKey, version string) {
	k.mu.Lock()
	k.streams.begin(service, key, version, k.cfg.Now())
	k.mu.Unlock()
	if told, unanimous := versionIn(k.state.Load().split.Services[service], key); !unanimous || told != version {
		k.sendRecords(map[StreamKey]string{key: version})
	}
}

// End ends what Begin began.
func (k *Keeper) End(key StreamKey) {
	k.mu.Lock()
	k.streams.end(key, k.cfg.Now())
	k.mu.Unlock()
}

// adopt takes a split that is newer than the one known, and tells the homes of
// the streams whose version it does not tell. It reports whether the split is new.
func (k *Keeper) adopt(split *Split, complete bool) bool {
	now := k.cfg.Now()
	k.mu.Lock()
	old := k.state.Load()
	if split.Number <= old.split.Number {
		k.mu.Unlock()
		if complete {
			k.learnComplete(split.Number)
		}
		return false
	}
	next := old.follow(split, now)
	next.complete = complete || old.complete
	k.state.Store(next)
	k.dirty = true
	k.rounds.NoteChange(now)
	unclear := k.unclearStreams(split)
	k.mu.Unlock()
	k.logSplit(split)
	k.sendRecords(unclear)
	return true
}

// learnComplete notes that the store, or an instance that knew its split, has none
// newer than one.
func (k *Keeper) learnComplete(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current := k.state.Load(); !current.complete && number <= current.split.Number {
		k.state.Store(&state{split: current.split, learned: current.learned, activeAt: current.activeAt, complete: true})
	}
}

// follow returns the state with a newer split. An epoch that is the first known of
// its service is active at once.
func (s *state) follow(split *Split, now time.Time) *state {
	next := &state{split: split, learned: map[uint64]time.Time{}, activeAt: map[uint64]time.Time{}}
	for service, epochs := range split.Services {
		for i := range epochs {
			number := epochs[i].Number
			learned, known := s.learned[number]
			activeAt := s.activeAt[number]
			if !known {
				learned, activeAt = now, now
				if s.split.newest(service) != nil {
					activeAt = now.Add(activationDelay)
				}
			}
			next.learned[number], next.activeAt[number] = learned, activeAt
		}
	}
	return next
}

// unclearStreams returns the streams begun here whose version some epoch of a new
// split does not tell.
func (k *Keeper) unclearStreams(split *Split) map[StreamKey]string {
	unclear := map[StreamKey]string{}
	for key, s := range k.streams.byKey {
		if s.service == "" {
			continue
		}
		if version, unanimous := versionIn(split.Services[s.service], key); !unanimous || version != s.version {
			unclear[key] = s.version
		}
	}
	return unclear
}

// refreshRecords tells the homes again of streams that this instance still passes on,
// so that no record expires before its stream has ended.
func (k *Keeper) refreshRecords() {
	k.mu.Lock()
	unclear := k.unclearStreams(k.state.Load().split)
	for key := range unclear {
		if k.streams.byKey[key].open == 0 {
			delete(unclear, key)
		}
	}
	k.mu.Unlock()
	k.sendRecords(unclear)
}

// logSplit logs the newest epoch of each service.
func (k *Keeper) logSplit(split *Split) {
	for _, service := range split.services() {
		epoch := split.newest(service)
		k.cfg.Log.WithFields(logrus.Fields{"event": "versions", "service": service, "number": split.Number, "epoch": epoch.Number, "epochs": len(split.Services[service]), "weights": maps.Clone(epoch.Weights)}).Info("streams split among versions")
	}
}
