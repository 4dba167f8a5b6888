package bbport

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// runner takes a parsed request from admission to its bill.
type runner struct {
	parts   Parts
	router  *Router
	money   Money
	ledger  Ledger
	engines *engines
	plains  *plains
	owner   string
	tracer  trace.Tracer
	// unrun is what may be said of a request of which this copy did not run.
	unrun func(ctx context.Context, c *call, owner string) bbunit.Outcome
	// rejoin attaches to the answer of a request anew, to lead it.
	rejoin func(c *call) (*Answer, bool, error)
	// elsewhere has the instance that owns a claim bring the answer; errHome
	// when it cannot.
	elsewhere func(ctx context.Context, c *call, to bbunit.InstanceID, out *Answer) error
}

// job is one request under way.
type job struct {
	*runner
	c     *call
	out   *Answer
	hold  *Hold
	rec   *bbwire.Record
	ask   Ask
	relay relay
	tried []bbunit.TargetID
	last  bbunit.TargetID
	// sent tells that a byte of the request may have run somewhere.
	sent bool
	// ended is closed once the caller was told and the request recorded.
	ended chan struct{}
}

// run does the whole request and ends the answer:
//
//	admit -> reserve -> claim or open -> (place) -> attempts -> bill
//	   \________\___________\______________\__________\______-> refusal
func (r *runner) run(ctx context.Context, c *call, out *Answer) {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errors.Trace(errDeadline))
	defer cancel()
	j := &job{runner: r, c: c, out: out, ask: askOf(ctx, c), ended: make(chan struct{})}
	defer close(j.ended)
	pass, err := r.admit(j.ask)
	if err != nil {
		j.refuse(ctx, err)
		return
	}
	defer pass.Done()
	if j.hold, err = r.reserve(ctx, c); err != nil {
		j.refuse(ctx, err)
		return
	}
	if stands, err := j.record(ctx); err != nil {
		j.hold.End(0)
		j.unclaimed(ctx, err, stands)
		return
	}
	if !c.repeatable {
		if err := r.router.Enter(j.ask, pass); err != nil {
			j.finish(ctx, err)
			return
		}
	}
	j.finish(ctx, j.attempts(ctx))
}

// admit lets the request in; one that has to be claimed gets its place at the
// service afterwards, so that its wait keeps nobody out.
func (r *runner) admit(ask Ask) (*Pass, error) {
	if ask.Idempotent {
		return r.router.Admit(ask)
	}
	return r.router.AdmitLimits(ask)
}

func askOf(ctx context.Context, c *call) Ask {
	a := Ask{
		Service:      c.service.ID,
		Account:      c.account.ID,
		Priority:     c.priority,
		Deadline:     c.deadline,
		PrefixHashes: c.prefixes(),
		Fingerprint:  printOf(c.method, string(c.service.ID), c.path, c.body),
		Idempotent:   c.repeatable,
		Cancel:       ctx.Done(),
	}
	if c.chat != nil {
		a.ExpectedOutput = c.chat.bound(c.service)
	}
	return a
}

// reserve sets the request's highest price aside.
func (r *runner) reserve(ctx context.Context, c *call) (*Hold, error) {
	ctx, span := r.tracer.Start(ctx, "reserve", trace.WithAttributes(attribute.Int64("tokens", int64(c.most))))
	defer span.End()
	if len(c.budgets) == 0 {
		return nil, errors.Trace(ErrBudget)
	}
	return r.money.Reserve(ctx, c.budgets, c.most)
}

// record claims a request that must not run twice, and notes any other. With
// an error it returns the record that stands, if there is one.
func (j *job) record(ctx context.Context) (*bbwire.Record, error) {
	j.rec = &bbwire.Record{
		Kind:    bbwire.Record_OPEN,
		Account: string(j.c.account.ID),
		Request: string(j.c.id),
		Print:   j.c.print,
		Budget:  string(j.hold.Budget),
		Holder:  string(j.hold.Holder),
		Service: string(j.c.service.ID),
		Amount:  int64(j.c.most),
		Made:    j.parts.Now().UnixMilli(),
	}
	if j.c.repeatable {
		j.ledger.Open(j.rec)
		return nil, nil
	}
	ctx, span := j.tracer.Start(ctx, "claim")
	defer span.End()
	return j.ledger.Claim(ctx, j.rec)
}

// unclaimed ends the answer of a request whose claim was refused. Where another
// claim or a bill stands, its owner is asked for the answer; else the request
// may have run, and the caller is told so.
func (j *job) unclaimed(ctx context.Context, err error, stands *bbwire.Record) {
	if !errors.Is(err, ErrClaimed) || stands == nil {
		j.refuse(ctx, err)
		return
	}
	owner, perr := bbjournal.ParseOwner(stands.Owner)
	if perr == nil && j.elsewhere != nil && j.elsewhere(ctx, j.c, owner.Instance, j.out) == nil {
		return
	}
	detail := "another copy of the request was sent and its end was not seen"
	if stands.Kind == bbwire.Record_BILL {
		detail = fmt.Sprintf("the request ran and was billed %d tokens; its answer is no longer kept", stands.Amount)
	}
	j.fail(errors.Annotate(err, detail), bbunit.OutcomeUnknown)
}

// attempts tries targets until one answers or nothing more may be tried.
func (j *job) attempts(ctx context.Context) error {
	var state RetryState
	var last error
	at, err := j.router.Pick(j.ask, nil)
	for n := 0; ; n++ {
		if err != nil {
			if j.sent && last != nil && !errors.Is(err, ErrPoisoned) {
				return last // what happened to it says more than that no other is left
			}
			return err
		}
		end := j.attempt(ctx, at, n, state.Reconnected)
		at.Done(end)
		j.sent, last = j.sent || end.Sent, end.Err
		if end.Err == nil || errors.Is(end.Err, errAnswered) {
			return end.Err
		}
		j.log(at, n, end)
		if ctx.Err() != nil {
			return errors.Annotate(context.Cause(ctx), end.Err.Error())
		}
		if j.relay.many && len(j.relay.text) > 0 {
			return end.Err // several choices cannot be gone on with elsewhere
		}
		switch j.router.Retry(&state, j.ask, end) {
		case DecisionStop:
			return end.Err
		case DecisionFresh:
			at, err = j.router.PickSame(j.ask, at.Target.ID)
		case DecisionElsewhere:
			j.tried = append(j.tried, at.Target.ID)
			at, err = j.router.Pick(j.ask, j.tried)
		}
		j.relay.restart()
	}
}

// attempt runs the request at one target, over a fresh connection if told so.
func (j *job) attempt(ctx context.Context, at *Attempt, n int, fresh bool) AttemptEnd {
	ctx, span := j.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", string(at.Target.ID)), attribute.Int("attempt", n)))
	defer span.End()
	j.last = at.Target.ID
	var end AttemptEnd
	if j.c.chat != nil {
		end = j.engines.run(ctx, j.c, at, n, fresh, &j.relay, j.out)
	} else {
		end = j.plains.run(ctx, j.c, at, n, fresh, j.out, j.late())
	}
	if end.Err != nil {
		span.RecordError(end.Err)
	}
	return end
}

func (j *job) log(at *Attempt, n int, end AttemptEnd) {
	j.parts.Log.WithFields(map[string]any{
		"event": "attempt", "request": j.c.id, "account": j.c.account.ID, "target": at.Target.ID,
		"attempt": n, "sent": end.Sent, "crashed": end.Crashed,
	}).WithError(end.Err).Warn("attempt failed")
}

// finish bills the request and ends its answer.
func (j *job) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		j.bill(bbwire.Record_BILL, j.c.price(j.relay.total()))
		j.out.Finish(bbunit.OutcomeDone)
	case errors.Is(err, errAnswered):
		j.bill(bbwire.Record_BILL, 0)
		j.out.Finish(bbunit.OutcomeFailed)
	case !j.sent:
		j.hold.End(0)
		j.ledger.Withdraw(j.rec)
		j.refuse(ctx, err)
	case !j.c.repeatable:
		j.bill(bbwire.Record_UNKNOWN, j.c.most)
		j.fail(err, bbunit.OutcomeUnknown)
	default:
		j.bill(bbwire.Record_BILL, j.partial())
		j.fail(err, bbunit.OutcomeFailed)
	}
	if ctx.Err() != nil {
		trace.SpanFromContext(ctx).RecordError(context.Cause(ctx))
	}
}

// partial is the price of an answer that ended early: what the caller got.
func (j *job) partial() bbunit.Tokens {
	if len(j.relay.text) == 0 {
		return 0
	}
	return j.c.price(j.relay.total())
}

// bill ends the reservation and records what the request came to.
func (j *job) bill(kind bbwire.Record_Kind, amount bbunit.Tokens) {
	j.hold.End(amount)
	j.rec.Kind, j.rec.Amount, j.rec.Target = kind, int64(amount), string(j.last)
	hold := j.hold
	j.ledger.BillThen(j.rec, func(v *bbwire.Verdict) {
		if v.Kind == bbwire.Verdict_REPEATED || v.Kind == bbwire.Verdict_MISMATCH {
			hold.Refund(amount)
		}
	})
}

// refuse ends the answer of a request of which this copy did not run.
func (j *job) refuse(ctx context.Context, err error) {
	if errors.Is(err, ErrReused) {
		j.fail(err, bbunit.OutcomeNotRun) // this body is another request
		return
	}
	j.fail(err, j.unrun(ctx, j.c, j.rec.GetOwner()))
}

// fail ends the answer with what is known of the request.
func (j *job) fail(err error, o bbunit.Outcome) {
	r := refuse(err, o)
	j.parts.Log.WithFields(map[string]any{
		"event": "refused", "request": j.c.id, "account": j.c.account.ID, "service": j.c.service.ID,
		"status": r.Status, "outcome": o.String(), "retry": r.Retry.Seconds(),
	}).WithError(err).Info("request refused")
	r.end(j.c.id, j.out, j.relay.begun)
}

// end writes the refusal: as the answer, or as the last event of a stream that
// has begun.
func (r refusal) end(id bbunit.RequestID, out *Answer, started bool) {
	body := r.body(id)
	if started {
		body = fmt.Appendf(nil, "event: error\ndata: {\"error\":%s}\n\n", body)
	} else {
		begin(out, r.Status, "application/problem+json", r.fields())
	}
	// The caller may be gone; the outcome is recorded all the same.
	_ = out.Write(context.Background(), body)
	out.Finish(r.Outcome)
}

// fields are the header fields of a refusal.
func (r refusal) fields() []Field {
	var out []Field
	if r.Retry > 0 {
		out = append(out, Field{"Retry-After", strconv.FormatInt(retrySeconds(r.Retry), 10)})
	}
	if r.Status == http.StatusUnauthorized {
		out = append(out, Field{"WWW-Authenticate", "Bearer"})
	}
	return out
}
