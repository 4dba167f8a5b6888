package bbport

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbunit"
)

// engineClient speaks chat completions to model engines.
type engineClient struct {
	conns           *targetConns
	owner           string
	silenceTimeout  time.Duration
	runInBackground func(func()) // runs clean-up work off the path of the request
}

// engineAttempt is one run of a chat at one engine.
type engineAttempt struct {
	address     string
	requestID   string // X-Request-Id at the engine
	freshConn   bool   // over a connection of its own
	started     time.Time
	timeToFirst time.Duration
	sent        bool
	// received counts what arrived, for the watchdog.
	received atomic.Int64
}

// run sends the chat to the target and relays its answer to out.
func (g *engineClient) run(ctx context.Context, c *clientRequest, at *Attempt, n int, fresh bool, r *chatRelay, out *Answer) AttemptResult {
	a := &engineAttempt{address: at.Target.Address, requestID: c.attemptID(g.owner, n), freshConn: fresh, started: time.Now()}
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go g.watchForSilence(actx, cancel, a)
	err := g.sendChat(actx, c, a, r, out)
	if err != nil && a.sent && ctx.Err() == nil && c.chat.Stream && !isFinalError(err) {
		err = g.resume(ctx, c, a, r, out, err)
	}
	if a.sent && err != nil && (ctx.Err() != nil || errors.Is(err, errDeadlineExceeded)) {
		g.runInBackground(func() { g.cancel(a) })
		err = errors.WithType(err, ErrCancelled)
	}
	return AttemptResult{
		Err:             err,
		Sent:            a.sent,
		Crashed:         errors.Is(err, errConnBroken) && a.sent && g.hasCrashed(ctx, a),
		ConnReused:      !fresh,
		TimeToFirstByte: a.timeToFirst,
		Total:           time.Since(a.started),
		OutputTokens:    r.attemptTokens,
	}
}

// isFinalError tells errors after which the engine has nothing more for the request.
func isFinalError(err error) bool {
	return errors.Is(err, ErrLeaving) || errors.Is(err, ErrBusy) || errors.Is(err, errPassedThrough)
}

// errPassedThrough marks an answer of the target that is passed on as it is.
const errPassedThrough = errors.ConstError("target answered with an error")

// sendChat sends the chat from the start and relays the answer.
func (g *engineClient) sendChat(ctx context.Context, c *clientRequest, a *engineAttempt, r *chatRelay, out *Answer) error {
	body, err := c.chat.engineBody(c.service, string(r.text), r.earlierTokens)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + a.address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", a.requestID)
	req.Header.Set("X-Request-Priority", strconv.Itoa(int(c.priority)))
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	req.SetBodyRaw(body)
	resp, free, sent, err := g.conns.send(ctx, a.address, a.freshConn, req, c.deadline)
	a.sent = sent
	if err != nil {
		return classifyConnError(err)
	}
	defer free()
	defer context.AfterFunc(ctx, free)()
	a.received.Add(1)
	if err := targetRefusal(resp); err != nil {
		a.sent = false
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return passThroughError(ctx, resp, out)
	}
	if !c.chat.Stream {
		return g.relayWhole(ctx, resp, a, r, out)
	}
	return g.relayStream(ctx, resp, c, a, r, out)
}

// targetRefusal tells whether the target took the request at all.
func targetRefusal(resp *fasthttp.Response) error {
	switch resp.StatusCode() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if len(resp.Header.Peek("X-Leaving")) > 0 {
			return errors.Trace(ErrLeaving)
		}
		return errors.Trace(ErrBusy)
	}
	return nil
}

// passThroughError gives the caller the target's own error; a fault of the target is
// returned instead, so that another can be tried.
func passThroughError(ctx context.Context, resp *fasthttp.Response, out *Answer) error {
	if resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTargetFailed)
	}
	b, err := readBody(resp)
	if err != nil {
		return classifyConnError(err)
	}
	beginAnswer(out, resp.StatusCode(), string(resp.Header.ContentType()), nil)
	if err := out.Write(ctx, b); err != nil {
		return err
	}
	return errors.Trace(errPassedThrough)
}

// classifyConnError marks an error of the connection to a target.
func classifyConnError(err error) error {
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errTargetSilent):
		return err
	case errors.Is(err, fasthttp.ErrTimeout):
		return errors.WithType(err, errDeadlineExceeded)
	}
	return errors.WithType(err, errConnBroken)
}

// beginAnswer sets the head of an answer.
func beginAnswer(out *Answer, status int, ctype string, fields []HeaderField) {
	out.SetHead(&ResponseHead{Status: status, Fields: append([]HeaderField{{"Content-Type", ctype}}, fields...)})
}

// relayWhole relays an answer that is not streamed.
func (g *engineClient) relayWhole(ctx context.Context, resp *fasthttp.Response, a *engineAttempt, r *chatRelay, out *Answer) error {
	b, err := readBody(resp)
	if err != nil {
		return classifyConnError(err)
	}
	a.timeToFirst = time.Since(a.started)
	var v struct {
		Usage *tokenUsage `json:"usage"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.WithType(errors.Annotate(err, "answer"), errTargetFailed)
	}
	r.usage = v.Usage
	if v.Usage != nil {
		r.attemptTokens = v.Usage.Completion
	}
	beginAnswer(out, http.StatusOK, string(resp.Header.ContentType()), nil)
	return out.Write(ctx, b)
}

// relayStream relays server-sent events until [DONE].
func (g *engineClient) relayStream(ctx context.Context, resp *fasthttp.Response, c *clientRequest, a *engineAttempt, r *chatRelay, out *Answer) error {
	er := newSSEReader(resp.BodyStream())
	for {
		e, err := er.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("stream ended early")
			}
			return classifyConnError(err)
		}
		if a.timeToFirst == 0 {
			a.timeToFirst = time.Since(a.started)
		}
		a.received.Add(1)
		if e.isDone() {
			return out.Write(ctx, []byte("data: [DONE]\n\n"))
		}
		data, err := r.process(e, c.chat.StreamOptions.IncludeUsage)
		if err != nil {
			return err
		}
		if data != nil {
			if !r.headSent {
				beginAnswer(out, http.StatusOK, "text/event-stream", nil)
				r.headSent = true
			}
			if err := out.Write(ctx, fmt.Appendf(nil, "data: %s\n\n", data)); err != nil {
				return err
			}
		}
	}
}

// resume picks a broken stream up where it ended, on fresh connections. It
// returns the first error when the engine cannot go on.
func (g *engineClient) resume(ctx context.Context, c *clientRequest, a *engineAttempt, r *chatRelay, out *Answer, first error) error {
	for range maxResumesPerEngine {
		actx, cancel := context.WithCancelCause(ctx)
		go g.watchForSilence(actx, cancel, a)
		was := r.lastEvent
		err := g.resumeOnce(actx, c, a, r, out)
		cancel(nil)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || (errors.Is(err, errNotResumable) && r.lastEvent == was) {
			return first
		}
	}
	return first
}

// errNotResumable marks an engine that cannot resume the request.
const errNotResumable = errors.ConstError("stream cannot be resumed")

func (g *engineClient) resumeOnce(ctx context.Context, c *clientRequest, a *engineAttempt, r *chatRelay, out *Answer) error {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", a.address, a.requestID, r.lastEvent))
	resp, free, _, err := g.conns.send(ctx, a.address, true, req, c.deadline)
	if err != nil {
		return errors.WithType(err, errNotResumable)
	}
	defer free()
	defer context.AfterFunc(ctx, free)()
	if resp.StatusCode() != http.StatusOK {
		return errors.Trace(errNotResumable)
	}
	return g.relayStream(ctx, resp, c, a, r, out)
}

// engineStatus is what an engine says of one request.
type engineStatus struct {
	State string     `json:"state"`
	Usage tokenUsage `json:"usage"`
}

// ended tells whether the engine works on the request no more.
func (s engineStatus) ended() bool { return s.State != "running" && s.State != "waiting" }

// probe asks the engine for a request over a fresh connection.
func (g *engineClient) probe(ctx context.Context, a *engineAttempt) (engineStatus, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + a.address + "/v1/requests/" + a.requestID)
	resp, free, _, err := g.conns.send(ctx, a.address, true, req, time.Now().Add(targetProbeTimeout))
	if err != nil {
		return engineStatus{}, errors.Trace(err)
	}
	defer free()
	if resp.StatusCode() != http.StatusOK {
		return engineStatus{}, errors.NotFoundf("request %s", a.requestID)
	}
	b, err := readBody(resp)
	if err != nil {
		return engineStatus{}, errors.Trace(err)
	}
	var s engineStatus
	return s, errors.Trace(json.Unmarshal(b, &s))
}

// hasCrashed tells whether the engine takes no connection any more, or was started
// anew and knows the request no more.
func (g *engineClient) hasCrashed(ctx context.Context, a *engineAttempt) bool {
	_, err := g.probe(ctx, a)
	return errors.Is(err, errNotSent) || errors.Is(err, errors.NotFound) && a.received.Load() > 0
}

// watchForSilence gives a connection up when nothing arrives on it although the engine
// has ended the request, goes on generating, or is gone. A request that waits
// in the engine's queue is left alone.
func (g *engineClient) watchForSilence(ctx context.Context, cancel context.CancelCauseFunc, a *engineAttempt) {
	tick := time.NewTicker(g.silenceTimeout)
	defer tick.Stop()
	seen, generated := a.received.Load(), bbunit.Tokens(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now := a.received.Load(); now != seen {
			seen, generated = now, -1
			continue
		}
		s, err := g.probe(ctx, a)
		if a.received.Load() != seen || ctx.Err() != nil {
			continue
		}
		grew := generated >= 0 && s.Usage.Completion > generated && a.timeToFirst > 0
		if err != nil || s.ended() || grew {
			cancel(errTargetSilent)
			return
		}
		generated = s.Usage.Completion
	}
}

// cancel tells the engine that nobody waits for the request any more.
func (g *engineClient) cancel(a *engineAttempt) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodDelete)
	req.SetRequestURI("http://" + a.address + "/v1/requests/" + a.requestID)
	_, free, _, err := g.conns.send(context.Background(), a.address, true, req, time.Now().Add(cancelTimeout))
	if err == nil {
		free()
	}
}
