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
	owner        string // this incarnation of the instance, as INSTANCE/INCARNATION
	tracer       trace.Tracer
	// outcomeIfNotRun returns the outcome to report for a request that this copy
	// did not run: another copy, here or on another instance, may have.
	outcomeIfNotRun func(ctx context.Context, req *clientRequest, owner string) bbunit.Outcome
	// rejoin joins the request's answer again. The bool is set if the caller
	// leads a new answer.
	rejoin func(req *clientRequest) (*Answer, bool, error)
	// fetchFromOwner gets the answer from the instance that owns the request's
	// claim. It fails with errHomeUnavailable if that instance does not provide
	// it.
	fetchFromOwner func(ctx context.Context, req *clientRequest, to bbunit.InstanceID, answer *Answer) error
}

// execution is the state of one running request.
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
	open         *openRun
	// sent is set if a target may have run the request, in whole or in part.
	sent bool
	// ended is closed once the answer has ended and the request is recorded.
	ended chan struct{}
}

// run takes the request through all steps and ends the answer:
//
//	admit -> reserve -> claim or open -> (slot) -> attempts -> bill
//	   \________\___________\_____________\__________\______-> refusal
//
// Only a request that has to be claimed acquires its slot in a separate step.
func (r *runner) run(ctx context.Context, req *clientRequest, answer *Answer) {
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, errors.Trace(errDeadlineExceeded))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	e := &execution{runner: r, req: req, answer: answer, routeReq: newRouteRequest(ctx, req), ended: make(chan struct{})}
	defer close(e.ended)
	e.open = r.deps.Board.Stop.add(req.service.ID, r.deps.Now(), end)
	defer func() { r.deps.Board.Stop.remove(e.open, r.deps.Now(), e.tellsDuration(ctx)) }()
	admission, err := r.admit(e.routeReq)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	defer admission.Done()
	if e.reservation, err = r.reserve(ctx, req); err != nil {
		e.refuse(ctx, err)
		return
	}
	if existing, err := e.recordStart(ctx); err != nil {
		e.reservation.Commit(0)
		e.handleClaimRefused(ctx, err, existing)
		return
	}
	if !req.idempotent {
		if err := r.router.AcquireSlot(e.routeReq, admission); err != nil {
			e.finish(ctx, err)
			return
		}
	}
	e.finish(ctx, e.runAttempts(ctx))
}

// tellsDuration reports whether the request took as long as the service needs, or
// longer than its caller waited.
func (e *execution) tellsDuration(ctx context.Context) bool {
	return e.sent && (e.answer.Outcome() == bbunit.OutcomeDone || errors.Is(context.Cause(ctx), errDeadlineExceeded))
}

// admit applies the limits of account and service. A request that has to be
// claimed acquires its admission slot afterwards, so that it does not block
// others while it waits for the claim.
func (r *runner) admit(req RouteRequest) (*Admission, error) {
	if req.Idempotent {
		return r.router.Admit(req)
	}
	return r.router.AdmitWithoutSlot(req)
}

func newRouteRequest(ctx context.Context, req *clientRequest) RouteRequest {
	routeReq := RouteRequest{
		Service:      req.service.ID,
		Account:      req.account.ID,
		Priority:     req.priority,
		Deadline:     req.deadline,
		PrefixHashes: req.prefixHashes(),
		Fingerprint:  requestFingerprint(req.method, string(req.service.ID), req.path, req.body),
		Idempotent:   req.idempotent,
		Cancel:       ctx.Done(),
	}
	if req.chat != nil {
		routeReq.ExpectedOutput = req.chat.outputLimit(req.service)
	}
	return routeReq
}

// reserve reserves the request's maximum price from the account's budgets.
func (r *runner) reserve(ctx context.Context, req *clientRequest) (*Reservation, error) {
	ctx, span := r.tracer.Start(ctx, "reserve", trace.WithAttributes(attribute.Int64("tokens", int64(req.maxPrice))))
	defer span.End()
	if len(req.budgets) == 0 {
		return nil, errors.Trace(ErrBudgetExhausted)
	}
	return r.budgets.Reserve(ctx, req.budgets, req.maxPrice)
}

// recordStart claims a request that must not run twice, and backs up the
// reservation of any other. If the claim is refused it also returns the stored
// record, if any.
func (e *execution) recordStart(ctx context.Context) (*bbwire.Record, error) {
	e.rec = &bbwire.Record{
		Kind:    bbwire.Record_OPEN,
		Account: string(e.req.account.ID),
		Request: string(e.req.id),
		Print:   e.req.fingerprint,
		Budget:  string(e.reservation.Budget),
		Holder:  string(e.reservation.Holder),
		Service: string(e.req.service.ID),
		Amount:  int64(e.req.maxPrice),
		Made:    e.deps.Now().UnixMilli(),
	}
	if e.req.idempotent {
		e.journal.Open(e.rec)
		return nil, nil
	}
	ctx, span := e.tracer.Start(ctx, "claim")
	defer span.End()
	return e.journal.Claim(ctx, e.rec)
}

// handleClaimRefused ends the answer of a request that could not be claimed. If
// another claim or a bill is stored, the answer is fetched from its owner. If that
// fails the request may have run, and the outcome is unknown.
func (e *execution) handleClaimRefused(ctx context.Context, err error, existing *bbwire.Record) {
	if !errors.Is(err, ErrAlreadyClaimed) || existing == nil {
		e.refuse(ctx, err)
		return
	}
	owner, parseErr := bbjournal.ParseOwner(existing.Owner)
	if parseErr == nil && e.fetchFromOwner != nil && e.fetchFromOwner(ctx, e.req, owner.Instance, e.answer) == nil {
		return
	}
	detail := "another copy of the request was sent and its end was not seen"
	if existing.Kind == bbwire.Record_BILL {
		detail = fmt.Sprintf("the request ran and was billed %d tokens; its answer is no longer kept", existing.Amount)
	}
	e.fail(errors.Annotate(err, detail), bbunit.OutcomeUnknown)
}

// runAttempts tries targets until one answers or no further attempt is allowed.
func (e *execution) runAttempts(ctx context.Context) error {
	var state RetryState
	var last error
	attempt, err := e.router.Pick(e.routeReq, nil)
	for n := 0; ; n++ {
		if err != nil {
			if e.sent && last != nil && !errors.Is(err, ErrPoisoned) {
				return last // more informative than that no target is left
			}
			return err
		}
		if err := e.deps.Board.Stop.check(e.req.service.ID, e.req.deadline, e.deps.Now(), e.open); err != nil {
			attempt.Done(AttemptResult{Err: errors.WithType(err, ErrCancelled)})
			if e.sent && last != nil {
				return last
			}
			return err
		}
		result := e.runAttempt(ctx, attempt, n, state.Reconnected)
		attempt.Done(result)
		e.sent, last = e.sent || result.Sent, result.Err
		if result.Err == nil || errors.Is(result.Err, errPassedThrough) {
			return result.Err
		}
		e.logFailedAttempt(attempt, n, result)
		if ctx.Err() != nil {
			return errors.Annotate(context.Cause(ctx), result.Err.Error())
		}
		if e.relay.multipleChoices && len(e.relay.text) > 0 {
			return result.Err // an answer with several choices cannot be continued
		}
		switch e.router.Retry(&state, e.routeReq, result) {
		case DecisionStop:
			return result.Err
		case DecisionRetrySame:
			attempt, err = e.router.PickSame(e.routeReq, attempt.Target.ID)
		case DecisionRetryOther:
			e.triedTargets = append(e.triedTargets, attempt.Target.ID)
			attempt, err = e.router.Pick(e.routeReq, e.triedTargets)
		}
		e.relay.startNextAttempt()
	}
}

// runAttempt runs the request at one target, over a new connection if fresh is
// set.
func (e *execution) runAttempt(ctx context.Context, attempt *Attempt, n int, fresh bool) AttemptResult {
	ctx, span := e.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", string(attempt.Target.ID)), attribute.Int("attempt", n)))
	defer span.End()
	e.lastTarget = attempt.Target.ID
	var result AttemptResult
	if e.req.chat != nil {
		result = e.engineClient.run(ctx, e.req, attempt, n, fresh, &e.relay, e.answer)
	} else {
		result = e.plainClient.run(ctx, e.req, attempt, n, fresh, e.answer, e.lateAnswerHandler())
	}
	if result.Err != nil {
		span.RecordError(result.Err)
	}
	return result
}

func (e *execution) logFailedAttempt(attempt *Attempt, n int, result AttemptResult) {
	e.deps.Log.WithFields(map[string]any{
		"event": "attempt", "request": e.req.id, "account": e.req.account.ID, "target": attempt.Target.ID,
		"attempt": n, "sent": result.Sent, "crashed": result.Crashed,
	}).WithError(result.Err).Warn("attempt failed")
}

// finish bills the request and ends its answer. err is nil if a target answered,
// and errPassedThrough if the target's error response was relayed.
func (e *execution) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		e.bill(bbwire.Record_BILL, e.req.price(e.relay.totalUsage()))
		e.answer.Finish(bbunit.OutcomeDone)
	case errors.Is(err, errPassedThrough):
		e.bill(bbwire.Record_BILL, 0)
		e.answer.Finish(bbunit.OutcomeFailed)
	case !e.sent:
		e.reservation.Commit(0)
		e.journal.Withdraw(e.rec)
		e.refuse(ctx, err)
	case !e.req.idempotent:
		e.bill(bbwire.Record_UNKNOWN, e.req.maxPrice)
		e.fail(err, bbunit.OutcomeUnknown)
	default:
		e.bill(bbwire.Record_BILL, e.partialPrice())
		e.fail(err, bbunit.OutcomeFailed)
	}
	if ctx.Err() != nil {
		trace.SpanFromContext(ctx).RecordError(context.Cause(ctx))
	}
}

// partialPrice returns the price of the part of an answer that was relayed
// before the failure.
func (e *execution) partialPrice() bbunit.Tokens {
	if len(e.relay.text) == 0 {
		return 0
	}
	return e.req.price(e.relay.totalUsage())
}

// bill commits the reservation and records the final amount. If another bill is
// stored for the request, the amount is refunded.
func (e *execution) bill(kind bbwire.Record_Kind, amount bbunit.Tokens) {
	e.reservation.Commit(amount)
	e.rec.Kind, e.rec.Amount, e.rec.Target = kind, int64(amount), string(e.lastTarget)
	reservation := e.reservation
	e.journal.BillThen(e.rec, func(v *bbwire.Verdict) {
		if v.Kind == bbwire.Verdict_REPEATED || v.Kind == bbwire.Verdict_MISMATCH {
			reservation.Refund(amount)
		}
	})
}

// refuse ends the answer of a request that this copy did not run.
func (e *execution) refuse(ctx context.Context, err error) {
	if errors.Is(err, ErrRequestIDReused) {
		e.fail(err, bbunit.OutcomeNotRun) // the copies with this id have another body
		return
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		err = errors.WithType(err, errDraining) // it waited for a place, a share or a claim
	}
	e.fail(err, e.outcomeIfNotRun(ctx, e.req, e.rec.GetOwner()))
}

// fail ends the answer with problem details for err and the outcome.
func (e *execution) fail(err error, outcome bbunit.Outcome) {
	resp := newRefusalResponse(err, outcome)
	e.deps.Log.WithFields(map[string]any{
		"event": "refused", "request": e.req.id, "account": e.req.account.ID, "service": e.req.service.ID,
		"status": resp.Status, "outcome": outcome.String(), "retry": resp.RetryAfter.Seconds(),
	}).WithError(err).Info("request refused")
	resp.writeTo(e.req.id, e.answer, e.relay.headSent)
}

// writeTo ends the answer with the refusal: as the whole response, or as the
// last event of a stream whose head was already sent.
func (r refusalResponse) writeTo(id bbunit.RequestID, answer *Answer, headSent bool) {
	body := r.body(id)
	if headSent {
		body = fmt.Appendf(nil, "event: error\ndata: {\"error\":%s}\n\n", body)
	} else {
		beginAnswer(answer, r.Status, "application/problem+json", r.headerFields())
	}
	// Fails if all callers have left. The outcome is recorded in any case.
	_ = answer.Write(context.Background(), body)
	answer.Finish(r.Outcome)
}

// headerFields returns the response's Retry-After and WWW-Authenticate fields
// where they apply.
func (r refusalResponse) headerFields() []HeaderField {
	var fields []HeaderField
	if r.RetryAfter > 0 {
		fields = append(fields, HeaderField{"Retry-After", strconv.FormatInt(retryAfterSeconds(r.RetryAfter), 10)})
	}
	if r.Status == http.StatusUnauthorized {
		fields = append(fields, HeaderField{"WWW-Authenticate", "Bearer"})
	}
	return fields
}
