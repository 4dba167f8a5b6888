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
func (t *BudgetManager) run() {
	tick := time.NewTicker(bbledger.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.tasks.wake:
		case <-tick.C:
			t.tick()
		}
		for _, fn := range t.tasks.takeAll() {
			fn()
		}
		t.serveWaiters()
		t.sendAll(t.wallet.DueMessages(t.deps.Now(), t.view))
		t.serveWaiters()
	}
}

// tick tells keepers the time and what is in force.
func (t *BudgetManager) tick() {
	v, st := t.deps.Board.View.Load(), t.deps.Board.State.Load()
	now := t.deps.Now()
	if v != t.view {
		t.refresher.membershipChanged(now, t.view, v)
		t.view = v
	}
	if !t.draining.Load() {
		for _, page := range t.refresher.duePages(now, v) {
			t.stepAllocator(t.allocator(page), bbledger.Refresh{})
		}
	}
	for _, k := range t.sortedAllocators() {
		if !k.Idle() {
			t.stepAllocator(k, bbledger.Tick{View: v, State: st})
		}
	}
}

// allocator returns the keeper of a page, a new one when there is none.
func (t *BudgetManager) allocator(page int) *bbledger.Allocator {
	k := t.allocators[page]
	if k == nil {
		k = bbledger.NewAllocator(page, t.self, t.policy, t.nextHolderNumber)
		t.allocators[page] = k
		if t.draining.Load() {
			t.stepAllocator(k, bbledger.Retire{})
		}
	}
	return k
}

func (t *BudgetManager) nextHolderNumber() uint64 {
	t.lastHolderNumber++
	return t.lastHolderNumber
}

func (t *BudgetManager) sortedAllocators() []*bbledger.Allocator {
	out := make([]*bbledger.Allocator, 0, len(t.allocators))
	for _, k := range t.allocators {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Page() < out[j].Page() })
	return out
}

// activate gives a keeper that had nothing to do the present time and state.
func (t *BudgetManager) activate(k *bbledger.Allocator) {
	if k.Idle() {
		t.stepAllocator(k, bbledger.Tick{View: t.deps.Board.View.Load(), State: t.deps.Board.State.Load()})
	}
}

// stepAllocator gives a keeper an event and carries out what it answers.
func (t *BudgetManager) stepAllocator(k *bbledger.Allocator, ev any) {
	for _, a := range k.Step(t.deps.Now(), ev) {
		switch a := a.(type) {
		case bbledger.Send:
			t.send(a)
		case bbledger.Load:
			t.wg.Go(func() { t.loadPage(k) })
		case bbledger.Save:
			t.wg.Go(func() { t.savePage(k, a) })
		}
	}
}

// loadPage reads a keeper's page.
func (t *BudgetManager) loadPage(k *bbledger.Allocator) {
	ctx, cancel := context.WithTimeout(t.ctx, pageTimeout)
	defer cancel()
	t.reads.Inc(1)
	ev := bbledger.Loaded{}
	x, err := t.deps.Store.Get(ctx, bbledger.PageKey(k.Page()))
	if err == nil {
		ev.Rev = x.Rev
		ev.Page, err = bbledger.DecodePage(x.Value)
	}
	t.logStoreHealth(err, "read", k.Page())
	ev.Err = err
	t.tasks.put(func() { t.stepAllocator(k, ev) })
}

// logStoreHealth logs when the key-value service stops answering for pages, and when
// it answers again, but not each call between.
func (t *BudgetManager) logStoreHealth(err error, call string, page int) {
	if failing := err != nil; t.storeFailing.Swap(failing) == failing {
		return
	}
	log := t.deps.Log.WithFields(logrus.Fields{"event": "pages", "call": call, "page": page})
	if err != nil {
		log.WithError(err).Warn("budget pages cannot be reached")
		return
	}
	log.Info("budget pages are reached again")
}

// savePage writes a keeper's page.
func (t *BudgetManager) savePage(k *bbledger.Allocator, a bbledger.Save) {
	ctx, cancel := context.WithTimeout(t.ctx, pageTimeout)
	defer cancel()
	t.writes.Inc(1)
	ev := bbledger.Saved{}
	value, err := bbledger.EncodePage(a.Page)
	if err == nil {
		ev.Rev, err = t.deps.Store.CAS(ctx, bbledger.PageKey(k.Page()), value, a.Prev, 0)
	}
	switch {
	case err == nil:
	case errors.Is(err, bbstore.ErrConflict):
		t.conflicts.Inc(1)
	default:
		t.unknowns.Inc(1)
	}
	if !errors.Is(err, bbstore.ErrConflict) {
		t.logStoreHealth(err, "write", k.Page())
	}
	ev.Err = err
	t.tasks.put(func() { t.stepAllocator(k, ev) })
}

func (t *BudgetManager) sendAll(list []bbledger.Send) {
	for _, s := range list {
		t.send(s)
	}
}

// send carries a message to an instance; one to this instance is handled in the
// next round of the loop. What cannot be sent is asked for again by the core.
func (t *BudgetManager) send(s bbledger.Send) {
	e := &bbwire.Envelope{From: string(t.self.ID), Inc: uint64(t.self.Inc)}
	wrapBudgetMessage(e, s.Body)
	if s.To == t.self.ID {
		t.tasks.put(func() { t.receive(t.self.ID, e) })
		return
	}
	if err := t.deps.Bus.Send(s.To, e); err != nil {
		t.deps.Log.WithError(err).WithField("to", s.To).Debug("budget message not sent")
	}
}

// wrapBudgetMessage puts a message of the budget protocol into an envelope.
func wrapBudgetMessage(e *bbwire.Envelope, body any) {
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

// registerHandlers registers for the messages of the budget protocol. Each is queued for
// the loop: answers are messages of their own.
func (t *BudgetManager) registerHandlers() {
	for _, body := range []any{
		&bbwire.GrantAsk{}, &bbwire.GrantTell{}, &bbwire.Mark{}, &bbwire.MarkAck{},
		&bbwire.Freeze{}, &bbwire.FreezeTell{}, &bbwire.Surrender{}, &bbwire.SurrenderTell{},
	} {
		sample := &bbwire.Envelope{}
		wrapBudgetMessage(sample, body)
		t.deps.Bus.Handle(sample, func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
			t.tasks.put(func() { t.receive(from, e) })
			return nil
		})
	}
}

// receive takes one message of the budget protocol.
func (t *BudgetManager) receive(from bbunit.InstanceID, e *bbwire.Envelope) {
	peer := bbledger.Peer{ID: from, Inc: bbunit.Incarnation(e.Inc)}
	switch b := e.Body.(type) {
	case *bbwire.Envelope_Grantask:
		t.receiveGrantRequest(peer, b.Grantask)
	case *bbwire.Envelope_Granttell:
		if m, ok := t.view.Find(from); ok {
			t.sendAll(t.wallet.HandleGrant(t.deps.Now(), m.Domain, b.Granttell))
		}
	case *bbwire.Envelope_Mark:
		t.send(bbledger.Send{To: from, Body: t.witness.Mark(b.Mark)})
	case *bbwire.Envelope_Markack:
		t.stepHolder(b.Markack.Holder, bbledger.MarkAcked{From: peer, Msg: b.Markack})
	case *bbwire.Envelope_Freeze:
		t.send(bbledger.Send{To: from, Body: t.witness.Freeze(b.Freeze)})
	case *bbwire.Envelope_Freezetell:
		t.stepHolder(b.Freezetell.Holder, bbledger.Frozen{From: peer, Msg: b.Freezetell})
	case *bbwire.Envelope_Surrender:
		t.send(bbledger.Send{To: from, Body: t.wallet.Surrender(bbunit.HolderID(b.Surrender.Holder))})
	case *bbwire.Envelope_Surrendertell:
		t.stepHolder(b.Surrendertell.Holder, bbledger.Surrendered{From: peer, Msg: b.Surrendertell})
	}
}

// stepHolder gives an event to the keeper of the page that the holder is on.
func (t *BudgetManager) stepHolder(holder string, ev any) {
	if k := t.allocators[bbledger.HolderPage(bbunit.HolderID(holder))]; k != nil {
		t.activate(k)
		t.stepAllocator(k, ev)
	}
}

// receiveGrantRequest deals an ask out to the keepers of its pages.
func (t *BudgetManager) receiveGrantRequest(from bbledger.Peer, m *bbwire.GrantAsk) {
	for _, x := range bbledger.SplitByPage(m) {
		k := t.allocator(x.Page)
		t.activate(k)
		t.stepAllocator(k, bbledger.GrantRequested{From: from, Msg: x.Request})
	}
}
