package bbproxy

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

//go:generate enumer -type=resultKind -trimprefix=result -transform=kebab -output=resultkind_enumer.go

// resultKind tells how an attempt ended.
type resultKind int

// Ends of an attempt.
const (
	// resultDone means that the caller has an answer.
	resultDone resultKind = iota
	// resultUnsent means that no byte of the request left.
	resultUnsent
	// resultNotRun means that the target says it did not run the request.
	resultNotRun
	// resultBroken means that the request left and no usable answer came.
	resultBroken
	// resultLate means that the request's time was over.
	resultLate
	// resultGone means that the caller left.
	resultGone
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	kind resultKind
	err  error
	// keepConn tells that the caller's connection stays.
	keepConn bool
	// timedOut tells that the target did not answer in time, reset that it broke
	// the connection off.
	timedOut, connBroken bool
	// targetFailed tells that the answer that was passed on is a failure of the target.
	targetFailed bool
}

// attempt sends the request to one target and passes its answer on.
func (x *exchange) attempt(target *Target) attemptResult {
	x.tried = append(x.tried, target.ID)
	x.lastTarget.Store(target)
	ctx, cancel := x.withDeadline()
	defer cancel()
	if !time.Now().Before(x.deadline) {
		return attemptResult{kind: resultLate}
	}
	conn, err := target.conns.get(ctx)
	if err != nil {
		return attemptResult{kind: resultUnsent, err: err, timedOut: true}
	}
	if !x.setConn(conn) {
		_ = conn.Close()
		return attemptResult{kind: resultGone}
	}
	target.State.Begin()
	defer target.State.End()
	if x.sentAttempts++; x.sentAttempts == 1 {
		x.proxy.metrics.recordDispatch(x.req.ReceivedAt)
	}
	x.proxy.prefills.recordPrompt(target, x.unreadPrompt)
	result := x.roundTrip(target, conn)
	x.setConn(nil)
	if result.kind != resultDone && x.isAborted() {
		result.kind = resultGone
	}
	return result
}

// roundTrip sends the request over c and reads its answer.
func (x *exchange) roundTrip(target *Target, conn *targetConn) attemptResult {
	written := make(chan error, 1)
	_ = conn.SetDeadline(x.deadline)
	opts := &forwardOptions{account: x.accountID(), target: target.Target.Target, timeLeft: time.Until(x.deadline), priority: x.priority(), lastEventID: x.stream.resumeID()}
	if x.maxEventTokens == 0 {
		opts.priority = -1
	}
	head := x.req.forwardHead(opts)
	x.mayHaveRun = true // until the target says otherwise
	if len(x.req.Body) <= inlineBody {
		_, err := conn.Write(append(head, x.req.Body...))
		written <- err
	} else {
		go func() {
			bufs := net.Buffers{head, x.req.Body}
			_, err := bufs.WriteTo(conn.Conn)
			written <- err
		}()
	}
	resp, err := x.awaitResponse(conn)
	if err != nil {
		_ = conn.Close()
		return x.connFailure(err)
	}
	select {
	case err := <-written:
		conn.reusable = conn.reusable && err == nil
	default:
		conn.reusable = false // it answered before it had the whole body
	}
	return x.handleResponse(conn, resp)
}

// awaitResponse reads the head of the request's answer, past whole answers that
// belong to others.
func (x *exchange) awaitResponse(conn *targetConn) (*Response, error) {
	if x.route.Repeatable() && x.sentAttempts < x.route.MaxAttempts {
		_ = conn.SetReadDeadline(earlier(x.deadline, time.Now().Add(x.headTimeout())))
	}
	for range maxForeignResponses {
		resp, err := conn.readResponseHead()
		if err != nil {
			return nil, err
		}
		if resp.belongsTo(x.req.AttemptID) || resp.saysNotRun() {
			return resp, nil
		}
		if resp.framing.length < 0 && !resp.framing.chunked {
			break
		}
		if _, err := responseBody(conn.br, resp.framing, resp.Status, x.req.Method).readAll(maxResponseBody); err != nil {
			return nil, err
		}
	}
	return nil, errors.Annotate(ErrMalformed, "answer of another request")
}

// headTimeout is how long a request that may be repeated waits for the head of an
// answer before it is sent elsewhere.
func (x *exchange) headTimeout() time.Duration {
	return max(latencyTimeoutFactor*x.route.LatencyObjective, minResponseTimeout)
}

// handleResponse passes an answer on, if it is one.
func (x *exchange) handleResponse(conn *targetConn, resp *Response) attemptResult {
	if resp.saysNotRun() {
		x.mayHaveRun = x.sentAttempts > 1
		x.discardResponse(conn, resp)
		return attemptResult{kind: resultNotRun, err: errors.Errorf("status %d", resp.Status)}
	}
	ok := resp.Status >= 200 && resp.Status < 300
	if !resp.isSigned() {
		_ = conn.Close()
		return attemptResult{kind: resultBroken, err: errors.Errorf("status %d without signature", resp.Status)}
	}
	if ok && x.maxEventTokens > 0 {
		return x.forwardStream(conn, resp)
	}
	_ = conn.SetReadDeadline(x.deadline)
	body, err := responseBody(conn.br, resp.framing, resp.Status, x.req.Method).readAll(maxResponseBody)
	if err != nil {
		_ = conn.Close()
		return x.connFailure(err)
	}
	conn.release()
	if !ok {
		return x.handleErrorStatus(resp, body)
	}
	return x.writeResponse(resp, body)
}

// handleErrorStatus passes a target's own failure on, or leaves it for another attempt.
func (x *exchange) handleErrorStatus(resp *Response, body []byte) attemptResult {
	result := attemptResult{kind: resultBroken, targetFailed: true, err: errors.Errorf("status %d", resp.Status)}
	if x.stream.started {
		return result
	}
	if resp.Status >= 500 && x.route.Repeatable() && x.sentAttempts < x.route.MaxAttempts {
		return result
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return result // the target does not say that it did not run the request
	}
	delivered := x.writeResponse(resp, body)
	delivered.targetFailed = resp.Status >= 500
	return delivered
}

// writeResponse writes a whole answer.
func (x *exchange) writeResponse(resp *Response, body []byte) attemptResult {
	x.stream.complete = true
	closeConn := x.req.Close || x.proxy.shared.closeConns()
	head := responseHead(resp, len(body), closeConn)
	if x.req.Method == http.MethodHead {
		body = nil
	}
	err := x.client.write(append(head, body...))
	return attemptResult{kind: resultDone, err: err, keepConn: err == nil && !closeConn}
}

// discardResponse reads an answer that is not passed on, so that its connection can be
// used again.
func (x *exchange) discardResponse(conn *targetConn, resp *Response) {
	_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := responseBody(conn.br, resp.framing, resp.Status, x.req.Method).readAll(maxResponseBody); err != nil || resp.framing.length < 0 && !resp.framing.chunked {
		_ = conn.Close()
		return
	}
	conn.release()
}

// connFailure is the end of an attempt whose connection failed.
func (x *exchange) connFailure(err error) attemptResult {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		if !time.Now().Before(x.deadline) {
			return attemptResult{kind: resultLate, err: err, timedOut: true}
		}
		return attemptResult{kind: resultBroken, err: err, timedOut: true}
	}
	return attemptResult{kind: resultBroken, err: err, connBroken: !errors.Is(err, ErrMalformed)}
}
