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

// Frontend serves the callers' HTTP interface: chat completions, plain services
// and the list of models.
type Frontend struct {
	deps   Deps
	opts   *FrontendOptions
	app    *fiber.App
	runner *runner
	dedup  *Deduplicator
	// forwarder sends requests to their home instances. If nil, every request
	// runs on this instance.
	forwarder *forwarder
	tracer    trace.Tracer
	tasks     conc.WaitGroup
	// openRequests counts attached callers whose answer has not been written in
	// full.
	openRequests atomic.Int64

	requests        metrics.Counter
	refusals        metrics.Counter
	brokenResponses metrics.Counter
	duration        metrics.Timer
}

// NewFrontend returns the callers' HTTP interface, and completes the runner with
// the functions that need the answers kept by the frontend.
func NewFrontend(deps Deps, r *runner) *Frontend {
	f := &Frontend{
		deps:            deps,
		opts:            &deps.Opts.Frontend,
		runner:          r,
		dedup:           NewDeduplicator(&deps.Opts.Record, deps.Now),
		tracer:          otel.Tracer("bluebellport"),
		requests:        metrics.GetOrRegisterCounter("front.requests", deps.Metrics),
		refusals:        metrics.GetOrRegisterCounter("front.refusals", deps.Metrics),
		brokenResponses: metrics.GetOrRegisterCounter("front.cut", deps.Metrics),
		duration:        metrics.GetOrRegisterTimer("front.time", deps.Metrics),
	}
	r.outcomeIfNotRun = newCopyFinder(deps, f.dedup).outcome
	r.rejoin = func(c *clientRequest) (*Answer, bool, error) { return f.dedup.Join(c.account.ID, c.id, c.fingerprint) }
	metrics.NewRegisteredFunctionalGauge("front.open", deps.Metrics, f.openRequests.Load)
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             int(f.opts.MaxBodyBytes) + maxBodyOverrun,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           f.opts.DefaultDeadline,
		IdleTimeout:           f.opts.DefaultDeadline,
		WriteTimeout:          f.opts.DefaultDeadline + writeTimeoutMargin,
		UnescapePath:          false,
		ErrorHandler:          f.handleError,
	})
	f.app.Get("/v1/models", f.handleModels)
	f.app.Post("/v1/chat/completions", f.handleChat)
	f.app.All("/services/:service/*", f.handlePlain)
	f.app.All("/services/:service", f.handlePlain)
	return f
}

// handleError answers requests that the HTTP library rejects before a handler
// runs.
func (f *Frontend) handleError(c *fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &fiberErr) && fiberErr.Code == http.StatusRequestEntityTooLarge:
		err = errBodyTooLarge
	case errors.As(err, &fiberErr) && fiberErr.Code == http.StatusNotFound:
		err = errUnknownService
	case errors.As(err, &fiberErr):
		err = errors.WithType(fiberErr, errInvalidRequest)
	}
	return f.refuseNotRun(c, "", err)
}

// refuseUnadmitted answers a request that failed validation or that the instance
// does not accept at the moment. If the request was parsed (req is not nil), an
// earlier copy of it may have run, so its outcome is looked up. While the
// instance has no state, the account is unknown and copies cannot be looked up:
// the outcome of a request with an Idempotency-Key is then unknown.
func (f *Frontend) refuseUnadmitted(ctx context.Context, c *fiber.Ctx, raw *rawRequest, req *clientRequest, err error) error {
	switch {
	case req != nil:
		return f.refuse(c, req.id, err, f.runner.outcomeIfNotRun(ctx, req, ""))
	case errors.Is(err, errNotReady) && raw.id != "":
		return f.refuse(c, bbunit.RequestID(raw.id), err, bbunit.OutcomeUnknown)
	}
	return f.refuseNotRun(c, bbunit.RequestID(raw.id), err)
}

// refuseNotRun answers a request that certainly did not run.
func (f *Frontend) refuseNotRun(c *fiber.Ctx, id bbunit.RequestID, err error) error {
	return f.refuse(c, id, err, bbunit.OutcomeNotRun)
}

// refuse answers with problem details for err and the given outcome.
func (f *Frontend) refuse(c *fiber.Ctx, id bbunit.RequestID, err error, outcome bbunit.Outcome) error {
	f.refusals.Inc(1)
	resp := newRefusalResponse(err, outcome)
	f.writeHead(c, id, &ResponseHead{Status: resp.Status, Fields: append(resp.headerFields(), HeaderField{"Content-Type", "application/problem+json"})})
	return c.Send(resp.body(id))
}

func (f *Frontend) handleChat(c *fiber.Ctx) error {
	return f.handleRequest(c, "", "/v1/chat/completions")
}

// handlePlain handles /services/NAME/PATH. The service gets PATH and the query,
// still escaped.
func (f *Frontend) handlePlain(c *fiber.Ctx) error {
	service := strings.Clone(c.Params("service"))
	_, path, _ := strings.Cut(strings.TrimPrefix(string(c.Request().URI().RequestURI()), "/services/"), "/")
	return f.handleRequest(c, service, "/"+path)
}

// handleRequest validates a request, runs it or joins a running copy, and writes
// the answer.
func (f *Frontend) handleRequest(c *fiber.Ctx, service, path string) error {
	started := f.deps.Now()
	f.requests.Inc(1)
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), headerCarrier{&c.Request().Header})
	ctx, span := f.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	raw := newRawRequest(c, service, path)
	req, err := f.validate(raw, started)
	if err == nil {
		err = f.checkAccepting(req)
	}
	if err != nil {
		span.RecordError(err)
		span.End()
		return f.refuseUnadmitted(ctx, c, raw, req, err)
	}
	span.SetAttributes(attribute.String("account", string(req.account.ID)), attribute.String("request", string(req.id)))
	answer, err := f.join(ctx, req)
	if err != nil {
		span.End()
		return f.refuseNotRun(c, req.id, err)
	}
	return f.writeAnswer(ctx, c, req, answer, func() {
		f.leave(answer)
		span.End()
		f.duration.UpdateSince(started)
	})
}

// join attaches a caller to the answer of its request. The first copy of a
// request leads: it starts the run, on this instance or on the request's home.
func (f *Frontend) join(ctx context.Context, req *clientRequest) (*Answer, error) {
	answer, leader, err := f.dedup.Join(req.account.ID, req.id, req.fingerprint)
	if err != nil {
		return nil, err
	}
	f.openRequests.Add(1)
	if leader {
		runCtx := trace.ContextWithSpan(answer.Context(), trace.SpanFromContext(ctx))
		f.tasks.Go(func() { f.runOrForward(runCtx, req, answer) })
	}
	return answer, nil
}

// leave detaches a caller from an answer.
func (f *Frontend) leave(answer *Answer) {
	answer.Leave()
	f.openRequests.Add(-1)
}

// runOrForward runs the request on its home instance, or here if this instance is
// the home or the home does not answer.
func (f *Frontend) runOrForward(ctx context.Context, req *clientRequest, answer *Answer) {
	if f.forwarder != nil {
		if home, ok := f.forwarder.homeOf(req); ok {
			err := f.forwarder.forward(ctx, req, home, answer)
			if err == nil {
				return
			}
			f.deps.Log.WithField("event", "home").WithField("home", home.ID).WithError(err).Warn("home passed over")
		}
	}
	f.runner.run(ctx, req, answer)
}

// validate parses a request and checks everything that depends on neither load
// nor budgets.
func (f *Frontend) validate(raw *rawRequest, now time.Time) (*clientRequest, error) {
	if f.deps.Board.State.Load().Number == 0 {
		return nil, errors.Trace(errNotReady)
	}
	if int64(len(raw.body)) > f.opts.MaxBodyBytes {
		return nil, errors.WithType(errors.Errorf("body: %d bytes, at most %d", len(raw.body), f.opts.MaxBodyBytes), errBodyTooLarge)
	}
	return raw.parse(f.deps.Board.State.Load(), now, f.opts.DefaultDeadline)
}

// checkAccepting returns errDraining, errNotReady or errRecordBacklog if the
// instance does not take the request.
func (f *Frontend) checkAccepting(req *clientRequest) error {
	switch {
	case f.deps.Board.Draining.Load():
		return errors.Trace(errDraining)
	case !f.deps.Board.Ready.Load():
		return errors.Trace(errNotReady)
	case f.runner.journal.Full():
		return errors.Trace(errRecordBacklog)
	}
	return f.deps.Board.Stop.check(req.service.ID, req.deadline, f.deps.Now(), nil)
}

// newRawRequest copies a request out of the HTTP library's buffers, which are
// reused once the handler returns.
func newRawRequest(c *fiber.Ctx, service, path string) *rawRequest {
	raw := &rawRequest{
		method:     strings.Clone(c.Method()),
		path:       path,
		service:    service,
		apiKey:     strings.Clone(bearerToken(c.Get("Authorization"))),
		id:         strings.Clone(c.Get("Idempotency-Key")),
		deadlineMs: strings.Clone(c.Get("X-Request-Deadline-Ms")),
		priority:   strings.Clone(c.Get("X-Request-Priority")),
		body:       append([]byte(nil), c.Body()...),
	}
	if service != "" {
		raw.header = append(raw.header, HeaderField{"Content-Type", strings.Clone(c.Get("Content-Type"))})
		for k, v := range c.Request().Header.All() {
			if isForwardedHeader(string(k)) {
				raw.header = append(raw.header, HeaderField{string(k), string(v)})
			}
		}
	}
	return raw
}

// writeHead sets the status and header fields of the response. A leaving
// instance asks the caller to close the connection.
func (f *Frontend) writeHead(c *fiber.Ctx, id bbunit.RequestID, head *ResponseHead) {
	c.Status(head.Status)
	if id != "" {
		c.Set("Idempotency-Key", string(id))
	}
	for _, field := range head.Fields {
		if field.Name == "Content-Type" {
			c.Set(field.Name, field.Value)
		} else {
			c.Response().Header.Add(field.Name, field.Value)
		}
	}
	if f.deps.Board.Leaving.Load() {
		c.Response().SetConnectionClose()
	}
}

// writeAnswer writes the answer to the caller. It calls done exactly once, when
// the answer has ended or cannot be written.
func (f *Frontend) writeAnswer(ctx context.Context, c *fiber.Ctx, req *clientRequest, answer *Answer, done func()) error {
	head, err := answer.Head(ctx)
	if err == nil && head == nil {
		err = errors.Trace(errTargetFailed)
	}
	if err != nil {
		done()
		return errors.Trace(err)
	}
	f.writeHead(c, req.id, head)
	if req.chat != nil && req.chat.Stream && head.Status == http.StatusOK {
		c.Set("Cache-Control", "no-store")
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
			defer done()
			f.writeStream(ctx, w, answer)
		})
		return nil
	}
	defer done()
	var body bytes.Buffer
	for next := 0; ; {
		parts, end, err := answer.Read(ctx, next)
		if err != nil {
			return errors.Trace(err)
		}
		for _, p := range parts {
			body.Write(p)
		}
		next += len(parts)
		if end {
			c.Response().SetBodyRaw(body.Bytes())
			return nil
		}
	}
}

// writeStream writes a streamed answer and flushes after each batch of parts.
func (f *Frontend) writeStream(ctx context.Context, w *bufio.Writer, answer *Answer) {
	for next := 0; ; {
		parts, end, err := answer.Read(ctx, next)
		if err != nil {
			return
		}
		for _, p := range parts {
			if _, err := w.Write(p); err != nil {
				f.brokenResponses.Inc(1)
				return
			}
		}
		if err := w.Flush(); err != nil {
			f.brokenResponses.Inc(1)
			return
		}
		next += len(parts)
		if end {
			return
		}
	}
}

// modelEntry is an entry of the list of models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// handleModels lists the engine services that the account may use.
func (f *Frontend) handleModels(c *fiber.Ctx) error {
	state := f.deps.Board.State.Load()
	account, ok := accountByKey(state, bearerToken(c.Get("Authorization")))
	if !ok {
		return f.refuseNotRun(c, "", errUnknownKey)
	}
	entries := []modelEntry{}
	for id, service := range state.Services {
		req := &clientRequest{account: state.Accounts[account].Object, chat: &chat{}}
		if service.Object.Kind == bbticket.KindEngine && req.setService(state, id) == nil {
			entries = append(entries, modelEntry{ID: string(id), Object: "model", Owner: "bluebellport"})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return c.JSON(map[string]any{"object": "list", "data": entries})
}
