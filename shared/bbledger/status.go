package bbledger

import (
	"sort"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// AllocatorStatus is the state of an allocator, for operators.
type AllocatorStatus struct {
	Page    int               `json:"page"`
	Holder  bbunit.HolderID   `json:"holder"`
	Witness string            `json:"witness"`           // "" without one
	Budgets []BudgetStatus    `json:"budgets"`           // as last read from the page or written to it
	Closing []bbunit.HolderID `json:"closing,omitempty"` // being closed
	// Lost are the holders that cannot be closed because their witness is gone
	// too. Only an operator can release them.
	Lost []bbunit.HolderID `json:"lost,omitempty"`
}

// Status returns the allocator's state.
func (al *Allocator) Status() AllocatorStatus {
	s := AllocatorStatus{Page: al.pageNumber, Holder: al.holder, Witness: al.witness.String()}
	if al.page != nil {
		for _, e := range al.page.Entries {
			s.Budgets = append(s.Budgets, StatusOf(e))
		}
	}
	for _, c := range al.sortedClosings() {
		if !c.frozen && !alive(al.view, c.witness) {
			s.Lost = append(s.Lost, c.holder)
			continue
		}
		s.Closing = append(s.Closing, c.holder)
	}
	return s
}

// PageRequest is the part of a GrantAsk that concerns one page.
type PageRequest struct {
	Page    int
	Request *bbwire.GrantAsk
}

// SplitByPage splits a GrantAsk by the pages of its budgets, in their order.
func SplitByPage(m *bbwire.GrantAsk) []PageRequest {
	byPage := map[int]*bbwire.GrantAsk{}
	forBudget := func(budget string) *bbwire.GrantAsk {
		n := PageOf(bbunit.BudgetID(budget))
		if byPage[n] == nil {
			byPage[n] = &bbwire.GrantAsk{}
		}
		return byPage[n]
	}
	for _, s := range m.Slices {
		a := forBudget(s.Budget)
		a.Slices = append(a.Slices, s)
	}
	for _, w := range m.Wants {
		a := forBudget(w.Budget)
		a.Wants = append(a.Wants, w)
	}
	out := make([]PageRequest, 0, len(byPage))
	for n, a := range byPage {
		out = append(out, PageRequest{Page: n, Request: a})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Page < out[j].Page })
	return out
}
