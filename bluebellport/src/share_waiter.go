package bbport

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// shareWaiter is a request that waits for a budget share. It ends once: either
// the loop resolves it or the request gives up.
type shareWaiter struct {
	budgets []bbunit.BudgetID
	amount  bbunit.Tokens
	done    chan struct{}

	finished atomic.Bool // resolved or given up
	balance  *bbledger.Balance
	err      error

	budgetIndex int // the budget in budgets that is waited for; used only by the loop
	retryIndex  int // the first budget that may be refunded; -1 for none
	waitingOn   *bbledger.Balance
}

// finish ends the wait and returns the loop's result, or ErrShareUnavailable if
// there is none yet.
func (w *shareWaiter) finish() (*bbledger.Balance, error) {
	if !w.finished.Swap(true) {
		return nil, errors.Annotate(ErrShareUnavailable, "no share in time")
	}
	<-w.done
	return w.balance, w.err
}

// resolve hands the request its balance or an error. It returns false when the
// request has already given up.
func (w *shareWaiter) resolve(balance *bbledger.Balance, err error) bool {
	if w.finished.Swap(true) {
		return false
	}
	w.balance, w.err = balance, err
	close(w.done)
	return true
}

func (bm *BudgetManager) addWaiter(w *shareWaiter) {
	if w.finished.Load() {
		return
	}
	bm.waiters = append(bm.waiters, w)
	w.retryIndex = -1
	bm.waitOn(w, 0)
}

// waitOn makes the waiter wait for its budget at index instead of the current
// one.
func (bm *BudgetManager) waitOn(w *shareWaiter, index int) {
	bm.stopWaiting(w)
	w.budgetIndex, w.waitingOn = index, bm.wallet.Balance(w.budgets[index])
	bm.wallet.AddWaiter(w.waitingOn, w.amount)
}

func (bm *BudgetManager) stopWaiting(w *shareWaiter) {
	if w.waitingOn != nil {
		bm.wallet.RemoveWaiter(w.waitingOn, w.amount)
		w.waitingOn = nil
	}
}

// removeWaiter removes the waiter of a request that no longer waits.
func (bm *BudgetManager) removeWaiter(w *shareWaiter) {
	bm.stopWaiting(w)
	for i, x := range bm.waiters {
		if x == w {
			bm.waiters = append(bm.waiters[:i], bm.waiters[i+1:]...)
			return
		}
	}
}

// serveWaiters reserves for the waiting requests in the order of their arrival.
func (bm *BudgetManager) serveWaiters() {
	now := bm.deps.Now()
	unserved := bm.waiters[:0]
	for _, w := range bm.waiters {
		if !bm.serveWaiter(w) && !w.finished.Load() {
			unserved = append(unserved, w)
			continue
		}
		bm.stopWaiting(w)
	}
	clear(bm.waiters[len(unserved):])
	bm.waiters = unserved
	for _, w := range bm.waiters {
		bm.tryNextBudget(now, w)
	}
}

// tryNextBudget makes the waiter wait for its next budget when no allocator has
// anything left of the current one. After the last budget it goes back to the
// first one that may be refunded.
func (bm *BudgetManager) tryNextBudget(now time.Time, w *shareWaiter) {
	if !bm.wallet.AllAllocatorsEmpty(now, bm.view, w.waitingOn) {
		return
	}
	if w.budgetIndex+1 < len(w.budgets) {
		if w.retryIndex < 0 && !bm.wallet.Exhausted(now, bm.view, w.waitingOn, w.amount) {
			w.retryIndex = w.budgetIndex
		}
		bm.waitOn(w, w.budgetIndex+1)
		return
	}
	if w.retryIndex >= 0 {
		index := w.retryIndex
		w.retryIndex = -1
		bm.waitOn(w, index)
	}
}

// serveWaiter reserves for the waiter from any of its budgets, or refuses it
// once all of them are exhausted. It reports whether the waiter is done.
func (bm *BudgetManager) serveWaiter(w *shareWaiter) bool {
	for _, b := range w.budgets {
		balance := bm.wallet.Balance(b)
		if balance.Reserve(w.amount) {
			if !w.resolve(balance, nil) {
				balance.Commit(w.amount, 0)
			}
			return true
		}
	}
	if w.budgetIndex+1 == len(w.budgets) && w.retryIndex < 0 && bm.wallet.Exhausted(bm.deps.Now(), bm.view, w.waitingOn, w.amount) {
		w.resolve(nil, errors.Annotatef(ErrBudgetExhausted, "budget %s", w.waitingOn.Budget))
		return true
	}
	return false
}
