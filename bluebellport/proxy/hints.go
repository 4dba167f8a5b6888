package bbproxy

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/platform"
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

	mu    sync.Mutex // guards names
	names map[string]bool
}

func newHintReader(limits limitObserver, log logrus.FieldLogger, registry metrics.Registry) *hintReader {
	return &hintReader{
		limits: limits, log: log, names: map[string]bool{},
		unknown:   metrics.GetOrRegisterCounter("door.fields.unknown", registry),
		malformed: metrics.GetOrRegisterCounter("limit.malformed", registry),
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

// recordLimit passes on what the answer says of the target's limit. Only a
// complete head of the target itself tells that there is none; another server at
// the address (421) says nothing of it.
func (h *hintReader) recordLimit(target *Target, resp *Response, attemptID string, s bblimit.Statement) {
	text, n := resp.Fields.Get(bbplatform.HeaderTargetLimit)
	switch {
	case resp.Status == statusMisdirected:
		return
	case n == 0:
		if !resp.isSigned() || !resp.belongsTo(attemptID) {
			return
		}
		s.Ended = true
	default:
		var ok bool
		if s.Limit, ok = bbplatform.ParseTargetLimit(text); !ok || n > 1 {
			h.malformed.Inc(1)
			return
		}
	}
	h.limits.Observe(target.Run(), s)
}
