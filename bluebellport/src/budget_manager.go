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

// BudgetManager is the budget side of an instance: its wallet, the allocators
// of the pages whose home it is, and the marks that it witnesses for other
// instances. All decisions run on one goroutine; requests reserve from the
// wallet without going through it.
type BudgetManager struct {
	deps         Deps
	self         bbmember.Member
	policy       bbledger.Policy
	maxShareWait time.Duration
	wallet       *bbledger.Wallet
	tasks        mailbox
	ctx          context.Context
	wg           conc.WaitGroup
	draining     atomic.Bool
	storeFailing atomic.Bool // the last read or write of a page failed

	// The fields below are used only by the goroutine of run.
	witness          bbledger.Witness
	allocators       map[int]*bbledger.Allocator
	lastHolderNumber uint64
	waiters          []*shareWaiter
	view             *bbmember.View
	refresher        pageRefresher

	reserved, refusedExhausted, refusedNoShare, waited metrics.Counter
	writes, reads, conflicts, unknowns                 metrics.Counter
}

// NewBudgetManager returns a running budget manager and a function that stops
// it without returning any tokens; call Drain first for that.
func NewBudgetManager(deps Deps) (*BudgetManager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	view := deps.Board.View.Load()
	bm := &BudgetManager{
		deps: deps, self: view.Self, policy: deps.Opts.Budget.policy(), maxShareWait: deps.Opts.Budget.maxShareWait(),
		tasks: newMailbox(), ctx: ctx, allocators: map[int]*bbledger.Allocator{}, view: view,
		refresher: pageRefresher{lastRead: map[int]time.Time{}},
	}
	bm.wallet = bbledger.NewWallet(bm.self, bm.policy)
	bm.registerMetrics()
	bm.registerHandlers()
	bm.wg.Go(bm.run)
	return bm, func() {
		cancel()
		bm.wg.Wait()
	}
}

func (bm *BudgetManager) registerMetrics() {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, bm.deps.Metrics) }
	bm.reserved, bm.waited = counter("money.reserved"), counter("money.waited")
	bm.refusedExhausted, bm.refusedNoShare = counter("money.refused.budget"), counter("money.refused.share")
	bm.reads, bm.writes = counter("money.store.reads"), counter("money.store.writes")
	bm.conflicts, bm.unknowns = counter("money.store.conflicts"), counter("money.store.unknowns")
}

// activeReservation is the state behind a Reservation. It makes sure that only
// the first Commit counts.
type activeReservation struct {
	Reservation
	balance   *bbledger.Balance
	committed atomic.Bool
}

func (r *activeReservation) commit(used bbunit.Tokens) {
	if !r.committed.Swap(true) {
		r.balance.Commit(r.Amount, used)
	}
}

func newReservation(balance *bbledger.Balance, amount bbunit.Tokens) *Reservation {
	r := &activeReservation{Reservation: Reservation{Budget: balance.Budget, Holder: balance.Holder(), Amount: amount}, balance: balance}
	r.Reservation.Commit, r.Reservation.Refund = r.commit, balance.Refund
	return &r.Reservation
}

// Reserve sets amount tokens aside from the first of the budgets that has them.
// While this instance's share lasts, it takes no lock and makes no call;
// otherwise it waits for a share until the context's deadline, but at most for
// the configured share wait. The error is bbledger.ErrAmountRange,
// ErrBudgetExhausted or ErrShareUnavailable.
func (bm *BudgetManager) Reserve(ctx context.Context, budgets []bbunit.BudgetID, amount bbunit.Tokens) (*Reservation, error) {
	if err := bbledger.CheckAmount(amount); err != nil {
		return nil, err
	}
	for _, b := range budgets {
		balance := bm.wallet.Balance(b)
		if balance.Reserve(amount) {
			if balance.Low() {
				bm.tasks.notify()
			}
			bm.reserved.Inc(1)
			return newReservation(balance, amount), nil
		}
	}
	if len(budgets) == 0 {
		return nil, errors.Annotate(ErrBudgetExhausted, "no budget")
	}
	if bm.draining.Load() {
		return nil, errors.Annotate(ErrShareUnavailable, "instance is stopping")
	}
	return bm.reserveSlow(ctx, budgets, amount)
}

// reserveSlow queues the request for the loop and waits until the loop has
// reserved for it or refused it.
func (bm *BudgetManager) reserveSlow(ctx context.Context, budgets []bbunit.BudgetID, amount bbunit.Tokens) (*Reservation, error) {
	bm.waited.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, bm.maxShareWait)
	defer cancel()
	w := &shareWaiter{budgets: budgets, amount: amount, done: make(chan struct{})}
	bm.tasks.put(func() { bm.addWaiter(w) })
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-bm.ctx.Done():
	}
	balance, err := w.finish()
	bm.tasks.put(func() { bm.removeWaiter(w) })
	switch {
	case errors.Is(err, ErrBudgetExhausted):
		bm.refusedExhausted.Inc(1)
		return nil, err
	case err != nil:
		bm.refusedNoShare.Inc(1)
		return nil, err
	}
	bm.reserved.Inc(1)
	return newReservation(balance, amount), nil
}

// Drain returns all tokens that no request has reserved, closes this instance's
// holders and waits until the pages show them closed, or until ctx ends. It
// then lingers for drainLinger to repeat its reports and to answer allocators
// that close holders at the same time.
func (bm *BudgetManager) Drain(ctx context.Context) error {
	if err := bm.drain(ctx); err != nil {
		return err
	}
	bbclock.Wait(ctx, drainLinger)
	return nil
}

func (bm *BudgetManager) drain(ctx context.Context) error {
	bm.draining.Store(true)
	bm.tasks.put(func() {
		bm.wallet.Drain()
		for _, alloc := range bm.sortedAllocators() {
			bm.stepAllocator(alloc, bbledger.Retire{})
		}
	})
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		done := make(chan bool, 1)
		bm.tasks.put(func() { done <- bm.drained() })
		select {
		case ok := <-done:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "drain budgets")
		case <-bm.ctx.Done():
			return errors.Annotate(bm.ctx.Err(), "drain budgets")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (bm *BudgetManager) drained() bool {
	for _, alloc := range bm.allocators {
		if !alloc.Closed() {
			return false
		}
	}
	return bm.wallet.Drained()
}
