package bbport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// runStreamKind is the kind of the streams that forward a request to its home.
const runStreamKind = "run"

// errHomeUnavailable means that the home sent nothing of an answer.
const errHomeUnavailable = errors.ConstError("home did not answer")

// streamTransport opens and accepts streams between instances.
type streamTransport interface {
	OpenStream(ctx context.Context, to bbunit.InstanceID, kind string) (net.Conn, error)
	HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn))
}

// forwarder sends requests with a client-chosen id to their home, the instance
// at which all copies of a request meet. If the home cannot be reached, the
// request is run without it, and only the claim or bill detects other copies.
type forwarder struct {
	frontend *Frontend
	streams  streamTransport
}

func newForwarder(frontend *Frontend, streams streamTransport) *forwarder {
	fwd := &forwarder{frontend: frontend, streams: streams}
	streams.HandleStream(runStreamKind, fwd.serve)
	return fwd
}

// homeOf returns the request's home if that is another instance.
func (fwd *forwarder) homeOf(req *clientRequest) (bbmember.Member, bool) {
	if !req.clientChosenID || req.forwarded {
		return bbmember.Member{}, false
	}
	view := fwd.frontend.deps.Board.View.Load()
	home, ok := RequestHome(view, req.account.ID, req.id, view.Self.Domain)
	return home, ok && home.ID != view.Self.ID
}

// fetchAnswer gets the request's answer from the instance that owns its claim.
func (fwd *forwarder) fetchAnswer(ctx context.Context, req *clientRequest, to bbunit.InstanceID, answer *Answer) error {
	view := fwd.frontend.deps.Board.View.Load()
	owner, ok := view.Find(to)
	if !ok || req.forwardedToOwner || to == view.Self.ID {
		return errors.Trace(errHomeUnavailable)
	}
	fetch := *req
	fetch.forwardedToOwner = true
	return fwd.forward(ctx, &fetch, owner, answer)
}

// forward has another instance run the request and copies its answer to answer.
// The error is errHomeUnavailable when nothing of an answer came, so that the
// request may be run here.
func (fwd *forwarder) forward(ctx context.Context, req *clientRequest, to bbmember.Member, answer *Answer) error {
	ctx, span := fwd.frontend.tracer.Start(ctx, "home", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, errors.Trace(errDeadlineExceeded))
	defer cancel()
	conn, err := fwd.streams.OpenStream(ctx, to.ID, runStreamKind)
	if err != nil {
		return errors.WithType(err, errHomeUnavailable)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	if _, err := protodelim.MarshalTo(conn, runMessage(ctx, req)); err != nil {
		return errors.WithType(err, errHomeUnavailable)
	}
	parts := partCopier{answer: answer, isStream: req.chat != nil && req.chat.Stream}
	err = parts.copy(ctx, bufio.NewReader(conn))
	switch {
	case err == nil:
	case !parts.begun:
		return errors.WithType(err, errHomeUnavailable)
	default:
		outcome := bbunit.OutcomeFailed
		if !req.idempotent {
			outcome = bbunit.OutcomeUnknown
		}
		newRefusalResponse(errors.WithType(err, errTargetFailed), outcome).writeTo(req.id, answer, parts.headSent)
	}
	return nil
}

// runMessage encodes the request for its home.
func runMessage(ctx context.Context, req *clientRequest) *bbwire.Run {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	msg := &bbwire.Run{
		Account: string(req.account.ID), Request: string(req.id), Service: string(req.service.ID),
		Method: req.method, Path: req.path, Body: req.body, Priority: int32(req.priority),
		Deadline: time.Until(req.deadline).Milliseconds(), Trace: carrier["traceparent"],
		Fields: fieldsToWire(req.header), Fetch: req.forwardedToOwner,
	}
	if req.chat != nil {
		msg.Service = ""
	}
	return msg
}

func fieldsToWire(fields []HeaderField) []*bbwire.Field {
	out := make([]*bbwire.Field, len(fields))
	for i, f := range fields {
		out[i] = &bbwire.Field{Name: f.Name, Value: f.Value}
	}
	return out
}

func fieldsFromWire(fields []*bbwire.Field) []HeaderField {
	out := make([]HeaderField, len(fields))
	for i, f := range fields {
		out[i] = HeaderField{f.Name, f.Value}
	}
	return out
}

// partCopier copies an answer from another instance. One that is no stream is held until
// it has come whole, as its caller could not see that it broke off.
type partCopier struct {
	answer   *Answer
	isStream bool
	begun    bool // the head has come
	headSent bool // the head was copied
	held     ResponseHead
	body     []byte
}

// copy copies an answer until its end.
func (p *partCopier) copy(ctx context.Context, r *bufio.Reader) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxResponseBytes + maxHeaderBytes}
	for {
		part := &bbwire.Part{}
		if err := opts.UnmarshalFrom(r, part); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return errors.Trace(err)
		}
		if part.Error != "" {
			return errors.New(part.Error)
		}
		if err := p.add(ctx, part); err != nil {
			return err
		}
		if part.End {
			return p.finish(ctx, part.Outcome)
		}
	}
}

// add copies a part, or holds it.
func (p *partCopier) add(ctx context.Context, part *bbwire.Part) error {
	if part.Status > 0 && !p.begun {
		p.begun = true
		p.held = ResponseHead{Status: int(part.Status), Fields: fieldsFromWire(part.Fields)}
		if p.isStream && p.held.Status == http.StatusOK {
			p.headSent = true
			p.answer.SetHead(&p.held)
		}
	}
	switch {
	case len(part.Data) == 0:
		return nil
	case p.headSent:
		return p.answer.Write(ctx, part.Data)
	case len(p.body)+len(part.Data) > maxResponseBytes:
		return errors.Errorf("answer above %d bytes", maxResponseBytes)
	}
	p.body = append(p.body, part.Data...)
	return nil
}

// finish ends the answer with an outcome, after what was held of it.
func (p *partCopier) finish(ctx context.Context, name string) error {
	if p.begun && !p.headSent {
		p.headSent = true
		p.answer.SetHead(&p.held)
		if err := p.answer.Write(ctx, p.body); err != nil {
			return err
		}
	}
	outcome, err := bbunit.OutcomeString(name)
	if err != nil {
		outcome = bbunit.OutcomeUnknown
	}
	p.answer.Finish(outcome)
	return nil
}

// serve runs a request that another instance forwarded.
func (fwd *forwarder) serve(_ bbunit.InstanceID, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	frontend := fwd.frontend
	msg := &bbwire.Run{}
	opts := protodelim.UnmarshalOptions{MaxSize: int64(int(frontend.opts.MaxBodyBytes) + maxHeaderBytes*2)}
	if err := opts.UnmarshalFrom(bufio.NewReader(conn), msg); err != nil {
		frontend.deps.Log.WithError(err).WithField("event", "badrun").Warn("malformed request from a peer dropped")
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": msg.Trace})
	ctx, span := frontend.tracer.Start(ctx, "carried", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	req, err := frontend.parseForwarded(msg)
	if err == nil {
		err = frontend.streamAnswer(ctx, req, conn)
	}
	if err != nil {
		span.RecordError(err)
		_, _ = protodelim.MarshalTo(conn, &bbwire.Part{Error: err.Error()})
	}
}

// parseForwarded parses a forwarded request and checks it against this
// instance's ticket state.
func (f *Frontend) parseForwarded(msg *bbwire.Run) (*clientRequest, error) {
	raw := &rawRequest{
		method: msg.Method, path: msg.Path, service: msg.Service, id: msg.Request, body: msg.Body,
		deadlineMs: strconv.FormatInt(msg.Deadline, 10), priority: strconv.Itoa(int(msg.Priority)),
		header: fieldsFromWire(msg.Fields),
	}
	req, err := raw.parseForAccount(f.deps.Board.State.Load(), bbunit.AccountID(msg.Account), f.deps.Now(), f.opts.DefaultDeadline)
	if err == nil {
		err = f.checkAccepting(req)
	}
	if err != nil {
		return nil, err
	}
	req.forwarded, req.forwardedToOwner = true, msg.Fetch
	return req, nil
}

// streamAnswer runs or joins the request and writes its answer to conn in
// parts.
func (f *Frontend) streamAnswer(ctx context.Context, req *clientRequest, conn net.Conn) error {
	answer, err := f.join(ctx, req)
	if err != nil {
		return err
	}
	defer f.leave(answer)
	// The peer sends nothing more: the end of its stream means that its caller
	// has left.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer func() { _ = conn.Close() }()
	wg.Go(func() {
		_, _ = io.Copy(io.Discard, conn)
		cancel()
	})
	return sendParts(ctx, answer, conn)
}

// sendParts sends an answer over conn, as it comes, until it has ended.
func sendParts(ctx context.Context, answer *Answer, conn io.Writer) error {
	head, err := answer.Head(ctx)
	if err != nil || head == nil {
		return errors.WithType(errors.New("no answer"), errHomeUnavailable)
	}
	part := &bbwire.Part{Status: int32(head.Status), Fields: fieldsToWire(head.Fields)}
	for next := 0; ; {
		parts, done, err := answer.Read(ctx, next)
		if err != nil {
			return errors.Trace(err)
		}
		for _, data := range parts {
			part.Data = append(part.Data, data...)
		}
		if part.End = done; done {
			part.Outcome = answer.Outcome().String()
		}
		if _, err := protodelim.MarshalTo(conn, part); err != nil {
			return errors.Trace(err)
		}
		if done {
			return nil
		}
		next += len(parts)
		part = &bbwire.Part{}
	}
}
