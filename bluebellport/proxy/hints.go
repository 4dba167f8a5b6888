package bbproxy

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/brittle"
	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
)

// maxUnknownFields is how many names of unknown fields are logged.
const maxUnknownFields = 32

// limitObserver takes what targets say of their limits.
type limitObserver interface {
	Observe(run bbplan.TargetRun, s bblimit.Statement)
}

// hintReader reads what targets say of themselves in their answers: the limits
// that they name, and fields that this program does not know.
type hintReader struct {
	limits             limitObserver
	log                logrus.FieldLogger
	unknown, malformed metrics.Counter
	brittle            bbbrittle.Services
	brittleAnswers     metrics.Counter

	mu    sync.Mutex // guards names
	names map[string]bool
}

func newHintReader(limits limitObserver, log logrus.FieldLogger, registry metrics.Registry) *hintReader {
	return &hintReader{
		limits: limits, log: log, names: map[string]bool{},
		unknown:   metrics.GetOrRegisterCounter("door.fields.unknown", registry),
		malformed: metrics.GetOrRegisterCounter("limit.malformed", registry), brittleAnswers: metrics.GetOrRegisterCounter("limit.brittle", registry),
	}
}

// record takes the head of a target's answer to an attempt that was sent at a
// time of the proxy's clock.
func (h *hintReader) record(target *Target, resp *Response, attemptID string, sentAt, now time.Time) {
	for i := range resp.Fields {
		name := strings.ToLower(resp.Fields[i].Name)
		if !bbplatform.KnownTargetFields[name] && !strings.HasPrefix(name, "content-") {
			h.recordUnknown(target, name)
		}
	}
	h.recordLimit(target, resp, attemptID, bblimit.Statement{SentAt: sentAt, HeardAt: now})
}

// recordUnknown counts a field that is not known, and logs each name once.
func (h *hintReader) recordUnknown(target *Target, name string) {
	h.unknown.Inc(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.names[name] || len(h.names) >= maxUnknownFields {
		return
	}
	h.names[name] = true
	h.log.WithFields(logrus.Fields{"event": "field", "field": name, "target": target.ID, "service": target.Service}).Warn("a target's answer has a field that is not known")
}

// recordLimit passes on what the answer says of the target's limit, or of the refusals that
// it bears. Only a complete head of the target itself tells that there is none; another
// server at the address (421) says nothing of it.
func (h *hintReader) recordLimit(target *Target, resp *Response, attemptID string, s bblimit.Statement) {
	if resp.Status == statusMisdirected {
		return
	}
	limit, named := h.read(resp, bbplatform.HeaderTargetLimit, bbplatform.ParseTargetLimit)
	refusals, brittle := h.read(resp, bbplatform.HeaderTargetBrittle, bbplatform.ParseTargetBrittle)
	s.Limit = limit
	if brittle == hintValid {
		h.brittleAnswers.Inc(1)
		if h.brittle.Said(target.Service, refusals, s.HeardAt) {
			h.log.WithFields(logrus.Fields{"event": "brittle", "service": target.Service, "target": target.ID, "refusals": refusals}).Info("targets of a service say that they are brittle")
		}
		able, known := h.brittle.Limit(target.Service, bbplace.SlotsOf(&target.Target), s.HeardAt)
		s.Even = known
		switch {
		case known && named == hintValid:
			s.Limit = min(limit, able)
		case known:
			s.Limit, named = able, hintValid
		case named == hintAbsent:
			return // nothing follows yet
		}
	}
	if named == hintMalformed || named == hintAbsent && (!resp.isSigned() || !resp.belongsTo(attemptID)) {
		return
	}
	s.Ended = named == hintAbsent
	h.limits.Observe(target.Run(), s)
}

// hintState tells what a field of an answer says.
type hintState int

const (
	hintAbsent hintState = iota
	hintValid
	hintMalformed
)

// read returns the number in a field of an answer, and counts one that is malformed.
func (h *hintReader) read(resp *Response, field string, parse func(string) (float64, bool)) (float64, hintState) {
	text, n := resp.Fields.Get(field)
	if n == 0 {
		return 0, hintAbsent
	}
	if v, ok := parse(text); ok && n == 1 {
		return v, hintValid
	}
	h.malformed.Inc(1)
	return 0, hintMalformed
}

// targetStarted limits a target that has just started like the others of its service, if
// these are brittle: it would fall over before its first answer.
func (h *hintReader) targetStarted(target bbplan.Target, now time.Time) {
	slots := bbplace.SlotsOf(&bbplace.Target{Target: target})
	if limit, ok := h.brittle.Limit(target.Service, slots, now); ok {
		h.limits.Observe(target.Run(), bblimit.Statement{Limit: limit, Even: true, SentAt: now, HeardAt: now})
	}
}
