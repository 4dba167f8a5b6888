package bbcrash

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

type outgoing = bbnews.Outgoing[*bbwire.Crashes]

// Tick does the work that is due: it sends reports, changes and comparisons.
func (t *Tracker) Tick() {
	now := t.cfg.Now()
	t.mu.Lock()
	out := t.tick(now)
	t.mu.Unlock()
	t.sender.Send(out)
}

func (t *Tracker) tick(now time.Time) []outgoing {
	t.updateView(now)
	if !now.Before(t.nextPrune) {
		t.prune(now)
		t.nextPrune = now.Add(time.Second)
	}
	t.reviewVerdicts()
	t.reviewParts(now)
	out := t.flood(now)
	out = append(out, t.dueReports(now)...)
	out = append(out, t.compare(now)...)
	out = append(out, t.learn(now)...)
	if t.changed {
		t.publish()
	}
	return out
}

// updateView follows the membership. Instances that have started know nothing, so
// comparisons become frequent and what they had confirmed no longer counts.
func (t *Tracker) updateView(now time.Time) {
	started := t.ranking.update(t.cfg.Network.View())
	if len(started) == 0 {
		return
	}
	t.busyUntil = now.Add(busyRoundPeriod)
	for _, e := range t.records {
		e.report.forget(started)
	}
}

// envelope returns the envelope of a message.
func envelope(msg *bbwire.Crashes) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Crashes{Crashes: msg}}
}

// flood tells a few random instances of the verdicts that changed here, and they
// tell others.
func (t *Tracker) flood(now time.Time) []outgoing {
	var records []Record
	parts := 0
	for _, fingerprint := range slices.Sorted(maps.Keys(t.dirty)) {
		e, immediate := t.records[fingerprint], immediateFloods
		if e.isPart() {
			immediate = immediatePartFloods
		}
		if len(records) == maxRecordsPerMessage || e.isPart() && parts == maxPartsPerMessage || !e.flood.isDue(now, immediate, e.isPart()) {
			continue
		}
		if e.isPart() {
			parts++
		}
		records = append(records, e.verdict())
		delete(t.dirty, fingerprint)
	}
	if len(records) == 0 {
		return nil
	}
	msg := &bbwire.Crashes{}
	setVerdicts(msg, records, now)
	return bbnews.ToEach(t.randomPeers(floodFanout), msg)
}

// floodState limits how often one verdict is flooded. The zero value is a
// verdict that has not been.
type floodState struct {
	number int
	lastAt time.Time
}

// isDue reports whether the verdict can be flooded now, and counts that. As many
// floods as immediate come one after the other, if spaced with minFloodInterval
// between two after the first immediateFloods.
func (s *floodState) isDue(now time.Time, immediate int, spaced bool) bool {
	if now.Sub(s.lastAt) > maxFloodInterval {
		s.number = 0
	}
	if s.number >= immediate || spaced && s.number >= immediateFloods {
		interval := minFloodInterval << min(max(s.number-immediate, 0), 8)
		if now.Sub(s.lastAt) < min(interval, maxFloodInterval) {
			return false
		}
	}
	s.number, s.lastAt = s.number+1, now
	return true
}

// compare starts a comparison with a random instance, if it is time and
// requests are refused.
func (t *Tracker) compare(now time.Time) []outgoing {
	if now.Before(t.nextRound) {
		return nil
	}
	verdicts, parts := t.verdicts(), t.partVerdicts(1)
	if len(verdicts)+len(parts) == 0 {
		t.nextRound = now.Add(busyRoundInterval)
		return nil
	}
	msg := t.comparison(bbwire.Crashes_COMPARE, nil, now)
	t.nextRound = now.Add(quietRoundInterval)
	if now.Before(t.busyUntil) {
		isFresh := func(r Record) bool { return now.Sub(r.lastCrashAt()) < freshPeriod }
		if len(verdicts) > 0 && isFresh(verdicts[0]) {
			msg.Verdicts = encodeRecords(verdicts[:1], now)
		}
		if len(parts) > 0 && isFresh(parts[0]) {
			msg.PartVerdicts = encodeRecords(parts, now)
		}
		t.nextRound = now.Add(busyRoundInterval)
	}
	return bbnews.ToEach(t.randomPeers(1), msg)
}

// comparison returns a message of a comparison.
func (t *Tracker) comparison(step bbwire.Crashes_Step, records []Record, now time.Time) *bbwire.Crashes {
	msg := &bbwire.Crashes{Step: step, Digest: t.digest, PartDigest: t.partDigest, Complete: t.learner.complete}
	setVerdicts(msg, records, now)
	return msg
}

// verdictDigest returns a digest of all verdicts.
func (t *Tracker) verdictDigest() uint64 { return t.digest ^ bits.RotateLeft64(t.partDigest, 1) }

// partVerdicts returns the verdicts on parts that are or were refused, the newest
// first, at most n.
func (t *Tracker) partVerdicts(n int) []Record {
	records := t.newestFirst(func(e *entry) bool { return e.isPart() && e.wasCounted() })
	records = records[:min(len(records), n)]
	for i := range records {
		records[i] = records[i].verdict()
	}
	return records
}

// verdicts returns the verdicts on all requests that are or were refused, the
// newest first.
func (t *Tracker) verdicts() []Record {
	records := t.newestFirst(func(e *entry) bool { return !e.isPart() && e.wasCounted() })
	for i := range records {
		records[i] = records[i].verdict()
	}
	return records
}

// receive handles a message of another instance.
func (t *Tracker) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg, now := e.GetCrashes(), t.cfg.Now()
	t.mu.Lock()
	reply := t.handle(from, msg, now)
	t.mu.Unlock()
	if reply != nil {
		t.sender.Send([]outgoing{{To: from, Msg: reply}})
	}
	return nil
}

// handle applies a message and returns the reply, nil for none.
func (t *Tracker) handle(from bbunit.InstanceID, msg *bbwire.Crashes, now time.Time) *bbwire.Crashes {
	t.updateView(now)
	t.receiveAcks(from, msg.GetAcks())
	verdicts := msg.Verdicts[:min(len(msg.Verdicts), maxRecordsPerMessage)]
	for _, m := range slices.Concat(verdicts, msg.PartVerdicts[:min(len(msg.PartVerdicts), maxPartsPerMessage)]) {
		if r, ok := t.decode(m, now); ok {
			t.merge(from, r)
		}
	}
	var reply *bbwire.Crashes
	if len(msg.Reports)+len(msg.PartReports) > 0 {
		reply = t.receiveReports(from, slices.Concat(msg.Reports, msg.PartReports), now)
	}
	if t.urgent {
		t.publish()
	}
	if msg.Step != bbwire.Crashes_NONE {
		reply = t.answerComparison(msg, now)
	}
	return reply
}

// answerComparison replies to a step of a comparison, unless both instances now
// have the same.
func (t *Tracker) answerComparison(msg *bbwire.Crashes, now time.Time) *bbwire.Crashes {
	equal := msg.Digest == t.digest && msg.PartDigest == t.partDigest
	if msg.Complete && (msg.Step != bbwire.Crashes_COMPARE || equal) {
		t.learner.complete = true
	}
	step := bbwire.Crashes_ANSWER
	switch {
	case msg.Step == bbwire.Crashes_LAST:
		return nil
	case msg.Step == bbwire.Crashes_ANSWER:
		step = bbwire.Crashes_LAST
	}
	if !equal {
		return t.comparison(step, append(t.someVerdicts(), t.partVerdicts(maxPartsPerMessage)...), now)
	}
	if msg.Step == bbwire.Crashes_COMPARE && !msg.Complete {
		return t.comparison(step, nil, now) // the other instance has just started
	}
	return nil
}

// someVerdicts returns what fits in a message of the verdicts: half of it the
// newest, half of it random ones.
func (t *Tracker) someVerdicts() []Record {
	records := t.verdicts()
	if len(records) <= maxRecordsPerMessage {
		return records
	}
	for i := maxRecordsPerMessage / 2; i < maxRecordsPerMessage; i++ {
		j := i + t.cfg.Rand(len(records)-i)
		records[i], records[j] = records[j], records[i]
	}
	return records[:maxRecordsPerMessage]
}

// merge merges a record of another instance.
func (t *Tracker) merge(from bbunit.InstanceID, r Record) {
	before := t.record(r.Fingerprint)
	if r.isPart() {
		if t.cfg.Now().Sub(r.lastCrashAt()) > partTTL {
			return
		}
		before = t.partRecord(Part{Fingerprint: r.Fingerprint, ID: r.Part})
	}
	merged := before.with(r.Crashes...)
	merged.AnswerTime = max(before.AnswerTime, r.AnswerTime)
	if !t.apply(t.withoutAnswered(merged)) {
		return
	}
	after := t.record(r.Fingerprint)
	if isNews := !r.isPart() || after.valid() <= partThreshold; isNews && after.valid() > before.valid() {
		t.cfg.Log.WithFields(logrus.Fields{
			"event": "crash", "fingerprint": FingerprintText(r.Fingerprint), "part": r.Part, "peer": from, "crashes": after.valid(),
		}).Info("crash learned")
	}
}

// decode decodes a record and counts one that is malformed.
func (t *Tracker) decode(m *bbwire.CrashRecord, now time.Time) (Record, bool) {
	r, err := decodeRecord(m, now)
	if err != nil {
		t.dropped.Inc(1)
		t.cfg.Log.WithError(err).Warn("crash record dropped")
	}
	return r, err == nil
}

// randomPeers returns up to n other instances, chosen at random.
func (t *Tracker) randomPeers(n int) []bbunit.InstanceID {
	return t.ranking.view.RandomOthers(n, t.cfg.Rand)
}
