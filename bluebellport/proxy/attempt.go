package bbproxy

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/carry"
	"bluebellport.example/shared/bbclock"
)

//go:generate enumer -type=resultKind -trimprefix=result -transform=kebab -output=resultkind_enumer.go

// resultKind tells how an attempt ended. The names appear in metrics and logs.
type resultKind int

// Results of an attempt.
const (
	// resultDone means that a target's response was passed to the client.
	resultDone resultKind = iota
	// resultUnsent means that no byte of the request was sent.
	resultUnsent
	// resultNotRun means that the target states that it did not run the request.
	resultNotRun
	// resultBroken means that the request was sent and no usable response came.
	resultBroken
	// resultLate means that the request's deadline passed.
	resultLate
	// resultUnproven means that the target states that it did not run a request,
	// which may be another one.
	resultUnproven
	// resultGone means that the client closed its connection.
	resultGone
	// resultNoPermit means that no byte was sent, as the target has named a limit
	// since it was chosen.
	resultNoPermit
	// resultWithdrawn means that no byte was sent, as the target has said since it
	// was chosen that it wants no requests.
	resultWithdrawn
	// resultStopping means that no byte was sent, as the instance stops too soon.
	resultStopping
)

// attemptResult describes how an attempt ended.
type attemptResult struct {
	kind resultKind
	err  error
	// keepConn reports that the client's connection can be reused.
	keepConn bool
	// timedOut reports that the target did not respond in time, connBroken that
	// the connection to it broke.
	timedOut, connBroken bool
	// pathLost reports that this instance's own path to the target, or the peer that
	// carried the connection, was lost: nothing is known of the target.
	pathLost bool
	// sentAt is when the request was sent, zero if it was not. connOpenedAt is when
	// the connection was opened.
	sentAt, connOpenedAt time.Time
	// targetFailed reports that the response passed to the client shows a failure
	// of the target.
	targetFailed bool
	// succeeded reports that the target answered with success, endedByClose that its
	// answer has neither a length nor chunks and ended with the connection.
	succeeded, endedByClose bool
}

// isTargetsFault reports whether a failed attempt speaks against the target. What
// this instance had no memory for does not, nor does a lost path.
func (r *attemptResult) isTargetsFault() bool { return !errors.Is(r.err, ErrNoMemory) && !r.pathLost }

// attempt sends the request to one target and passes the response to the
// client.
func (x *exchange) attempt(target *Target) attemptResult {
	x.tried = append(x.tried, target.ID)
	x.lastTarget.Store(target)
	ctx, cancel := x.withDeadline()
	defer cancel()
	if !time.Now().Before(x.deadline) {
		return attemptResult{kind: resultLate}
	}
	if x.isAborted() {
		x.returnPermit(target)
		return attemptResult{kind: resultGone}
	}
	conn, err := target.conns.get(ctx, x.needsUnusedConn())
	if err != nil {
		x.returnPermit(target)
		return attemptResult{kind: resultUnsent, err: err, timedOut: true}
	}
	if !x.setConn(conn) {
		_ = conn.Close()
		x.returnPermit(target)
		return attemptResult{kind: resultGone}
	}
	if x.client.hasLeft() {
		x.gone.set()
		x.releaseConn(conn)
		x.returnPermit(target)
		return attemptResult{kind: resultGone}
	}
	if !x.mayUse(target) {
		x.releaseConn(conn)
		x.returnPermit(target)
		return attemptResult{kind: resultWithdrawn}
	}
	x.limitAtSend, x.limitedAtSend = x.proxy.limits.LimitOf(target.Run())
	if x.limitedAtSend && (!x.hasPermit || x.isPermitTooOld(target)) || !x.proxy.cold.maySend(&target.Target.Target, true) {
		x.releaseConn(conn)
		x.returnPermit(target)
		return attemptResult{kind: resultNoPermit}
	}
	if x.stopRefusal = x.checkStopBeforeSend(target); x.stopRefusal != nil {
		x.releaseConn(conn)
		x.returnPermit(target)
		return attemptResult{kind: resultStopping}
	}
	x.origin.begin(x.proxy.versions, x.service)
	x.times = attemptTimes{expected: x.expectedBegin, idle: target.IsIdle(x.proxy.now()) && !conn.carried}
	target.State.Begin()
	defer target.State.End()
	held := x.held
	target.State.Hold(&held)
	defer target.State.Release(&held)
	if x.sentAttempts++; x.sentAttempts == 1 {
		x.proxy.metrics.recordDispatch(x.req.ReceivedAt)
	}
	x.times.readUntil = x.proxy.prefills.recordPrompt(target, x.uncachedPrompt)
	sentAt := time.Now()
	result := x.roundTrip(target, conn)
	result.sentAt, result.connOpenedAt = sentAt, conn.openedAt
	result.pathLost = errors.Is(result.err, bbcarry.ErrStreamLost) || result.err != nil && !conn.carried && x.proxy.ways.usesPeer(target.Address)
	x.setConn(nil)
	if result.kind != resultDone && x.isAborted() {
		result.kind = resultGone
	}
	return result
}

// needsUnusedConn reports whether the request needs a connection that has carried
// nothing else: a refusal without an id is no proof on any other.
func (x *exchange) needsUnusedConn() bool {
	return x.req.AttemptID == "" || x.proxy.unnamed.expected(x.service, x.proxy.now())
}

// returnPermit puts back the permit of an attempt that was not sent.
func (x *exchange) returnPermit(target *Target) {
	if x.hasPermit {
		x.hasPermit = false
		x.proxy.limits.Return(target.Run())
	}
}

// roundTrip sends the request over conn, reads the response and passes it to
// the client.
func (x *exchange) roundTrip(target *Target, conn *targetConn) attemptResult {
	conn.requests++
	x.heard = heardResponse{requests: conn.requests, strays: conn.strays}
	if conn.requests == 1 {
		x.proxy.metrics.targetConns.Inc(1)
	}
	_ = conn.SetDeadline(x.deadline)
	opts := &forwardOptions{account: x.accountID(), target: target.Target.Target, timeLeft: time.Until(x.deadline), priority: x.priority(), lastEventID: x.stream.resumeID()}
	if !x.terms.tellsPriority {
		opts.priority = -1
	}
	head := x.req.forwardHead(opts)
	x.sentAt = x.proxy.now()
	if !conn.carried {
		x.proxy.ways.sent(target.Address, max(x.headTimeout(), minPathPatience))
	}
	x.open.Store(&openAttempt{route: x.route.ID, sentAt: x.sentAt, size: x.expectedEvents()})
	x.mayHaveRunBefore, x.mayHaveRun = x.mayHaveRun, true // until the target rules it out
	conn.startUpload(head, x.req.Body)
	resp, err := x.awaitResponse(conn)
	if err != nil {
		_ = conn.Close()
		return x.connFailure(err)
	}
	conn.reusable = conn.reusable && conn.upload.isWritten()
	conn.readHints(resp)
	x.proxy.hints.record(target, resp, x.req.AttemptID, x.sentAt, x.proxy.now())
	if resp.Status != statusMisdirected && resp.isSigned() && x.heard.origin.isOwn() {
		x.proxy.cold.hearAnswer(target, resp, x.sentAt, x.proxy.now())
	}
	x.proxy.notices.record(target, resp, x.heard.origin, x.proxy.now())
	if x.heard.origin.isOwn() && resp.isSigned() && !resp.saysNotRun() {
		target.State.RecordTaken()
	}
	result := x.handleResponse(conn, resp)
	result.succeeded, result.endedByClose = resp.isSuccess(), resp.endsWithConn(x.req.Method)
	return result
}

// awaitResponse reads the head of the request's own response. It skips up to
// maxStrayResponses whole responses that are not shown to be its own, which a
// connection may still hold.
func (x *exchange) awaitResponse(conn *targetConn) (*Response, error) {
	if x.route.Repeatable() && x.sentAttempts < x.route.MaxAttempts {
		x.awaitBytes(conn, x.headTimeout())
	}
	for range maxStrayResponses {
		resp, err := conn.readResponseHead()
		if err != nil {
			return nil, err
		}
		x.heard.origin = originOf(resp.Fields, x.req.AttemptID, conn.onlyRequest())
		if resp.saysNotRun() {
			if end := x.proxy.unnamed.record(x.service, x.heard.origin, x.proxy.now()); end != 0 {
				x.heard.expectedUntil = end
			}
		}
		if x.heard.refused && x.heard.origin == originOwnID {
			x.heard.refused = false
			_ = conn.SetReadDeadline(x.deadline)
			x.proxy.unnamed.withdraw(x.service, x.heard.expectedUntil)
		}
		if x.heard.origin == originOwnID || x.heard.origin == originOnlyRequest && resp.saysNotRun() {
			return resp, nil
		}
		if err := x.skipStray(conn, resp); err != nil {
			return nil, err
		}
	}
	return nil, errors.Annotate(ErrMalformed, "response to another request")
}

// skipStray reads a response that is not shown to be the request's own. After a
// refusal without an id, which may be true, the request's own response is awaited
// for no longer than headTimeout.
func (x *exchange) skipStray(conn *targetConn, resp *Response) error {
	conn.strays++
	x.heard.strays = conn.strays
	x.proxy.metrics.strays.Inc(1)
	hasBody := resp.framing.length > 0 || resp.framing.chunked
	if resp.framing.length < 0 && !resp.framing.chunked || hasBody && x.req.Method == http.MethodHead {
		return errors.Annotate(ErrMalformed, "response to another request") // where it ends can't be known
	}
	if x.heard.origin == originUnproven && resp.saysNotRun() && !x.heard.refused {
		x.heard.refused = true
		_ = conn.SetReadDeadline(bbclock.Earlier(x.deadline, time.Now().Add(x.headTimeout())))
	}
	return x.bodyOf(conn, resp).discard(maxResponseBody)
}

// headTimeout is how long a request that may be retried waits for the head of a
// response before it is sent to another target.
func (x *exchange) headTimeout() time.Duration {
	return max(latencyTimeoutFactor*x.route.LatencyObjective, minResponseTimeout)
}

// handleResponse passes a response to the client, unless the target did not run
// the request, its signature is missing or another attempt should follow.
func (x *exchange) handleResponse(conn *targetConn, resp *Response) attemptResult {
	if resp.saysNotRun() {
		x.mayHaveRun = x.mayHaveRunBefore
		x.discardResponse(conn, resp)
		return attemptResult{kind: resultNotRun, err: errors.Errorf("status %d", resp.Status)}
	}
	ok := resp.isSuccess()
	if !resp.isSigned() {
		_ = conn.Close()
		return attemptResult{kind: resultBroken, err: errors.Errorf("status %d without signature", resp.Status)}
	}
	if ok && x.terms.isStream && x.req.Method != http.MethodHead {
		return x.forwardStream(conn, resp)
	}
	if !ok && x.isNotPassedOn(resp) {
		x.discardResponse(conn, resp)
		return attemptResult{kind: resultBroken, targetFailed: true, err: errors.Errorf("status %d", resp.Status)}
	}
	return x.deliver(conn, resp)
}

// isNotPassedOn reports whether an error response of the target is left for another
// attempt or not passed to the client.
func (x *exchange) isNotPassedOn(resp *Response) bool {
	if x.stream.started || resp.Status >= 500 && x.route.Repeatable() && x.sentAttempts < x.route.MaxAttempts {
		return true
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true // these do not rule out that the request ran
	}
	return false
}

// discardResponse reads a response that is not passed to the client, so that the
// connection to the target can be reused. One that is longer than maxDiscarded or
// has no length is not worth that: its connection is closed.
func (x *exchange) discardResponse(conn *targetConn, resp *Response) {
	b := x.bodyOf(conn, resp)
	_ = conn.SetReadDeadline(bbclock.Earlier(x.deadline, time.Now().Add(discardTimeout)))
	if b.untilClose || b.discard(maxDiscarded) != nil {
		_ = conn.Close()
		return
	}
	x.releaseConn(conn)
}

// releaseConn gives the connection up, so that a client that leaves does not close
// it, and returns it to its pool.
func (x *exchange) releaseConn(conn *targetConn) {
	x.setConn(nil)
	conn.release()
}

// connFailure returns the result of an attempt whose connection failed.
func (x *exchange) connFailure(err error) attemptResult {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if x.heard.refused && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrBodySize) {
		return attemptResult{kind: resultUnproven, err: errors.Annotate(err, "refusal without an id")}
	}
	if timedOut {
		if !time.Now().Before(x.deadline) {
			return attemptResult{kind: resultLate, err: err, timedOut: true}
		}
		return attemptResult{kind: resultBroken, err: err, timedOut: true}
	}
	return attemptResult{kind: resultBroken, err: err, connBroken: !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrNoMemory)}
}
