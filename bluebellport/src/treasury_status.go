package bbport

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// TreasuryStatus is what an operator sees of an instance's money.
type TreasuryStatus struct {
	Instance bbunit.InstanceID          `json:"instance"`
	Slices   []SliceStatus              `json:"slices"`
	Keepers  []bbledger.AllocatorStatus `json:"keepers"`
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
func (t *Treasury) Status() (TreasuryStatus, error) {
	got := make(chan TreasuryStatus, 1)
	t.box.put(func() { got <- t.status() })
	select {
	case s := <-got:
		return s, nil
	case <-t.ctx.Done():
	case <-time.After(statusWait):
	}
	return TreasuryStatus{}, errors.Annotate(ErrShare, "treasury does not answer")
}

func (t *Treasury) status() TreasuryStatus {
	s := TreasuryStatus{Instance: t.self.ID}
	for _, x := range t.purse.Slices() {
		s.Slices = append(s.Slices, SliceStatus{
			Budget: bbunit.BudgetID(x.Budget), Holder: bbunit.HolderID(x.Holder),
			Granted: bbunit.Tokens(x.Granted), Spent: bbunit.Tokens(x.Spent), Returned: bbunit.Tokens(x.Returned),
		})
	}
	for _, k := range t.sorted() {
		if ks := k.Status(); len(ks.Budgets) > 0 || len(ks.Closing) > 0 {
			s.Keepers = append(s.Keepers, ks)
		}
	}
	return s
}
