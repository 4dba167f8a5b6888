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

// engines speaks chat completions to model engines.
type engines struct {
	up      *upstream
	owner   string
	silence time.Duration
	tasks   func(func()) // runs clean-up work off the path of the request
}

// exchange is one run of a chat at one engine.
type exchange struct {
	address string
	id      string // X-Request-Id at the engine
	fresh   bool   // over a connection of its own
	started time.Time
	first   time.Duration
	sent    bool
	// moved counts what arrived, for the watchdog.
	moved atomic.Int64
}

// run sends the chat to the target and relays its answer to out.
func (g *engines) run(ctx context.Context, c *call, at *Attempt, n int, fresh bool, r *relay, out *Answer) AttemptEnd {
	a := &exchange{address: at.Target.Address, id: c.targetID(g.owner, n), fresh: fresh, started: time.Now()}
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go g.watch(actx, cancel, a)
	err := g.ask(actx, c, a, r, out)
	if err != nil && a.sent && ctx.Err() == nil && c.chat.Stream && !isFinal(err) {
		err = g.resume(ctx, c, a, r, out, err)
	}
	if a.sent && err != nil && (ctx.Err() != nil || errors.Is(err, errDeadline)) {
		g.tasks(func() { g.cancel(a) })
		err = errors.WithType(err, ErrCancelled)
	}
	return AttemptEnd{
		Err:     err,
		Sent:    a.sent,
		Crashed: errors.Is(err, errCut) && a.sent && g.lost(ctx, a),
		Reused:  !fresh,
		First:   a.first,
		Total:   time.Since(a.started),
		Output:  r.tokens,
	}
}

// isFinal tells errors after which the engine has nothing more for the request.
func isFinal(err error) bool {
	return errors.Is(err, ErrLeaving) || errors.Is(err, ErrBusy) || errors.Is(err, errAnswered)
}

// errAnswered marks an answer of the target that is passed on as it is.
const errAnswered = errors.ConstError("target answered with an error")

// ask sends the chat from the start and relays the answer.
func (g *engines) ask(ctx context.Context, c *call, a *exchange, r *relay, out *Answer) error {
	body, err := c.chat.request(c.service, string(r.text), r.before)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + a.address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Priority", strconv.Itoa(int(c.priority)))
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	req.SetBodyRaw(body)
	resp, free, sent, err := g.up.send(ctx, a.address, a.fresh, req, c.deadline)
	a.sent = sent
	if err != nil {
		return broken(err)
	}
	defer free()
	defer context.AfterFunc(ctx, free)()
	a.moved.Add(1)
	if err := refused(resp); err != nil {
		a.sent = false
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return passOn(ctx, resp, out)
	}
	if !c.chat.Stream {
		return g.whole(ctx, resp, a, r, out)
	}
	return g.stream(ctx, resp, c, a, r, out)
}

// refused tells whether the target took the request at all.
func refused(resp *fasthttp.Response) error {
	switch resp.StatusCode() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if len(resp.Header.Peek("X-Leaving")) > 0 {
			return errors.Trace(ErrLeaving)
		}
		return errors.Trace(ErrBusy)
	}
	return nil
}

// passOn gives the caller the target's own error; a fault of the target is
// returned instead, so that another can be tried.
func passOn(ctx context.Context, resp *fasthttp.Response, out *Answer) error {
	if resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTarget)
	}
	b, err := readBody(resp)
	if err != nil {
		return broken(err)
	}
	begin(out, resp.StatusCode(), string(resp.Header.ContentType()), nil)
	if err := out.Write(ctx, b); err != nil {
		return err
	}
	return errors.Trace(errAnswered)
}

// broken marks an error of the connection to a target.
func broken(err error) error {
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errSilent):
		return err
	case errors.Is(err, fasthttp.ErrTimeout):
		return errors.WithType(err, errDeadline)
	}
	return errors.WithType(err, errCut)
}

// begin sets the head of an answer.
func begin(out *Answer, status int, ctype string, fields []Field) {
	out.Begin(&Head{Status: status, Fields: append([]Field{{"Content-Type", ctype}}, fields...)})
}

// whole relays an answer that is not streamed.
func (g *engines) whole(ctx context.Context, resp *fasthttp.Response, a *exchange, r *relay, out *Answer) error {
	b, err := readBody(resp)
	if err != nil {
		return broken(err)
	}
	a.first = time.Since(a.started)
	var v struct {
		Usage *usage `json:"usage"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.WithType(errors.Annotate(err, "answer"), errTarget)
	}
	r.usage = v.Usage
	if v.Usage != nil {
		r.tokens = v.Usage.Completion
	}
	begin(out, http.StatusOK, string(resp.Header.ContentType()), nil)
	return out.Write(ctx, b)
}

// stream relays server-sent events until [DONE].
func (g *engines) stream(ctx context.Context, resp *fasthttp.Response, c *call, a *exchange, r *relay, out *Answer) error {
	er := newEventReader(resp.BodyStream())
	for {
		e, err := er.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("stream ended early")
			}
			return broken(err)
		}
		if a.first == 0 {
			a.first = time.Since(a.started)
		}
		a.moved.Add(1)
		if e.done() {
			return out.Write(ctx, []byte("data: [DONE]\n\n"))
		}
		data, err := r.pass(e, c.chat.Options.Usage)
		if err != nil {
			return err
		}
		if data != nil {
			if !r.begun {
				begin(out, http.StatusOK, "text/event-stream", nil)
				r.begun = true
			}
			if err := out.Write(ctx, fmt.Appendf(nil, "data: %s\n\n", data)); err != nil {
				return err
			}
		}
	}
}

// resume picks a broken stream up where it ended, on fresh connections. It
// returns the first error when the engine cannot go on.
func (g *engines) resume(ctx context.Context, c *call, a *exchange, r *relay, out *Answer, first error) error {
	for range maxResumes {
		actx, cancel := context.WithCancelCause(ctx)
		go g.watch(actx, cancel, a)
		was := r.event
		err := g.resumeOnce(actx, c, a, r, out)
		cancel(nil)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || (errors.Is(err, errResume) && r.event == was) {
			return first
		}
	}
	return first
}

// errResume marks an engine that cannot resume the request.
const errResume = errors.ConstError("stream cannot be resumed")

func (g *engines) resumeOnce(ctx context.Context, c *call, a *exchange, r *relay, out *Answer) error {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", a.address, a.id, r.event))
	resp, free, _, err := g.up.send(ctx, a.address, true, req, c.deadline)
	if err != nil {
		return errors.WithType(err, errResume)
	}
	defer free()
	defer context.AfterFunc(ctx, free)()
	if resp.StatusCode() != http.StatusOK {
		return errors.Trace(errResume)
	}
	return g.stream(ctx, resp, c, a, r, out)
}

// status is what an engine says of one request.
type status struct {
	State string `json:"state"`
	Usage usage  `json:"usage"`
}

// over tells whether the engine works on the request no more.
func (s status) over() bool { return s.State != "running" && s.State != "waiting" }

// probe asks the engine for a request over a fresh connection.
func (g *engines) probe(ctx context.Context, a *exchange) (status, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + a.address + "/v1/requests/" + a.id)
	resp, free, _, err := g.up.send(ctx, a.address, true, req, time.Now().Add(targetProbeTimeout))
	if err != nil {
		return status{}, errors.Trace(err)
	}
	defer free()
	if resp.StatusCode() != http.StatusOK {
		return status{}, errors.NotFoundf("request %s", a.id)
	}
	b, err := readBody(resp)
	if err != nil {
		return status{}, errors.Trace(err)
	}
	var s status
	return s, errors.Trace(json.Unmarshal(b, &s))
}

// lost tells whether the engine takes no connection any more, or was started
// anew and knows the request no more.
func (g *engines) lost(ctx context.Context, a *exchange) bool {
	_, err := g.probe(ctx, a)
	return errors.Is(err, errNotSent) || errors.Is(err, errors.NotFound) && a.moved.Load() > 0
}

// watch gives a connection up when nothing arrives on it although the engine
// has ended the request, goes on generating, or is gone. A request that waits
// in the engine's queue is left alone.
func (g *engines) watch(ctx context.Context, cancel context.CancelCauseFunc, a *exchange) {
	tick := time.NewTicker(g.silence)
	defer tick.Stop()
	seen, generated := a.moved.Load(), bbunit.Tokens(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now := a.moved.Load(); now != seen {
			seen, generated = now, -1
			continue
		}
		s, err := g.probe(ctx, a)
		if a.moved.Load() != seen || ctx.Err() != nil {
			continue
		}
		grew := generated >= 0 && s.Usage.Completion > generated && a.first > 0
		if err != nil || s.over() || grew {
			cancel(errSilent)
			return
		}
		generated = s.Usage.Completion
	}
}

// cancel tells the engine that nobody waits for the request any more.
func (g *engines) cancel(a *exchange) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodDelete)
	req.SetRequestURI("http://" + a.address + "/v1/requests/" + a.id)
	_, free, _, err := g.up.send(context.Background(), a.address, true, req, time.Now().Add(cancelTimeout))
	if err == nil {
		free()
	}
}
