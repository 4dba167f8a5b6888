package bbbrittle

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// memory is how long a service counts as brittle after a target of it has said so.
	memory = 3 * time.Second
	// timeSmoothing is the weight of one request in the moving average of their times.
	timeSmoothing = 0.05
)

// Services keeps which services have brittle targets, and how long requests to them take.
// The zero value knows of none. It is safe for concurrent use.
type Services struct {
	mu       sync.Mutex
	services map[bbunit.ServiceID]*service
}

type service struct {
	mean     time.Duration // moving average, 0 if not known
	refusals float64       // that each target bears in a second
	saidAt   time.Time     // when a target last named them
}

// of returns the entry of a service. The caller holds the lock.
func (s *Services) of(id bbunit.ServiceID) *service {
	e := s.services[id]
	if e == nil {
		if s.services == nil {
			s.services = map[bbunit.ServiceID]*service{}
		}
		e = &service{}
		s.services[id] = e
	}
	return e
}

// RecordTime records how long a target of a service took for a request.
func (s *Services) RecordTime(id bbunit.ServiceID, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.of(id)
	if e.mean == 0 {
		e.mean = took
	}
	e.mean += time.Duration(timeSmoothing * float64(took-e.mean))
}

// Said records that a target of a service bears so many refusals a second. It reports
// whether the service was not brittle before.
func (s *Services) Said(id bbunit.ServiceID, refusals float64, now time.Time) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.of(id)
	begins = e.saidAt.IsZero() || now.Sub(e.saidAt) > memory
	e.refusals, e.saidAt = refusals, now
	return begins
}

// Limit returns the requests a second that a target of a service is to get, if its targets
// are brittle: also one that has just started and has said nothing yet.
func (s *Services) Limit(id bbunit.ServiceID, slots int, now time.Time) (perSecond float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.services[id]
	if e == nil || e.saidAt.IsZero() || now.Sub(e.saidAt) > memory {
		return 0, false
	}
	return Limit(slots, e.mean, e.refusals)
}
