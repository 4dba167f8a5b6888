package bbticket

import (
	"maps"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// Apply returns the state with the ticket in force. It goes object by object
// and only forward: an object that a ticket of the same or a higher number
// wrote stays as it is. s itself is not changed; nil stands for an empty state.
func (s *State) Apply(t Ticket) *State {
	if s == nil {
		s = &State{}
	}
	n := &State{Number: max(s.Number, t.Number)}
	n.Accounts = merge(s.Accounts, t.Accounts, t.Number, func(a Account) bbunit.AccountID { return a.ID })
	n.Budgets = s.Budgets.merge(func(yield func(bbunit.BudgetID, Numbered[Budget]) bool) {
		for _, b := range t.Budgets {
			if !yield(b.ID, Numbered[Budget]{Number: t.Number, Object: b}) {
				return
			}
		}
	})
	n.Services = merge(s.Services, t.Services, t.Number, func(v Service) bbunit.ServiceID { return v.ID })
	n.Targets = merge(s.Targets, t.Targets, t.Number, func(g Target) bbunit.TargetID { return g.ID })
	n.index(s, t)
	n.LastRoutingChange = s.LastRoutingChange
	if len(t.Accounts)+len(t.Services)+len(t.Targets) > 0 {
		n.LastRoutingChange = max(n.LastRoutingChange, t.Number)
	}
	return n
}

// Merge returns the newer of two states for each object, whatever order they
// come in.
func (s *State) Merge(o *State) *State {
	if s == nil {
		s = &State{}
	}
	if o == nil {
		o = &State{}
	}
	n := &State{Number: max(s.Number, o.Number)}
	n.Accounts = newer(s.Accounts, o.Accounts)
	n.Budgets = s.Budgets.merge(o.Budgets.All())
	n.Services = newer(s.Services, o.Services)
	n.Targets = newer(s.Targets, o.Targets)
	n.Reindex()
	return n
}

// Reindex rebuilds the derived indexes; needed after a state was decoded.
func (s *State) Reindex() {
	s.indexKeys()
	s.indexBudgets()
	s.indexTargets()
	s.LastRoutingChange = max(last(s.Accounts), last(s.Services), last(s.Targets))
}

// last is the highest ticket among the objects.
func last[K comparable, T any](m map[K]Numbered[T]) bbunit.TicketNumber {
	var n bbunit.TicketNumber
	for _, o := range m {
		n = max(n, o.Number)
	}
	return n
}

// index changes the indexes only where the ticket touches them.
func (s *State) index(from *State, t Ticket) {
	s.ByKey, s.ByAccount, s.ByService = from.ByKey, from.ByAccount, from.ByService
	if len(t.Accounts) > 0 || s.ByKey == nil {
		s.indexKeys()
	}
	switch {
	case s.ByAccount == nil:
		s.indexBudgets()
	case len(t.Budgets) > 0:
		s.reindexBudgets(from, t)
	}
	if len(t.Targets) > 0 || s.ByService == nil {
		s.indexTargets()
	}
}

// reindexBudgets moves the ticket's budgets between the accounts' lists.
func (s *State) reindexBudgets(from *State, t Ticket) {
	s.ByAccount = maps.Clone(s.ByAccount)
	for _, b := range t.Budgets {
		was, now := from.Budgets.Get(b.ID), s.Budgets.Get(b.ID)
		if was.Number > 0 && !was.Object.Deleted {
			s.unlist(was.Object.Account, b.ID)
		}
		if !now.Object.Deleted {
			s.unlist(now.Object.Account, b.ID)
			list := s.ByAccount[now.Object.Account]
			at, _ := slices.BinarySearch(list, b.ID)
			s.ByAccount[now.Object.Account] = slices.Insert(slices.Clone(list), at, b.ID)
		}
	}
}

// unlist takes a budget off an account's list, which may be shared.
func (s *State) unlist(a bbunit.AccountID, b bbunit.BudgetID) {
	list := s.ByAccount[a]
	at, ok := slices.BinarySearch(list, b)
	if !ok {
		return
	}
	if len(list) == 1 {
		delete(s.ByAccount, a)
		return
	}
	s.ByAccount[a] = slices.Delete(slices.Clone(list), at, at+1)
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
	for _, id := range s.Budgets.Sorted() {
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

// merge copies the map and writes the objects that are newer.
func merge[K comparable, T any](old map[K]Numbered[T], objects []T, n bbunit.TicketNumber, id func(T) K) map[K]Numbered[T] {
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

func newer[K comparable, T any](a, b map[K]Numbered[T]) map[K]Numbered[T] {
	out := make(map[K]Numbered[T], max(len(a), len(b)))
	maps.Copy(out, a)
	for k, v := range b {
		if out[k].Number < v.Number {
			out[k] = v
		}
	}
	return out
}
