package bbport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// shadow copies what is open or unacknowledged to peers, and keeps the copies of
// others. When an instance is gone for the takeover time, each peer that keeps a
// copy submits it: bills as they are, open requests as UNKNOWN. That both peers
// do so, or the instance after all, changes nothing: the leaf takes a record of
// an owner once, and a bill goes before UNKNOWN.
type shadow struct {
	r      *Recorder
	intake atomic.Pointer[shadowEvent]
	open   atomic.Int64 // own requests that have not ended
	kept   atomic.Int64 // records of others

	// owned by run
	standing map[string]*bbwire.Record // by owner
	peers    map[bbunit.InstanceID]*shadowPeer

	mu     sync.Mutex
	copies map[shadowID]*shadowCopy
}

// shadowEvent adds a record, or ends the owner's.
type shadowEvent struct {
	rec  *bbwire.Record
	end  string
	next *shadowEvent
}

// shadowPeer is what one peer was told and has to be told.
type shadowPeer struct {
	inc    bbunit.Incarnation
	seq    uint64
	known  map[string]struct{}
	adds   map[string]*bbwire.Record
	ends   []string
	busy   atomic.Bool
	failed atomic.Bool // the peer needs the whole
}

// shadowID names a life of an instance.
type shadowID struct {
	instance bbunit.InstanceID
	inc      bbunit.Incarnation
}

// shadowCopy is what is kept of one life of an instance.
type shadowCopy struct {
	seq     uint64
	records map[string]*bbwire.Record
	gone    time.Time // since when the instance is missing
}

func newShadow(r *Recorder) *shadow {
	return &shadow{
		r: r, standing: map[string]*bbwire.Record{},
		peers: map[bbunit.InstanceID]*shadowPeer{}, copies: map[shadowID]*shadowCopy{},
	}
}

func (s *shadow) push(ev *shadowEvent) {
	for {
		ev.next = s.intake.Load()
		if s.intake.CompareAndSwap(ev.next, ev) {
			return
		}
	}
}

// add has a record copied until its owner ends. It takes no lock.
func (s *shadow) add(rec *bbwire.Record) { s.push(&shadowEvent{rec: rec}) }

// end has the owner's record forgotten. It takes no lock.
func (s *shadow) end(owner string) { s.push(&shadowEvent{end: owner}) }

// run sends what changed to the peers and watches for instances that are gone,
// until ctx ends.
func (s *shadow) run(ctx context.Context) {
	tick := time.NewTicker(s.r.opts.ClaimPeriod)
	defer tick.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.drain()
		s.sendAll(ctx, &wg)
		if now := s.r.Now(); now.Sub(swept) >= shadowSweep {
			swept = now
			s.takeover(now)
		}
	}
}

// drain applies the events to what stands and to what the peers have to hear.
func (s *shadow) drain() {
	var evs []*shadowEvent
	for ev := s.intake.Swap(nil); ev != nil; ev = ev.next {
		evs = append(evs, ev)
	}
	for i := len(evs) - 1; i >= 0; i-- {
		ev := evs[i]
		if ev.rec == nil {
			s.apply(ev.end, nil)
			continue
		}
		s.apply(ev.rec.Owner, ev.rec)
	}
}

func (s *shadow) apply(owner string, rec *bbwire.Record) {
	old := s.standing[owner]
	s.open.Add(isOpen(rec) - isOpen(old))
	if rec != nil {
		s.standing[owner] = rec
	} else {
		delete(s.standing, owner)
	}
	for _, p := range s.peers {
		p.hear(owner, rec)
	}
}

func isOpen(r *bbwire.Record) int64 {
	if r != nil && r.Kind == bbwire.Record_OPEN {
		return 1
	}
	return 0
}

func (p *shadowPeer) hear(owner string, rec *bbwire.Record) {
	if rec != nil {
		p.adds[owner] = rec
		return
	}
	delete(p.adds, owner)
	if _, ok := p.known[owner]; ok {
		delete(p.known, owner)
		p.ends = append(p.ends, owner)
	}
}

// chosen returns the peers that keep the copy: of the own failure domain, else
// of any.
func (s *shadow) chosen() []bbmember.Member {
	v := s.r.Board.View.Load()
	key := "shadow/" + string(s.r.self.ID)
	for _, d := range []bbunit.DomainID{s.r.self.Domain, ""} {
		var out []bbmember.Member
		for _, m := range v.Rank(key, d, shadowPeers+1) {
			if m.ID != s.r.self.ID && len(out) < shadowPeers {
				out = append(out, m)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

func (s *shadow) sendAll(ctx context.Context, wg *conc.WaitGroup) {
	if s.r.Bus == nil {
		return
	}
	chosen := s.chosen()
	kept := map[bbunit.InstanceID]*shadowPeer{}
	for _, m := range chosen {
		p := s.peers[m.ID]
		if p == nil || p.inc != m.Inc {
			p = &shadowPeer{inc: m.Inc}
			p.failed.Store(true)
		}
		kept[m.ID] = p
		s.send(ctx, wg, m.ID, p)
	}
	for id := range s.peers {
		if kept[id] == nil {
			s.release(id)
		}
	}
	s.peers = kept
}

// release tells a peer that is not chosen any more to forget its copy.
func (s *shadow) release(id bbunit.InstanceID) {
	m := &bbwire.Shadow{Seq: 1, Whole: true, Inc: uint64(s.r.self.Inc)}
	if err := s.r.Bus.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}}); err != nil {
		s.r.Log.WithError(err).WithField("instance", id).Debug("copy not released")
	}
}

// send tells one peer what it does not know, unless a message is on its way.
func (s *shadow) send(ctx context.Context, wg *conc.WaitGroup, id bbunit.InstanceID, p *shadowPeer) {
	if p.busy.Load() {
		return
	}
	whole := p.failed.Swap(false)
	if whole {
		p.restart(s.standing)
	}
	if len(p.adds)+len(p.ends) == 0 && !(whole && p.seq > 0) {
		if whole {
			p.failed.Store(true) // nothing to tell yet
		}
		return
	}
	m := p.message(whole, s.r.self.Inc)
	p.busy.Store(true)
	wg.Go(func() {
		defer p.busy.Store(false)
		ctx, cancel := context.WithTimeout(ctx, shadowTimeout)
		defer cancel()
		e, err := s.r.Bus.Call(ctx, id, &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}})
		if err != nil || e.GetShadowtell() == nil || e.GetShadowtell().Gap {
			p.failed.Store(true)
		}
	})
}

// restart makes all that stands unknown to the peer.
func (p *shadowPeer) restart(standing map[string]*bbwire.Record) {
	p.known, p.adds, p.ends = map[string]struct{}{}, map[string]*bbwire.Record{}, nil
	for owner, rec := range standing {
		p.adds[owner] = rec
	}
}

// message takes what the peer has to hear.
func (p *shadowPeer) message(whole bool, inc bbunit.Incarnation) *bbwire.Shadow {
	p.seq++
	m := &bbwire.Shadow{Seq: p.seq, Whole: whole, Ended: p.ends, Inc: uint64(inc)}
	for owner, rec := range p.adds {
		m.Records = append(m.Records, rec)
		p.known[owner] = struct{}{}
	}
	p.adds, p.ends = map[string]*bbwire.Record{}, nil
	return m
}

// take keeps what another instance tells.
func (s *shadow) take(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	m := e.GetShadow()
	id := shadowID{from, bbunit.Incarnation(m.Inc)}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[id]
	if c == nil || m.Whole {
		s.forget(id)
		c = &shadowCopy{records: map[string]*bbwire.Record{}}
		s.copies[id] = c
	}
	gap := !m.Whole && m.Seq != c.seq+1
	c.seq = m.Seq
	s.kept.Add(-int64(len(c.records)))
	for _, rec := range m.Records {
		if bbjournal.Check(rec) == nil && rec.Owner != "" {
			c.records[rec.Owner] = rec
		}
	}
	for _, owner := range m.Ended {
		delete(c.records, owner)
	}
	s.kept.Add(int64(len(c.records)))
	tell := &bbwire.ShadowTell{Seq: m.Seq, Gap: gap}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Shadowtell{Shadowtell: tell}}
}

// forget drops a copy. The shadow is locked.
func (s *shadow) forget(id shadowID) {
	if c := s.copies[id]; c != nil {
		s.kept.Add(-int64(len(c.records)))
		delete(s.copies, id)
	}
}

// takeover submits the records of instances that are gone.
func (s *shadow) takeover(now time.Time) {
	v := s.r.Board.View.Load()
	for _, rec := range s.orphans(v, now) {
		c := bbjournal.Copy(rec)
		if c.Kind == bbwire.Record_OPEN {
			c.Kind = bbwire.Record_UNKNOWN
		}
		s.r.queueBill(c, nil)
	}
}

// orphans returns the records of instances that are gone for the takeover time,
// and forgets them.
func (s *shadow) orphans(v *bbmember.View, now time.Time) []*bbwire.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*bbwire.Record
	for id, c := range s.copies {
		m, ok := v.Find(id.instance)
		if ok && (m.Inc == id.inc || m.Inc == 0) {
			c.gone = time.Time{}
			continue
		}
		if c.gone.IsZero() {
			c.gone = now
		}
		if now.Sub(c.gone) < s.r.opts.Takeover {
			continue
		}
		for _, rec := range c.records {
			out = append(out, rec)
		}
		s.r.count.takeovers.Inc(1)
		s.r.Log.WithField("instance", id.instance).WithField("records", len(c.records)).Warn("records taken over")
		s.forget(id)
	}
	return out
}
