package bbproxy

import (
	"math/rand/v2"
	"time"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplace"
)

// awaitBytes lets the target be silent for a time. After it the request goes to
// another target if it can, and is given up if it is known to crash its targets; else
// the answer is awaited until the deadline, since a sound target may be silent for a
// while.
func (x *exchange) awaitBytes(conn *targetConn, timeout time.Duration) {
	conn.awaitBytes(bbclock.Earlier(x.deadline, time.Now().Add(timeout)), func() bool {
		if !time.Now().Before(x.deadline) || x.isAborted() || x.checkCrashes() != nil || x.takeMove() {
			return false
		}
		_ = conn.Conn.SetReadDeadline(x.deadline)
		return true
	})
}

// takeMove reports whether the request can go to another target now, and takes the
// retry and that target for it: the requests that move together may make it unusable
// for any other.
func (x *exchange) takeMove() bool {
	if x.checkStop() != nil {
		return false
	}
	target := x.otherTarget()
	if target == nil || !x.takeRetry() {
		return false
	}
	x.moveTo, x.retryTaken = target, true
	return true
}

// otherTarget returns a target that can be used and that the request was not sent to,
// without a wait for a permit, nil if there is none.
func (x *exchange) otherTarget() *Target {
	service := x.proxy.board.targetsOf(x.service)
	if service == nil {
		return nil
	}
	request := x.placeRequest()
	request.Access, request.SkipRefusing = x.onlyOpen, true
	target, _ := x.pick(service, request, x.proxy.now())
	return target
}

// addObjectives adds what expected times are compared with.
func (x *exchange) addObjectives(request *bbplace.Request) {
	if !x.stream.started { // else the client has the first event
		request.LatencyObjective, request.WholeAnswer = x.route.LatencyObjective, !x.terms.isStream
		request.TimeLeft = max(time.Until(x.deadline), time.Millisecond)
	}
	if x.terms.isStream {
		request.GapObjective = x.route.EventGapObjective
	}
}

// placeRequest describes the request for the choice of a target.
func (x *exchange) placeRequest() *bbplace.Request {
	request := &bbplace.Request{Domain: x.proxy.domain, Excluded: x.tried, Random: rand.Uint64(), Leaves: x.proxy.leavesFunc(), Version: x.origin.pinned()}
	request.ByLoad = !x.proxy.board.tellsSlowdown(x.service)
	if !request.ByLoad {
		x.addObjectives(request)
	}
	if x.terms.isGeneration {
		request.PromptHash, request.SharedTokens = x.req.SharedPrefix()
		request.PromptTokens = x.req.PromptTokens
	}
	x.held = x.holding(request.SharedTokens)
	if x.held != (bbplace.Holding{}) {
		request.Holding = &x.held
	}
	return request
}
