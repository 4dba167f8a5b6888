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
	deps         Deps
	router       *Router
	budgets      BudgetReserver
	journal      Journal
	engineClient *engineClient
	plainClient  *plainClient
	owner        string
	tracer       trace.Tracer
	// outcomeIfNotRun is what may be said of a request of which this copy did not run.
	outcomeIfNotRun func(ctx context.Context, c *clientRequest, owner string) bbunit.Outcome
	// rejoin attaches to the answer of a request anew, to lead it.
	rejoin func(c *clientRequest) (*Answer, bool, error)
	// fetchFromOwner has the instance that owns a claim bring the answer; errHome
	// when it cannot.
	fetchFromOwner func(ctx context.Context, c *clientRequest, to bbunit.InstanceID, out *Answer) error
}

// execution is one request under way.
type execution struct {
	*runner
	req          *clientRequest
	answer       *Answer
	reservation  *Reservation
	rec          *bbwire.Record
	routeReq     RouteRequest
	relay        chatRelay
	triedTargets []bbunit.TargetID
	lastTarget   bbunit.TargetID
	// sent tells that a byte of the request may have run somewhere.
	sent bool
	// ended is closed once the caller was told and the request recorded.
	ended chan struct{}
}

// run does the whole request and ends the answer:
//
//	admit -> reserve -> claim or open -> (place) -> attempts -> bill
//	   \________\___________\______________\__________\______-> refusal
func (r *runner) run(ctx context.Context, c *clientRequest, out *Answer) {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errors.Trace(errDeadlineExceeded))
	defer cancel()
	j := &execution{runner: r, req: c, answer: out, routeReq: newRouteRequest(ctx, c), ended: make(chan struct{})}
	defer close(j.ended)
	pass, err := r.admit(j.routeReq)
	if err != nil {
		j.refuse(ctx, err)
		return
	}
	defer pass.Done()
	if j.reservation, err = r.reserve(ctx, c); err != nil {
		j.refuse(ctx, err)
		return
	}
	if stands, err := j.recordStart(ctx); err != nil {
		j.reservation.Commit(0)
		j.handleClaimRefused(ctx, err, stands)
		return
	}
	if !c.idempotent {
		if err := r.router.AcquireSlot(j.routeReq, pass); err != nil {
			j.finish(ctx, err)
			return
		}
	}
	j.finish(ctx, j.runAttempts(ctx))
}

// admit lets the request in; one that has to be claimed gets its place at the
// service afterwards, so that its wait keeps nobody out.
func (r *runner) admit(ask RouteRequest) (*Admission, error) {
	if ask.Idempotent {
		return r.router.Admit(ask)
	}
	return r.router.AdmitWithoutSlot(ask)
}

func newRouteRequest(ctx context.Context, c *clientRequest) RouteRequest {
	a := RouteRequest{
		Service:      c.service.ID,
		Account:      c.account.ID,
		Priority:     c.priority,
		Deadline:     c.deadline,
		PrefixHashes: c.prefixHashes(),
		Fingerprint:  requestFingerprint(c.method, string(c.service.ID), c.path, c.body),
		Idempotent:   c.idempotent,
		Cancel:       ctx.Done(),
	}
	if c.chat != nil {
		a.ExpectedOutput = c.chat.outputLimit(c.service)
	}
	return a
}

// reserve sets the request's highest price aside.
func (r *runner) reserve(ctx context.Context, c *clientRequest) (*Reservation, error) {
	ctx, span := r.tracer.Start(ctx, "reserve", trace.WithAttributes(attribute.Int64("tokens", int64(c.maxPrice))))
	defer span.End()
	if len(c.budgets) == 0 {
		return nil, errors.Trace(ErrBudgetExhausted)
	}
	return r.budgets.Reserve(ctx, c.budgets, c.maxPrice)
}

// recordStart claims a request that must not run twice, and notes any other. With
// an error it returns the record that stands, if there is one.
func (j *execution) recordStart(ctx context.Context) (*bbwire.Record, error) {
	j.rec = &bbwire.Record{
		Kind:    bbwire.Record_OPEN,
		Account: string(j.req.account.ID),
		Request: string(j.req.id),
		Print:   j.req.fingerprint,
		Budget:  string(j.reservation.Budget),
		Holder:  string(j.reservation.Holder),
		Service: string(j.req.service.ID),
		Amount:  int64(j.req.maxPrice),
		Made:    j.deps.Now().UnixMilli(),
	}
	if j.req.idempotent {
		j.journal.Open(j.rec)
		return nil, nil
	}
	ctx, span := j.tracer.Start(ctx, "claim")
	defer span.End()
	return j.journal.Claim(ctx, j.rec)
}

// handleClaimRefused ends the answer of a request whose claim was refused. Where another
// claim or a bill stands, its owner is asked for the answer; else the request
// may have run, and the caller is told so.
func (j *execution) handleClaimRefused(ctx context.Context, err error, stands *bbwire.Record) {
	if !errors.Is(err, ErrAlreadyClaimed) || stands == nil {
		j.refuse(ctx, err)
		return
	}
	owner, perr := bbjournal.ParseOwner(stands.Owner)
	if perr == nil && j.fetchFromOwner != nil && j.fetchFromOwner(ctx, j.req, owner.Instance, j.answer) == nil {
		return
	}
	detail := "another copy of the request was sent and its end was not seen"
	if stands.Kind == bbwire.Record_BILL {
		detail = fmt.Sprintf("the request ran and was billed %d tokens; its answer is no longer kept", stands.Amount)
	}
	j.fail(errors.Annotate(err, detail), bbunit.OutcomeUnknown)
}

// runAttempts tries targets until one answers or nothing more may be tried.
func (j *execution) runAttempts(ctx context.Context) error {
	var state RetryState
	var last error
	at, err := j.router.Pick(j.routeReq, nil)
	for n := 0; ; n++ {
		if err != nil {
			if j.sent && last != nil && !errors.Is(err, ErrPoisoned) {
				return last // what happened to it says more than that no other is left
			}
			return err
		}
		end := j.runAttempt(ctx, at, n, state.Reconnected)
		at.Done(end)
		j.sent, last = j.sent || end.Sent, end.Err
		if end.Err == nil || errors.Is(end.Err, errPassedThrough) {
			return end.Err
		}
		j.logFailedAttempt(at, n, end)
		if ctx.Err() != nil {
			return errors.Annotate(context.Cause(ctx), end.Err.Error())
		}
		if j.relay.multipleChoices && len(j.relay.text) > 0 {
			return end.Err // several choices cannot be gone on with elsewhere
		}
		switch j.router.Retry(&state, j.routeReq, end) {
		case DecisionStop:
			return end.Err
		case DecisionRetrySame:
			at, err = j.router.PickSame(j.routeReq, at.Target.ID)
		case DecisionRetryOther:
			j.triedTargets = append(j.triedTargets, at.Target.ID)
			at, err = j.router.Pick(j.routeReq, j.triedTargets)
		}
		j.relay.startNextAttempt()
	}
}

// runAttempt runs the request at one target, over a fresh connection if told so.
func (j *execution) runAttempt(ctx context.Context, at *Attempt, n int, fresh bool) AttemptResult {
	ctx, span := j.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", string(at.Target.ID)), attribute.Int("attempt", n)))
	defer span.End()
	j.lastTarget = at.Target.ID
	var end AttemptResult
	if j.req.chat != nil {
		end = j.engineClient.run(ctx, j.req, at, n, fresh, &j.relay, j.answer)
	} else {
		end = j.plainClient.run(ctx, j.req, at, n, fresh, j.answer, j.lateAnswerHandler())
	}
	if end.Err != nil {
		span.RecordError(end.Err)
	}
	return end
}

func (j *execution) logFailedAttempt(at *Attempt, n int, end AttemptResult) {
	j.deps.Log.WithFields(map[string]any{
		"event": "attempt", "request": j.req.id, "account": j.req.account.ID, "target": at.Target.ID,
		"attempt": n, "sent": end.Sent, "crashed": end.Crashed,
	}).WithError(end.Err).Warn("attempt failed")
}

// finish bills the request and ends its answer.
func (j *execution) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		j.bill(bbwire.Record_BILL, j.req.price(j.relay.totalUsage()))
		j.answer.Finish(bbunit.OutcomeDone)
	case errors.Is(err, errPassedThrough):
		j.bill(bbwire.Record_BILL, 0)
		j.answer.Finish(bbunit.OutcomeFailed)
	case !j.sent:
		j.reservation.Commit(0)
		j.journal.Withdraw(j.rec)
		j.refuse(ctx, err)
	case !j.req.idempotent:
		j.bill(bbwire.Record_UNKNOWN, j.req.maxPrice)
		j.fail(err, bbunit.OutcomeUnknown)
	default:
		j.bill(bbwire.Record_BILL, j.partialPrice())
		j.fail(err, bbunit.OutcomeFailed)
	}
	if ctx.Err() != nil {
		trace.SpanFromContext(ctx).RecordError(context.Cause(ctx))
	}
}

// partialPrice is the price of an answer that ended early: what the caller got.
func (j *execution) partialPrice() bbunit.Tokens {
	if len(j.relay.text) == 0 {
		return 0
	}
	return j.req.price(j.relay.totalUsage())
}

// bill ends the reservation and records what the request came to.
func (j *execution) bill(kind bbwire.Record_Kind, amount bbunit.Tokens) {
	j.reservation.Commit(amount)
	j.rec.Kind, j.rec.Amount, j.rec.Target = kind, int64(amount), string(j.lastTarget)
	hold := j.reservation
	j.journal.BillThen(j.rec, func(v *bbwire.Verdict) {
		if v.Kind == bbwire.Verdict_REPEATED || v.Kind == bbwire.Verdict_MISMATCH {
			hold.Refund(amount)
		}
	})
}

// refuse ends the answer of a request of which this copy did not run.
func (j *execution) refuse(ctx context.Context, err error) {
	if errors.Is(err, ErrRequestIDReused) {
		j.fail(err, bbunit.OutcomeNotRun) // this body is another request
		return
	}
	j.fail(err, j.outcomeIfNotRun(ctx, j.req, j.rec.GetOwner()))
}

// fail ends the answer with what is known of the request.
func (j *execution) fail(err error, o bbunit.Outcome) {
	r := newRefusalResponse(err, o)
	j.deps.Log.WithFields(map[string]any{
		"event": "refused", "request": j.req.id, "account": j.req.account.ID, "service": j.req.service.ID,
		"status": r.Status, "outcome": o.String(), "retry": r.RetryAfter.Seconds(),
	}).WithError(err).Info("request refused")
	r.writeTo(j.req.id, j.answer, j.relay.headSent)
}

// writeTo writes the refusal: as the answer, or as the last event of a stream that
// has begun.
func (r refusalResponse) writeTo(id bbunit.RequestID, out *Answer, started bool) {
	body := r.body(id)
	if started {
		body = fmt.Appendf(nil, "event: error\ndata: {\"error\":%s}\n\n", body)
	} else {
		beginAnswer(out, r.Status, "application/problem+json", r.headerFields())
	}
	// The caller may be gone; the outcome is recorded all the same.
	_ = out.Write(context.Background(), body)
	out.Finish(r.Outcome)
}

// headerFields are the header fields of a refusal.
func (r refusalResponse) headerFields() []HeaderField {
	var out []HeaderField
	if r.RetryAfter > 0 {
		out = append(out, HeaderField{"Retry-After", strconv.FormatInt(retryAfterSeconds(r.RetryAfter), 10)})
	}
	if r.Status == http.StatusUnauthorized {
		out = append(out, HeaderField{"WWW-Authenticate", "Bearer"})
	}
	return out
}
