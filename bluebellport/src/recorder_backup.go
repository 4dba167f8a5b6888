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

// recordBackup sends copies of this instance's open and unacknowledged records
// to peers (Shadow messages), and keeps the copies of other instances. When an
// instance has been gone for the takeover time, each peer that keeps a copy
// submits it: final records unchanged, open requests as UNKNOWN. Both peers may
// do so, and the instance itself too, without effect on the result: a leaf
// takes the record of an owner once, and a bill replaces UNKNOWN.
type recordBackup struct {
	r         *Recorder
	intake    atomic.Pointer[backupEvent]
	openCount atomic.Int64 // this instance's requests that have not ended
	copyCount atomic.Int64 // records of other instances

	// The two maps below belong to run.
	records map[string]*bbwire.Record // by owner
	peers   map[bbunit.InstanceID]*backupPeer

	mu     sync.Mutex
	copies map[incarnationKey]*backupCopy
}

// backupEvent adds a record, or removes that of endedOwner if rec is nil.
type backupEvent struct {
	rec        *bbwire.Record
	endedOwner string
	next       *backupEvent
}

// backupPeer tracks what one peer has been sent and what it still has to be
// sent.
type backupPeer struct {
	inc       bbunit.Incarnation
	seq       uint64
	sent      map[string]struct{}
	adds      map[string]*bbwire.Record
	ends      []string
	sending   atomic.Bool
	needsFull atomic.Bool // the next message has to hold all records
}

// incarnationKey identifies one incarnation of an instance.
type incarnationKey struct {
	instance bbunit.InstanceID
	inc      bbunit.Incarnation
}

// backupCopy holds the records of one incarnation of an instance.
type backupCopy struct {
	seq          uint64
	records      map[string]*bbwire.Record
	missingSince time.Time // zero while the instance is in the view
}

func newRecordBackup(r *Recorder) *recordBackup {
	return &recordBackup{
		r: r, records: map[string]*bbwire.Record{},
		peers: map[bbunit.InstanceID]*backupPeer{}, copies: map[incarnationKey]*backupCopy{},
	}
}

func (b *recordBackup) push(ev *backupEvent) {
	for {
		ev.next = b.intake.Load()
		if b.intake.CompareAndSwap(ev.next, ev) {
			return
		}
	}
}

// add keeps copies of the record at the peers until its owner is removed. It
// takes no lock.
func (b *recordBackup) add(rec *bbwire.Record) { b.push(&backupEvent{rec: rec}) }

// remove drops the owner's record from the peers. It takes no lock.
func (b *recordBackup) remove(owner string) { b.push(&backupEvent{endedOwner: owner}) }

// run sends changes to the peers and submits the records of instances that are
// gone, until ctx ends.
func (b *recordBackup) run(ctx context.Context) {
	tick := time.NewTicker(b.r.opts.ClaimPeriod)
	defer tick.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	var lastOrphanCheck time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.applyEvents()
		b.sendAll(ctx, &wg)
		if now := b.r.Now(); now.Sub(lastOrphanCheck) >= orphanCheckInterval {
			lastOrphanCheck = now
			b.submitOrphans(now)
		}
	}
}

// applyEvents applies the queued events, oldest first.
func (b *recordBackup) applyEvents() {
	var events []*backupEvent
	for ev := b.intake.Swap(nil); ev != nil; ev = ev.next {
		events = append(events, ev)
	}
	for i := len(events) - 1; i >= 0; i-- {
		ev := events[i]
		if ev.rec == nil {
			b.apply(ev.endedOwner, nil)
			continue
		}
		b.apply(ev.rec.Owner, ev.rec)
	}
}

func (b *recordBackup) apply(owner string, rec *bbwire.Record) {
	previous := b.records[owner]
	b.openCount.Add(countOpen(rec) - countOpen(previous))
	if rec != nil {
		b.records[owner] = rec
	} else {
		delete(b.records, owner)
	}
	for _, p := range b.peers {
		p.queueChange(owner, rec)
	}
}

func countOpen(r *bbwire.Record) int64 {
	if r != nil && r.Kind == bbwire.Record_OPEN {
		return 1
	}
	return 0
}

func (p *backupPeer) queueChange(owner string, rec *bbwire.Record) {
	if rec != nil {
		p.adds[owner] = rec
		return
	}
	delete(p.adds, owner)
	if _, ok := p.sent[owner]; ok {
		delete(p.sent, owner)
		p.ends = append(p.ends, owner)
	}
}

// selectPeers returns the peers that keep the copies: of the own failure domain
// or, if it has no other instance, of any.
func (b *recordBackup) selectPeers() []bbmember.Member {
	view := b.r.Board.View.Load()
	key := "shadow/" + string(b.r.self.ID)
	for _, d := range []bbunit.DomainID{b.r.self.Domain, ""} {
		var out []bbmember.Member
		for _, m := range view.Rank(key, d, backupPeers+1) {
			if m.ID != b.r.self.ID && len(out) < backupPeers {
				out = append(out, m)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

func (b *recordBackup) sendAll(ctx context.Context, wg *conc.WaitGroup) {
	if b.r.Bus == nil {
		return
	}
	members := b.selectPeers()
	selected := map[bbunit.InstanceID]*backupPeer{}
	for _, m := range members {
		p := b.peers[m.ID]
		if p == nil || p.inc != m.Inc {
			p = &backupPeer{inc: m.Inc}
			p.needsFull.Store(true)
		}
		selected[m.ID] = p
		b.send(ctx, wg, m.ID, p)
	}
	for id := range b.peers {
		if selected[id] == nil {
			b.releasePeer(id)
		}
	}
	b.peers = selected
}

// releasePeer tells a peer that is no longer selected to drop its copy.
func (b *recordBackup) releasePeer(id bbunit.InstanceID) {
	m := &bbwire.Shadow{Seq: 1, Whole: true, Inc: uint64(b.r.self.Inc)}
	if err := b.r.Bus.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}}); err != nil {
		b.r.Log.WithError(err).WithField("instance", id).Debug("peer not told to drop its copy of the records")
	}
}

// send sends one peer its pending changes, unless a message to it is under way.
func (b *recordBackup) send(ctx context.Context, wg *conc.WaitGroup, id bbunit.InstanceID, p *backupPeer) {
	if p.sending.Load() {
		return
	}
	full := p.needsFull.Swap(false)
	if full {
		p.resetTo(b.records)
	}
	if len(p.adds)+len(p.ends) == 0 && !(full && p.seq > 0) {
		if full {
			p.needsFull.Store(true) // nothing to send yet
		}
		return
	}
	m := p.nextMessage(full, b.r.self.Inc)
	p.sending.Store(true)
	wg.Go(func() {
		defer p.sending.Store(false)
		ctx, cancel := context.WithTimeout(ctx, backupTimeout)
		defer cancel()
		e, err := b.r.Bus.Call(ctx, id, &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}})
		if err != nil || e.GetShadowtell() == nil || e.GetShadowtell().Gap {
			p.needsFull.Store(true)
		}
	})
}

// resetTo discards what the peer was sent and queues all records again.
func (p *backupPeer) resetTo(records map[string]*bbwire.Record) {
	p.sent, p.adds, p.ends = map[string]struct{}{}, map[string]*bbwire.Record{}, nil
	for owner, rec := range records {
		p.adds[owner] = rec
	}
}

// nextMessage moves the pending changes into a message.
func (p *backupPeer) nextMessage(full bool, inc bbunit.Incarnation) *bbwire.Shadow {
	p.seq++
	m := &bbwire.Shadow{Seq: p.seq, Whole: full, Ended: p.ends, Inc: uint64(inc)}
	for owner, rec := range p.adds {
		m.Records = append(m.Records, rec)
		p.sent[owner] = struct{}{}
	}
	p.adds, p.ends = map[string]*bbwire.Record{}, nil
	return m
}

// handleShadow applies another instance's message to its copy. The reply
// reports a gap if a message is missing before it; the sender then sends all
// records.
func (b *recordBackup) handleShadow(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	m := e.GetShadow()
	id := incarnationKey{from, bbunit.Incarnation(m.Inc)}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.copies[id]
	if c == nil || m.Whole {
		b.dropCopy(id)
		c = &backupCopy{records: map[string]*bbwire.Record{}}
		b.copies[id] = c
	}
	gap := !m.Whole && m.Seq != c.seq+1
	c.seq = m.Seq
	b.copyCount.Add(-int64(len(c.records)))
	for _, rec := range m.Records {
		if bbjournal.Check(rec) == nil && rec.Owner != "" {
			c.records[rec.Owner] = rec
		}
	}
	for _, owner := range m.Ended {
		delete(c.records, owner)
	}
	b.copyCount.Add(int64(len(c.records)))
	reply := &bbwire.ShadowTell{Seq: m.Seq, Gap: gap}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Shadowtell{Shadowtell: reply}}
}

// dropCopy removes a copy. b.mu must be held.
func (b *recordBackup) dropCopy(id incarnationKey) {
	if c := b.copies[id]; c != nil {
		b.copyCount.Add(-int64(len(c.records)))
		delete(b.copies, id)
	}
}

// submitOrphans submits the records of instances that are gone.
func (b *recordBackup) submitOrphans(now time.Time) {
	view := b.r.Board.View.Load()
	for _, rec := range b.takeOrphans(view, now) {
		final := bbjournal.Copy(rec)
		if final.Kind == bbwire.Record_OPEN {
			final.Kind = bbwire.Record_UNKNOWN
		}
		b.r.queueBill(final, nil)
	}
}

// takeOrphans removes and returns the records of instances that have been gone
// for the takeover time.
func (b *recordBackup) takeOrphans(view *bbmember.View, now time.Time) []*bbwire.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*bbwire.Record
	for id, c := range b.copies {
		m, ok := view.Find(id.instance)
		if ok && (m.Inc == id.inc || m.Inc == 0) {
			c.missingSince = time.Time{}
			continue
		}
		if c.missingSince.IsZero() {
			c.missingSince = now
		}
		if now.Sub(c.missingSince) < b.r.opts.TakeoverDelay {
			continue
		}
		for _, rec := range c.records {
			out = append(out, rec)
		}
		b.r.metrics.takeovers.Inc(1)
		b.r.Log.WithField("instance", id.instance).WithField("records", len(c.records)).Warn("records taken over")
		b.dropCopy(id)
	}
	return out
}
