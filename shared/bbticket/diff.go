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
	Action string `json:"change"` // add, change or remove
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"was,omitempty"`
	New    string `json:"becomes,omitempty"`
}

// Diff lists how the ticket's objects differ from the state, in the ticket's
// order.
func (s *State) Diff(t Ticket) []Change {
	if s == nil {
		s = &State{}
	}
	out := []Change{}
	for _, a := range t.Accounts {
		out = diff(out, "account "+string(a.ID), s.Accounts[a.ID], a, a.Deleted)
	}
	for _, b := range t.Budgets {
		out = diff(out, "budget "+string(b.ID), s.Budgets.Get(b.ID), b, b.Deleted)
	}
	for _, v := range t.Services {
		out = diff(out, "service "+string(v.ID), s.Services[v.ID], v, v.Deleted)
	}
	for _, g := range t.Targets {
		out = diff(out, "target "+string(g.ID), s.Targets[g.ID], g, g.Deleted)
	}
	return out
}

func diff[T any](out []Change, name string, old Numbered[T], now T, gone bool) []Change {
	if old.Number == 0 {
		return append(out, Change{Action: "add", Object: name})
	}
	if gone {
		return append(out, Change{Action: "remove", Object: name})
	}
	a, b := reflect.ValueOf(old.Object), reflect.ValueOf(now)
	for i := range a.NumField() {
		if was, is := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(was, is) {
			field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			out = append(out, Change{Action: "change", Object: name, Field: field, Old: fmt.Sprint(was), New: fmt.Sprint(is)})
		}
	}
	return out
}

// Ticket returns all that is in force as one ticket, sorted by id, without what
// is gone.
func (s *State) Ticket() Ticket {
	return Ticket{
		Number:   s.Number,
		Accounts: live(s.Accounts, func(a Account) bool { return a.Deleted }),
		Budgets:  live(maps.Collect(s.Budgets.All()), func(b Budget) bool { return b.Deleted }),
		Services: live(s.Services, func(v Service) bool { return v.Deleted }),
		Targets:  live(s.Targets, func(g Target) bool { return g.Deleted }),
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
