// Package bbmember decides who is in the fleet, from the platform's lagging
// list and from what instances hear of each other, and who is home to what.
package bbmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbunit"
)

// Member is one instance of the fleet.
type Member struct {
	ID      bbunit.InstanceID
	Inc     bbunit.Incarnation
	Domain  bbunit.DomainID
	Address string
	Leaving bool
}

// View is an immutable picture of the fleet, sorted by id. The zero value is an
// empty fleet.
type View struct {
	Self    Member
	Members []Member // live ones, Self included unless it is leaving
}

// Rank returns up to n members of the failure domain d ("" for any) for key, by
// rendezvous hashing: the first is home to the key, the next ones follow it.
func (v *View) Rank(key string, d bbunit.DomainID, n int) []Member {
	type scored struct {
		m Member
		s uint64
	}
	var candidates []scored
	for _, m := range v.Members {
		if m.Leaving || (d != "" && m.Domain != d) {
			continue
		}
		candidates = append(candidates, scored{m, xxhash.Sum64String(key + "\x00" + string(m.ID))})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].s > candidates[j].s })
	if len(candidates) > n {
		candidates = candidates[:n]
	}
	out := make([]Member, len(candidates))
	for i, s := range candidates {
		out[i] = s.m
	}
	return out
}

// Home returns the member of failure domain d that is home to key, and false
// when the domain has none.
func (v *View) Home(key string, d bbunit.DomainID) (Member, bool) {
	r := v.Rank(key, d, 1)
	if len(r) == 0 {
		return Member{}, false
	}
	return r[0], true
}

// Find returns the live member of that id.
func (v *View) Find(id bbunit.InstanceID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}
