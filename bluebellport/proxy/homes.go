package bbproxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// homeMap holds the accounts' homes, computed from one view of the fleet and
// one plan. The home of an account is the instance of the failure domain that
// gets grants from the store for the others.
type homeMap struct {
	view      *bbmember.View
	plan      *bbplan.Plan
	byAccount map[bbunit.AccountID]bbmember.Member
	// next has the instances that replace the homes while these do not answer or are
	// not ready.
	next map[bbunit.AccountID]bbmember.Member
	// elsewhere has the homes in the other failure domains by group of accounts, as far
	// as they were looked up.
	elsewhere map[uint64][]bbmember.Member
}

// others returns the homes of an account in the other failure domains.
func (h *homeMap) others(id bbunit.AccountID) []bbmember.Member {
	group := homeGroup(id)
	if found, ok := h.elsewhere[group]; ok {
		return found
	}
	var out []bbmember.Member
	seen := map[bbunit.DomainID]bool{h.view.Self.Domain: true}
	for _, m := range h.view.Members {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			out = append(out, h.view.Rank(sharesPrefix+strconv.FormatUint(group, 10), m.Domain, 1)...)
		}
	}
	h.elsewhere[group] = out
	return out
}

// updateHomes tells the allocator which accounts have a reachable home at
// another instance, and returns how many instances get grants from the store.
// In a small fleet every instance does. The caller holds shares.mu.
func (l *peerLoans) updateHomes() int {
	shares := l.shares
	view := l.peers.View()
	holders := int(shares.board.Instances.Load())
	usesHomes := shares.board.UsesHomes()
	if usesHomes {
		holders = countDomains(view)
	}
	shares.allocator.SetUsesHomes(usesHomes)
	plan := shares.board.Plan.Load()
	if usesHomes {
		l.computeHomes(view, plan)
	} else {
		l.homes = homeMap{}
	}
	for id := range plan.Accounts {
		home, ok := l.home(id)
		local := !ok || home.ID == view.Self.ID
		shares.allocator.SetHome(id, local, !l.unresponsive(home.ID))
	}
	return holders
}

// computeHomes computes the homes again if the fleet or the plan has changed.
func (l *peerLoans) computeHomes(view *bbmember.View, plan *bbplan.Plan) {
	if l.homes.view == view && l.homes.plan == plan {
		return
	}
	l.homes = homeMap{view: view, plan: plan, byAccount: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts)), next: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts)), elsewhere: map[uint64][]bbmember.Member{}}
	peers := map[bbunit.InstanceID]bool{}
	for _, m := range membersOf(view, view.Self.Domain) {
		peers[m.ID] = m.ID != view.Self.ID
	}
	l.shares.allocator.SetDomainPeers(peers)
	ranks := map[uint64][]bbmember.Member{}
	for id := range plan.Accounts {
		group := homeGroup(id)
		if _, ok := ranks[group]; !ok {
			ranks[group] = view.Rank(sharesPrefix+strconv.FormatUint(group, 10), view.Self.Domain, 2)
		}
		if rank := ranks[group]; len(rank) > 0 {
			l.homes.byAccount[id], l.homes.next[id] = rank[0], rank[len(rank)-1]
		}
	}
}

// home returns the home of an account, or the instance that replaces it while it does
// not answer or is not ready. The caller holds shares.mu.
func (l *peerLoans) home(id bbunit.AccountID) (bbmember.Member, bool) {
	home, ok := l.homes.byAccount[id]
	if !ok || home.ID == l.homes.view.Self.ID {
		return home, ok
	}
	next := l.homes.next[id]
	switch {
	case l.unresponsive(home.ID):
		return next, true
	case l.isRecent(&l.overdueAt, home.ID) && !l.isRecent(&l.overdueAt, next.ID) && !(next.ID == l.homes.view.Self.ID && l.shares.isCutOff()):
		return next, true // if the store answers neither, the home has what there is
	}
	return home, true
}

// homeGroup returns the group of an account. Accounts are hashed into accountHomeGroups
// groups that share a home, so that one write serves several of them.
func homeGroup(id bbunit.AccountID) uint64 {
	return xxhash.Sum64String(string(id)) % accountHomeGroups
}

// countDomains returns the number of failure domains with live instances, at
// least 1.
func countDomains(view *bbmember.View) int {
	seen := map[bbunit.DomainID]bool{}
	for _, m := range view.Members {
		seen[m.Domain] = true
	}
	return max(len(seen), 1)
}
