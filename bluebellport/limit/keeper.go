// Package bblimit keeps the limits that targets name, in requests a second from
// all instances together. The homes of a target grant permits for its requests;
// the news that a target has a limit goes to the whole fleet.
package bblimit

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Config holds what a Keeper needs.
type Config struct {
	Network bbnews.Network
	// Now is a steady clock.
	Now func() time.Time
	// Rand returns a random number below n.
	Rand func(n int) int
	// Listed returns how many instances the fleet is known to have at least. It may be nil.
	Listed  func() int
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

// Keeper knows which targets have a limit and gets the permits for requests to
// them:
//
//	Observe --> statement --news--> the fleet: flooded, then compared with random
//	               |                instances
//	               v
//	Access <-- entry <-- stock of permits <-- round --> homes of the target
//	               ^                            |        (line: what is granted)
//	Begin, Take ---+----------------------------+
//
// A round asks the first home, then the next, until most have granted; the first
// three instances by rendezvous hash of the target are its homes. Questions are
// repeated until they are answered, news until a comparison finds no difference,
// so a lost message delays them and no more.
type Keeper struct {
	cfg Config
	// limited holds the targets that have a limit, for requests, which take no lock
	// while there is none.
	limited atomic.Pointer[map[bbplan.TargetRun]bool]
	keeperMetrics
	sender *bbnews.Sender[*bbwire.Limits]

	// mu guards the fields below. Callers of unexported methods hold it, but for
	// those that send or handle a message.
	mu          sync.Mutex
	entries     map[bbplan.TargetRun]*entry
	digest      uint64 // of which targets have a limit, 0 for none
	dirty       map[bbplan.TargetRun]bool
	rounds      map[uint64]*round // by id
	peers       map[bbunit.InstanceID]*peerState
	comparisons *bbnews.Rounds
	peak        fleetPeak
	nextID      uint64
	nextPrune   time.Time
	startedAt   time.Time
}

// entry is what an instance knows of one target's limit, and its part in keeping
// it.
type entry struct {
	run       bbplan.TargetRun
	statement Statement
	told      Statement // what the fleet was last told
	floodedAt time.Time
	home      *home // nil unless this instance was asked for permits
	rank      []bbunit.InstanceID
	rankView  *bbmember.View
	stock     []Permit
	open      int // rounds that have not ended
	// missed is how many requests found neither a permit nor a way to ask since the
	// last round.
	missed int
	pauses map[uint64]pause
}

// pause tells when the homes may be asked again for an account (a hash; 0 for
// requests that do not wait for a permit), and when a caller should come back.
type pause struct{ until, callerUntil time.Time }

// peerState tells whether an instance answers questions. The zero value is one
// that has not been asked.
type peerState struct {
	tries   int
	firstAt time.Time
	// passedUntil is until when it is passed over, as it was silent or declined.
	passedUntil time.Time
	declined    bool
}

type keeperMetrics struct {
	known                                    metrics.Gauge
	asked, granted, denied, unanswered, lost metrics.Counter
	dropped, silent                          metrics.Counter
}

func counterIn(r metrics.Registry) func(name string) metrics.Counter {
	return func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("limit."+name, r) }
}

func newKeeperMetrics(r metrics.Registry) keeperMetrics {
	counter := counterIn(r)
	return keeperMetrics{
		known: metrics.GetOrRegisterGauge("limit.known", r),
		asked: counter("asked"), granted: counter("granted"), denied: counter("denied"), unanswered: counter("unanswered"), lost: counter("lost"),
		dropped: counter("dropped"), silent: counter("silent"),
	}
}

// New returns a keeper that handles messages. Its other work is done by Run, or
// by Tick.
func New(cfg Config) *Keeper {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	k := &Keeper{
		cfg: cfg, keeperMetrics: newKeeperMetrics(cfg.Metrics), sender: bbnews.NewSender(cfg.Network, envelope, counterIn(cfg.Metrics)), entries: map[bbplan.TargetRun]*entry{},
		dirty: map[bbplan.TargetRun]bool{}, rounds: map[uint64]*round{}, peers: map[bbunit.InstanceID]*peerState{}, nextID: uint64(cfg.Rand(1<<30)) << 30,
	}
	k.limited.Store(&map[bbplan.TargetRun]bool{})
	k.startedAt = cfg.Now()
	k.comparisons = bbnews.NewRounds(&newsTimes, k.startedAt)
	cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Limits{}}, k.receive)
	return k
}

// Run does the keeper's work until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	bbclock.Repeat(ctx, tickInterval, idleTickInterval, k.Tick)
}

// Tick does the work that is due: it repeats questions, and spreads and compares
// news. It reports whether any target is known to have or have had a limit.
func (k *Keeper) Tick() (busy bool) {
	now := k.cfg.Now()
	k.mu.Lock()
	out := k.tick(now)
	busy = len(k.entries) > 0
	k.mu.Unlock()
	k.sender.Send(out)
	return busy
}

func (k *Keeper) tick(now time.Time) []outgoing {
	k.updateView(now)
	if !now.Before(k.nextPrune) {
		k.prune(now)
		k.nextPrune = now.Add(time.Second)
	}
	var out []outgoing
	for _, id := range slices.Sorted(maps.Keys(k.rounds)) {
		out = append(out, k.advance(k.rounds[id], now)...)
	}
	out = append(out, k.flood(now)...)
	out = append(out, k.compare(now)...)
	return append(out, k.learn(now)...)
}

// Any reports whether any target has a limit. It takes no lock.
func (k *Keeper) Any() bool { return len(*k.limited.Load()) > 0 }

// IsLimited reports whether a target has a limit. It takes no lock.
func (k *Keeper) IsLimited(run bbplan.TargetRun) bool { return (*k.limited.Load())[run] }

// LimitOf returns the limit of a target in requests a second, if it has one.
func (k *Keeper) LimitOf(run bbplan.TargetRun) (perSecond float64, limited bool) {
	if !k.IsLimited(run) {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[run]
	if e == nil {
		return 0, false
	}
	return e.statement.Limit, e.statement.named()
}

// Observe takes what a target said of its limit in an answer. It takes no lock
// while a target without a limit names none.
func (k *Keeper) Observe(run bbplan.TargetRun, s Statement) {
	if s.Ended && !k.IsLimited(run) {
		return
	}
	s.Limit = min(max(s.Limit, 0), maxLimit)
	now := k.cfg.Now()
	k.mu.Lock()
	out := k.observe(run, s, now)
	k.mu.Unlock()
	k.sender.Send(out)
}

// observe applies a statement of an answer, and tells the homes of a new limit.
func (k *Keeper) observe(run bbplan.TargetRun, s Statement, now time.Time) []outgoing {
	before := k.statementOf(run)
	if !k.apply(run, s, now) {
		return nil
	}
	changed := before.named() != s.named() || before.Limit != s.Limit
	if !changed {
		return nil
	}
	k.cfg.Log.WithFields(logrus.Fields{"event": "limit", "target": run.ID, "limit": s.Limit, "ended": s.Ended, "before": before.Limit}).Info("target changes its limit")
	k.updateView(now)
	out := k.flood(now)
	msg := &bbwire.Limits{Entries: []*bbwire.LimitEntry{encodeEntry(run, s, now)}}
	for _, id := range k.homesOf(k.entries[run], now) {
		if id != k.comparisons.View().Self.ID {
			out = append(out, outgoing{To: id, Msg: msg})
		}
	}
	return out
}

// statementOf returns what is known of a target's limit.
func (k *Keeper) statementOf(run bbplan.TargetRun) Statement {
	if e := k.entries[run]; e != nil {
		return e.statement
	}
	return Statement{}
}

// apply replaces what is known of a target's limit if s is to be believed
// instead, and reports whether it is.
func (k *Keeper) apply(run bbplan.TargetRun, s Statement, now time.Time) bool {
	if isDerived(run) && now.Sub(s.HeardAt) > derivedTTL {
		return false
	}
	e := k.entries[run]
	if e == nil {
		if s.Ended || len(k.entries) >= maxEntries {
			return false
		}
		e = &entry{run: run, pauses: map[uint64]pause{}}
		k.entries[run] = e
	}
	before := e.statement
	if !before.replacedBy(&s) {
		return false
	}
	e.statement = s
	if before.named() != s.named() {
		k.digest ^= digestOf(run)
		k.publish()
		e.missed = 0
		clear(e.pauses)
	}
	if s.isNewsAfter(&e.told) {
		e.told = s
		k.dirty[run] = true
		k.comparisons.NoteChange(now)
	}
	if s.Ended {
		e.home, e.stock = nil, nil
		k.endRounds(e)
	}
	return true
}

// publish makes known to requests which targets have a limit.
func (k *Keeper) publish() {
	limited := map[bbplan.TargetRun]bool{}
	for run, e := range k.entries {
		if e.statement.named() {
			limited[run] = true
		}
	}
	k.limited.Store(&limited)
	k.known.Update(int64(len(limited)))
}

// prune forgets what is too old.
func (k *Keeper) prune(now time.Time) {
	for run, e := range k.entries {
		maps.DeleteFunc(e.pauses, func(_ uint64, p pause) bool { return now.After(p.until) && now.After(p.callerUntil) })
		if now.Sub(e.statement.HeardAt) <= e.ttl() {
			continue
		}
		if e.statement.named() {
			k.digest ^= digestOf(run)
		}
		k.endRounds(e)
		delete(k.entries, run)
		delete(k.dirty, run)
		k.publish()
	}
	for id, p := range k.peers {
		if !k.comparisons.IsMember(id) && now.After(p.passedUntil) {
			delete(k.peers, id)
		}
	}
}
