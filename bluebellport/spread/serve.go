package bbspread

import (
	"math"
	"time"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// answer returns the reply to an ASK: the next piece, when to ask again, or only
// the newest revision if the peer has it.
func (s *Spreader) answer(from bbunit.InstanceID, ask *bbwire.Spread, now time.Time) []outgoing {
	tell := &bbwire.Spread{Kind: bbwire.Spread_TELL, Revision: int64(s.newest)}
	have, ok := readDigest(ask.GetBase())
	id, okID := readDigest(ask.GetPacked())
	if !ok || !okID {
		s.malformed.Inc(1)
		return nil
	}
	if bbstore.Revision(ask.GetRevision()) >= s.newest {
		return []outgoing{{To: from, Msg: tell}}
	}
	offset := int(ask.GetOffset())
	it := s.shelf.byID(id)
	if it == nil || offset >= len(it.packed) {
		it, offset = s.itemFor(have, bbstore.Revision(ask.GetRevision())), 0
	}
	switch {
	case it == nil:
		tell.Wait = uint32(minBusyPause.Milliseconds()) // it is being packed
	case len(it.packed) > pieceBytes && !s.admit(from, now):
		tell.Wait = uint32(minBusyPause.Milliseconds())
	default:
		if wait := s.pace.take(min(pieceBytes, len(it.packed)-offset), now); wait > 0 {
			tell.Wait = uint32(max(wait.Milliseconds(), 1))
			break
		}
		it.askedAt = now
		s.fill(tell, it, offset)
		if offset+pieceBytes >= len(it.packed) {
			delete(s.served, from)
		}
	}
	return []outgoing{{To: from, Msg: tell}}
}

// fill adds a piece to a reply.
func (s *Spreader) fill(tell *bbwire.Spread, it *item, offset int) {
	tell.Revision, tell.Base, tell.Digest, tell.Packed = int64(it.rev), it.base.encode(), it.digest.encode(), it.id.encode()
	tell.Size, tell.Offset = uint32(len(it.packed)), uint32(offset)
	tell.Piece = it.packed[offset:min(offset+pieceBytes, len(it.packed))]
}

// itemFor returns the best packed form for a peer that has a text and has looked at a
// revision, nil if it has to be made.
func (s *Spreader) itemFor(have Digest, seen bbstore.Revision) *item {
	if have == s.digest && have != (Digest{}) && s.held.Rev > seen { // the same text at a newer revision
		return newItem(s.held.Rev, have, have, nil, s.cfg.Now())
	}
	it := s.shelf.best(have, seen)
	if it == nil && s.held.Rev > seen {
		s.packWhole()
	}
	return it
}

// packWhole packs the version in force apart.
func (s *Spreader) packWhole() {
	if s.packing || len(s.held.Text) == 0 {
		return
	}
	s.packing = true
	v, digest := s.held, s.digest
	s.cfg.Go(func() {
		packed, err := pack(v.Text, nil)
		now := s.cfg.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.packing = false
		if err != nil {
			s.cfg.Log.WithError(err).Warn("plan not packed; peers have to read it from the store")
			return
		}
		s.shelf.put(newItem(v.Rev, Digest{}, digest, packed, now), now)
	})
}

// admit reports whether a peer is among the few that get pieces of a larger packed
// form at a time.
func (s *Spreader) admit(from bbunit.InstanceID, now time.Time) bool {
	for id, at := range s.served {
		if now.Sub(at) > servedPeriod {
			delete(s.served, id)
		}
	}
	if _, ok := s.served[from]; !ok && len(s.served) >= maxServed {
		return false
	}
	s.served[from] = now
	return true
}

// pace limits the bytes that are sent in pieces, to leave the link to all else.
type pace struct {
	rate   float64 // bytes a second, 0 for no limit
	tokens float64
	at     time.Time
}

func newPace(rate float64, now time.Time) pace {
	return pace{rate: rate, tokens: burstPieces * pieceBytes, at: now}
}

// take takes n bytes, or returns how long it takes until they can be sent.
func (p *pace) take(n int, now time.Time) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.tokens = math.Min(p.tokens+now.Sub(p.at).Seconds()*p.rate, burstPieces*pieceBytes)
	p.at = now
	if missing := float64(n) - p.tokens; missing > 0 {
		return time.Duration(missing / p.rate * float64(time.Second))
	}
	p.tokens -= float64(n)
	return 0
}
