package bbport

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Fill adds poison marks, leaving targets and this instance's usage of limits.
func (r *Router) Fill(g *bbwire.Gossip) {
	now := r.deps.Now()
	r.poison.fillGossip(g, now)
	r.limits.fillGossip(g)
	for _, t := range r.currentTable().TargetStates() {
		if len(g.Leaving) < maxLeavingPerMessage && t.ShouldGossipLeaving(now) {
			g.Leaving = append(g.Leaving, string(t.ID))
		}
	}
}

// Take reads another instance's. What is malformed or unknown is counted and
// dropped.
func (r *Router) Take(from bbunit.InstanceID, g *bbwire.Gossip) {
	now := r.deps.Now()
	newSuspects, dropped := r.poison.mergeGossip(g.GetPoisons(), now)
	dropped += r.limits.mergeGossip(from, g.GetUsages(), now)
	if m, ok := r.deps.Board.View.Load().Find(from); ok && m.Domain != bbunit.DomainID(r.deps.Opts.Self.Domain) {
		r.broadcastPoisons(newSuspects, false)
	}
	table := r.currentTable()
	for i, id := range g.GetLeaving() {
		t, ok := table.TargetState(bbunit.TargetID(id))
		if !ok || i >= maxLeavingPerMessage {
			dropped++
			continue
		}
		if t.MarkLeavingByPeer(now) {
			r.deps.Log.WithField("target", id).WithField("instance", from).Info("target leaving by an instance's word")
		}
	}
	if dropped > 0 {
		r.droppedMessages.Inc(int64(dropped))
		r.deps.Log.WithField("instance", from).WithField("entries", dropped).Warn("gossip entries dropped")
	}
}

// busiestUsageKeys returns the keys that are used at all, the busiest first.
func busiestUsageKeys(usage map[string]bbroute.Usage) []string {
	keys := make([]string, 0, len(usage))
	for k, u := range usage {
		if u.Rate > minUsageRate || u.InFlight > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(usage[b].Rate, usage[a].Rate), cmp.Compare(a, b))
	})
	return keys
}

// broadcastPoisons tells at once what is newly known of crashes: the own failure domain,
// and, where the crash was seen here, one instance of each other one, which
// tells its own.
func (r *Router) broadcastPoisons(fingerprints []uint64, crossDomain bool) {
	if len(fingerprints) == 0 || r.deps.Bus == nil {
		return
	}
	g := &bbwire.Gossip{Number: uint64(r.deps.Board.State.Load().Number)}
	for _, fp := range fingerprints {
		if m := r.poison.message(fp); m != nil && len(g.Poisons) < maxNewPoisonsPerMessage {
			g.Poisons = append(g.Poisons, m)
		}
	}
	view := r.deps.Board.View.Load()
	notified := map[bbunit.DomainID]bool{}
	for _, m := range view.Members {
		sameDomain := m.Domain == view.Self.Domain
		if m.ID == view.Self.ID || !sameDomain && (!crossDomain || notified[m.Domain]) {
			continue
		}
		notified[m.Domain] = true
		// One that cannot be reached learns by gossip.
		_ = r.deps.Bus.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: g}})
	}
}
