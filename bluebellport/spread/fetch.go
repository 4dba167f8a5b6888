package bbspread

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fetch is what is known of newer versions, and the transfer of one of them.
type fetch struct {
	holders  map[bbunit.InstanceID]*holder
	transfer *transfer
	applying bool
	reading  bool
	asked    bbunit.InstanceID // that has not answered yet, empty for none
	askedAt  time.Time
	// since is when the first news of a newer version came, progressAt when something
	// last arrived; both are zero while none is awaited.
	since, progressAt time.Time
	nextGuess         time.Time
	stall             time.Duration // until the store is read
	// newest is the newest revision that a peer has told of, newestAt when the first did.
	newest   bbstore.Revision
	newestAt time.Time
	// stoppedFor is the revision for which the watch of the store was last stopped.
	stoppedFor bbstore.Revision
}

// holder is a peer that has a newer version.
type holder struct {
	rev       bbstore.Revision
	notBefore time.Time     // is not asked until then
	pause     time.Duration // the last one for want of capacity
	lacks     Digest        // a packed form that it does not have
	timeout   time.Duration // of the last question that it did not answer in time
	isSlow    bool          // sent its last piece late
}

// transfer is a packed form of which pieces have arrived.
type transfer struct {
	item
	size  int
	from  bbunit.InstanceID // of the last piece
	begin time.Time
}

func newFetch() fetch { return fetch{holders: map[bbunit.InstanceID]*holder{}} }

// begun reports whether a newer version is awaited.
func (f *fetch) begun() bool { return !f.since.IsZero() }

// hear notes that a peer has a revision.
func (f *fetch) hear(from bbunit.InstanceID, rev bbstore.Revision, now time.Time) {
	h := f.holders[from]
	if h == nil {
		h = &holder{}
		f.holders[from] = h
	}
	h.rev = max(h.rev, rev)
	if rev > f.newest {
		f.newest, f.newestAt = rev, now
	}
	if !f.begun() {
		f.since, f.progressAt = now, now
	}
}

// end forgets all that concerned a version that has arrived.
func (f *fetch) end() {
	clear(f.holders)
	f.transfer, f.asked = nil, ""
	f.since, f.progressAt, f.nextGuess, f.stall = time.Time{}, time.Time{}, time.Time{}, 0
}

// wantsAbove returns the revision above which a version is wanted.
func (s *Spreader) wantsAbove() bbstore.Revision { return max(s.cfg.Seen(), s.newest) }

// dropUseless forgets holders of nothing newer than have, and a transfer of that or of
// a difference to another version than the one with digest.
func (f *fetch) dropUseless(have bbstore.Revision, digest Digest) {
	for id, h := range f.holders {
		if h.rev <= have {
			delete(f.holders, id)
		}
	}
	if f.transfer != nil && (f.transfer.rev <= have || f.transfer.base != Digest{} && f.transfer.base != digest) {
		f.transfer = nil
	}
}

// advance forgets what is no longer wanted, and asks a peer for the next piece, or
// reads the store if none has sent anything for some time.
func (s *Spreader) advance(now time.Time) []outgoing {
	f := &s.fetch
	if !f.begun() {
		return nil
	}
	have := s.wantsAbove()
	f.dropUseless(have, s.digest)
	if f.applying {
		return nil
	}
	if len(f.holders) == 0 && f.transfer == nil {
		f.end()
		return nil
	}
	if f.asked != "" {
		if now.Sub(f.askedAt) < f.pieceTimeout(f.asked) {
			return nil
		}
		if h := f.holders[f.asked]; h != nil {
			h.timeout, h.notBefore = f.pieceTimeout(f.asked), now.Add(holderPause)
		}
		f.asked = ""
	}
	s.stopWatchIfSlower(now)
	s.readIfStalled(now)
	to := s.chooseHolder(now)
	if to == "" {
		return nil
	}
	f.asked, f.askedAt = to, now
	ask := &bbwire.Spread{Kind: bbwire.Spread_ASK, Revision: int64(have), Base: s.digest.encode()}
	if f.transfer != nil {
		ask.Packed, ask.Offset = f.transfer.id.encode(), uint32(len(f.transfer.packed))
	}
	return []outgoing{{To: to, Msg: ask}}
}

// pieceTimeout returns how long an answer of a peer is awaited.
func (f *fetch) pieceTimeout(from bbunit.InstanceID) time.Duration {
	if h := f.holders[from]; h != nil {
		return min(max(2*h.timeout, minPieceTimeout), maxPieceTimeout)
	}
	return minPieceTimeout
}

// pauseHolder keeps a peer from being asked for a time.
func (f *fetch) pauseHolder(id bbunit.InstanceID, now time.Time, pause time.Duration) {
	if h := f.holders[id]; h != nil {
		h.notBefore = now.Add(pause)
	}
}

// stopWatchIfSlower stops the watch of the store if peers have had a newer version for
// some time and one of them has begun to send it.
func (s *Spreader) stopWatchIfSlower(now time.Time) {
	f := &s.fetch
	if s.cfg.StopWatch == nil || f.transfer == nil || f.newest <= f.stoppedFor || now.Sub(f.newestAt) < watchLead {
		return
	}
	f.stoppedFor = f.newest
	s.cfg.StopWatch()
}

// readIfStalled reads the store if nothing has arrived for some time.
func (s *Spreader) readIfStalled(now time.Time) {
	f := &s.fetch
	if f.stall == 0 {
		f.stall = stallTimeout + time.Duration(s.cfg.Rand(int(stallTimeout)/2))
	}
	if f.reading || now.Sub(f.progressAt) < f.stall {
		return
	}
	f.reading = true
	s.reads.Inc(1)
	s.cfg.Log.WithFields(logrus.Fields{"event": "plan-stalled", "holders": len(f.holders), "ms": now.Sub(f.since).Milliseconds()}).Info("no peer sends a newer plan; reading the store")
	s.cfg.Go(func() {
		s.cfg.Read()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fetch.reading = false
		if s.fetch.begun() {
			s.fetch.progressAt = s.cfg.Now()
		}
	})
}

// chooseHolder returns the peer to ask next: the one of the last piece, or a random
// one, of the own failure domain if possible and not a slow one. If none that is known
// to have a newer version can be asked, now and then any other may be.
func (s *Spreader) chooseHolder(now time.Time) bbunit.InstanceID {
	f, view := &s.fetch, s.cfg.Network.View()
	var own, foreign, slow []bbunit.InstanceID
	for id, h := range f.holders {
		switch {
		case now.Before(h.notBefore) || f.transfer != nil && h.lacks == f.transfer.id:
		case h.isSlow:
			slow = append(slow, id)
		case f.transfer != nil && id == f.transfer.from:
			return id
		case isOwnDomain(view, id):
			own = append(own, id)
		default:
			foreign = append(foreign, id)
		}
	}
	isEarly := now.Sub(f.since) < foreignDelay
	switch {
	case len(own) > 0:
		return s.randomOf(own)
	case len(foreign) > 0 && !isEarly:
		return s.randomOf(foreign)
	case len(slow) > 0:
		return s.randomOf(slow)
	case isEarly || now.Before(f.nextGuess):
		return ""
	}
	f.nextGuess = now.Add(guessInterval)
	for _, id := range view.RandomOthers(1, s.cfg.Rand) {
		if h := f.holders[id]; h == nil || !now.Before(h.notBefore) {
			return id
		}
	}
	return ""
}

// randomOf returns one of some peers.
func (s *Spreader) randomOf(ids []bbunit.InstanceID) bbunit.InstanceID {
	slices.Sort(ids)
	return ids[s.cfg.Rand(len(ids))]
}

// take takes a TELL.
func (s *Spreader) take(from bbunit.InstanceID, tell *bbwire.Spread, now time.Time) {
	f := &s.fetch
	answered := f.asked == from
	took := now.Sub(f.askedAt)
	if answered {
		f.asked = ""
	}
	rev := bbstore.Revision(tell.GetRevision())
	if rev <= s.wantsAbove() {
		delete(f.holders, from)
		return
	}
	f.hear(from, rev, now)
	h := f.holders[from]
	if tell.GetWait() > 0 {
		h.pause = min(max(2*h.pause, minBusyPause, time.Duration(tell.GetWait())*time.Millisecond), maxBusyPause)
		h.notBefore = now.Add(h.pause/2 + time.Duration(s.cfg.Rand(int(h.pause))))
		return
	}
	h.pause, h.timeout, h.notBefore, h.isSlow = 0, 0, time.Time{}, !answered || took > slowPiece
	if !s.addPiece(from, tell, now) || len(f.transfer.packed) < f.transfer.size {
		return
	}
	done := f.transfer
	f.transfer, f.applying = nil, true
	s.cfg.Go(func() { s.finish(done) })
}

// addPiece adds a piece to the transfer, or begins one with it. It reports false for
// a piece that does not fit.
func (s *Spreader) addPiece(from bbunit.InstanceID, tell *bbwire.Spread, now time.Time) bool {
	f := &s.fetch
	next, err := s.readOffer(tell, now)
	if err != nil {
		s.malformed.Inc(1)
		f.pauseHolder(from, now, malformedPause)
		s.cfg.Log.WithError(err).WithField("peer", from).Warn("piece of a plan dropped")
		return false
	}
	current := f.transfer
	switch {
	case f.applying, next.base != Digest{} && next.base != s.digest:
		return false // the version in force is another one since it was asked for
	case current != nil && current.id == next.id && (next.size != current.size || next.rev != current.rev || next.digest != current.digest || next.base != current.base):
		s.malformed.Inc(1) // what was said of it before, or is now, is wrong
		f.transfer = nil
		f.pauseHolder(from, now, malformedPause)
		return false
	case current != nil && current.id == next.id:
		if int(tell.GetOffset()) != len(current.packed) {
			return false // it has come twice
		}
	case tell.GetOffset() != 0:
		return false
	case current != nil && current.size-len(current.packed) < next.size && s.othersHave(current, from):
		f.holders[from].lacks = current.id
		return false
	default:
		f.transfer = next
	}
	f.transfer.packed = append(f.transfer.packed, tell.GetPiece()...)
	f.transfer.from, f.progressAt = from, now
	return true
}

// othersHave reports whether a peer other than one may have the rest of a transfer.
func (s *Spreader) othersHave(t *transfer, not bbunit.InstanceID) bool {
	for id, h := range s.fetch.holders {
		if id != not && h.rev >= t.rev && h.lacks != t.id {
			return true
		}
	}
	return false
}

// readOffer reads what a TELL says of its packed form. Its error is an
// ErrMalformed.
func (s *Spreader) readOffer(tell *bbwire.Spread, now time.Time) (*transfer, error) {
	base, ok1 := readDigest(tell.GetBase())
	digest, ok2 := readDigest(tell.GetDigest())
	id, ok3 := readDigest(tell.GetPacked())
	if !ok1 || !ok2 || !ok3 || id == (Digest{}) || tell.GetSize() > maxValueBytes || int(tell.GetOffset())+len(tell.GetPiece()) > int(tell.GetSize()) || len(tell.GetPiece()) > pieceBytes || len(tell.GetPiece()) == 0 && tell.GetSize() > 0 {
		return nil, ErrMalformed
	}
	return &transfer{item: item{rev: bbstore.Revision(tell.GetRevision()), base: base, digest: digest, id: id}, size: int(tell.GetSize()), begin: now}, nil
}

// finish unpacks a transfer that is complete, and puts the version in force if it is
// what it should be. Peers can have it meanwhile.
func (s *Spreader) finish(t *transfer) {
	text, err := s.text(t)
	now := s.cfg.Now()
	if err != nil {
		s.malformed.Inc(1)
		s.cfg.Log.WithError(err).WithField("peer", t.from).Warn("plan from a peer unreadable; ignored")
		s.mu.Lock()
		s.fetch.applying = false
		s.fetch.pauseHolder(t.from, now, malformedPause)
		s.mu.Unlock()
		return
	}
	s.transfers.Inc(1)
	s.cfg.Log.WithFields(logrus.Fields{"event": "plan-fetched", "peer": t.from, "revision": t.rev, "bytes": t.size, "difference": t.base != Digest{}, "ms": now.Sub(t.begin).Milliseconds()}).Info("plan received from peers")
	s.mu.Lock()
	var out []outgoing
	if t.size > 0 {
		t.askedAt = now
		s.shelf.put(&t.item, now)
		out = s.offer(t.rev)
	}
	s.mu.Unlock()
	s.sender.Send(out)
	s.cfg.Apply(Version{Rev: t.rev, Text: text})
	s.mu.Lock()
	s.fetch.applying = false
	s.newest = max(s.newest, t.rev) // also if it was not accepted
	out = s.advance(s.cfg.Now())
	s.mu.Unlock()
	s.sender.Send(out)
}

// text returns the text of a transfer that is complete, or ErrMalformed.
func (s *Spreader) text(t *transfer) ([]byte, error) {
	s.mu.Lock()
	base, baseDigest := s.held.Text, s.digest
	s.mu.Unlock()
	if t.base != (Digest{}) && t.base != baseDigest {
		return nil, ErrMalformed // another version has come from the store meanwhile
	}
	if t.identity() != t.id {
		return nil, ErrMalformed
	}
	text := base
	if t.size > 0 {
		if t.base == (Digest{}) {
			base = nil
		}
		var err error
		if text, err = unpack(t.packed, base); err != nil {
			return nil, err
		}
	}
	if digestOf(text) != t.digest {
		return nil, ErrMalformed
	}
	return text, nil
}
