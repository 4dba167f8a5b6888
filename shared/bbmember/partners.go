package bbmember

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// probes picks the members to connect to afresh: those of the own failure
// domain that went silent, and the one longest unheard of all: seldom, but each
// round while connections fail.
func (f *Fleet) probes() []bbunit.InstanceID {
	var out []bbunit.InstanceID
	var stalest *entry
	for _, id := range f.order {
		e := f.entries[id]
		if f.clock-e.probed < f.cfg.SuspicionTimeout/2 {
			continue
		}
		if e.Domain == f.self.Domain && len(out) < f.cfg.Fanout && f.silence(e) > f.cfg.SuspicionTimeout/2 {
			e.probed = f.clock
			out = append(out, id)
			continue
		}
		if f.silent(e) && (stalest == nil || max(e.probed, e.seen) < max(stalest.probed, stalest.seen)) {
			stalest = e
		}
	}
	if stalest != nil && (f.failed || f.clock-f.ticked >= f.cfg.SuspicionTimeout/2) {
		f.failed, f.ticked, stalest.probed = false, f.clock, f.clock
		out = append(out, stalest.ID)
	}
	return out
}

// partners picks live members at random, of the own failure domain and of the
// others.
func (f *Fleet) partners(own, others int) []bbunit.InstanceID {
	var in, out []bbunit.InstanceID
	for _, id := range f.order {
		e := f.entries[id]
		switch {
		case !f.live(e):
		case e.Domain == f.self.Domain:
			in = append(in, id)
		default:
			out = append(out, id)
		}
	}
	return append(f.pick(in, own), f.pick(out, others)...)
}

// contacts picks the partners of one round.
func (f *Fleet) contacts() []bbunit.InstanceID {
	f.rounds++
	f.redraw(f.partners(0, len(f.order)))
	return append(f.partners(f.cfg.Fanout, 0), f.pick(slices.Clone(f.far), 1)...)
}

// redraw keeps the far partners that can be reached, drops one at random each
// Redraw rounds, and fills up from the live ones, which come in random order.
func (f *Fleet) redraw(live []bbunit.InstanceID) {
	f.far = slices.DeleteFunc(f.far, func(id bbunit.InstanceID) bool {
		return !slices.Contains(live, id) || f.entries[id].lost > f.entries[id].seen
	})
	if f.rounds%f.cfg.RotationRounds == 0 && len(f.far) == f.cfg.RemotePartners {
		i := f.rnd.IntN(len(f.far))
		f.far = slices.Delete(f.far, i, i+1)
	}
	for _, id := range live {
		if len(f.far) < f.cfg.RemotePartners && !slices.Contains(f.far, id) {
			f.far = append(f.far, id)
		}
	}
}

// pick returns n of ids, chosen at random; it reorders ids.
func (f *Fleet) pick(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	n = min(n, len(ids))
	for i := range n {
		j := i + f.rnd.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// reports returns what a member is told: this instance first, then what
// changed lately, then the failure domain and a sample of the others.
func (f *Fleet) reports(to bbunit.InstanceID) []Report {
	own := f.cfg.MaxDomainReports
	if e := f.entries[to]; e == nil || e.Domain != f.self.Domain {
		own = f.cfg.MaxSampleReports
	}
	var leaving, fresh, in, out []bbunit.InstanceID
	for _, id := range f.order {
		e := f.entries[id]
		switch {
		case id == to || !e.heard || !f.live(e) || e.Inc == 0 || e.Heartbeat == 0:
		case e.Leaving && f.clock-e.changed < f.cfg.SuspicionTimeout:
			leaving = append(leaving, id)
		case f.clock-e.changed < f.cfg.SuspicionTimeout:
			fresh = append(fresh, id)
		case e.Domain == f.self.Domain:
			in = append(in, id)
		default:
			out = append(out, id)
		}
	}
	ids := append(f.pick(leaving, f.cfg.MaxSampleReports), f.pick(fresh, f.cfg.MaxSampleReports)...)
	ids = append(ids, f.freshest(in, own)...)
	ids = append(ids, f.pick(out, f.cfg.MaxSampleReports)...)
	reports := []Report{f.self}
	for _, id := range ids {
		reports = append(reports, f.entries[id].Report)
	}
	return reports
}

// freshest returns n of ids, those whose beats rose last; it reorders ids.
func (f *Fleet) freshest(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	ids = f.pick(ids, len(ids))
	slices.SortStableFunc(ids, func(a, b bbunit.InstanceID) int {
		return cmp.Compare(f.entries[b].seen, f.entries[a].seen)
	})
	return ids[:min(n, len(ids))]
}
