package bbversion

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// streams knows which version began streams: those of this instance and those of
// which it keeps the record. The caller locks.
type streams struct {
	byKey     map[StreamKey]*stream
	nextPrune time.Time
}

// stream is what is known of one stream.
type stream struct {
	version string
	service bbunit.ServiceID // empty if it began at another instance
	// open counts the exchanges of this instance that pass it on.
	open  int
	until time.Time // until when it is known, if it is not open
}

// begin notes that this instance passes a stream on.
func (s *streams) begin(service bbunit.ServiceID, key StreamKey, version string, now time.Time) {
	known := s.byKey[key]
	if known == nil {
		if !s.hasRoom(now) {
			return
		}
		known = &stream{}
		s.byKey[key] = known
	}
	known.version, known.service = version, service
	known.open++
}

// end notes that this instance no longer passes a stream on.
func (s *streams) end(key StreamKey, now time.Time) {
	if known := s.byKey[key]; known != nil && known.open > 0 {
		known.open--
		known.until = later(known.until, now.Add(streamRetention))
	}
}

// keep keeps the record of a stream for another instance. The first one counts.
func (s *streams) keep(key StreamKey, version string, now time.Time) {
	known := s.byKey[key]
	if known == nil {
		if !s.hasRoom(now) {
			return
		}
		known = &stream{version: version}
		s.byKey[key] = known
	}
	known.until = later(known.until, now.Add(recordRetention))
}

// find returns the version that began a stream.
func (s *streams) find(key StreamKey) (version string, known bool) {
	if found := s.byKey[key]; found != nil {
		return found.version, true
	}
	return "", false
}

// hasRoom forgets streams that are over and reports whether there is room for
// another one.
func (s *streams) hasRoom(now time.Time) bool {
	if now.After(s.nextPrune) {
		s.nextPrune = now.Add(time.Second)
		for key, known := range s.byKey {
			if known.open == 0 && now.After(known.until) {
				delete(s.byKey, key)
			}
		}
	}
	return len(s.byKey) < maxStreams
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
