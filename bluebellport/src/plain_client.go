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
func (p *plainClient) run(ctx context.Context, c *clientRequest, at *Attempt, n int, fresh bool, out *Answer, late func(*fasthttp.Response)) AttemptResult {
	started := time.Now()
	fresh = fresh || !c.idempotent
	end := AttemptResult{ConnReused: !fresh}
	ctx, cancel := context.WithTimeoutCause(ctx, p.silenceLimit(c), errors.Trace(errTargetSilent))
	defer cancel()
	deadline := c.deadline
	if late != nil {
		deadline = deadline.Add(p.lateWindow)
	}
	resp, free, sent, err := p.conns.sendWithLateHandler(ctx, at.Target.Address, fresh, p.newRequest(c, at, n), deadline, late)
	end.Sent = sent
	if err == nil {
		defer free()
		defer context.AfterFunc(ctx, free)()
		end.TimeToFirstByte = time.Since(started)
		end.Err = p.relay(ctx, resp, c, out)
		if errors.Is(end.Err, ErrLeaving) || errors.Is(end.Err, ErrBusy) {
			end.Sent = false
		}
	} else {
		end.Err = classifyConnError(err)
		end.Crashed = sent && errors.Is(end.Err, errConnBroken) && !reachable(at.Target.Address)
	}
	end.Total = time.Since(started)
	return end
}

// silenceLimit is how long a plain service may stay silent. A request that cannot
// be sent again waits up to its deadline.
func (p *plainClient) silenceLimit(c *clientRequest) time.Duration {
	left := time.Until(c.deadline)
	if c.idempotent {
		return min(left, p.silenceTimeout)
	}
	return left
}

func (p *plainClient) newRequest(c *clientRequest, at *Attempt, n int) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(c.method)
	req.SetRequestURI("http://" + at.Target.Address + c.path)
	for _, h := range c.header {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("Idempotency-Key", string(c.id))
	req.Header.Set("X-Request-Id", c.attemptID(p.owner, n))
	req.Header.Set("X-Request-Priority", strconv.Itoa(int(c.priority)))
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	req.SetBodyRaw(c.body)
	return req
}

// relay gives the caller the target's answer. A fault of the target is an
// error only where another target may be tried.
func (p *plainClient) relay(ctx context.Context, resp *fasthttp.Response, c *clientRequest, out *Answer) error {
	if err := targetRefusal(resp); err != nil && (c.idempotent || errors.Is(err, ErrLeaving)) {
		return err
	}
	if c.idempotent && resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTargetFailed)
	}
	b, err := readBody(resp)
	if err != nil {
		return classifyConnError(err)
	}
	var hs []HeaderField
	for k, v := range resp.Header.All() {
		if isForwardedHeader(string(k)) {
			hs = append(hs, HeaderField{string(k), string(v)})
		}
	}
	beginAnswer(out, resp.StatusCode(), string(resp.Header.ContentType()), hs)
	return out.Write(ctx, b)
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
