package bbproxy

import (
	"net"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// poisonPolicy sets when a request counts as one that crashes its targets.
var poisonPolicy = bbroute.PoisonPolicy{CrashThreshold: 2, SuspectTTL: 20 * time.Second, MaxFingerprints: 512}

// poisonDetector knows requests that were under way when their target crashed. Such a
// request comes again at any instance, so peers are told.
type poisonDetector struct {
	peers     PeerNetwork
	now       func() time.Time
	table     atomic.Pointer[bbroute.CrashTable]
	knownGood bbroute.KnownGood
}

func newPoisonDetector(peers PeerNetwork, now func() time.Time) *poisonDetector {
	d := &poisonDetector{peers: peers, now: now}
	d.table.Store(&bbroute.CrashTable{})
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Suspects{}}, d.handleSuspects)
	return d
}

// isPoison tells that a request has crashed too many targets to be run again.
func (d *poisonDetector) isPoison(fingerprint uint64) bool {
	return d.table.Load().CrashCount(fingerprint) >= poisonPolicy.CrashThreshold
}

// recordSuccess notes that a request ran whole: it crashes no target.
func (d *poisonDetector) recordSuccess(fingerprint uint64) { d.knownGood.Add(fingerprint) }

// checkCrash looks whether a target that broke a request off is down: then the request
// may be what crashed it. It blocks up to dialTime.
func (d *poisonDetector) checkCrash(fingerprint uint64, target *Target) {
	if d.knownGood.Contains(fingerprint) {
		return
	}
	conn, err := net.DialTimeout("tcp4", target.Address, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	d.add(fingerprint, []bbunit.TargetID{target.ID})
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Suspects{Suspects: &bbwire.Suspects{Print: fingerprint, Targets: []string{string(target.ID)}}}}
	for _, id := range randomPeers(d.peers.View(), maxSuspectPeers) {
		_ = d.peers.Send(id, e) // a peer that does not hear finds out by itself
	}
}

func (d *poisonDetector) add(fingerprint uint64, targets []bbunit.TargetID) {
	for {
		old := d.table.Load()
		next, changed := old.Expire(d.now(), &poisonPolicy).With(fingerprint, targets, d.now(), &poisonPolicy)
		if !changed || d.table.CompareAndSwap(old, next) {
			return
		}
	}
}

func (d *poisonDetector) handleSuspects(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetSuspects()
	targets := make([]bbunit.TargetID, 0, len(msg.Targets))
	for _, t := range msg.Targets {
		targets = append(targets, bbunit.TargetID(t))
	}
	if len(targets) > 0 {
		d.add(msg.Print, targets)
	}
	return nil
}
