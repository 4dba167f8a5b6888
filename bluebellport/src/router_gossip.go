package bbport

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// FillGossip adds crash records, leaving targets and this instance's usage of
// limits.
func (r *Router) FillGossip(g *bbwire.Gossip) {
	now := r.deps.Now()
	r.poison.fillGossip(g, now)
	r.limits.fillGossip(g)
	for _, t := range r.currentTable().TargetStates() {
		if len(g.Leaving) < maxLeavingPerMessage && t.ShouldGossipLeaving(now) {
			g.Leaving = append(g.Leaving, string(t.ID))
		}
	}
}

// HandleGossip merges the gossip of another instance. Entries that are malformed
// or refer to unknown targets are counted and dropped. New crash records from
// another failure domain are passed on within the own one.
func (r *Router) HandleGossip(from bbunit.InstanceID, g *bbwire.Gossip) {
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

// busiestUsageKeys returns the keys that are in use, the highest rate first.
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

// broadcastPoisons sends the crash records of the fingerprints at once,
// instead of with the next gossip round, to all instances of the own failure
// domain. If crossDomain is set, as for crashes seen by this instance, it also
// sends them to one instance of each other domain, which passes them on there.
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
		// An instance that cannot be reached gets them by gossip.
		_ = r.deps.Bus.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: g}})
	}
}
