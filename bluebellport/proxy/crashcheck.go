package bbproxy

import (
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
)

// checkCrashes returns the refusal of a request that crashes its targets, as it is
// or by a part of its prompt, nil for any other.
func (x *exchange) checkCrashes() *Refusal {
	crashes := x.proxy.crashes
	if crashes.IsRefused(x.fingerprint) {
		return x.refuseCrashing("targets that ran this request have crashed", x.fingerprint, logrus.Fields{})
	}
	if part, ok := crashes.RefusedPart(x.parts); ok {
		return x.refuseCrashing("targets that ran requests with a part of this prompt have crashed", part.Fingerprint, logrus.Fields{"part": part.ID})
	}
	return nil
}

// refuseCrashing returns a refusal that names the crashes of what has a fingerprint.
func (x *exchange) refuseCrashing(reason string, fingerprint uint64, fields logrus.Fields) *Refusal {
	refusal := refuseNotRun(reason, 0)
	if x.mayHaveRun {
		refusal = refuseUnknownOutcome(reason)
	}
	crashes := x.proxy.crashes.Crashes(fingerprint)
	fields["fingerprint"] = bbcrash.FingerprintText(fingerprint)
	fields["crashed"] = bbcrash.CrashTexts(crashes[max(len(crashes)-maxNamedCrashes, 0):], x.proxy.now())
	refusal.LogFields = fields
	return refusal
}
