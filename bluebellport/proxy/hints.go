package bbproxy

import (
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/platform"
)

// maxUnknownFields is how many names of unknown fields are logged.
const maxUnknownFields = 32

// hintLog tells of what targets say of themselves in their answers: the limits
// that they name, and fields that this program does not know.
type hintLog struct {
	log       logrus.FieldLogger
	unknown   metrics.Counter
	malformed metrics.Counter

	mu     sync.Mutex // guards the fields below
	names  map[string]bool
	limits map[bbcrash.TargetRun]float64
}

func newHintLog(log logrus.FieldLogger, registry metrics.Registry) *hintLog {
	return &hintLog{
		log: log, names: map[string]bool{}, limits: map[bbcrash.TargetRun]float64{},
		unknown:   metrics.GetOrRegisterCounter("door.fields.unknown", registry),
		malformed: metrics.GetOrRegisterCounter("limit.malformed", registry),
	}
}

// record takes the fields of a target's answer.
func (h *hintLog) record(target *Target, resp *Response) {
	for i := range resp.Fields {
		name := strings.ToLower(resp.Fields[i].Name)
		if !bbplatform.KnownTargetFields[name] && !strings.HasPrefix(name, "content-") {
			h.recordUnknown(target, name)
		}
	}
	h.recordLimit(target, resp)
}

// recordUnknown counts a field that is not known, and logs each name once.
func (h *hintLog) recordUnknown(target *Target, name string) {
	h.unknown.Inc(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.names[name] || len(h.names) >= maxUnknownFields {
		return
	}
	h.names[name] = true
	h.log.WithFields(logrus.Fields{"event": "field", "field": name, "target": target.ID, "service": target.Service}).Warn("a target's answer has a field that is not known")
}

// recordLimit logs where the limit of a target changes.
func (h *hintLog) recordLimit(target *Target, resp *Response) {
	text, n := resp.Fields.Get(bbplatform.HeaderTargetLimit)
	limit, ok := bbplatform.ParseTargetLimit(text)
	if n > 0 && !ok {
		h.malformed.Inc(1)
	}
	run := runOf(target)
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.limits[run]
	switch {
	case n == 1 && ok && (!known || limit != before):
		h.limits[run] = limit
		h.log.WithFields(logrus.Fields{"event": "limit", "target": target.ID, "service": target.Service, "limit": limit}).Info("target names a limit")
	case n == 0 && known && resp.isSigned():
		delete(h.limits, run)
		h.log.WithFields(logrus.Fields{"event": "limit", "target": target.ID, "service": target.Service, "before": before}).Info("target names no limit any more")
	}
}

// limitOf returns the limit that a target has named here.
func (h *hintLog) limitOf(target *Target) (perSecond float64, named bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	perSecond, named = h.limits[runOf(target)]
	return perSecond, named
}
