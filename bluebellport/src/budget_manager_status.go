package bbport

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// BudgetManagerStatus is what an operator sees of an instance's money.
type BudgetManagerStatus struct {
	Instance   bbunit.InstanceID          `json:"instance"`
	Slices     []SliceStatus              `json:"slices"`
	Allocators []bbledger.AllocatorStatus `json:"keepers"`
}

// SliceStatus is what a holder granted this instance, in tokens.
type SliceStatus struct {
	Budget   bbunit.BudgetID `json:"budget"`
	Holder   bbunit.HolderID `json:"holder"`
	Granted  bbunit.Tokens   `json:"granted"`
	Spent    bbunit.Tokens   `json:"spent"`
	Returned bbunit.Tokens   `json:"returned"`
}

// Status returns what the instance holds, and what its keepers last read of
// their pages. It blocks for up to a second; ErrShare when the loop is stopped.
func (bm *BudgetManager) Status() (BudgetManagerStatus, error) {
	got := make(chan BudgetManagerStatus, 1)
	bm.tasks.put(func() { got <- bm.status() })
	select {
	case status := <-got:
		return status, nil
	case <-bm.ctx.Done():
	case <-time.After(statusTimeout):
	}
	return BudgetManagerStatus{}, errors.Annotate(ErrShareUnavailable, "treasury does not answer")
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
