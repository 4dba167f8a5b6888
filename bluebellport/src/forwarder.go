package bbport

import (
	"bufio"
	"context"
	"io"
	"net"
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

// runStreamKind names the streams that carry a request to its home.
const runStreamKind = "run"

// errHomeUnavailable marks a home that did not take the request.
const errHomeUnavailable = errors.ConstError("home did not answer")

// streamTransport opens and takes streams between instances.
type streamTransport interface {
	OpenStream(ctx context.Context, to bbunit.InstanceID, kind string) (net.Conn, error)
	HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn))
}

// forwarder carries requests that a caller named to the instance where their copies
// meet. A home that cannot be reached is passed over: the copies of one request
// are then only told apart by their claim or bill.
type forwarder struct {
	front   *Frontend
	streams streamTransport
}

func newForwarder(f *Frontend, s streamTransport) *forwarder {
	c := &forwarder{front: f, streams: s}
	s.HandleStream(runStreamKind, c.serve)
	return c
}

// homeOf returns the other instance that the request belongs to.
func (h *forwarder) homeOf(c *clientRequest) (bbmember.Member, bool) {
	if !c.clientNamed || c.forwarded {
		return bbmember.Member{}, false
	}
	v := h.front.deps.Board.View.Load()
	m, ok := RequestHome(v, c.account.ID, c.id, v.Self.Domain)
	return m, ok && m.ID != v.Self.ID
}

// fetchAnswer has the instance that owns the request's claim bring its answer.
func (h *forwarder) fetchAnswer(ctx context.Context, c *clientRequest, to bbunit.InstanceID, out *Answer) error {
	v := h.front.deps.Board.View.Load()
	m, ok := v.Find(to)
	if !ok || c.forwardedToOwner || to == v.Self.ID {
		return errors.Trace(errHomeUnavailable)
	}
	fetched := *c
	fetched.forwardedToOwner = true
	return h.forward(ctx, &fetched, m, out)
}

// forward has the home run the request and copies its answer to out. errHome when
// nothing of an answer came, so that the request may be run here.
func (h *forwarder) forward(ctx context.Context, c *clientRequest, to bbmember.Member, out *Answer) error {
	ctx, span := h.front.tracer.Start(ctx, "home", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errors.Trace(errDeadlineExceeded))
	defer cancel()
	conn, err := h.streams.OpenStream(ctx, to.ID, runStreamKind)
	if err != nil {
		return errors.WithType(err, errHomeUnavailable)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	if _, err := protodelim.MarshalTo(conn, runMessage(ctx, c)); err != nil {
		return errors.WithType(err, errHomeUnavailable)
	}
	begun, err := copyParts(ctx, bufio.NewReader(conn), out)
	switch {
	case err == nil:
	case !begun:
		return errors.WithType(err, errHomeUnavailable)
	default:
		o := bbunit.OutcomeFailed
		if !c.idempotent {
			o = bbunit.OutcomeUnknown
		}
		newRefusalResponse(errors.WithType(err, errTargetFailed), o).writeTo(c.id, out, true)
	}
	return nil
}

// runMessage is the request as a message.
func runMessage(ctx context.Context, c *clientRequest) *bbwire.Run {
	trace := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, trace)
	r := &bbwire.Run{
		Account: string(c.account.ID), Request: string(c.id), Service: string(c.service.ID),
		Method: c.method, Path: c.path, Body: c.body, Priority: int32(c.priority),
		Deadline: time.Until(c.deadline).Milliseconds(), Trace: trace["traceparent"],
		Fields: fieldsToWire(c.header), Fetch: c.forwardedToOwner,
	}
	if c.chat != nil {
		r.Service = ""
	}
	return r
}

func fieldsToWire(list []HeaderField) []*bbwire.Field {
	out := make([]*bbwire.Field, len(list))
	for i, f := range list {
		out[i] = &bbwire.Field{Name: f.Name, Value: f.Value}
	}
	return out
}

func fieldsFromWire(list []*bbwire.Field) []HeaderField {
	out := make([]HeaderField, len(list))
	for i, f := range list {
		out[i] = HeaderField{f.Name, f.Value}
	}
	return out
}

// copyParts writes the parts that come from the home to out until the end.
func copyParts(ctx context.Context, r *bufio.Reader, out *Answer) (begun bool, err error) {
	opts := protodelim.UnmarshalOptions{MaxSize: maxResponseBytes + maxHeaderBytes}
	for {
		p := &bbwire.Part{}
		if err := opts.UnmarshalFrom(r, p); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return begun, errors.Trace(err)
		}
		if p.Error != "" {
			return begun, errors.New(p.Error)
		}
		if p.Status > 0 && !begun {
			begun = true
			out.SetHead(&ResponseHead{Status: int(p.Status), Fields: fieldsFromWire(p.Fields)})
		}
		if len(p.Data) > 0 {
			if err := out.Write(ctx, p.Data); err != nil {
				return begun, err
			}
		}
		if p.End {
			o, err := bbunit.OutcomeString(p.Outcome)
			if err != nil {
				o = bbunit.OutcomeUnknown
			}
			out.Finish(o)
			return begun, nil
		}
	}
}

// serve runs a request for another instance.
func (h *forwarder) serve(_ bbunit.InstanceID, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	f := h.front
	r := &bbwire.Run{}
	opts := protodelim.UnmarshalOptions{MaxSize: int64(int(f.opts.MaxBodyBytes) + maxHeaderBytes*2)}
	if err := opts.UnmarshalFrom(bufio.NewReader(conn), r); err != nil {
		f.deps.Log.WithError(err).WithField("event", "badrun").Warn("malformed request from a peer dropped")
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": r.Trace})
	ctx, span := f.tracer.Start(ctx, "carried", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	cl, err := f.parseForwarded(r)
	if err == nil {
		err = f.streamAnswer(ctx, cl, conn)
	}
	if err != nil {
		span.RecordError(err)
		_, _ = protodelim.MarshalTo(conn, &bbwire.Part{Error: err.Error()})
	}
}

// parseForwarded checks a carried request against what is in force here.
func (f *Frontend) parseForwarded(r *bbwire.Run) (*clientRequest, error) {
	if err := f.checkAccepting(); err != nil {
		return nil, err
	}
	w := &rawRequest{
		method: r.Method, path: r.Path, service: r.Service, id: r.Request, body: r.Body,
		deadlineMs: strconv.FormatInt(r.Deadline, 10), priority: strconv.Itoa(int(r.Priority)),
		header: fieldsFromWire(r.Fields),
	}
	c, err := w.parseForAccount(f.deps.Board.State.Load(), bbunit.AccountID(r.Account), f.deps.Now(), f.opts.DefaultDeadline)
	if err == nil {
		c.forwarded, c.forwardedToOwner = true, r.Fetch
	}
	return c, err
}

// streamAnswer runs or joins the request and writes its answer as parts.
func (f *Frontend) streamAnswer(ctx context.Context, cl *clientRequest, conn net.Conn) error {
	out, err := f.join(ctx, cl)
	if err != nil {
		return err
	}
	defer f.leave(out)
	// A peer that goes away closes the stream; its caller has left then.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer func() { _ = conn.Close() }()
	wg.Go(func() {
		_, _ = io.Copy(io.Discard, conn)
		cancel()
	})
	hd, err := out.Head(ctx)
	if err != nil || hd == nil {
		return errors.WithType(errors.New("no answer"), errHomeUnavailable)
	}
	part := &bbwire.Part{Status: int32(hd.Status), Fields: fieldsToWire(hd.Fields)}
	for at := 0; ; {
		parts, end, err := out.Read(ctx, at)
		if err != nil {
			return errors.Trace(err)
		}
		for _, p := range parts {
			part.Data = append(part.Data, p...)
		}
		if part.End = end; end {
			part.Outcome = out.Outcome().String()
		}
		if _, err := protodelim.MarshalTo(conn, part); err != nil {
			return errors.Trace(err)
		}
		if end {
			return nil
		}
		at += len(parts)
		part = &bbwire.Part{}
	}
}
