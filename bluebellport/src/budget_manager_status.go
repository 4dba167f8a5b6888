package bbport

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// BudgetManagerStatus is the budget state of an instance, for operators.
type BudgetManagerStatus struct {
	Instance   bbunit.InstanceID          `json:"instance"`
	Slices     []SliceStatus              `json:"slices"`
	Allocators []bbledger.AllocatorStatus `json:"keepers"`
}

// SliceStatus is what one holder has granted to this instance, in tokens.
type SliceStatus struct {
	Budget   bbunit.BudgetID `json:"budget"`
	Holder   bbunit.HolderID `json:"holder"`
	Granted  bbunit.Tokens   `json:"granted"`
	Spent    bbunit.Tokens   `json:"spent"`
	Returned bbunit.Tokens   `json:"returned"`
}

// Status returns the instance's slices and what its allocators last read of
// their pages. It waits for the loop, at most for statusTimeout; the error is
// ErrShareUnavailable when the loop does not answer.
func (bm *BudgetManager) Status() (BudgetManagerStatus, error) {
	got := make(chan BudgetManagerStatus, 1)
	bm.tasks.put(func() { got <- bm.status() })
	select {
	case status := <-got:
		return status, nil
	case <-bm.ctx.Done():
	case <-time.After(statusTimeout):
	}
	return BudgetManagerStatus{}, errors.Annotate(ErrShareUnavailable, "the budget loop does not answer")
}

func (bm *BudgetManager) status() BudgetManagerStatus {
	s := BudgetManagerStatus{Instance: bm.self.ID}
	for _, slice := range bm.wallet.Slices() {
		s.Slices = append(s.Slices, SliceStatus{
			Budget: bbunit.BudgetID(slice.Budget), Holder: bbunit.HolderID(slice.Holder),
			Granted: bbunit.Tokens(slice.Granted), Spent: bbunit.Tokens(slice.Spent), Returned: bbunit.Tokens(slice.Returned),
		})
	}
	for _, alloc := range bm.sortedAllocators() {
		if status := alloc.Status(); len(status.Budgets) > 0 || len(status.Closing) > 0 {
			s.Allocators = append(s.Allocators, status)
		}
	}
	return s
}
