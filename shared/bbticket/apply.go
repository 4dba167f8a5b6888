package bbticket

import (
	"maps"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// Apply returns the state after applying the ticket. Each object of the ticket
// replaces the one in the state only if that one was written by a ticket with a
// lower number, so tickets may be applied repeatedly and in any order. s is not
// changed; a nil s is an empty state.
func (s *State) Apply(t Ticket) *State {
	if s == nil {
		s = &State{}
	}
	next := &State{Number: max(s.Number, t.Number)}
	next.Accounts = mergeTicket(s.Accounts, t.Accounts, t.Number, func(a Account) bbunit.AccountID { return a.ID })
	next.Budgets = s.Budgets.merge(func(yield func(bbunit.BudgetID, Numbered[Budget]) bool) {
		for _, b := range t.Budgets {
			if !yield(b.ID, Numbered[Budget]{Number: t.Number, Object: b}) {
				return
			}
		}
	})
	next.Services = mergeTicket(s.Services, t.Services, t.Number, func(v Service) bbunit.ServiceID { return v.ID })
	next.Targets = mergeTicket(s.Targets, t.Targets, t.Number, func(g Target) bbunit.TargetID { return g.ID })
	next.updateIndexes(s, t)
	next.LastRoutingChange = s.LastRoutingChange
	if len(t.Accounts)+len(t.Services)+len(t.Targets) > 0 {
		next.LastRoutingChange = max(next.LastRoutingChange, t.Number)
	}
	return next
}

// Merge returns a state with the newer version of each object of s and other.
// It is commutative. A nil state is an empty one.
func (s *State) Merge(other *State) *State {
	if s == nil {
		s = &State{}
	}
	if other == nil {
		other = &State{}
	}
	merged := &State{Number: max(s.Number, other.Number)}
	merged.Accounts = mergeNewer(s.Accounts, other.Accounts)
	merged.Budgets = s.Budgets.merge(other.Budgets.All())
	merged.Services = mergeNewer(s.Services, other.Services)
	merged.Targets = mergeNewer(s.Targets, other.Targets)
	merged.Reindex()
	return merged
}

// Reindex rebuilds the indexes and LastRoutingChange, which are not encoded.
// Call it after decoding a state.
func (s *State) Reindex() {
	s.indexKeys()
	s.indexBudgets()
	s.indexTargets()
	s.LastRoutingChange = max(highestNumber(s.Accounts), highestNumber(s.Services), highestNumber(s.Targets))
}

// highestNumber returns the highest ticket number of the objects.
func highestNumber[K comparable, T any](m map[K]Numbered[T]) bbunit.TicketNumber {
	var n bbunit.TicketNumber
	for _, o := range m {
		n = max(n, o.Number)
	}
	return n
}

// updateIndexes sets the indexes of s, the state that results from applying t
// to prev. It reuses those of prev that the ticket does not affect.
func (s *State) updateIndexes(prev *State, t Ticket) {
	s.ByKey, s.ByAccount, s.ByService = prev.ByKey, prev.ByAccount, prev.ByService
	if len(t.Accounts) > 0 || s.ByKey == nil {
		s.indexKeys()
	}
	switch {
	case s.ByAccount == nil:
		s.indexBudgets()
	case len(t.Budgets) > 0:
		s.moveBudgets(prev, t)
	}
	if len(t.Targets) > 0 || s.ByService == nil {
		s.indexTargets()
	}
}

// moveBudgets updates ByAccount for the ticket's budgets, without rebuilding
// it.
func (s *State) moveBudgets(prev *State, t Ticket) {
	s.ByAccount = maps.Clone(s.ByAccount)
	for _, b := range t.Budgets {
		oldBudget, newBudget := prev.Budgets.Get(b.ID), s.Budgets.Get(b.ID)
		if oldBudget.Number > 0 && !oldBudget.Object.Deleted {
			s.removeBudget(oldBudget.Object.Account, b.ID)
		}
		if !newBudget.Object.Deleted {
			s.removeBudget(newBudget.Object.Account, b.ID)
			list := s.ByAccount[newBudget.Object.Account]
			i, _ := slices.BinarySearch(list, b.ID)
			s.ByAccount[newBudget.Object.Account] = slices.Insert(slices.Clone(list), i, b.ID)
		}
	}
}

// removeBudget removes a budget from an account's list. It copies the list,
// which may be shared with other states.
func (s *State) removeBudget(a bbunit.AccountID, b bbunit.BudgetID) {
	list := s.ByAccount[a]
	i, ok := slices.BinarySearch(list, b)
	if !ok {
		return
	}
	if len(list) == 1 {
		delete(s.ByAccount, a)
		return
	}
	s.ByAccount[a] = slices.Delete(slices.Clone(list), i, i+1)
}

func (s *State) indexKeys() {
	s.ByKey = make(map[string]bbunit.AccountID, len(s.Accounts))
	for id, a := range s.Accounts {
		if a.Object.Deleted {
			continue
		}
		for _, k := range a.Object.Keys {
			s.ByKey[k] = id
		}
	}
}

func (s *State) indexBudgets() {
	s.ByAccount = make(map[bbunit.AccountID][]bbunit.BudgetID)
	for _, id := range s.Budgets.SortedIDs() {
		if b := s.Budgets.Get(id).Object; !b.Deleted {
			s.ByAccount[b.Account] = append(s.ByAccount[b.Account], id)
		}
	}
}

func (s *State) indexTargets() {
	s.ByService = make(map[bbunit.ServiceID][]Target)
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Targets[id].Object; !t.Deleted {
			s.ByService[t.Service] = append(s.ByService[t.Service], t)
		}
	}
}

// mergeTicket returns a copy of old with the objects of ticket n, except where
// old has an object with the same or a higher number. Without objects it returns
// old itself.
func mergeTicket[K comparable, T any](old map[K]Numbered[T], objects []T, n bbunit.TicketNumber, id func(T) K) map[K]Numbered[T] {
	if len(objects) == 0 && old != nil {
		return old
	}
	out := make(map[K]Numbered[T], len(old)+len(objects))
	maps.Copy(out, old)
	for _, o := range objects {
		if k := id(o); out[k].Number < n {
			out[k] = Numbered[T]{Number: n, Object: o}
		}
	}
	return out
}

// mergeNewer returns the object with the higher number for each id.
func mergeNewer[K comparable, T any](a, b map[K]Numbered[T]) map[K]Numbered[T] {
	out := make(map[K]Numbered[T], max(len(a), len(b)))
	maps.Copy(out, a)
	for k, v := range b {
		if out[k].Number < v.Number {
			out[k] = v
		}
	}
	return out
}
