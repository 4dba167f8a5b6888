package bbport

import (
	"context"
	"sort"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// run is the one goroutine of all budget decisions.
func (t *Treasury) run() {
	tick := time.NewTicker(bbledger.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.box.wake:
		case <-tick.C:
			t.tick()
		}
		for _, fn := range t.box.take() {
			fn()
		}
		t.serveWaiters()
		t.sendAll(t.purse.DueMessages(t.p.Now(), t.view))
		t.serveWaiters()
	}
}

// tick tells keepers the time and what is in force.
func (t *Treasury) tick() {
	v, st := t.p.Board.View.Load(), t.p.Board.State.Load()
	now := t.p.Now()
	if v != t.view {
		t.visits.changed(now, t.view, v)
		t.view = v
	}
	if !t.closing.Load() {
		for _, page := range t.visits.due(now, v) {
			t.step(t.keeper(page), bbledger.Refresh{})
		}
	}
	for _, k := range t.sorted() {
		if !k.Idle() {
			t.step(k, bbledger.Tick{View: v, State: st})
		}
	}
}

// keeper returns the keeper of a page, a new one when there is none.
func (t *Treasury) keeper(page int) *bbledger.Allocator {
	k := t.keepers[page]
	if k == nil {
		k = bbledger.NewAllocator(page, t.self, t.policy, t.nextHolder)
		t.keepers[page] = k
		if t.closing.Load() {
			t.step(k, bbledger.Retire{})
		}
	}
	return k
}

func (t *Treasury) nextHolder() uint64 {
	t.holders++
	return t.holders
}

func (t *Treasury) sorted() []*bbledger.Allocator {
	out := make([]*bbledger.Allocator, 0, len(t.keepers))
	for _, k := range t.keepers {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Page() < out[j].Page() })
	return out
}

// wakeKeeper gives a keeper that had nothing to do the present time and state.
func (t *Treasury) wakeKeeper(k *bbledger.Allocator) {
	if k.Idle() {
		t.step(k, bbledger.Tick{View: t.p.Board.View.Load(), State: t.p.Board.State.Load()})
	}
}

// step gives a keeper an event and carries out what it answers.
func (t *Treasury) step(k *bbledger.Allocator, ev any) {
	for _, a := range k.Step(t.p.Now(), ev) {
		switch a := a.(type) {
		case bbledger.Send:
			t.send(a)
		case bbledger.Load:
			t.wg.Go(func() { t.load(k) })
		case bbledger.Save:
			t.wg.Go(func() { t.save(k, a) })
		}
	}
}

// load reads a keeper's page.
func (t *Treasury) load(k *bbledger.Allocator) {
	ctx, cancel := context.WithTimeout(t.ctx, pageTimeout)
	defer cancel()
	t.reads.Inc(1)
	ev := bbledger.Loaded{}
	x, err := t.p.Store.Get(ctx, bbledger.PageKey(k.Page()))
	if err == nil {
		ev.Rev = x.Rev
		ev.Page, err = bbledger.DecodePage(x.Value)
	}
	t.noteStore(err, "read", k.Page())
	ev.Err = err
	t.box.put(func() { t.step(k, ev) })
}

// noteStore logs when the key-value service stops answering for pages, and when
// it answers again, but not each call between.
func (t *Treasury) noteStore(err error, call string, page int) {
	if failing := err != nil; t.failing.Swap(failing) == failing {
		return
	}
	log := t.p.Log.WithFields(logrus.Fields{"event": "pages", "call": call, "page": page})
	if err != nil {
		log.WithError(err).Warn("budget pages cannot be reached")
		return
	}
	log.Info("budget pages are reached again")
}

// save writes a keeper's page.
func (t *Treasury) save(k *bbledger.Allocator, a bbledger.Save) {
	ctx, cancel := context.WithTimeout(t.ctx, pageTimeout)
	defer cancel()
	t.writes.Inc(1)
	ev := bbledger.Saved{}
	value, err := bbledger.EncodePage(a.Page)
	if err == nil {
		ev.Rev, err = t.p.Store.CAS(ctx, bbledger.PageKey(k.Page()), value, a.Prev, 0)
	}
	switch {
	case err == nil:
	case errors.Is(err, bbstore.ErrConflict):
		t.conflicts.Inc(1)
	default:
		t.unknowns.Inc(1)
	}
	if !errors.Is(err, bbstore.ErrConflict) {
		t.noteStore(err, "write", k.Page())
	}
	ev.Err = err
	t.box.put(func() { t.step(k, ev) })
}

func (t *Treasury) sendAll(list []bbledger.Send) {
	for _, s := range list {
		t.send(s)
	}
}

// send carries a message to an instance; one to this instance is handled in the
// next round of the loop. What cannot be sent is asked for again by the core.
func (t *Treasury) send(s bbledger.Send) {
	e := &bbwire.Envelope{From: string(t.self.ID), Inc: uint64(t.self.Inc)}
	wrap(e, s.Body)
	if s.To == t.self.ID {
		t.box.put(func() { t.receive(t.self.ID, e) })
		return
	}
	if err := t.p.Bus.Send(s.To, e); err != nil {
		t.p.Log.WithError(err).WithField("to", s.To).Debug("budget message not sent")
	}
}

// wrap puts a message of the budget protocol into an envelope.
func wrap(e *bbwire.Envelope, body any) {
	switch m := body.(type) {
	case *bbwire.GrantAsk:
		e.Body = &bbwire.Envelope_Grantask{Grantask: m}
	case *bbwire.GrantTell:
		e.Body = &bbwire.Envelope_Granttell{Granttell: m}
	case *bbwire.Mark:
		e.Body = &bbwire.Envelope_Mark{Mark: m}
	case *bbwire.MarkAck:
		e.Body = &bbwire.Envelope_Markack{Markack: m}
	case *bbwire.Freeze:
		e.Body = &bbwire.Envelope_Freeze{Freeze: m}
	case *bbwire.FreezeTell:
		e.Body = &bbwire.Envelope_Freezetell{Freezetell: m}
	case *bbwire.Surrender:
		e.Body = &bbwire.Envelope_Surrender{Surrender: m}
	case *bbwire.SurrenderTell:
		e.Body = &bbwire.Envelope_Surrendertell{Surrendertell: m}
	}
}

// handle registers for the messages of the budget protocol. Each is queued for
// the loop: answers are messages of their own.
func (t *Treasury) handle() {
	for _, body := range []any{
		&bbwire.GrantAsk{}, &bbwire.GrantTell{}, &bbwire.Mark{}, &bbwire.MarkAck{},
		&bbwire.Freeze{}, &bbwire.FreezeTell{}, &bbwire.Surrender{}, &bbwire.SurrenderTell{},
	} {
		sample := &bbwire.Envelope{}
		wrap(sample, body)
		t.p.Bus.Handle(sample, func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
			t.box.put(func() { t.receive(from, e) })
			return nil
		})
	}
}

// receive takes one message of the budget protocol.
func (t *Treasury) receive(from bbunit.InstanceID, e *bbwire.Envelope) {
	peer := bbledger.Peer{ID: from, Inc: bbunit.Incarnation(e.Inc)}
	switch b := e.Body.(type) {
	case *bbwire.Envelope_Grantask:
		t.receiveAsk(peer, b.Grantask)
	case *bbwire.Envelope_Granttell:
		if m, ok := t.view.Find(from); ok {
			t.sendAll(t.purse.HandleGrant(t.p.Now(), m.Domain, b.Granttell))
		}
	case *bbwire.Envelope_Mark:
		t.send(bbledger.Send{To: from, Body: t.witness.Mark(b.Mark)})
	case *bbwire.Envelope_Markack:
		t.toHolder(b.Markack.Holder, bbledger.MarkAcked{From: peer, Msg: b.Markack})
	case *bbwire.Envelope_Freeze:
		t.send(bbledger.Send{To: from, Body: t.witness.Freeze(b.Freeze)})
	case *bbwire.Envelope_Freezetell:
		t.toHolder(b.Freezetell.Holder, bbledger.Frozen{From: peer, Msg: b.Freezetell})
	case *bbwire.Envelope_Surrender:
		t.send(bbledger.Send{To: from, Body: t.purse.Surrender(bbunit.HolderID(b.Surrender.Holder))})
	case *bbwire.Envelope_Surrendertell:
		t.toHolder(b.Surrendertell.Holder, bbledger.Surrendered{From: peer, Msg: b.Surrendertell})
	}
}

// toHolder gives an event to the keeper of the page that the holder is on.
func (t *Treasury) toHolder(holder string, ev any) {
	if k := t.keepers[bbledger.HolderPage(bbunit.HolderID(holder))]; k != nil {
		t.wakeKeeper(k)
		t.step(k, ev)
	}
}

// receiveAsk deals an ask out to the keepers of its pages.
func (t *Treasury) receiveAsk(from bbledger.Peer, m *bbwire.GrantAsk) {
	for _, x := range bbledger.SplitByPage(m) {
		k := t.keeper(x.Page)
		t.wakeKeeper(k)
		t.step(k, bbledger.GrantRequested{From: from, Msg: x.Request})
	}
}
