// Package bbmember maintains the membership of the fleet by gossip, seeded from
// the platform's list of instances, and assigns keys to members by rendezvous
// hashing.
package bbmember

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbunit"
)

// Member describes one instance of the fleet.
type Member struct {
	ID      bbunit.InstanceID
	Inc     bbunit.Incarnation
	Domain  bbunit.DomainID
	Address string
	Leaving bool
	// LinkMbps is what its network link carries in each direction, in Mbit/s, 0 if
	// unknown.
	LinkMbps uint32
	// Crowded means that it is short of a resource and wants fewer callers. Instances of
	// older builds never say so.
	Crowded bool
}

// View is an immutable snapshot of the fleet's live members, sorted by id. The
// zero value is an empty fleet.
type View struct {
	Self    Member
	Members []Member // live members, including Self unless it is leaving
}

// Rank returns up to n members of failure domain d ("" for any) in the order of
// their rendezvous hash for key. The first is the home of the key; the next
// ones replace it when it is gone. Leaving members are left out.
func (v *View) Rank(key string, d bbunit.DomainID, n int) []Member {
	return v.rank(key, d, n, func(Member) int { return 0 })
}

// RankByLink is Rank for work that needs a fast link: members whose links carry more
// come first. Links whose rates have the same number of binary digits count as equal.
func (v *View) RankByLink(key string, d bbunit.DomainID, n int) []Member {
	return v.rank(key, d, n, Member.linkClass)
}

// linkClass returns the number of binary digits of the rate of the member's link.
func (m Member) linkClass() int { return bits.Len32(m.LinkMbps) }

// rank ranks members by their class, the highest first, then by their rendezvous hash.
func (v *View) rank(key string, d bbunit.DomainID, n int, class func(Member) int) []Member {
	type scored struct {
		m     Member
		class int
		score uint64
	}
	best := make([]scored, 0, min(n, len(v.Members))+1)
	for _, m := range v.Members {
		if m.Leaving || (d != "" && m.Domain != d) {
			continue
		}
		s := scored{m, class(m), xxhash.Sum64String(key + "\x00" + string(m.ID))}
		i := len(best)
		for i > 0 && (best[i-1].class < s.class || best[i-1].class == s.class && best[i-1].score < s.score) {
			i--
		}
		if i < n {
			best = slices.Insert(best, i, s)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]Member, len(best))
	for i, s := range best {
		out[i] = s.m
	}
	return out
}

// Home returns the member of failure domain d ("" for any) that is the home of
// key, and false if there is none.
func (v *View) Home(key string, d bbunit.DomainID) (Member, bool) {
	r := v.Rank(key, d, 1)
	if len(r) == 0 {
		return Member{}, false
	}
	return r[0], true
}

// Find returns the live member with the given id.
func (v *View) Find(id bbunit.InstanceID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// RandomOthers returns up to n live members other than Self, chosen with random,
// which returns a number below its argument.
func (v *View) RandomOthers(n int, random func(n int) int) []bbunit.InstanceID {
	var out []bbunit.InstanceID
	for tries := 0; len(out) < min(n, len(v.Members)) && tries < 8*n; tries++ {
		id := v.Members[random(len(v.Members))].ID
		if id != v.Self.ID && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
