package bbproxy

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
)

// leavingObserver takes which targets say that they leave.
type leavingObserver interface {
	HearAnswer(run bbplan.TargetRun)
}

// noticeReader reads in targets' own answers that they want no more requests.
type noticeReader struct {
	leaving           leavingObserver
	log               logrus.FieldLogger
	malformed, pauses metrics.Counter
}

func newNoticeReader(leaving leavingObserver, log logrus.FieldLogger, registry metrics.Registry) *noticeReader {
	return &noticeReader{
		leaving: leaving, log: log,
		malformed: metrics.GetOrRegisterCounter("door.notices.malformed", registry), pauses: metrics.GetOrRegisterCounter("door.pauses", registry),
	}
}

// record takes the head of an answer. It says nothing unless it is the target's own
// answer to the request: another server at the address speaks for itself, and what
// neither has the target's signature nor turns the request away may have been
// changed on the way.
func (n *noticeReader) record(target *Target, resp *Response, whose origin, now time.Time) {
	if !whose.isOwn() || resp.Status == statusMisdirected {
		return
	}
	if resp.isSigned() || resp.saysNotRun() || resp.Status == http.StatusServiceUnavailable {
		n.recordLeaving(target, resp)
	}
	if resp.Status == http.StatusServiceUnavailable {
		n.recordPause(target, resp, now)
	}
}

// recordPause keeps requests of this instance from a target for as long as it
// wants none, up to maxTargetPause.
func (n *noticeReader) recordPause(target *Target, resp *Response, now time.Time) {
	text, count := resp.Fields.Get(bbplatform.HeaderRetryAfter)
	if count == 0 {
		return
	}
	pause, ok := bbplatform.ParseRetryAfter(text)
	if count > 1 || !ok {
		n.malformed.Inc(1)
		return
	}
	if !target.State.PauseUntil(now.Add(min(pause, maxTargetPause)), now) {
		return
	}
	n.pauses.Inc(1)
	n.log.WithFields(logrus.Fields{"event": "pause", "target": target.ID, "service": target.Service, "after": pause.Seconds()}).Info("target wants no requests for a while")
}

// recordLeaving passes on that the target leaves. A value that is not defined says
// nothing, as the word is for good.
func (n *noticeReader) recordLeaving(target *Target, resp *Response) {
	text, count := resp.Fields.Get(bbplatform.HeaderTargetLeaving)
	leaving, ok := bbplatform.ParseTargetLeaving(text)
	switch {
	case count == 0:
	case count > 1 || !ok:
		n.malformed.Inc(1)
	case leaving:
		n.leaving.HearAnswer(target.Run())
	}
}

// leavesFunc returns what tells requests which targets have said that they leave, or are
// in an evacuated failure domain, nil if none.
func (p *Proxy) leavesFunc() func(t *bbplace.Target) bool {
	if !p.leaving.Any() && !p.board.anyEvacuated() {
		return nil
	}
	return p.isWithdrawn
}

// isWithdrawn reports whether a target must get no requests, though its entry does not
// say that it leaves.
func (p *Proxy) isWithdrawn(t *bbplace.Target) bool {
	return p.leaving.Leaves(t.Run()) || p.board.isEvacuated(t.Domain)
}

// mayUse reports whether a target still may get requests, and wants them.
func (x *exchange) mayUse(target *Target) bool {
	return !x.proxy.isWithdrawn(&target.Target) && target.State.PauseLeft(x.proxy.now()) == 0
}

// refuseUnusable refuses a request for which no target can be used. If all that
// do not leave want no requests for now, callers come back when the first does.
func (x *exchange) refuseUnusable(service *ServiceTargets, request *bbplace.Request) *Refusal {
	first, now := time.Duration(0), x.proxy.now()
	for _, target := range service.Candidates {
		if request.IsLeaving(target) || !request.HasVersion(target) {
			continue
		}
		left := target.State.PauseLeft(now)
		if left == 0 {
			return refuseNotRun("no target of the service can be used", defaultRetryAfter)
		}
		if first == 0 || left < first {
			first = left
		}
	}
	if first == 0 {
		if refusal := x.refuseEvacuated(service, request); refusal != nil {
			return refusal
		}
	}
	if first == 0 && x.origin.isTakenUp {
		return x.refuseTakeUp("no target serves the software version that began the stream any more", 0)
	}
	if first == 0 && x.origin.isPinned {
		return refuseNotRun("no target of the software version that the stream would begin at", defaultRetryAfter)
	}
	if first == 0 {
		return refuseNotRun("all targets of the service leave", defaultRetryAfter)
	}
	return refuseNotRun("the targets want no requests for now", min(first, maxRetryAfter))
}
