package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

// Treasury is the budget side of an instance: its purse, the keepers of the
// pages that it is home to, and what it witnesses for others. One goroutine
// runs their decisions; requests reserve from the purse without it.
type Treasury struct {
	p       Parts
	self    bbmember.Member
	policy  bbledger.Policy
	wait    time.Duration
	purse   *bbledger.Wallet
	box     mailbox
	ctx     context.Context
	wg      conc.WaitGroup
	closing atomic.Bool
	failing atomic.Bool // the last call for a page failed

	// The rest belongs to the goroutine of run.
	witness bbledger.Witness
	keepers map[int]*bbledger.Allocator
	holders uint64
	waiters []*shareWaiter
	view    *bbmember.View
	visits  visits

	reserved, refusedBudget, refusedShare, waited metrics.Counter
	writes, reads, conflicts, unknowns            metrics.Counter
}

// NewTreasury returns a running treasury and a function that stops it without
// returning any money; Drain does that first.
func NewTreasury(p Parts) (*Treasury, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	v := p.Board.View.Load()
	t := &Treasury{
		p: p, self: v.Self, policy: p.Opts.Money.policy(), wait: p.Opts.Money.wait(),
		box: newMailbox(), ctx: ctx, keepers: map[int]*bbledger.Allocator{}, view: v,
		visits: visits{seen: map[int]time.Time{}},
	}
	t.purse = bbledger.NewWallet(t.self, t.policy)
	t.count()
	t.handle()
	t.wg.Go(t.run)
	return t, func() {
		cancel()
		t.wg.Wait()
	}
}

func (t *Treasury) count() {
	n := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, t.p.Metrics) }
	t.reserved, t.waited = n("money.reserved"), n("money.waited")
	t.refusedBudget, t.refusedShare = n("money.refused.budget"), n("money.refused.share")
	t.reads, t.writes = n("money.store.reads"), n("money.store.writes")
	t.conflicts, t.unknowns = n("money.store.conflicts"), n("money.store.unknowns")
}

// hold is a Hold with what ends it.
type hold struct {
	Hold
	pot   *bbledger.Balance
	ended atomic.Bool
}

func (h *hold) end(used bbunit.Tokens) {
	if !h.ended.Swap(true) {
		h.pot.Commit(h.Most, used)
	}
}

func newHold(pot *bbledger.Balance, most bbunit.Tokens) *Hold {
	h := &hold{Hold: Hold{Budget: pot.Budget, Holder: pot.Holder(), Most: most}, pot: pot}
	h.Hold.End, h.Hold.Refund = h.end, pot.Refund
	return &h.Hold
}

// Reserve sets most tokens aside from the first of the budgets that has them.
// It takes no lock and makes no call while the instance's share lasts;
// otherwise it waits for a share up to the context's deadline or the setting.
// bbledger.ErrAmount, ErrBudget or ErrShare.
func (t *Treasury) Reserve(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Hold, error) {
	if err := bbledger.CheckAmount(most); err != nil {
		return nil, err
	}
	for _, b := range budgets {
		pot := t.purse.Balance(b)
		if pot.Reserve(most) {
			if pot.Low() {
				t.box.nudge()
			}
			t.reserved.Inc(1)
			return newHold(pot, most), nil
		}
	}
	if len(budgets) == 0 {
		return nil, errors.Annotate(ErrBudget, "no budget")
	}
	if t.closing.Load() {
		return nil, errors.Annotate(ErrShare, "instance is stopping")
	}
	return t.reserveSlow(ctx, budgets, most)
}

// reserveSlow waits until the loop has reserved for the request.
func (t *Treasury) reserveSlow(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Hold, error) {
	t.waited.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, t.wait)
	defer cancel()
	w := &shareWaiter{budgets: budgets, most: most, done: make(chan struct{})}
	t.box.put(func() { t.join(w) })
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	pot, err := w.take()
	t.box.put(func() { t.leave(w) })
	switch {
	case errors.Is(err, ErrBudget):
		t.refusedBudget.Inc(1)
		return nil, err
	case err != nil:
		t.refusedShare.Inc(1)
		return nil, err
	}
	t.reserved.Inc(1)
	return newHold(pot, most), nil
}

// Drain returns all money that no request has reserved, closes the holders of
// this instance and waits until the page says so or ctx ends. Then it stays for
// drainStay, to repeat its reports and to answer the keepers that close holders
// at the same time.
func (t *Treasury) Drain(ctx context.Context) error {
	if err := t.drain(ctx); err != nil {
		return err
	}
	bbclock.Wait(ctx, drainStay)
	return nil
}

func (t *Treasury) drain(ctx context.Context) error {
	t.closing.Store(true)
	t.box.put(func() {
		t.purse.Drain()
		for _, k := range t.sorted() {
			t.step(k, bbledger.Retire{})
		}
	})
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		done := make(chan bool, 1)
		t.box.put(func() { done <- t.drained() })
		select {
		case ok := <-done:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "drain budgets")
		case <-t.ctx.Done():
			return errors.Annotate(t.ctx.Err(), "drain budgets")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (t *Treasury) drained() bool {
	for _, k := range t.keepers {
		if !k.Closed() {
			return false
		}
	}
	return t.purse.Drained()
}
