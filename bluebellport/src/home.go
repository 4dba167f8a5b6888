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

// runKind names the streams that carry a request to its home.
const runKind = "run"

// errHome marks a home that did not take the request.
const errHome = errors.ConstError("home did not answer")

// streams opens and takes streams between instances.
type streams interface {
	OpenStream(ctx context.Context, to bbunit.InstanceID, kind string) (net.Conn, error)
	HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn))
}

// carrier carries requests that a caller named to the instance where their copies
// meet. A home that cannot be reached is passed over: the copies of one request
// are then only told apart by their claim or bill.
type carrier struct {
	front   *Front
	streams streams
}

func newCarrier(f *Front, s streams) *carrier {
	c := &carrier{front: f, streams: s}
	s.HandleStream(runKind, c.serve)
	return c
}

// home returns the other instance that the request belongs to.
func (h *carrier) home(c *call) (bbmember.Member, bool) {
	if !c.keyed || c.carried {
		return bbmember.Member{}, false
	}
	v := h.front.parts.Board.View.Load()
	m, ok := RequestHome(v, c.account.ID, c.id, v.Self.Domain)
	return m, ok && m.ID != v.Self.ID
}

// fetch has the instance that owns the request's claim bring its answer.
func (h *carrier) fetch(ctx context.Context, c *call, to bbunit.InstanceID, out *Answer) error {
	v := h.front.parts.Board.View.Load()
	m, ok := v.Find(to)
	if !ok || c.fetched || to == v.Self.ID {
		return errors.Trace(errHome)
	}
	fetched := *c
	fetched.fetched = true
	return h.carry(ctx, &fetched, m, out)
}

// carry has the home run the request and copies its answer to out. errHome when
// nothing of an answer came, so that the request may be run here.
func (h *carrier) carry(ctx context.Context, c *call, to bbmember.Member, out *Answer) error {
	ctx, span := h.front.tracer.Start(ctx, "home", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errors.Trace(errDeadline))
	defer cancel()
	conn, err := h.streams.OpenStream(ctx, to.ID, runKind)
	if err != nil {
		return errors.WithType(err, errHome)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	if _, err := protodelim.MarshalTo(conn, runOf(ctx, c)); err != nil {
		return errors.WithType(err, errHome)
	}
	begun, err := copyParts(ctx, bufio.NewReader(conn), out)
	switch {
	case err == nil:
	case !begun:
		return errors.WithType(err, errHome)
	default:
		o := bbunit.OutcomeFailed
		if !c.repeatable {
			o = bbunit.OutcomeUnknown
		}
		refuse(errors.WithType(err, errTarget), o).end(c.id, out, true)
	}
	return nil
}

// runOf is the request as a message.
func runOf(ctx context.Context, c *call) *bbwire.Run {
	trace := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, trace)
	r := &bbwire.Run{
		Account: string(c.account.ID), Request: string(c.id), Service: string(c.service.ID),
		Method: c.method, Path: c.path, Body: c.body, Priority: int32(c.priority),
		Deadline: time.Until(c.deadline).Milliseconds(), Trace: trace["traceparent"],
		Fields: fieldsOut(c.header), Fetch: c.fetched,
	}
	if c.chat != nil {
		r.Service = ""
	}
	return r
}

func fieldsOut(list []Field) []*bbwire.Field {
	out := make([]*bbwire.Field, len(list))
	for i, f := range list {
		out[i] = &bbwire.Field{Name: f.Name, Value: f.Value}
	}
	return out
}

func fieldsIn(list []*bbwire.Field) []Field {
	out := make([]Field, len(list))
	for i, f := range list {
		out[i] = Field{f.Name, f.Value}
	}
	return out
}

// copyParts writes the parts that come from the home to out until the end.
func copyParts(ctx context.Context, r *bufio.Reader, out *Answer) (begun bool, err error) {
	opts := protodelim.UnmarshalOptions{MaxSize: maxAnswer + maxHeader}
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
			out.Begin(&Head{Status: int(p.Status), Fields: fieldsIn(p.Fields)})
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
func (h *carrier) serve(_ bbunit.InstanceID, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	f := h.front
	r := &bbwire.Run{}
	opts := protodelim.UnmarshalOptions{MaxSize: int64(int(f.opts.Body) + maxHeader*2)}
	if err := opts.UnmarshalFrom(bufio.NewReader(conn), r); err != nil {
		f.parts.Log.WithError(err).WithField("event", "badrun").Warn("malformed request from a peer dropped")
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier{"traceparent": r.Trace})
	ctx, span := f.tracer.Start(ctx, "carried", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	cl, err := f.admitRun(r)
	if err == nil {
		err = f.relayTo(ctx, cl, conn)
	}
	if err != nil {
		span.RecordError(err)
		_, _ = protodelim.MarshalTo(conn, &bbwire.Part{Error: err.Error()})
	}
}

// admitRun checks a carried request against what is in force here.
func (f *Front) admitRun(r *bbwire.Run) (*call, error) {
	if err := f.accepting(); err != nil {
		return nil, err
	}
	w := &wire{
		method: r.Method, path: r.Path, service: r.Service, id: r.Request, body: r.Body,
		deadlineMs: strconv.FormatInt(r.Deadline, 10), priority: strconv.Itoa(int(r.Priority)),
		header: fieldsIn(r.Fields),
	}
	c, err := w.parseFor(f.parts.Board.State.Load(), bbunit.AccountID(r.Account), f.parts.Now(), f.opts.Timeout)
	if err == nil {
		c.carried, c.fetched = true, r.Fetch
	}
	return c, err
}

// relayTo runs or joins the request and writes its answer as parts.
func (f *Front) relayTo(ctx context.Context, cl *call, conn net.Conn) error {
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
		return errors.WithType(errors.New("no answer"), errHome)
	}
	part := &bbwire.Part{Status: int32(hd.Status), Fields: fieldsOut(hd.Fields)}
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
