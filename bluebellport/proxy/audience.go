package bbproxy

import (
	"math/rand/v2"
	"slices"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// membersOf returns the members of a failure domain.
func membersOf(view *bbmember.View, domain bbunit.DomainID) []bbmember.Member {
	var members []bbmember.Member
	for _, m := range view.Members {
		if m.Domain == domain {
			members = append(members, m)
		}
	}
	return members
}

// domainsOf returns the failure domains of a view's members, in order.
func domainsOf(view *bbmember.View) []bbunit.DomainID {
	var domains []bbunit.DomainID
	for _, m := range view.Members {
		domains = append(domains, m.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// someOfOtherDomains returns up to maxToldPerDomain random members of each other
// failure domain.
func someOfOtherDomains(view *bbmember.View) []bbmember.Member {
	var members []bbmember.Member
	count := map[bbunit.DomainID]int{view.Self.Domain: maxToldPerDomain}
	for _, i := range rand.Perm(len(view.Members)) {
		m := view.Members[i]
		if count[m.Domain] < maxToldPerDomain {
			count[m.Domain]++
			members = append(members, m)
		}
	}
	return members
}

// pickAnswering returns a random member of another failure domain, which another
// watcher tells the store's news, or the given peer if there is none.
func (r *relay) pickAnswering(peer bbunit.InstanceID) bbunit.InstanceID {
	view := r.peers.View()
	others := someOfOtherDomains(view)
	if len(others) == 0 {
		return peer
	}
	return others[rand.IntN(len(others))].ID
}

// leavingEntries returns the entries that are gone or say that their target
// leaves.
func leavingEntries(entries []bbstore.Entry) []bbstore.Entry {
	var leaving []bbstore.Entry
	for _, e := range entries {
		if target, err := bbplatform.ParseTarget(e.Key, e.Value); e.Value == nil || err == nil && target.Leaving {
			leaving = append(leaving, e)
		}
	}
	return leaving
}
