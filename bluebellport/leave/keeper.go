// Package bbleave keeps which targets leave: those that have said so in an answer
// or in the list of targets. The news goes to the whole fleet.
package bbleave

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbwire"
)

// Config holds what a Keeper needs.
type Config struct {
	Network bbnews.Network
	// Now is a steady clock.
	Now func() time.Time
	// Rand returns a random number below n.
	Rand func(n int) int
	// IsListed reports whether the list of targets has a run, or is unknown. It must
	// not block.
	IsListed func(run bbplan.TargetRun) bool
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
}

// Keeper knows which runs of targets leave. One that leaves does so for good: it
// is forgotten only some time after the list of targets has lost it.
//
//	HearAnswer, HearEntry --> entry --flooded, then compared--> the fleet
//	                            |
//	Leaves <--------------------+
type Keeper struct {
	cfg Config
	// leaving holds the runs that leave, for requests, which take no lock.
	leaving atomic.Pointer[map[bbplan.TargetRun]bool]
	known   metrics.Gauge
	dropped metrics.Counter
	sender  *bbnews.Sender[*bbwire.Leavings]

	// mu guards the fields below. Callers of unexported methods hold it, but for
	// those that send or receive a message.
	mu        sync.Mutex
	entries   map[bbplan.TargetRun]*entry
	digest    uint64 // of the runs that leave, 0 for none
	dirty     map[bbplan.TargetRun]bool
	rounds    *bbnews.Rounds
	nextPrune time.Time
}

// entry is what is known of a run that leaves.
type entry struct {
	heardAt   time.Time // when the target last said so
	learnedAt time.Time // when it became known here
}

// New returns a keeper that handles messages. Its other work is done by Run, or
// by Tick.
func New(cfg Config) *Keeper {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("door.leave."+name, cfg.Metrics)
	}
	k := &Keeper{
		cfg: cfg, known: metrics.GetOrRegisterGauge("door.leave.known", cfg.Metrics),
		sender: bbnews.NewSender(cfg.Network, envelope, counter), dropped: counter("dropped"),
		entries: map[bbplan.TargetRun]*entry{}, dirty: map[bbplan.TargetRun]bool{}, rounds: bbnews.NewRounds(&times, cfg.Now()),
	}
	k.leaving.Store(&map[bbplan.TargetRun]bool{})
	cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Leavings{}}, k.receive)
	return k
}

// Run does the keeper's work until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	bbclock.Repeat(ctx, tickInterval, idleTickInterval, k.Tick)
}

// Tick does the work that is due: it spreads and compares news. It reports whether
// any run is known to leave.
func (k *Keeper) Tick() (busy bool) {
	now := k.cfg.Now()
	k.mu.Lock()
	out := k.tick(now)
	busy = len(k.entries) > 0
	k.mu.Unlock()
	k.sender.Send(out)
	return busy
}

// Any reports whether any run is known to leave. It takes no lock.
func (k *Keeper) Any() bool { return len(*k.leaving.Load()) > 0 }

// Leaves reports whether a run is known to leave. It takes no lock.
func (k *Keeper) Leaves(run bbplan.TargetRun) bool {
	leaving := *k.leaving.Load()
	return len(leaving) > 0 && leaving[run]
}

// HearAnswer notes that a target has said in an answer that it leaves.
func (k *Keeper) HearAnswer(run bbplan.TargetRun) { k.hear(run, "answer") }

// HearEntry notes that a target has said in the list of targets that it leaves.
func (k *Keeper) HearEntry(run bbplan.TargetRun) { k.hear(run, "entry") }

// hear notes the word of a target and tells the fleet at once if it is new.
func (k *Keeper) hear(run bbplan.TargetRun, way string) {
	now := k.cfg.Now()
	k.mu.Lock()
	var out []outgoing
	if k.add(run, now, now) {
		k.cfg.Log.WithFields(logrus.Fields{"event": "leaving", "target": run.ID, "born": run.StartedAtMillis, "way": way}).Info("target leaves")
		k.rounds.Follow(k.cfg.Network.View(), now)
		out = k.flood(now)
	}
	k.mu.Unlock()
	k.sender.Send(out)
}

// add notes that a run leaves, and reports whether that is new.
func (k *Keeper) add(run bbplan.TargetRun, heardAt, now time.Time) bool {
	if e := k.entries[run]; e != nil {
		if heardAt.After(e.heardAt) {
			e.heardAt = heardAt
		}
		return false
	}
	if len(k.entries) >= maxEntries {
		k.remove(k.oldest())
	}
	k.entries[run] = &entry{heardAt: heardAt, learnedAt: now}
	k.digest ^= digestOf(run)
	k.dirty[run] = true
	k.rounds.NoteChange(now)
	k.publish()
	return true
}

// oldest returns the run heard of longest ago.
func (k *Keeper) oldest() bbplan.TargetRun {
	var run bbplan.TargetRun
	var oldest *entry
	for r, e := range k.entries {
		if oldest == nil || e.heardAt.Before(oldest.heardAt) || e.heardAt.Equal(oldest.heardAt) && r.Compare(run) < 0 {
			run, oldest = r, e
		}
	}
	return run
}

// remove forgets a run.
func (k *Keeper) remove(run bbplan.TargetRun) {
	delete(k.entries, run)
	delete(k.dirty, run)
	k.digest ^= digestOf(run)
}

// publish makes known to requests which runs leave.
func (k *Keeper) publish() {
	leaving := make(map[bbplan.TargetRun]bool, len(k.entries))
	for run := range maps.Keys(k.entries) {
		leaving[run] = true
	}
	k.leaving.Store(&leaving)
	k.known.Update(int64(len(leaving)))
}

// prune forgets the runs that are over.
func (k *Keeper) prune(now time.Time) {
	before := len(k.entries)
	for run, e := range k.entries {
		if k.isOver(run, now.Sub(e.heardAt)) {
			k.remove(run)
		}
	}
	if len(k.entries) != before {
		k.publish()
	}
}

// isOver reports whether a run that said an age ago that it leaves can be
// forgotten. One whose start is unknown can't be told from the next.
func (k *Keeper) isOver(run bbplan.TargetRun, age time.Duration) bool {
	return age > entryTTL && (run.StartedAtMillis == 0 || !k.cfg.IsListed(run))
}

// digestOf returns a hash of the fact that a run leaves.
func digestOf(run bbplan.TargetRun) uint64 {
	return bbhash.Mix(xxhash.Sum64String(string(run.ID)) ^ uint64(run.StartedAtMillis))
}
