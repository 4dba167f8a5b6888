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
	n.Budgets = merge(s.Budgets, t.Budgets, t.Number, func(b Budget) bbunit.BudgetID { return b.ID })
	n.Services = merge(s.Services, t.Services, t.Number, func(v Service) bbunit.ServiceID { return v.ID })
	n.Targets = merge(s.Targets, t.Targets, t.Number, func(g Target) bbunit.TargetID { return g.ID })
	n.index(s, t)
	return n
}

// Join returns the newer of two states for each object, whatever order they
// come in.
func (s *State) Join(o *State) *State {
	if s == nil {
		s = &State{}
	}
	if o == nil {
		o = &State{}
	}
	n := &State{Number: max(s.Number, o.Number)}
	n.Accounts = newer(s.Accounts, o.Accounts)
	n.Budgets = newer(s.Budgets, o.Budgets)
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
}

// index reuses the indexes that the ticket does not touch.
func (s *State) index(from *State, t Ticket) {
	s.ByKey, s.ByAccount, s.ByService = from.ByKey, from.ByAccount, from.ByService
	if len(t.Accounts) > 0 || s.ByKey == nil {
		s.indexKeys()
	}
	if len(t.Budgets) > 0 || s.ByAccount == nil {
		s.indexBudgets()
	}
	if len(t.Targets) > 0 || s.ByService == nil {
		s.indexTargets()
	}
}

func (s *State) indexKeys() {
	s.ByKey = make(map[string]bbunit.AccountID, len(s.Accounts))
	for id, a := range s.Accounts {
		if a.Object.Gone {
			continue
		}
		for _, k := range a.Object.Keys {
			s.ByKey[k] = id
		}
	}
}

func (s *State) indexBudgets() {
	s.ByAccount = make(map[bbunit.AccountID][]bbunit.BudgetID)
	for _, id := range slices.Sorted(maps.Keys(s.Budgets)) {
		if b := s.Budgets[id].Object; !b.Gone {
			s.ByAccount[b.Account] = append(s.ByAccount[b.Account], id)
		}
	}
}

func (s *State) indexTargets() {
	s.ByService = make(map[bbunit.ServiceID][]Target)
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Targets[id].Object; !t.Gone {
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
