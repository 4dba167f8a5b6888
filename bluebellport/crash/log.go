package bbcrash

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbunit"
)

// FingerprintText returns a fingerprint as it appears in logs.
func FingerprintText(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// CrashText is a crash as it appears in logs.
type CrashText struct {
	Target    bbunit.TargetID   `json:"target"`
	Born      int64             `json:"born"`
	Instance  bbunit.InstanceID `json:"instance"` // that saw it
	Age       int64             `json:"age"`      // in milliseconds
	Disproved bool              `json:"disproved,omitempty"`
}

// logParts logs which parts begin or cease to be refused.
func (t *Tracker) logParts(before, after map[uint64]Record) {
	log := func(r Record, text string) {
		r = r.verdict().newest(maxLoggedCrashes)
		t.cfg.Log.WithFields(logrus.Fields{
			"event": "crash-verdict", "fingerprint": FingerprintText(r.Fingerprint), "part": r.Part, "crashes": CrashTexts(r.Crashes, t.cfg.Now()), "answer-ms": r.AnswerTime.Milliseconds(),
		}).Warn(text)
	}
	for fingerprint, r := range after {
		if _, ok := before[fingerprint]; !ok {
			log(r, "requests with a part of a prompt are refused from now on")
		}
	}
	for fingerprint, r := range before {
		if _, ok := after[fingerprint]; !ok {
			log(r, "requests with a part of a prompt are no longer refused")
		}
	}
}

// CrashTexts returns crashes as they appear in logs.
func CrashTexts(crashes []Crash, now time.Time) []CrashText {
	out := make([]CrashText, len(crashes))
	for i, c := range crashes {
		out[i] = CrashText{c.Run.ID, c.Run.StartedAtMillis, c.Instance, now.Sub(c.BrokenAt).Milliseconds(), c.Disproved}
	}
	return out
}
