package bbticket

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between a ticket and the state: an object that is
// added or removed, or a field that is changed.
type Change struct {
	Action string `json:"change"` // add, change or remove
	Object string `json:"object"` // type and id, such as "budget b1"
	Field  string `json:"field,omitempty"`
	Old    string `json:"was,omitempty"`
	New    string `json:"becomes,omitempty"`
}

// Diff returns the differences between the ticket's objects and the state, in
// the order of the ticket. A nil s is an empty state.
func (s *State) Diff(t Ticket) []Change {
	if s == nil {
		s = &State{}
	}
	out := []Change{}
	for _, a := range t.Accounts {
		out = diffObject(out, "account "+string(a.ID), s.Accounts[a.ID], a, a.Deleted)
	}
	for _, b := range t.Budgets {
		out = diffObject(out, "budget "+string(b.ID), s.Budgets.Get(b.ID), b, b.Deleted)
	}
	for _, v := range t.Services {
		out = diffObject(out, "service "+string(v.ID), s.Services[v.ID], v, v.Deleted)
	}
	for _, g := range t.Targets {
		out = diffObject(out, "target "+string(g.ID), s.Targets[g.ID], g, g.Deleted)
	}
	return out
}

func diffObject[T any](out []Change, name string, old Numbered[T], next T, deleted bool) []Change {
	if old.Number == 0 {
		return append(out, Change{Action: "add", Object: name})
	}
	if deleted {
		return append(out, Change{Action: "remove", Object: name})
	}
	a, b := reflect.ValueOf(old.Object), reflect.ValueOf(next)
	for i := range a.NumField() {
		if oldValue, newValue := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(oldValue, newValue) {
			field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			out = append(out, Change{Action: "change", Object: name, Field: field, Old: fmt.Sprint(oldValue), New: fmt.Sprint(newValue)})
		}
	}
	return out
}

// Ticket returns the whole state as one ticket, sorted by id and without
// deleted objects.
func (s *State) Ticket() Ticket {
	return Ticket{
		Number:   s.Number,
		Accounts: liveObjects(s.Accounts, func(a Account) bool { return a.Deleted }),
		Budgets:  liveObjects(maps.Collect(s.Budgets.All()), func(b Budget) bool { return b.Deleted }),
		Services: liveObjects(s.Services, func(v Service) bool { return v.Deleted }),
		Targets:  liveObjects(s.Targets, func(g Target) bool { return g.Deleted }),
	}
}

func liveObjects[K cmp.Ordered, T any](m map[K]Numbered[T], deleted func(T) bool) []T {
	var out []T
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if o := m[k].Object; !deleted(o) {
			out = append(out, o)
		}
	}
	return out
}
