package bbticket

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is one field in which a ticket differs from what is in force.
type Change struct {
	Change  string `json:"change"` // add, change or remove
	Object  string `json:"object"`
	Field   string `json:"field,omitempty"`
	Was     string `json:"was,omitempty"`
	Becomes string `json:"becomes,omitempty"`
}

// Diff lists how the ticket's objects differ from the state, in the ticket's
// order.
func (s *State) Diff(t Ticket) []Change {
	if s == nil {
		s = &State{}
	}
	out := []Change{}
	for _, a := range t.Accounts {
		out = diff(out, "account "+string(a.ID), s.Accounts[a.ID], a, a.Gone)
	}
	for _, b := range t.Budgets {
		out = diff(out, "budget "+string(b.ID), s.Budgets.Get(b.ID), b, b.Gone)
	}
	for _, v := range t.Services {
		out = diff(out, "service "+string(v.ID), s.Services[v.ID], v, v.Gone)
	}
	for _, g := range t.Targets {
		out = diff(out, "target "+string(g.ID), s.Targets[g.ID], g, g.Gone)
	}
	return out
}

func diff[T any](out []Change, name string, old Numbered[T], now T, gone bool) []Change {
	if old.Number == 0 {
		return append(out, Change{Change: "add", Object: name})
	}
	if gone {
		return append(out, Change{Change: "remove", Object: name})
	}
	a, b := reflect.ValueOf(old.Object), reflect.ValueOf(now)
	for i := range a.NumField() {
		if was, is := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(was, is) {
			field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			out = append(out, Change{Change: "change", Object: name, Field: field, Was: fmt.Sprint(was), Becomes: fmt.Sprint(is)})
		}
	}
	return out
}

// Ticket returns all that is in force as one ticket, sorted by id, without what
// is gone.
func (s *State) Ticket() Ticket {
	return Ticket{
		Number:   s.Number,
		Accounts: live(s.Accounts, func(a Account) bool { return a.Gone }),
		Budgets:  live(maps.Collect(s.Budgets.All()), func(b Budget) bool { return b.Gone }),
		Services: live(s.Services, func(v Service) bool { return v.Gone }),
		Targets:  live(s.Targets, func(g Target) bool { return g.Gone }),
	}
}

func live[K cmp.Ordered, T any](m map[K]Numbered[T], gone func(T) bool) []T {
	var out []T
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if o := m[k].Object; !gone(o) {
			out = append(out, o)
		}
	}
	return out
}
