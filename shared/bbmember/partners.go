package bbmember

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// pickProbes picks the members to open a new connection to: up to Fanout
// members of the own failure domain that have been silent for half the
// suspicion timeout, and, of the other suspected members, the one seen or
// probed longest ago. The latter is probed once per half suspicion timeout, and
// every round while connections fail. No member is probed twice within half the
// suspicion timeout.
func (f *Fleet) pickProbes() []bbunit.InstanceID {
	var out []bbunit.InstanceID
	var stalest *peer
	for _, id := range f.peerIDs {
		p := f.peers[id]
		if f.elapsed-p.lastProbe < f.cfg.SuspicionTimeout/2 {
			continue
		}
		if p.Domain == f.self.Domain && len(out) < f.cfg.Fanout && f.silence(p) > f.cfg.SuspicionTimeout/2 {
			p.lastProbe = f.elapsed
			out = append(out, id)
			continue
		}
		if f.isSilent(p) && (stalest == nil || max(p.lastProbe, p.lastSeen) < max(stalest.lastProbe, stalest.lastSeen)) {
			stalest = p
		}
	}
	if stalest != nil && (f.contactFailed || f.elapsed-f.lastStalestProbe >= f.cfg.SuspicionTimeout/2) {
		f.contactFailed, f.lastStalestProbe, stalest.lastProbe = false, f.elapsed, f.elapsed
		out = append(out, stalest.ID)
	}
	return out
}

// sampleLive returns up to nSame random live members of the own failure domain
// and up to nOther of the others.
func (f *Fleet) sampleLive(nSame, nOther int) []bbunit.InstanceID {
	var sameDomain, otherDomains []bbunit.InstanceID
	for _, id := range f.peerIDs {
		p := f.peers[id]
		switch {
		case !f.isLive(p):
		case p.Domain == f.self.Domain:
			sameDomain = append(sameDomain, id)
		default:
			otherDomains = append(otherDomains, id)
		}
	}
	return append(f.sample(sameDomain, nSame), f.sample(otherDomains, nOther)...)
}

// pickRoundPartners picks the members that receive gossip in this round.
func (f *Fleet) pickRoundPartners() []bbunit.InstanceID {
	f.rounds++
	f.updateRemotePartners(f.sampleLive(0, len(f.peerIDs)))
	return append(f.sampleLive(f.cfg.Fanout, 0), f.sample(slices.Clone(f.remotePartners), 1)...)
}

// updateRemotePartners removes partners that are not live or whose last
// connection failed, drops a random one of a full set every RotationRounds
// rounds, and refills the set from live, which is in random order.
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

// sample returns up to n random elements of ids. It reorders ids.
func (f *Fleet) sample(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	n = min(n, len(ids))
	for i := range n {
		j := i + f.rng.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// buildReports returns the reports to send to a member: this instance first,
// then members that recently began to leave or joined, then the own failure
// domain and a sample of the others.
func (f *Fleet) buildReports(to bbunit.InstanceID) []Report {
	maxSame := f.cfg.MaxDomainReports
	if p := f.peers[to]; p == nil || p.Domain != f.self.Domain {
		maxSame = f.cfg.MaxSampleReports
	}
	var leaving, joined, sameDomain, otherDomains []bbunit.InstanceID
	for _, id := range f.peerIDs {
		p := f.peers[id]
		switch {
		case id == to || !p.confirmed || !f.isLive(p) || p.Inc == 0 || p.Heartbeat == 0:
		case p.Leaving && f.elapsed-p.changedAt < f.cfg.SuspicionTimeout:
			leaving = append(leaving, id)
		case f.elapsed-p.changedAt < f.cfg.SuspicionTimeout:
			joined = append(joined, id)
		case p.Domain == f.self.Domain:
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

// mostRecentlySeen returns up to n of ids, the most recently seen first, ties
// in random order. It reorders ids.
func (f *Fleet) mostRecentlySeen(ids []bbunit.InstanceID, n int) []bbunit.InstanceID {
	ids = f.sample(ids, len(ids))
	slices.SortStableFunc(ids, func(a, b bbunit.InstanceID) int {
		return cmp.Compare(f.peers[b].lastSeen, f.peers[a].lastSeen)
	})
	return ids[:min(n, len(ids))]
}
