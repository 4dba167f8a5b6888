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
	now := r.p.Now()
	r.poison.fill(g, now)
	r.limits.fill(g)
	for _, t := range r.current().TargetStates() {
		if len(g.Leaving) < leavingTold && t.ShouldGossipLeaving(now) {
			g.Leaving = append(g.Leaving, string(t.ID))
		}
	}
}

// Take reads another instance's. What is malformed or unknown is counted and
// dropped.
func (r *Router) Take(from bbunit.InstanceID, g *bbwire.Gossip) {
	now := r.p.Now()
	news, dropped := r.poison.take(g.GetPoisons(), now)
	dropped += r.limits.take(from, g.GetUsages(), now)
	if m, ok := r.p.Board.View.Load().Find(from); ok && m.Domain != bbunit.DomainID(r.p.Opts.Self.Domain) {
		r.alarm(news, false)
	}
	table := r.current()
	for i, id := range g.GetLeaving() {
		t, ok := table.TargetState(bbunit.TargetID(id))
		if !ok || i >= leavingTold {
			dropped++
			continue
		}
		if t.MarkLeavingByPeer(now) {
			r.p.Log.WithField("target", id).WithField("instance", from).Info("target leaving by an instance's word")
		}
	}
	if dropped > 0 {
		r.dropped.Inc(int64(dropped))
		r.p.Log.WithField("instance", from).WithField("entries", dropped).Warn("gossip entries dropped")
	}
}

// busyUsage returns the keys that are used at all, the busiest first.
func busyUsage(own map[string]bbroute.Usage) []string {
	keys := make([]string, 0, len(own))
	for k, u := range own {
		if u.Rate > usageRateLeast || u.InFlight > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(own[b].Rate, own[a].Rate), cmp.Compare(a, b))
	})
	return keys
}

// alarm tells at once what is newly known of crashes: the own failure domain,
// and, where the crash was seen here, one instance of each other one, which
// tells its own.
func (r *Router) alarm(prints []uint64, far bool) {
	if len(prints) == 0 || r.p.Bus == nil {
		return
	}
	g := &bbwire.Gossip{Number: uint64(r.p.Board.State.Load().Number)}
	for _, fp := range prints {
		if m := r.poison.mark(fp); m != nil && len(g.Poisons) < poisonsTold {
			g.Poisons = append(g.Poisons, m)
		}
	}
	v := r.p.Board.View.Load()
	told := map[bbunit.DomainID]bool{}
	for _, m := range v.Members {
		near := m.Domain == v.Self.Domain
		if m.ID == v.Self.ID || !near && (!far || told[m.Domain]) {
			continue
		}
		told[m.Domain] = true
		// One that cannot be reached learns by gossip.
		_ = r.p.Bus.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: g}})
	}
}
