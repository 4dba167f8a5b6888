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

// plainClient speaks HTTP to plain services.
type plainClient struct {
	conns          *targetConns
	owner          string
	silenceTimeout time.Duration
	lateWindow     time.Duration
}

// unforwardedHeaders are fields of one connection, which are never passed on, and
// fields that the instance sets itself.
var unforwardedHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "content-type": true,
	"host": true, "idempotency-key": true, "keep-alive": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "x-request-deadline-ms": true, "x-request-id": true,
	"x-request-priority": true, "traceparent": true, "tracestate": true,
}

// isForwardedHeader tells whether a header field goes to the other side.
func isForwardedHeader(name string) bool { return !unforwardedHeaders[strings.ToLower(name)] }

// run passes the request on whole and relays the whole answer. A request that
// may not be repeated goes over a connection of its own, so that no forgotten
// one can swallow it; an answer that comes after its deadline goes to late.
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
		defer context.AfterFunc(ctx, releaseResp)()
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

// silenceLimit is how long a plain service may stay silent. A request that cannot
// be sent again waits up to its deadline.
func (pc *plainClient) silenceLimit(req *clientRequest) time.Duration {
	left := time.Until(req.deadline)
	if req.idempotent {
		return min(left, pc.silenceTimeout)
	}
	return left
}

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

// relay gives the caller the target's answer. A fault of the target is an
// error only where another target may be tried.
func (pc *plainClient) relay(ctx context.Context, resp *fasthttp.Response, req *clientRequest, answer *Answer) error {
	if err := targetRefusal(resp); err != nil && (req.idempotent || errors.Is(err, ErrLeaving)) {
		return err
	}
	if req.idempotent && resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTargetFailed)
	}
	b, err := readBody(resp)
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

// reachable tells whether the address takes a connection. A service that closes
// one without an answer has not crashed by that alone.
func reachable(address string) bool {
	c, err := dialTarget(address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
