// Package bbspread brings the newest version of one large value, the plan, to all
// instances of the fleet. Each that has it sends it on, in pieces, and as the
// difference from an older version where it can.
package bbspread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Version is a version of the value. The text must not be changed.
type Version struct {
	Rev  bbstore.Revision
	Text []byte
}

// Config holds what a Spreader needs.
type Config struct {
	Network bbnews.Network
	// Now is a steady clock.
	Now func() time.Time
	// Rand returns a random number below n.
	Rand func(n int) int
	// Go runs a function that may take long.
	Go func(fn func())
	// Apply puts a version in force, unless that is older or unreadable. It calls Hold
	// if it has.
	Apply func(v Version)
	// Seen returns the newest revision that was looked at here. It must not block.
	Seen func() bbstore.Revision
	// Heard is called for each revision of which a peer tells. It may be nil, and must not
	// block.
	Heard func(rev bbstore.Revision)
	// Read reads the value from the store and puts it in force. It may block.
	Read func()
	// StopWatch ends a call to the store that awaits a newer version, as peers have had
	// one for watchLead and send it: their way to the store is faster than this
	// instance's. It may be nil, and must not block.
	StopWatch func()
	// LinkRate is what the instance's link carries, in bytes a second, 0 if unknown.
	LinkRate float64
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
}

// Spreader holds the version in force, sends it to peers, and fetches newer ones
// of which it hears.
//
//	store --> Apply --> Hold --> shelf --pieces, on ASK--> peers
//	            ^                  |
//	            |                  +--NEWS--> peers
//	            +-- transfer <--pieces-- a peer that has told of a newer revision
type Spreader struct {
	cfg                         Config
	transfers, malformed, reads metrics.Counter
	sender                      *bbnews.Sender[*bbwire.Spread]

	// mu guards the fields below. Callers of unexported methods hold it, but for
	// those that send or receive a message, unpack or apply.
	mu      sync.Mutex
	held    Version          // the version in force
	digest  Digest           // of held
	newest  bbstore.Revision // that peers can get here; it may not be in force yet
	shelf   shelf
	packing bool
	served  map[bbunit.InstanceID]time.Time // when a peer last asked for more than one piece
	pace    pace
	fetch   fetch
}

type outgoing = bbnews.Outgoing[*bbwire.Spread]

// New returns a spreader. Listen makes it handle messages; its other work is done by
// Run, or by Tick.
func New(cfg Config) *Spreader {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	if cfg.Go == nil {
		cfg.Go = func(fn func()) { go fn() }
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("door.spread."+name, cfg.Metrics)
	}
	s := &Spreader{
		cfg: cfg, sender: bbnews.NewSender(cfg.Network, envelope, counter), transfers: counter("transfers"), malformed: counter("malformed"), reads: counter("reads"),
		served: map[bbunit.InstanceID]time.Time{}, pace: newPace(cfg.LinkRate*linkShare, cfg.Now()), fetch: newFetch(),
	}
	return s
}

// Listen makes the spreader handle messages of peers. What Config calls must be ready for
// that.
func (s *Spreader) Listen() {
	s.cfg.Network.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Spread{}}, s.receive)
}

// Run does the spreader's work until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	bbclock.Repeat(ctx, tickInterval, idleTickInterval, s.Tick)
}

// Tick does the work that is due, and reports whether a newer version is awaited.
func (s *Spreader) Tick() (busy bool) {
	s.mu.Lock()
	out := s.advance(s.cfg.Now())
	busy = s.fetch.begun()
	s.mu.Unlock()
	s.sender.Send(out)
	return busy
}

// Hold takes a version that is in force from now on. It makes the difference from
// the one before, unless that was received.
func (s *Spreader) Hold(v Version) {
	digest := digestOf(v.Text)
	s.mu.Lock()
	base, baseDigest := s.held.Text, s.digest
	known := s.shelf.has(digest, baseDigest)
	s.mu.Unlock()
	var packed []byte
	if !known && len(base) > 0 && digest != baseDigest {
		var err error
		if packed, err = pack(v.Text, base); err != nil {
			s.cfg.Log.WithError(err).Warn("difference of two plans not packed; peers get the whole")
		}
	}
	now := s.cfg.Now()
	s.mu.Lock()
	if packed != nil {
		s.shelf.put(newItem(v.Rev, baseDigest, digest, packed, now), now)
	}
	s.held, s.digest = v, digest
	out := append(s.offer(v.Rev), s.advance(now)...)
	s.mu.Unlock()
	s.sender.Send(out)
}

// Hear notes that a peer has a revision.
func (s *Spreader) Hear(from bbunit.InstanceID, rev bbstore.Revision) {
	s.mu.Lock()
	var out []outgoing
	if rev > s.wantsAbove() {
		now := s.cfg.Now()
		s.fetch.hear(from, rev, now)
		out = s.advance(now)
	}
	s.mu.Unlock()
	s.sender.Send(out)
}

// offer notes that peers can get a revision, and tells a few if it is the newest.
func (s *Spreader) offer(rev bbstore.Revision) []outgoing {
	if rev <= s.newest {
		return nil
	}
	s.newest = rev
	view := s.cfg.Network.View()
	own := min(newsFanout, ownDomainPeers(view))
	foreign := newsFanout + foreignFanout - own
	var out []outgoing
	for _, id := range view.RandomOthers(len(view.Members), s.cfg.Rand) {
		left := &foreign
		if isOwnDomain(view, id) {
			left = &own
		}
		if *left > 0 {
			*left--
			out = append(out, outgoing{To: id, Msg: &bbwire.Spread{Kind: bbwire.Spread_NEWS, Revision: int64(s.newest)}})
		}
	}
	return out
}

// ownDomainPeers returns how many other members this instance's failure domain has.
func ownDomainPeers(view *bbmember.View) int {
	n := 0
	for _, m := range view.Members {
		if m.Domain == view.Self.Domain && m.ID != view.Self.ID {
			n++
		}
	}
	return n
}

// isOwnDomain reports whether a member is of this instance's failure domain.
func isOwnDomain(view *bbmember.View, id bbunit.InstanceID) bool {
	m, ok := view.Find(id)
	return ok && m.Domain == view.Self.Domain
}

// envelope returns the envelope of a message.
func envelope(msg *bbwire.Spread) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Spread{Spread: msg}}
}

// receive handles a message of another instance.
func (s *Spreader) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetSpread()
	if msg.GetKind() == bbwire.Spread_NEWS {
		if s.cfg.Heard != nil {
			s.cfg.Heard(bbstore.Revision(msg.GetRevision()))
		}
		s.Hear(from, bbstore.Revision(msg.GetRevision()))
		return nil
	}
	now := s.cfg.Now()
	s.mu.Lock()
	var out []outgoing
	if msg.GetKind() == bbwire.Spread_ASK {
		out = s.answer(from, msg, now)
	} else {
		s.take(from, msg, now)
		out = s.advance(now)
	}
	s.mu.Unlock()
	s.sender.Send(out)
	return nil
}
