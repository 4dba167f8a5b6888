package bbcrash

import (
	"cmp"
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// reportState is how far the evidence of a record has been reported to the homes
// of its fingerprint. The zero value is a record that has to be reported.
type reportState struct {
	confirmed map[bbunit.InstanceID]uint64 // digest of the evidence that a home confirmed
	sends     int                          // without a confirmation of all homes
	nextAt    time.Time
	sentAt    time.Time
}

// restart makes the changed evidence be reported at once.
func (s *reportState) restart() { s.sends, s.nextAt = 0, time.Time{} }

// confirm notes that a home has the evidence with the digest.
func (s *reportState) confirm(home bbunit.InstanceID, digest uint64) {
	if s.confirmed == nil {
		s.confirmed = map[bbunit.InstanceID]uint64{}
	}
	s.confirmed[home] = digest
}

// forget forgets what the instances had confirmed.
func (s *reportState) forget(homes []bbunit.InstanceID) {
	for _, home := range homes {
		if _, ok := s.confirmed[home]; ok {
			delete(s.confirmed, home)
			s.restart()
		}
	}
}

// dueReports returns the reports that are due, a message for each home, and plans
// their repetition.
func (t *Tracker) dueReports(now time.Time) []outgoing {
	var homes []bbunit.InstanceID // in the order in which they come up
	due := map[bbunit.InstanceID][]Record{}
	for _, e := range t.dueEntries(now) {
		evidence := e.evidence()
		missing := t.unconfirmedHomes(evidence, &e.report)
		if len(missing) == 0 {
			e.report.sends, e.report.nextAt = 0, now.Add(homeCheckInterval)
			continue
		}
		full := false
		for _, home := range missing {
			records, known := due[home]
			if !known {
				homes = append(homes, home)
			}
			if len(records) < maxRecordsPerMessage {
				due[home] = append(records, evidence)
			} else {
				full = true
			}
		}
		if full {
			continue // the rest follows in the next tick
		}
		e.report.nextAt = now.Add(min(minReportInterval<<min(e.report.sends, 8), maxReportInterval))
		e.report.sends++
		e.report.sentAt = now
	}
	var out []outgoing
	for _, home := range homes {
		requests, parts := splitRecords(due[home])
		out = append(out, outgoing{To: home, Msg: &bbwire.Crashes{Reports: encodeRecords(requests, now), PartReports: encodeRecords(parts, now)}})
	}
	return out
}

// dueEntries returns the entries whose evidence may have to be reported now, by
// fingerprint.
func (t *Tracker) dueEntries(now time.Time) []*entry {
	var due []*entry
	for _, e := range t.records {
		switch {
		case now.Before(e.report.nextAt), !e.isPart() && e.isRefused(t.cfg.Threshold):
		case e.isPart() && len(e.Crashes) > partThreshold && now.Sub(e.report.sentAt) < minPartReportInterval:
		default:
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return due
}

// unconfirmedHomes returns the homes that have not confirmed the evidence: of the
// first homeCount in rank, and, if these have not answered, of as many of the
// next. Instances that are cut off together so find common homes among
// themselves.
func (t *Tracker) unconfirmedHomes(evidence Record, state *reportState) []bbunit.InstanceID {
	if len(evidence.Crashes) == 0 {
		return nil
	}
	self, digest := t.ranking.view.Self.ID, evidence.digest()
	ranked := t.ranking.top(evidence.Fingerprint, maxHomes)
	var missing []bbunit.InstanceID
	wanted := homeCount
	for i, home := range ranked {
		if i >= wanted {
			break
		}
		if home == self || state.confirmed[home] == digest {
			continue
		}
		missing = append(missing, home)
		if state.sends >= 2 {
			wanted++
		}
	}
	return missing
}

// receiveReports merges reports of other instances and returns the reply: a
// confirmation of each, and the verdicts that there are.
func (t *Tracker) receiveReports(from bbunit.InstanceID, reports []*bbwire.CrashRecord, now time.Time) *bbwire.Crashes {
	reply := &bbwire.Crashes{}
	for _, m := range reports[:min(len(reports), maxRecordsPerMessage)] {
		r, ok := t.decode(m, now)
		if !ok {
			continue
		}
		digest := r.digest()
		t.merge(from, r)
		e := t.records[r.Fingerprint]
		if e == nil {
			continue // too old
		}
		reply.Acks = append(reply.Acks, &bbwire.CrashAck{Print: r.Fingerprint, Digest: digest})
		switch {
		case !e.wasCounted():
		case !e.isPart():
			reply.Verdicts = append(reply.Verdicts, encodeRecord(e.verdict(), now))
		case len(reply.PartVerdicts) < maxPartsPerMessage:
			reply.PartVerdicts = append(reply.PartVerdicts, encodeRecord(e.verdict(), now))
		}
		t.assumeReported(r.Fingerprint, from, digest, e)
	}
	return reply
}

// assumeReported notes that the other homes have got the same report, so that
// this instance reports the record only to those that become homes later.
func (t *Tracker) assumeReported(fingerprint uint64, from bbunit.InstanceID, digest uint64, e *entry) {
	if e.evidence().digest() != digest {
		return // this instance knows more than the reporter told
	}
	for _, home := range append(t.ranking.top(fingerprint, homeCount), from) {
		e.report.confirm(home, digest)
	}
}

// receiveAcks notes which reports have arrived.
func (t *Tracker) receiveAcks(from bbunit.InstanceID, acks []*bbwire.CrashAck) {
	for _, a := range acks {
		if e := t.records[a.GetPrint()]; e != nil {
			e.report.confirm(from, a.GetDigest())
		}
	}
}
