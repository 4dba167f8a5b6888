package bbport

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// plainClient sends requests to plain HTTP services.
type plainClient struct {
	conns          *targetConns
	owner          string // this incarnation of the instance; part of the attempts' ids
	silenceTimeout time.Duration
	lateWindow     time.Duration // how long after the deadline a response is still taken
}

// unforwardedHeaders are hop-by-hop header fields, and fields that the instance
// sets itself.
var unforwardedHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "content-type": true,
	"host": true, "idempotency-key": true, "keep-alive": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "x-request-deadline-ms": true, "x-request-id": true,
	"x-request-priority": true, "traceparent": true, "tracestate": true,
}

// isForwardedHeader reports whether a header field is passed on between caller
// and target.
func isForwardedHeader(name string) bool { return !unforwardedHeaders[strings.ToLower(name)] }

// run sends the request and relays the response, both as a whole. A request that
// is not idempotent gets a connection of its own, since a pooled connection that
// the network has silently dropped would swallow it. A response to it that
// arrives after the deadline, but within lateWindow, goes to onLate.
func (pc *plainClient) run(ctx context.Context, req *clientRequest, attempt *Attempt, n int, fresh bool, answer *Answer, onLate func(*fasthttp.Response)) AttemptResult {
	started := time.Now()
	fresh = fresh || !req.idempotent
	result := AttemptResult{ConnReused: !fresh}
	ctx, cancel := context.WithTimeoutCause(ctx, pc.silenceLimit(req), errors.Trace(errTargetSilent))
	defer cancel()
	deadline := req.deadline
	if onLate != nil {
		deadline = deadline.Add(pc.lateWindow)
	}
	resp, releaseResp, sent, err := pc.conns.sendWithLateHandler(ctx, attempt.Target.Address, fresh, pc.newRequest(req, attempt, n), deadline, onLate)
	result.Sent = sent
	if err == nil {
		defer releaseResp()
		result.TimeToFirstByte = time.Since(started)
		result.Err = pc.relay(ctx, resp, req, answer)
		if errors.Is(result.Err, ErrLeaving) || errors.Is(result.Err, ErrBusy) {
			result.Sent = false
		}
	} else {
		result.Err = classifyConnError(err)
		result.Crashed = sent && errors.Is(result.Err, errConnBroken) && !reachable(attempt.Target.Address)
	}
	result.Total = time.Since(started)
	return result
}

// silenceLimit returns how long the service may take to answer. A request that
// cannot be sent again may take until its deadline.
func (pc *plainClient) silenceLimit(req *clientRequest) time.Duration {
	left := time.Until(req.deadline)
	if req.idempotent {
		return min(left, pc.silenceTimeout)
	}
	return left
}

// newRequest builds the request of attempt n.
func (pc *plainClient) newRequest(req *clientRequest, attempt *Attempt, n int) *fasthttp.Request {
	httpReq := fasthttp.AcquireRequest()
	httpReq.Header.SetMethod(req.method)
	httpReq.SetRequestURI("http://" + attempt.Target.Address + req.path)
	for _, h := range req.header {
		httpReq.Header.Add(h.Name, h.Value)
	}
	httpReq.Header.Set("Idempotency-Key", string(req.id))
	httpReq.Header.Set("X-Request-Id", req.attemptID(pc.owner, n))
	httpReq.Header.Set("X-Request-Priority", strconv.Itoa(int(req.priority)))
	httpReq.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(req.deadline).Milliseconds(), 10))
	httpReq.SetBodyRaw(req.body)
	return httpReq
}

// relay passes the target's response on to the caller. Server errors and
// refusals are returned as errors if another target may be tried.
func (pc *plainClient) relay(ctx context.Context, resp *fasthttp.Response, req *clientRequest, answer *Answer) error {
	if err := targetRefusal(resp); err != nil && (req.idempotent || errors.Is(err, ErrLeaving)) {
		return err
	}
	if req.idempotent && resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTargetFailed)
	}
	b, release, err := pc.conns.readBody(resp)
	defer release()
	if err != nil {
		return classifyConnError(err)
	}
	var fields []HeaderField
	for k, v := range resp.Header.All() {
		if isForwardedHeader(string(k)) {
			fields = append(fields, HeaderField{string(k), string(v)})
		}
	}
	beginAnswer(answer, resp.StatusCode(), string(resp.Header.ContentType()), fields)
	return answer.Write(ctx, b)
}

// reachable reports whether the address accepts connections. A service that
// closes a connection without a response has not necessarily crashed.
func reachable(address string) bool {
	c, err := dialTarget(address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
