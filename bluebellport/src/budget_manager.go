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

// BudgetManager is the budget side of an instance: its purse, the keepers of the
// pages that it is home to, and what it witnesses for others. One goroutine
// runs their decisions; requests reserve from the purse without it.
type BudgetManager struct {
	deps         Deps
	self         bbmember.Member
	policy       bbledger.Policy
	wait         time.Duration
	wallet       *bbledger.Wallet
	tasks        mailbox
	ctx          context.Context
	wg           conc.WaitGroup
	draining     atomic.Bool
	storeFailing atomic.Bool // the last call for a page failed

	// The rest belongs to the goroutine of run.
	witness          bbledger.Witness
	allocators       map[int]*bbledger.Allocator
	lastHolderNumber uint64
	waiters          []*shareWaiter
	view             *bbmember.View
	refresher        pageRefresher

	reserved, refusedExhausted, refusedShare, waited metrics.Counter
	writes, reads, conflicts, unknowns               metrics.Counter
}

// NewBudgetManager returns a running treasury and a function that stops it without
// returning any money; Drain does that first.
func NewBudgetManager(p Deps) (*BudgetManager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	v := p.Board.View.Load()
	t := &BudgetManager{
		deps: p, self: v.Self, policy: p.Opts.Money.policy(), wait: p.Opts.Money.maxShareWait(),
		tasks: newMailbox(), ctx: ctx, allocators: map[int]*bbledger.Allocator{}, view: v,
		refresher: pageRefresher{lastRead: map[int]time.Time{}},
	}
	t.wallet = bbledger.NewWallet(t.self, t.policy)
	t.registerMetrics()
	t.registerHandlers()
	t.wg.Go(t.run)
	return t, func() {
		cancel()
		t.wg.Wait()
	}
}

func (t *BudgetManager) registerMetrics() {
	n := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, t.deps.Metrics) }
	t.reserved, t.waited = n("money.reserved"), n("money.waited")
	t.refusedExhausted, t.refusedShare = n("money.refused.budget"), n("money.refused.share")
	t.reads, t.writes = n("money.store.reads"), n("money.store.writes")
	t.conflicts, t.unknowns = n("money.store.conflicts"), n("money.store.unknowns")
}

// activeReservation is a Hold with what ends it.
type activeReservation struct {
	Reservation
	balance   *bbledger.Balance
	committed atomic.Bool
}

func (h *activeReservation) commit(used bbunit.Tokens) {
	if !h.committed.Swap(true) {
		h.balance.Commit(h.Max, used)
	}
}

func newReservation(pot *bbledger.Balance, most bbunit.Tokens) *Reservation {
	h := &activeReservation{Reservation: Reservation{Budget: pot.Budget, Holder: pot.Holder(), Max: most}, balance: pot}
	h.Reservation.Commit, h.Reservation.Refund = h.commit, pot.Refund
	return &h.Reservation
}

// Reserve sets most tokens aside from the first of the budgets that has them.
// It takes no lock and makes no call while the instance's share lasts;
// otherwise it waits for a share up to the context's deadline or the setting.
// bbledger.ErrAmount, ErrBudget or ErrShare.
func (t *BudgetManager) Reserve(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Reservation, error) {
	if err := bbledger.CheckAmount(most); err != nil {
		return nil, err
	}
	for _, b := range budgets {
		pot := t.wallet.Balance(b)
		if pot.Reserve(most) {
			if pot.Low() {
				t.tasks.notify()
			}
			t.reserved.Inc(1)
			return newReservation(pot, most), nil
		}
	}
	if len(budgets) == 0 {
		return nil, errors.Annotate(ErrBudgetExhausted, "no budget")
	}
	if t.draining.Load() {
		return nil, errors.Annotate(ErrShareUnavailable, "instance is stopping")
	}
	return t.reserveSlow(ctx, budgets, most)
}

// reserveSlow waits until the loop has reserved for the request.
func (t *BudgetManager) reserveSlow(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Reservation, error) {
	t.waited.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, t.wait)
	defer cancel()
	w := &shareWaiter{budgets: budgets, amount: most, done: make(chan struct{})}
	t.tasks.put(func() { t.addWaiter(w) })
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	pot, err := w.finish()
	t.tasks.put(func() { t.removeWaiter(w) })
	switch {
	case errors.Is(err, ErrBudgetExhausted):
		t.refusedExhausted.Inc(1)
		return nil, err
	case err != nil:
		t.refusedShare.Inc(1)
		return nil, err
	}
	t.reserved.Inc(1)
	return newReservation(pot, most), nil
}

// Drain returns all money that no request has reserved, closes the holders of
// this instance and waits until the page says so or ctx ends. Then it stays for
// drainStay, to repeat its reports and to answer the keepers that close holders
// at the same time.
func (t *BudgetManager) Drain(ctx context.Context) error {
	if err := t.drain(ctx); err != nil {
		return err
	}
	bbclock.Wait(ctx, drainLinger)
	return nil
}

func (t *BudgetManager) drain(ctx context.Context) error {
	t.draining.Store(true)
	t.tasks.put(func() {
		t.wallet.Drain()
		for _, k := range t.sortedAllocators() {
			t.stepAllocator(k, bbledger.Retire{})
		}
	})
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		done := make(chan bool, 1)
		t.tasks.put(func() { done <- t.drained() })
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

func (t *BudgetManager) drained() bool {
	for _, k := range t.allocators {
		if !k.Closed() {
			return false
		}
	}
	return t.wallet.Drained()
}
