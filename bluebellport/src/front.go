package bbport

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Front takes callers' requests over HTTP.
type Front struct {
	parts  Parts
	opts   *FrontOptions
	app    *fiber.App
	runner *runner
	dups   *Dups
	// carrier takes requests to their homes; nil runs all here.
	carrier *carrier
	tracer  trace.Tracer
	tasks   conc.WaitGroup
	// open counts requests whose answer has not ended.
	open atomic.Int64

	requests metrics.Counter
	refusals metrics.Counter
	cut      metrics.Counter
	took     metrics.Timer
}

// NewFront returns the callers' side of an instance.
func NewFront(p Parts, r *runner) *Front {
	f := &Front{
		parts:    p,
		opts:     &p.Opts.Front,
		runner:   r,
		dups:     NewDups(&p.Opts.Record, p.Now),
		tracer:   otel.Tracer("bluebellport"),
		requests: metrics.GetOrRegisterCounter("front.requests", p.Metrics),
		refusals: metrics.GetOrRegisterCounter("front.refusals", p.Metrics),
		cut:      metrics.GetOrRegisterCounter("front.cut", p.Metrics),
		took:     metrics.GetOrRegisterTimer("front.time", p.Metrics),
	}
	r.unrun = newFinder(p, f.dups).outcome
	r.rejoin = func(c *call) (*Answer, bool, error) { return f.dups.Join(c.account.ID, c.id, c.print) }
	metrics.NewRegisteredFunctionalGauge("front.open", p.Metrics, f.open.Load)
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             int(f.opts.Body) + bodySlack,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           f.opts.Timeout,
		IdleTimeout:           f.opts.Timeout,
		WriteTimeout:          f.opts.Timeout + writeSlack,
		UnescapePath:          false,
		ErrorHandler:          f.fault,
	})
	f.app.Get("/v1/models", f.models)
	f.app.Post("/v1/chat/completions", f.chat)
	f.app.All("/services/:service/*", f.plain)
	f.app.All("/services/:service", f.plain)
	return f
}

// fault answers what the HTTP library refuses before a handler runs.
func (f *Front) fault(c *fiber.Ctx, err error) error {
	var fe *fiber.Error
	switch {
	case errors.As(err, &fe) && fe.Code == http.StatusRequestEntityTooLarge:
		err = errBody
	case errors.As(err, &fe) && fe.Code == http.StatusNotFound:
		err = errService
	case errors.As(err, &fe):
		err = errors.WithType(fe, errRequest)
	}
	return f.refuse(c, "", err)
}

// refuseFor answers a request that was not let in. Where it was understood and
// its caller named it, an earlier copy may have run; where it could not even be
// told whose it is, nothing is known of others.
func (f *Front) refuseFor(ctx context.Context, c *fiber.Ctx, w *wire, cl *call, err error) error {
	switch {
	case cl != nil:
		return f.refuseAs(c, cl.id, err, f.runner.unrun(ctx, cl, ""))
	case errors.Is(err, errNotReady) && w.id != "":
		return f.refuseAs(c, bbunit.RequestID(w.id), err, bbunit.OutcomeUnknown)
	}
	return f.refuse(c, bbunit.RequestID(w.id), err)
}

// refuse answers a request that did not run.
func (f *Front) refuse(c *fiber.Ctx, id bbunit.RequestID, err error) error {
	return f.refuseAs(c, id, err, bbunit.OutcomeNotRun)
}

func (f *Front) refuseAs(c *fiber.Ctx, id bbunit.RequestID, err error, o bbunit.Outcome) error {
	f.refusals.Inc(1)
	r := refuse(err, o)
	f.head(c, id, &Head{Status: r.Status, Fields: append(r.fields(), Field{"Content-Type", "application/problem+json"})})
	return c.Send(r.body(id))
}

func (f *Front) chat(c *fiber.Ctx) error { return f.take(c, "", "/v1/chat/completions") }

// plain takes what lies behind the service's name, with its query.
func (f *Front) plain(c *fiber.Ctx) error {
	service := strings.Clone(c.Params("service"))
	_, path, _ := strings.Cut(strings.TrimPrefix(string(c.Request().URI().RequestURI()), "/services/"), "/")
	return f.take(c, service, "/"+path)
}

// take checks a request and answers it.
func (f *Front) take(c *fiber.Ctx, service, path string) error {
	started := f.parts.Now()
	f.requests.Inc(1)
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), requestCarrier{&c.Request().Header})
	ctx, span := f.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	w := wireOf(c, service, path)
	cl, err := f.admit(w, started)
	if err == nil {
		err = f.accepting()
	}
	if err != nil {
		span.RecordError(err)
		span.End()
		return f.refuseFor(ctx, c, w, cl, err)
	}
	span.SetAttributes(attribute.String("account", string(cl.account.ID)), attribute.String("request", string(cl.id)))
	out, err := f.join(ctx, cl)
	if err != nil {
		span.End()
		return f.refuse(c, cl.id, err)
	}
	return f.reply(ctx, c, cl, out, func() {
		f.leave(out)
		span.End()
		f.took.UpdateSince(started)
	})
}

// join attaches a caller to the request's answer; the first copy runs it, here
// or at its home.
func (f *Front) join(ctx context.Context, cl *call) (*Answer, error) {
	out, leader, err := f.dups.Join(cl.account.ID, cl.id, cl.print)
	if err != nil {
		return nil, err
	}
	f.open.Add(1)
	if leader {
		run := trace.ContextWithSpan(out.Context(), trace.SpanFromContext(ctx))
		f.tasks.Go(func() { f.lead(run, cl, out) })
	}
	return out, nil
}

// leave detaches a caller from an answer.
func (f *Front) leave(out *Answer) {
	out.Leave()
	f.open.Add(-1)
}

// lead runs the request at its home, or here when that is self or silent.
func (f *Front) lead(ctx context.Context, cl *call, out *Answer) {
	if f.carrier != nil {
		if to, ok := f.carrier.home(cl); ok {
			err := f.carrier.carry(ctx, cl, to, out)
			if err == nil {
				return
			}
			f.parts.Log.WithField("event", "home").WithField("home", to.ID).WithError(err).Warn("home passed over")
		}
	}
	f.runner.run(ctx, cl, out)
}

// admit refuses what can be told without looking at load or money.
func (f *Front) admit(w *wire, now time.Time) (*call, error) {
	if f.parts.Board.State.Load().Number == 0 {
		return nil, errors.Trace(errNotReady)
	}
	if int64(len(w.body)) > f.opts.Body {
		return nil, errors.WithType(errors.Errorf("body: %d bytes, at most %d", len(w.body), f.opts.Body), errBody)
	}
	return w.parse(f.parts.Board.State.Load(), now, f.opts.Timeout)
}

// accepting tells whether the instance takes new requests at all.
func (f *Front) accepting() error {
	switch {
	case f.parts.Board.Draining.Load():
		return errors.Trace(errDraining)
	case !f.parts.Board.Ready.Load():
		return errors.Trace(errNotReady)
	case f.runner.ledger.Full():
		return errors.Trace(errFull)
	}
	return nil
}

// wireOf copies a request out of the HTTP library's buffers.
func wireOf(c *fiber.Ctx, service, path string) *wire {
	w := &wire{
		method:     strings.Clone(c.Method()),
		path:       path,
		service:    service,
		key:        strings.Clone(bearer(c.Get("Authorization"))),
		id:         strings.Clone(c.Get("Idempotency-Key")),
		deadlineMs: strings.Clone(c.Get("X-Request-Deadline-Ms")),
		priority:   strings.Clone(c.Get("X-Request-Priority")),
		body:       append([]byte(nil), c.Body()...),
	}
	if service != "" {
		w.header = append(w.header, Field{"Content-Type", strings.Clone(c.Get("Content-Type"))})
		for k, v := range c.Request().Header.All() {
			if passesOn(string(k)) {
				w.header = append(w.header, Field{string(k), string(v)})
			}
		}
	}
	return w
}

// head writes the status and fields of an answer.
func (f *Front) head(c *fiber.Ctx, id bbunit.RequestID, h *Head) {
	c.Status(h.Status)
	if id != "" {
		c.Set("Idempotency-Key", string(id))
	}
	for _, x := range h.Fields {
		if x.Name == "Content-Type" {
			c.Set(x.Name, x.Value)
		} else {
			c.Response().Header.Add(x.Name, x.Value)
		}
	}
	if f.parts.Board.Leaving.Load() {
		c.Response().SetConnectionClose()
	}
}

// reply writes the answer to the caller and calls done once, after its end.
func (f *Front) reply(ctx context.Context, c *fiber.Ctx, cl *call, out *Answer, done func()) error {
	h, err := out.Head(ctx)
	if err == nil && h == nil {
		err = errors.Trace(errTarget)
	}
	if err != nil {
		done()
		return errors.Trace(err)
	}
	f.head(c, cl.id, h)
	if cl.chat != nil && cl.chat.Stream && h.Status == http.StatusOK {
		c.Set("Cache-Control", "no-store")
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
			defer done()
			f.follow(ctx, w, out)
		})
		return nil
	}
	defer done()
	var body bytes.Buffer
	for at := 0; ; {
		parts, end, err := out.Read(ctx, at)
		if err != nil {
			return errors.Trace(err)
		}
		for _, p := range parts {
			body.Write(p)
		}
		at += len(parts)
		if end {
			c.Response().SetBodyRaw(body.Bytes())
			return nil
		}
	}
}

// follow writes a streamed answer part by part.
func (f *Front) follow(ctx context.Context, w *bufio.Writer, out *Answer) {
	for at := 0; ; {
		parts, end, err := out.Read(ctx, at)
		if err != nil {
			return
		}
		for _, p := range parts {
			if _, err := w.Write(p); err != nil {
				f.cut.Inc(1)
				return
			}
		}
		if err := w.Flush(); err != nil {
			f.cut.Inc(1)
			return
		}
		at += len(parts)
		if end {
			return
		}
	}
}

// model is one entry of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// models lists the services with an engine that the account may use.
func (f *Front) models(c *fiber.Ctx) error {
	s := f.parts.Board.State.Load()
	account, ok := s.ByKey[digest(bearer(c.Get("Authorization")))]
	if !ok {
		return f.refuse(c, "", errKey)
	}
	list := []model{}
	for id, v := range s.Services {
		cl := &call{account: s.Accounts[account].Object, chat: &chat{}}
		if v.Object.Kind == bbticket.KindEngine && cl.findService(s, id) == nil {
			list = append(list, model{ID: string(id), Object: "model", Owner: "bluebellport"})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return c.JSON(map[string]any{"object": "list", "data": list})
}
