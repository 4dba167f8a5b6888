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

// run is the loop that makes all budget decisions.
func (bm *BudgetManager) run() {
	tick := time.NewTicker(bbledger.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-bm.ctx.Done():
			return
		case <-bm.tasks.wake:
		case <-tick.C:
			bm.tick()
		}
		for _, fn := range bm.tasks.takeAll() {
			fn()
		}
		bm.serveWaiters()
		bm.sendAll(bm.wallet.DueMessages(bm.deps.Now(), bm.view))
		bm.serveWaiters()
	}
}

// tick passes the current view and ticket state to the allocators and refreshes
// the pages that are due.
func (bm *BudgetManager) tick() {
	view, state := bm.deps.Board.View.Load(), bm.deps.Board.State.Load()
	now := bm.deps.Now()
	if view != bm.view {
		bm.refresher.membershipChanged(now, bm.view, view)
		bm.view = view
	}
	if !bm.draining.Load() {
		for _, page := range bm.refresher.duePages(now, view) {
			bm.stepAllocator(bm.allocator(page), bbledger.Refresh{})
		}
	}
	for _, alloc := range bm.sortedAllocators() {
		if !alloc.Idle() {
			bm.stepAllocator(alloc, bbledger.Tick{View: view, State: state})
		}
	}
}

// allocator returns the allocator of a page and creates it if there is none.
func (bm *BudgetManager) allocator(page int) *bbledger.Allocator {
	alloc := bm.allocators[page]
	if alloc == nil {
		alloc = bbledger.NewAllocator(page, bm.self, bm.policy, bm.nextHolderNumber)
		bm.allocators[page] = alloc
		if bm.draining.Load() {
			bm.stepAllocator(alloc, bbledger.Retire{})
		}
	}
	return alloc
}

func (bm *BudgetManager) nextHolderNumber() uint64 {
	bm.lastHolderNumber++
	return bm.lastHolderNumber
}

func (bm *BudgetManager) sortedAllocators() []*bbledger.Allocator {
	out := make([]*bbledger.Allocator, 0, len(bm.allocators))
	for _, alloc := range bm.allocators {
		out = append(out, alloc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Page() < out[j].Page() })
	return out
}

// activate brings an idle allocator up to date, since idle allocators get no
// ticks.
func (bm *BudgetManager) activate(alloc *bbledger.Allocator) {
	if alloc.Idle() {
		bm.stepAllocator(alloc, bbledger.Tick{View: bm.deps.Board.View.Load(), State: bm.deps.Board.State.Load()})
	}
}

// stepAllocator passes an event to an allocator and carries out the resulting
// actions.
func (bm *BudgetManager) stepAllocator(alloc *bbledger.Allocator, ev any) {
	for _, action := range alloc.Step(bm.deps.Now(), ev) {
		switch action := action.(type) {
		case bbledger.Send:
			bm.send(action)
		case bbledger.Load:
			bm.wg.Go(func() { bm.loadPage(alloc) })
		case bbledger.Save:
			bm.wg.Go(func() { bm.savePage(alloc, action) })
		}
	}
}

// loadPage reads the allocator's page and passes the result back to it.
func (bm *BudgetManager) loadPage(alloc *bbledger.Allocator) {
	ctx, cancel := context.WithTimeout(bm.ctx, pageTimeout)
	defer cancel()
	bm.reads.Inc(1)
	ev := bbledger.Loaded{}
	entry, err := bm.deps.Store.Get(ctx, bbledger.PageKey(alloc.Page()))
	if err == nil {
		ev.Rev = entry.Rev
		ev.Page, err = bbledger.DecodePage(entry.Value)
	}
	bm.logStoreHealth(err, "read", alloc.Page())
	ev.Err = err
	bm.tasks.put(func() { bm.stepAllocator(alloc, ev) })
}

// logStoreHealth logs when reads or writes of pages begin to fail and when they
// succeed again, but not each call in between.
func (bm *BudgetManager) logStoreHealth(err error, call string, page int) {
	if failing := err != nil; bm.storeFailing.Swap(failing) == failing {
		return
	}
	log := bm.deps.Log.WithFields(logrus.Fields{"event": "pages", "call": call, "page": page})
	if err != nil {
		log.WithError(err).Warn("budget pages cannot be reached")
		return
	}
	log.Info("budget pages are reached again")
}

// savePage writes the allocator's page with compare-and-swap and passes the
// result back to it. A conflict is not logged: it shows that the service
// answers.
func (bm *BudgetManager) savePage(alloc *bbledger.Allocator, save bbledger.Save) {
	ctx, cancel := context.WithTimeout(bm.ctx, pageTimeout)
	defer cancel()
	bm.writes.Inc(1)
	ev := bbledger.Saved{}
	value, err := bbledger.EncodePage(save.Page)
	if err == nil {
		ev.Rev, err = bm.deps.Store.CAS(ctx, bbledger.PageKey(alloc.Page()), value, save.Prev, 0)
	}
	switch {
	case err == nil:
	case errors.Is(err, bbstore.ErrConflict):
		bm.conflicts.Inc(1)
	default:
		bm.unknowns.Inc(1)
	}
	if !errors.Is(err, bbstore.ErrConflict) {
		bm.logStoreHealth(err, "write", alloc.Page())
	}
	ev.Err = err
	bm.tasks.put(func() { bm.stepAllocator(alloc, ev) })
}

func (bm *BudgetManager) sendAll(list []bbledger.Send) {
	for _, s := range list {
		bm.send(s)
	}
}

// send delivers a message to an instance; a message to this instance is queued
// for the next round of the loop. A message that cannot be sent is dropped:
// wallet and allocators repeat what was not answered.
func (bm *BudgetManager) send(s bbledger.Send) {
	env := &bbwire.Envelope{From: string(bm.self.ID), Inc: uint64(bm.self.Inc)}
	wrapBudgetMessage(env, s.Body)
	if s.To == bm.self.ID {
		bm.tasks.put(func() { bm.receive(bm.self.ID, env) })
		return
	}
	if err := bm.deps.Bus.Send(s.To, env); err != nil {
		bm.deps.Log.WithError(err).WithField("to", s.To).Debug("budget message dropped; it is repeated until answered")
	}
}

// wrapBudgetMessage sets the envelope's body to a message of the budget
// protocol.
func wrapBudgetMessage(env *bbwire.Envelope, body any) {
	switch m := body.(type) {
	case *bbwire.GrantAsk:
		env.Body = &bbwire.Envelope_Grantask{Grantask: m}
	case *bbwire.GrantTell:
		env.Body = &bbwire.Envelope_Granttell{Granttell: m}
	case *bbwire.Mark:
		env.Body = &bbwire.Envelope_Mark{Mark: m}
	case *bbwire.MarkAck:
		env.Body = &bbwire.Envelope_Markack{Markack: m}
	case *bbwire.Freeze:
		env.Body = &bbwire.Envelope_Freeze{Freeze: m}
	case *bbwire.FreezeTell:
		env.Body = &bbwire.Envelope_Freezetell{Freezetell: m}
	case *bbwire.Surrender:
		env.Body = &bbwire.Envelope_Surrender{Surrender: m}
	case *bbwire.SurrenderTell:
		env.Body = &bbwire.Envelope_Surrendertell{Surrendertell: m}
	}
}

// registerHandlers queues the messages of the budget protocol for the loop. The
// handlers return no reply: replies are messages of their own.
func (bm *BudgetManager) registerHandlers() {
	for _, body := range []any{
		&bbwire.GrantAsk{}, &bbwire.GrantTell{}, &bbwire.Mark{}, &bbwire.MarkAck{},
		&bbwire.Freeze{}, &bbwire.FreezeTell{}, &bbwire.Surrender{}, &bbwire.SurrenderTell{},
	} {
		sample := &bbwire.Envelope{}
		wrapBudgetMessage(sample, body)
		bm.deps.Bus.Handle(sample, func(from bbunit.InstanceID, env *bbwire.Envelope) *bbwire.Envelope {
			bm.tasks.put(func() { bm.receive(from, env) })
			return nil
		})
	}
}

// receive handles one message of the budget protocol.
func (bm *BudgetManager) receive(from bbunit.InstanceID, env *bbwire.Envelope) {
	peer := bbledger.Peer{ID: from, Inc: bbunit.Incarnation(env.Inc)}
	switch body := env.Body.(type) {
	case *bbwire.Envelope_Grantask:
		bm.receiveGrantRequest(peer, body.Grantask)
	case *bbwire.Envelope_Granttell:
		// bm.view may be a tick behind and not have an instance that just joined.
		if m, ok := bm.deps.Board.View.Load().Find(from); ok {
			bm.sendAll(bm.wallet.HandleGrant(bm.deps.Now(), m.Domain, body.Granttell))
		}
	case *bbwire.Envelope_Mark:
		bm.send(bbledger.Send{To: from, Body: bm.witness.Mark(body.Mark)})
	case *bbwire.Envelope_Markack:
		bm.stepHolder(body.Markack.Holder, bbledger.MarkAcked{From: peer, Msg: body.Markack})
	case *bbwire.Envelope_Freeze:
		bm.send(bbledger.Send{To: from, Body: bm.witness.Freeze(body.Freeze)})
	case *bbwire.Envelope_Freezetell:
		bm.stepHolder(body.Freezetell.Holder, bbledger.Frozen{From: peer, Msg: body.Freezetell})
	case *bbwire.Envelope_Surrender:
		bm.send(bbledger.Send{To: from, Body: bm.wallet.Surrender(bbunit.HolderID(body.Surrender.Holder))})
	case *bbwire.Envelope_Surrendertell:
		bm.stepHolder(body.Surrendertell.Holder, bbledger.Surrendered{From: peer, Msg: body.Surrendertell})
	}
}

// stepHolder passes an event to the allocator of the holder's page, if this
// instance has one.
func (bm *BudgetManager) stepHolder(holder string, ev any) {
	if alloc := bm.allocators[bbledger.HolderPage(bbunit.HolderID(holder))]; alloc != nil {
		bm.activate(alloc)
		bm.stepAllocator(alloc, ev)
	}
}

// receiveGrantRequest splits a request for grants among the allocators of the
// pages that it concerns.
func (bm *BudgetManager) receiveGrantRequest(from bbledger.Peer, ask *bbwire.GrantAsk) {
	for _, req := range bbledger.SplitByPage(ask) {
		alloc := bm.allocator(req.Page)
		bm.activate(alloc)
		bm.stepAllocator(alloc, bbledger.GrantRequested{From: from, Msg: req.Request})
	}
}
