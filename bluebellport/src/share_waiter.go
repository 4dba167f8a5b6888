package bbport

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// shareWaiter is a request that waits for a share. The loop settles it or the
// request gives up, whichever comes first.
type shareWaiter struct {
	budgets []bbunit.BudgetID
	amount  bbunit.Tokens
	done    chan struct{}

	finished atomic.Bool // settled or given up
	balance  *bbledger.Balance
	err      error

	budgetIndex int // which budget is waited for; owned by the loop
	retryIndex  int // the first budget of which money may come back; -1 for none
	waitingOn   *bbledger.Balance
}

// finish ends the wait and returns what the loop found: ErrShare if nothing.
func (w *shareWaiter) finish() (*bbledger.Balance, error) {
	if !w.finished.Swap(true) {
		return nil, errors.Annotate(ErrShareUnavailable, "no share in time")
	}
	<-w.done
	return w.balance, w.err
}

// resolve gives the request its pot or error; false when it has given up.
func (w *shareWaiter) resolve(pot *bbledger.Balance, err error) bool {
	if w.finished.Swap(true) {
		return false
	}
	w.balance, w.err = pot, err
	close(w.done)
	return true
}

func (t *BudgetManager) addWaiter(w *shareWaiter) {
	if w.finished.Load() {
		return
	}
	t.waiters = append(t.waiters, w)
	w.retryIndex = -1
	t.waitOn(w, 0)
}

// waitOn makes the shareWaiter wait for its budget of that place.
func (t *BudgetManager) waitOn(w *shareWaiter, at int) {
	t.stopWaiting(w)
	w.budgetIndex, w.waitingOn = at, t.wallet.Balance(w.budgets[at])
	t.wallet.AddWaiter(w.waitingOn, w.amount)
}

func (t *BudgetManager) stopWaiting(w *shareWaiter) {
	if w.waitingOn != nil {
		t.wallet.RemoveWaiter(w.waitingOn, w.amount)
		w.waitingOn = nil
	}
}

// removeWaiter forgets a shareWaiter whose request went on.
func (t *BudgetManager) removeWaiter(w *shareWaiter) {
	t.stopWaiting(w)
	for i, x := range t.waiters {
		if x == w {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			return
		}
	}
}

// serveWaiters reserves for the waiting requests, first come first served.
func (t *BudgetManager) serveWaiters() {
	now := t.deps.Now()
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if !t.serveWaiter(w) && !w.finished.Load() {
			kept = append(kept, w)
			continue
		}
		t.stopWaiting(w)
	}
	clear(t.waiters[len(kept):])
	t.waiters = kept
	for _, w := range t.waiters {
		t.tryNextBudget(now, w)
	}
}

// tryNextBudget makes the shareWaiter wait for its next budget when the present one can
// grant nothing; after the last for the first of which money may come back.
func (t *BudgetManager) tryNextBudget(now time.Time, w *shareWaiter) {
	if !t.wallet.AllAllocatorsEmpty(now, t.view, w.waitingOn) {
		return
	}
	if w.budgetIndex+1 < len(w.budgets) {
		if w.retryIndex < 0 && !t.wallet.Exhausted(now, t.view, w.waitingOn, w.amount) {
			w.retryIndex = w.budgetIndex
		}
		t.waitOn(w, w.budgetIndex+1)
		return
	}
	if w.retryIndex >= 0 {
		at := w.retryIndex
		w.retryIndex = -1
		t.waitOn(w, at)
	}
}

// serveWaiter reports whether the shareWaiter is settled.
func (t *BudgetManager) serveWaiter(w *shareWaiter) bool {
	for _, b := range w.budgets {
		pot := t.wallet.Balance(b)
		if pot.Reserve(w.amount) {
			if !w.resolve(pot, nil) {
				pot.Commit(w.amount, 0)
			}
			return true
		}
	}
	if w.budgetIndex+1 == len(w.budgets) && w.retryIndex < 0 && t.wallet.Exhausted(t.deps.Now(), t.view, w.waitingOn, w.amount) {
		w.resolve(nil, errors.Annotatef(ErrBudgetExhausted, "budget %s", w.waitingOn.Budget))
		return true
	}
	return false
}
