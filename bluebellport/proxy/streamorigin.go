package bbproxy

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/bluebellport/version"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbunit"
)

// streamOrigin is where a stream began that may be taken up again. The zero value
// is that of any other answer.
type streamOrigin struct {
	key bbversion.StreamKey
	// version is the software version of all targets that pass the stream on, if
	// isPinned.
	version  string
	isPinned bool
	// isTakenUp reports that the client has some of the stream already.
	isTakenUp bool
	begun     bool
}

// pinned returns the only version that may be used, nil for any.
func (o *streamOrigin) pinned() *string {
	if !o.isPinned {
		return nil
	}
	return &o.version
}

// endsHere reports whether a stream that has started cannot go on at another target,
// as its software version has no name.
func (o *streamOrigin) endsHere(started bool) bool {
	return started && o.isPinned && o.version == ""
}

// begin notes that the stream may begin now.
func (o *streamOrigin) begin(versions *bbversion.Keeper, service bbunit.ServiceID) {
	if o.isPinned && !o.begun {
		o.begun = true
		versions.Begin(service, o.key, o.version)
	}
}

// end notes that the stream is no longer passed on.
func (o *streamOrigin) end(versions *bbversion.Keeper) {
	if o.begun {
		versions.End(o.key)
	}
}

// originAttempt returns the id of the attempt that brings the first event of the
// stream, and whether that was an earlier one. It is empty if the client does not
// name it.
func (x *exchange) originAttempt() (attempt string, earlier bool) {
	if parseLastEventID(x.req.LastEventID) > 0 {
		return x.req.Resumes, true
	}
	return x.req.AttemptID, false
}

// serviceFraction returns a number in [0,1) that chooses among the services of the
// route. A stream that is taken up stays with its service.
func (x *exchange) serviceFraction() float64 {
	attempt, _ := x.originAttempt()
	if !x.route.Resumable || attempt == "" || len(x.route.Services) == 1 {
		return rand.Float64()
	}
	return float64(xxhash.Sum64String(attempt)>>11) / (1 << 53)
}

// pinVersion finds out at which software version a stream has to run. It blocks
// while peers are asked.
func (x *exchange) pinVersion() *Refusal {
	if !x.terms.isResumable {
		return nil
	}
	attempt, earlier := x.originAttempt()
	x.origin = streamOrigin{key: bbversion.NewStreamKey(x.service, x.accountID(), attempt), isTakenUp: earlier}
	known := false
	switch {
	case !earlier:
		if x.origin.version, known = x.proxy.versions.Version(x.service, x.origin.key); !known {
			return refuseNotRun("the software versions of the service are not known here yet", defaultRetryAfter)
		}
	case attempt == "":
		ctx, cancel := x.withDeadline()
		defer cancel()
		if x.origin.version, known = x.proxy.versions.OnlyVersion(ctx, x.service); !known {
			return x.refuseTakeUp("the request does not name the attempt that began the stream", 0)
		}
	default:
		ctx, cancel := x.withDeadline()
		defer cancel()
		if x.origin.version, known = x.proxy.versions.Find(ctx, x.service, x.origin.key); !known {
			return x.refuseUnknownOrigin()
		}
	}
	if earlier && x.origin.version == "" {
		return x.refuseTakeUp("the software version that began the stream has no name", 0)
	}
	x.origin.isPinned = true
	return nil
}

// refuseUnknownOrigin refuses to go on with a stream of which nothing tells the
// version. Coming back helps only if this instance has just started.
func (x *exchange) refuseUnknownOrigin() *Refusal {
	after := time.Duration(0)
	if !x.proxy.versions.Complete() {
		after = defaultRetryAfter
	}
	return x.refuseTakeUp("which software version began the stream is not known", after)
}

// refuseTakeUp refuses to go on with a stream that an earlier attempt began.
func (x *exchange) refuseTakeUp(reason string, retryAfter time.Duration) *Refusal {
	refusal := refuseNotRun(reason, retryAfter)
	refusal.LogFields = x.proxy.versions.Beliefs(x.service)
	refusal.LogFields["resumes"], refusal.LogFields["last"], refusal.LogFields["service"] = x.req.Resumes, x.req.LastEventID, x.service
	if x.origin.isPinned {
		refusal.LogFields["version"] = x.origin.version
	}
	return refusal
}

// slotsByVersion returns the slots of the targets that do not leave, by service and
// software version, nil while the targets are unknown. Services count that have an engine
// or resumable streams.
func (p *Proxy) slotsByVersion() map[bbunit.ServiceID]map[string]int {
	plan, services := p.board.Plan.Load(), p.board.Services.Load()
	if plan == nil || services == nil {
		return nil
	}
	out := map[bbunit.ServiceID]map[string]int{}
	for id, targets := range *services {
		if !plan.IsEngine(id) && !plan.ResumesStreams(id) {
			continue
		}
		slots := map[string]int{}
		for _, t := range targets.Targets {
			if !t.Leaving && !p.isWithdrawn(&t.Target) {
				slots[t.Version] += bbplace.SlotsOf(&t.Target)
			}
		}
		out[id] = slots
	}
	return out
}
