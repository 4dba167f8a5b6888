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
func (t *BudgetManager) Status() (BudgetManagerStatus, error) {
	got := make(chan BudgetManagerStatus, 1)
	t.tasks.put(func() { got <- t.status() })
	select {
	case s := <-got:
		return s, nil
	case <-t.ctx.Done():
	case <-time.After(statusTimeout):
	}
	return BudgetManagerStatus{}, errors.Annotate(ErrShareUnavailable, "treasury does not answer")
}

func (t *BudgetManager) status() BudgetManagerStatus {
	s := BudgetManagerStatus{Instance: t.self.ID}
	for _, x := range t.wallet.Slices() {
		s.Slices = append(s.Slices, SliceStatus{
			Budget: bbunit.BudgetID(x.Budget), Holder: bbunit.HolderID(x.Holder),
			Granted: bbunit.Tokens(x.Granted), Spent: bbunit.Tokens(x.Spent), Returned: bbunit.Tokens(x.Returned),
		})
	}
	for _, k := range t.sortedAllocators() {
		if ks := k.Status(); len(ks.Budgets) > 0 || len(ks.Closing) > 0 {
			s.Allocators = append(s.Allocators, ks)
		}
	}
	return s
}
