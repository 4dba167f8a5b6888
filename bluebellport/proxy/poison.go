package bbproxy

import (
	"net"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// poisonRule sets when a request counts as one that crashes its targets.
var poisonRule = bbroute.PoisonPolicy{CrashThreshold: 2, SuspectTTL: 20 * time.Second, MaxFingerprints: 512}

// suspects knows requests that were under way when their target crashed. Such a
// request comes again at any instance, so peers are told.
type suspects struct {
	fleet  Fleet
	now    func() time.Time
	table  atomic.Pointer[bbroute.CrashTable]
	proven bbroute.KnownGood
}

func newSuspects(fleet Fleet, now func() time.Time) *suspects {
	s := &suspects{fleet: fleet, now: now}
	s.table.Store(&bbroute.CrashTable{})
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Suspects{}}, s.heard)
	return s
}

// poison tells that a request has crashed too many targets to be run again.
func (s *suspects) poison(fingerprint uint64) bool {
	return s.table.Load().CrashCount(fingerprint) >= poisonRule.CrashThreshold
}

// ran notes that a request ran whole: it crashes no target.
func (s *suspects) ran(fingerprint uint64) { s.proven.Add(fingerprint) }

// broke looks whether a target that broke a request off is down: then the request
// may be what crashed it. It blocks up to dialTime.
func (s *suspects) broke(fingerprint uint64, target *Server) {
	if s.proven.Contains(fingerprint) {
		return
	}
	conn, err := net.DialTimeout("tcp4", target.Address, dialTime)
	if err == nil {
		_ = conn.Close()
		return
	}
	s.add(fingerprint, []bbunit.TargetID{target.ID})
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Suspects{Suspects: &bbwire.Suspects{Print: fingerprint, Targets: []string{string(target.ID)}}}}
	for _, id := range peersOf(s.fleet.View(), suspectPeers) {
		_ = s.fleet.Send(id, e) // a peer that does not hear finds out by itself
	}
}

func (s *suspects) add(fingerprint uint64, targets []bbunit.TargetID) {
	for {
		old := s.table.Load()
		next, news := old.Expire(s.now(), &poisonRule).With(fingerprint, targets, s.now(), &poisonRule)
		if !news || s.table.CompareAndSwap(old, next) {
			return
		}
	}
}

func (s *suspects) heard(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	m := e.GetSuspects()
	targets := make([]bbunit.TargetID, 0, len(m.Targets))
	for _, t := range m.Targets {
		targets = append(targets, bbunit.TargetID(t))
	}
	if len(targets) > 0 {
		s.add(m.Print, targets)
	}
	return nil
}
