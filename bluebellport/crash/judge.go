package bbcrash

import "github.com/sirupsen/logrus"

// apply replaces a record by a later state of it, decides whether the request
// is refused from now on, and reports whether anything changed.
func (t *Tracker) apply(r Record) bool {
	old := t.record(r.Fingerprint)
	switch {
	case len(old.Crashes) > 0 && old.Part != r.Part:
		t.dropped.Inc(1) // two suspects with one fingerprint: the first is kept
		return false
	case r.isPart():
		r = t.judgePart(r)
	default:
		r = t.judgeRequest(r)
	}
	changed := old.digest() != r.digest()
	e := t.records[r.Fingerprint]
	if e == nil {
		e = &entry{}
		t.records[r.Fingerprint] = e
	}
	e.Record = r
	if !changed {
		return false
	}
	t.changed = true
	if old.evidence().digest() != r.evidence().digest() {
		e.report.restart()
	}
	before, after := old.verdictDigest(), r.verdictDigest()
	if t.isObjection(old, r) {
		e.flood = floodState{} // does not wait
	}
	if before != after {
		*t.digestOf(&r) ^= before ^ after
		t.dirty[r.Fingerprint] = true
		t.busyUntil = t.cfg.Now().Add(busyRoundPeriod)
	}
	t.logVerdict(old, r)
	return true
}

// judgeRequest returns the record of a request with the crashes counted if they
// suffice to refuse it, and doubted if other targets crashed too.
func (t *Tracker) judgeRequest(r Record) Record {
	t.noteCrashed(r)
	background := t.background(r)
	if !r.isRefused(t.cfg.Threshold) && r.shouldRefuse(t.cfg.Threshold, background) {
		r = r.count(t.cfg.Threshold)
	}
	if background > 0 && r.wasCounted() {
		r = r.doubt()
	}
	return r
}

// isObjection reports whether a change of a record speaks against its refusal.
func (t *Tracker) isObjection(old, r Record) bool {
	if r.isPart() {
		span, stands := t.longSpan(), func(c *Crash) bool { return c.Counted && !c.Disproved }
		return old.wasCounted() && (!old.tooFew(span, stands) && r.tooFew(span, stands) || old.AnswerTime == 0 && r.AnswerTime > 0)
	}
	return old.isRefused(t.cfg.Threshold) && !r.isRefused(t.cfg.Threshold)
}

// digestOf returns the digest that a record's verdict belongs to.
func (t *Tracker) digestOf(r *Record) *uint64 {
	if r.isPart() {
		return &t.partDigest
	}
	return &t.digest
}

// noteCrashed notes the targets that crashed, against which other records are
// judged.
func (t *Tracker) noteCrashed(r Record) {
	now := t.cfg.Now()
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if c.Disproved || now.Sub(c.BrokenAt) > backgroundPeriod {
			continue
		}
		if _, known := t.crashed[c.Run]; !known {
			t.crashed[c.Run] = c.BrokenAt
			t.doubtDue = true
		}
	}
}

// reviewVerdicts puts the refused requests in doubt whose targets did not crash
// alone.
func (t *Tracker) reviewVerdicts() {
	if !t.doubtDue {
		return
	}
	t.doubtDue = false
	for _, e := range t.records {
		if !e.isPart() && e.wasCounted() && !e.isDoubted() {
			t.apply(e.Record)
		}
	}
}

// logVerdict logs when a request begins or ceases to be refused.
func (t *Tracker) logVerdict(old, r Record) {
	if r.isPart() {
		t.urgent = t.urgent || old.verdictDigest() != r.verdictDigest()
		return // logged as it comes into force
	}
	before, after := old.isRefused(t.cfg.Threshold), r.isRefused(t.cfg.Threshold)
	if before == after {
		return
	}
	t.urgent = true
	text := "request is refused from now on"
	if before {
		text = "request is no longer refused"
	}
	t.cfg.Log.WithFields(logrus.Fields{
		"event": "crash-verdict", "fingerprint": FingerprintText(r.Fingerprint), "crashes": CrashTexts(r.Crashes, t.cfg.Now()), "background": t.background(r),
	}).Warn(text)
}

// background returns how many targets crashed at about the time of the record's
// crashes that are not in the record.
func (t *Tracker) background(r Record) int {
	n := 0
	for run, at := range t.crashed {
		inRecord, near := false, false
		for i := range r.Crashes {
			inRecord = inRecord || r.Crashes[i].Run == run
			near = near || at.Sub(r.Crashes[i].BrokenAt).Abs() <= backgroundPeriod
		}
		if near && !inRecord {
			n++
		}
	}
	return n
}

// withoutAnswered returns the record with the crashes disproved from before the
// request was last answered here.
func (t *Tracker) withoutAnswered(r Record) Record {
	if r.isPart() {
		return t.withoutPartAnswers(r)
	}
	at := t.answers.lastAt(r.Fingerprint)
	if at.IsZero() {
		return r
	}
	return t.disprove(r, "the request was answered since", func(c *Crash) bool { return c.BrokenAt.Before(at) })
}

// disprove returns the record with the crashes disproved that match, and logs
// it.
func (t *Tracker) disprove(r Record, reason string, matches func(c *Crash) bool) Record {
	next := r.disprove(matches)
	if n := r.valid() - next.valid(); n > 0 {
		t.disproved.Inc(int64(n))
		if r.isPart() && !r.wasCounted() {
			return next // a popular part is answered all the time
		}
		t.cfg.Log.WithFields(logrus.Fields{"event": "crash-disproved", "fingerprint": FingerprintText(r.Fingerprint), "part": r.Part, "crashes": next.valid(), "reason": reason}).Info("crashes disproved")
	}
	return next
}
