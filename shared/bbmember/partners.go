package bbmember

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// pickProbes picks the members to connect to afresh: those of the own failure
// domain that went silent, and the one longest unheard of all: seldom, but each
// round while connections fail.
func (f *Fleet) pickProbes() []bbunit.InstanceID {
	var out []bbunit.InstanceID
	var stalest *peer
	for _, id := range f.peerIDs {
		e := f.peers[id]
		if f.elapsed-e.lastProbe < f.cfg.SuspicionTimeout/2 {
			continue
		}
		if e.Domain == f.self.Domain && len(out) < f.cfg.Fanout && f.silence(e) > f.cfg.SuspicionTimeout/2 {
			e.lastProbe = f.elapsed
			out = append(out, id)
			continue
		}
		if f.isSilent(e) && (stalest == nil || max(e.lastProbe, e.lastSeen) < max(stalest.lastProbe, stalest.lastSeen)) {
			stalest = e
		}
	}
	if stalest != nil && (f.contactFailed || f.elapsed-f.lastStalestProbe >= f.cfg.SuspicionTimeout/2) {
		f.contactFailed, f.lastStalestProbe, stalest.lastProbe = false, f.elapsed, f.elapsed
		out = append(out, stalest.ID)
	}
	return out
}

// sampleLive picks live members at random, of the own failure domain and of the
// others.
func (f *Fleet) sampleLive(nSame, nOther int) []bbunit.InstanceID {
	var sameDomain, otherDomains []bbunit.InstanceID
	for _, id := range f.peerIDs {
		e := f.peers[id]
		switch {
		case !f.isLive(e):
		case e.Domain == f.self.Domain:
			sameDomain = append(sameDomain, id)
		default:
			otherDomains = append(otherDomains, id)
		}
	}
	return append(f.sample(sameDomain, nSame), f.sample(otherDomains, nOther)...)
}

// pickRoundPartners picks the partners of one round.
func (f *Fleet) pickRoundPartners() []bbunit.InstanceID {
	f.rounds++
	f.updateRemotePartners(f.sampleLive(0, len(f.peerIDs)))
	return append(f.sampleLive(f.cfg.Fanout, 0), f.sample(slices.Clone(f.remotePartners), 1)...)
}

// updateRemotePartners keeps the far partners that can be reached, drops one at random each
// Redraw rounds, and fills up from the live ones, which come in random order.
func (f *Fleet) updateRemotePartners(live []bbunit.InstanceID) {
	f.remotePartners = slices.DeleteFunc(f.remotePartners, func(id bbunit.InstanceID) bool {
		return !slices.Contains(live, id) || f.peers[id].lastFailure > f.peers[id].lastSeen
	})
	if f.rounds%f.cfg.RotationRounds == 0 && len(f.remotePartners) == f.cfg.RemotePartners {
		i := f.rng.IntN(len(f.remotePartners))
		f.remotePartners = slices.Delete(f.remotePartners, i, i+1)
	}
	for _, id := range live {
		if len(f.remotePartners) < f.cfg.RemotePartners && !slices.Contains(f.remotePartners, id) {
			f.remotePartners = append(f.remotePartners, id)
		}
	}
}

// sample returns n of ids, chosen at random; it reorders ids.
func (f *Fleet) sample(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	n = min(n, len(ids))
	for i := range n {
		j := i + f.rng.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// buildReports returns what a member is told: this instance first, then what
// changed lately, then the failure domain and a sample of the others.
func (f *Fleet) buildReports(to bbunit.InstanceID) []Report {
	maxSame := f.cfg.MaxDomainReports
	if e := f.peers[to]; e == nil || e.Domain != f.self.Domain {
		maxSame = f.cfg.MaxSampleReports
	}
	var leaving, joined, sameDomain, otherDomains []bbunit.InstanceID
	for _, id := range f.peerIDs {
		e := f.peers[id]
		switch {
		case id == to || !e.confirmed || !f.isLive(e) || e.Inc == 0 || e.Heartbeat == 0:
		case e.Leaving && f.elapsed-e.changedAt < f.cfg.SuspicionTimeout:
			leaving = append(leaving, id)
		case f.elapsed-e.changedAt < f.cfg.SuspicionTimeout:
			joined = append(joined, id)
		case e.Domain == f.self.Domain:
			sameDomain = append(sameDomain, id)
		default:
			otherDomains = append(otherDomains, id)
		}
	}
	ids := append(f.sample(leaving, f.cfg.MaxSampleReports), f.sample(joined, f.cfg.MaxSampleReports)...)
	ids = append(ids, f.mostRecentlySeen(sameDomain, maxSame)...)
	ids = append(ids, f.sample(otherDomains, f.cfg.MaxSampleReports)...)
	reports := []Report{f.self}
	for _, id := range ids {
		reports = append(reports, f.peers[id].Report)
	}
	return reports
}

// mostRecentlySeen returns n of ids, those whose beats rose last; it reorders ids.
func (f *Fleet) mostRecentlySeen(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	ids = f.sample(ids, len(ids))
	slices.SortStableFunc(ids, func(a, b bbunit.InstanceID) int {
		return cmp.Compare(f.peers[b].lastSeen, f.peers[a].lastSeen)
	})
	return ids[:min(n, len(ids))]
}
