package bbport

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// FillGossip adds leaving targets and this instance's usage of limits.
func (r *Router) FillGossip(g *bbwire.Gossip) {
	now := r.deps.Now()
	r.limits.fillGossip(g)
	for _, t := range r.currentTable().TargetStates() {
		if len(g.Leaving) < maxLeavingPerMessage && t.ShouldGossipLeaving(now) {
			g.Leaving = append(g.Leaving, string(t.ID))
		}
	}
}

// HandleGossip merges the gossip of another instance. Entries that are malformed
// or refer to unknown targets are counted and dropped.
func (r *Router) HandleGossip(from bbunit.InstanceID, g *bbwire.Gossip) {
	now := r.deps.Now()
	dropped := r.limits.mergeGossip(from, g.GetUsages(), now)
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
