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
	most    bbunit.Tokens
	done    chan struct{}

	over atomic.Bool // settled or given up
	pot  *bbledger.Balance
	err  error

	at     int // which budget is waited for; owned by the loop
	hope   int // the first budget of which money may come back; -1 for none
	joined *bbledger.Balance
}

// take ends the wait and returns what the loop found: ErrShare if nothing.
func (w *shareWaiter) take() (*bbledger.Balance, error) {
	if !w.over.Swap(true) {
		return nil, errors.Annotate(ErrShare, "no share in time")
	}
	<-w.done
	return w.pot, w.err
}

// settle gives the request its pot or error; false when it has given up.
func (w *shareWaiter) settle(pot *bbledger.Balance, err error) bool {
	if w.over.Swap(true) {
		return false
	}
	w.pot, w.err = pot, err
	close(w.done)
	return true
}

func (t *Treasury) join(w *shareWaiter) {
	if w.over.Load() {
		return
	}
	t.waiters = append(t.waiters, w)
	w.hope = -1
	t.attend(w, 0)
}

// attend makes the shareWaiter wait for its budget of that place.
func (t *Treasury) attend(w *shareWaiter, at int) {
	t.unattend(w)
	w.at, w.joined = at, t.purse.Balance(w.budgets[at])
	t.purse.AddWaiter(w.joined, w.most)
}

func (t *Treasury) unattend(w *shareWaiter) {
	if w.joined != nil {
		t.purse.RemoveWaiter(w.joined, w.most)
		w.joined = nil
	}
}

// leave forgets a shareWaiter whose request went on.
func (t *Treasury) leave(w *shareWaiter) {
	t.unattend(w)
	for i, x := range t.waiters {
		if x == w {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			return
		}
	}
}

// serveWaiters reserves for the waiting requests, first come first served.
func (t *Treasury) serveWaiters() {
	now := t.p.Now()
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if !t.serveWaiter(w) && !w.over.Load() {
			kept = append(kept, w)
			continue
		}
		t.unattend(w)
	}
	clear(t.waiters[len(kept):])
	t.waiters = kept
	for _, w := range t.waiters {
		t.moveOn(now, w)
	}
}

// moveOn makes the shareWaiter wait for its next budget when the present one can
// grant nothing; after the last for the first of which money may come back.
func (t *Treasury) moveOn(now time.Time, w *shareWaiter) {
	if !t.purse.AllAllocatorsEmpty(now, t.view, w.joined) {
		return
	}
	if w.at+1 < len(w.budgets) {
		if w.hope < 0 && !t.purse.Exhausted(now, t.view, w.joined, w.most) {
			w.hope = w.at
		}
		t.attend(w, w.at+1)
		return
	}
	if w.hope >= 0 {
		at := w.hope
		w.hope = -1
		t.attend(w, at)
	}
}

// serveWaiter reports whether the shareWaiter is settled.
func (t *Treasury) serveWaiter(w *shareWaiter) bool {
	for _, b := range w.budgets {
		pot := t.purse.Balance(b)
		if pot.Reserve(w.most) {
			if !w.settle(pot, nil) {
				pot.Commit(w.most, 0)
			}
			return true
		}
	}
	if w.at+1 == len(w.budgets) && w.hope < 0 && t.purse.Exhausted(t.p.Now(), t.view, w.joined, w.most) {
		w.settle(nil, errors.Annotatef(ErrBudget, "budget %s", w.joined.Budget))
		return true
	}
	return false
}
