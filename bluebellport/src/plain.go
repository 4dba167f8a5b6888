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

// plains speaks HTTP to plain services.
type plains struct {
	up      *upstream
	owner   string
	silence time.Duration
	late    time.Duration
}

// hopHeaders are fields of one connection, which are never passed on, and
// fields that the instance sets itself.
var hopHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "content-type": true,
	"host": true, "idempotency-key": true, "keep-alive": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "x-request-deadline-ms": true, "x-request-id": true,
	"x-request-priority": true, "traceparent": true, "tracestate": true,
}

// passesOn tells whether a header field goes to the other side.
func passesOn(name string) bool { return !hopHeaders[strings.ToLower(name)] }

// run passes the request on whole and relays the whole answer. A request that
// may not be repeated goes over a connection of its own, so that no forgotten
// one can swallow it; an answer that comes after its deadline goes to late.
func (p *plains) run(ctx context.Context, c *call, at *Attempt, n int, fresh bool, out *Answer, late func(*fasthttp.Response)) AttemptEnd {
	started := time.Now()
	fresh = fresh || !c.repeatable
	end := AttemptEnd{Reused: !fresh}
	ctx, cancel := context.WithTimeoutCause(ctx, p.patience(c), errors.Trace(errSilent))
	defer cancel()
	deadline := c.deadline
	if late != nil {
		deadline = deadline.Add(p.late)
	}
	resp, free, sent, err := p.up.sendLate(ctx, at.Target.Address, fresh, p.request(c, at, n), deadline, late)
	end.Sent = sent
	if err == nil {
		defer free()
		defer context.AfterFunc(ctx, free)()
		end.First = time.Since(started)
		end.Err = p.relay(ctx, resp, c, out)
		if errors.Is(end.Err, ErrLeaving) || errors.Is(end.Err, ErrBusy) {
			end.Sent = false
		}
	} else {
		end.Err = broken(err)
		end.Crashed = sent && errors.Is(end.Err, errCut) && !reachable(at.Target.Address)
	}
	end.Total = time.Since(started)
	return end
}

// patience is how long a plain service may stay silent. A request that cannot
// be sent again waits up to its deadline.
func (p *plains) patience(c *call) time.Duration {
	left := time.Until(c.deadline)
	if c.repeatable {
		return min(left, p.silence)
	}
	return left
}

func (p *plains) request(c *call, at *Attempt, n int) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(c.method)
	req.SetRequestURI("http://" + at.Target.Address + c.path)
	for _, h := range c.header {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("Idempotency-Key", string(c.id))
	req.Header.Set("X-Request-Id", c.targetID(p.owner, n))
	req.Header.Set("X-Request-Priority", strconv.Itoa(int(c.priority)))
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	req.SetBodyRaw(c.body)
	return req
}

// relay gives the caller the target's answer. A fault of the target is an
// error only where another target may be tried.
func (p *plains) relay(ctx context.Context, resp *fasthttp.Response, c *call, out *Answer) error {
	if err := refused(resp); err != nil && (c.repeatable || errors.Is(err, ErrLeaving)) {
		return err
	}
	if c.repeatable && resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTarget)
	}
	b, err := readBody(resp)
	if err != nil {
		return broken(err)
	}
	var hs []Field
	for k, v := range resp.Header.All() {
		if passesOn(string(k)) {
			hs = append(hs, Field{string(k), string(v)})
		}
	}
	begin(out, resp.StatusCode(), string(resp.Header.ContentType()), hs)
	return out.Write(ctx, b)
}

// reachable tells whether the address takes a connection. A service that closes
// one without an answer has not crashed by that alone.
func reachable(address string) bool {
	c, err := dial(address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
