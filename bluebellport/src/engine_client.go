package bbport

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbunit"
)

// engineClient sends chat completions to model engines.
type engineClient struct {
	conns           *targetConns
	owner           string // this incarnation of the instance; part of the attempts' ids
	silenceTimeout  time.Duration
	runInBackground func(func()) // for clean-up that the request does not wait for
}

// engineAttempt is one attempt at one engine.
type engineAttempt struct {
	address         string
	requestID       string // sent as X-Request-Id
	freshConn       bool   // uses a new connection
	started         time.Time
	timeToFirstByte time.Duration
	sent            bool
	// received counts the response head and events, for watchForSilence.
	received atomic.Int64
}

// run sends the chat to the target and relays the response to answer. If a
// stream breaks off, it first tries to resume it at the same engine. A request
// that ends at its deadline or because all callers left is cancelled at the
// engine.
func (ec *engineClient) run(ctx context.Context, req *clientRequest, attempt *Attempt, n int, fresh bool, relay *chatRelay, answer *Answer) AttemptResult {
	ea := &engineAttempt{address: attempt.Target.Address, requestID: req.attemptID(ec.owner, n), freshConn: fresh, started: time.Now()}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		ec.conns.heldBodies.Add(-relay.heldText)
		relay.heldText = 0
	}()
	go ec.watchForSilence(attemptCtx, cancel, ea)
	err := ec.sendChat(attemptCtx, req, ea, relay, answer)
	if err != nil && ea.sent && ctx.Err() == nil && req.chat.Stream && !isFinalError(err) {
		err = ec.resume(ctx, req, ea, relay, answer, err)
	}
	if ea.sent && err != nil && (ctx.Err() != nil || errors.Is(err, errDeadlineExceeded)) {
		ec.runInBackground(func() { ec.cancel(ea) })
		err = errors.WithType(err, ErrCancelled)
	}
	return AttemptResult{
		Err:             err,
		Sent:            ea.sent,
		Crashed:         errors.Is(err, errConnBroken) && ea.sent && ec.hasCrashed(ctx, ea),
		ConnReused:      !fresh,
		TimeToFirstByte: ea.timeToFirstByte,
		Total:           time.Since(ea.started),
		OutputTokens:    relay.attemptTokens,
	}
}

// isFinalError reports whether the engine has nothing more to send for the
// request after err, so that resuming is pointless.
func isFinalError(err error) bool {
	return errors.Is(err, ErrLeaving) || errors.Is(err, ErrBusy) || errors.Is(err, errPassedThrough)
}

// errPassedThrough means that the target's error response was passed on to the
// caller.
const errPassedThrough = errors.ConstError("target answered with an error")

// sendChat sends the chat and relays the answer. After a failed attempt the
// engine is asked to continue the text that was relayed so far.
func (ec *engineClient) sendChat(ctx context.Context, req *clientRequest, ea *engineAttempt, relay *chatRelay, answer *Answer) error {
	body, err := req.chat.engineBody(req.service, string(relay.text), relay.earlierTokens)
	if err != nil {
		return err
	}
	httpReq := fasthttp.AcquireRequest()
	httpReq.Header.SetMethod(http.MethodPost)
	httpReq.SetRequestURI("http://" + ea.address + "/v1/chat/completions")
	httpReq.Header.SetContentType("application/json")
	httpReq.Header.Set("X-Request-Id", ea.requestID)
	httpReq.Header.Set("X-Request-Priority", strconv.Itoa(int(req.priority)))
	httpReq.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(time.Until(req.deadline).Milliseconds(), 10))
	httpReq.SetBodyRaw(body)
	resp, releaseResp, sent, err := ec.conns.send(ctx, ea.address, ea.freshConn, httpReq, req.deadline)
	ea.sent = sent
	if err != nil {
		return classifyConnError(err)
	}
	defer releaseResp()
	ea.received.Add(1)
	if err := targetRefusal(resp); err != nil {
		ea.sent = false
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		if relay.headSent {
			return errors.WithType(errors.Errorf("target answered %d within a stream", resp.StatusCode()), errTargetFailed)
		}
		return ec.passThroughError(ctx, resp, answer)
	}
	if !req.chat.Stream {
		return ec.relayWhole(ctx, resp, ea, relay, answer)
	}
	return ec.relayStream(ctx, resp, req, ea, relay, answer)
}

// targetRefusal returns ErrLeaving or ErrBusy if the target refused the request
// without running it.
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

// passThroughError relays the target's error response to the caller. A server
// error (5xx) is returned as errTargetFailed instead, so that another target can
// be tried.
func (ec *engineClient) passThroughError(ctx context.Context, resp *fasthttp.Response, answer *Answer) error {
	if resp.StatusCode() >= http.StatusInternalServerError {
		return errors.WithType(errors.Errorf("target answered %d", resp.StatusCode()), errTargetFailed)
	}
	b, release, err := ec.conns.readBody(resp)
	defer release()
	if err != nil {
		return classifyConnError(err)
	}
	beginAnswer(answer, resp.StatusCode(), string(resp.Header.ContentType()), nil)
	if err := answer.Write(ctx, b); err != nil {
		return err
	}
	return errors.Trace(errPassedThrough)
}

// classifyConnError marks an error of the connection to a target as
// errConnBroken or errDeadlineExceeded, unless it is already classified.
func classifyConnError(err error) error {
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errTargetSilent), errors.Is(err, errOutOfStep), errors.Is(err, errTargetFailed):
		return err
	case errors.Is(err, fasthttp.ErrTimeout):
		return errors.WithType(err, errDeadlineExceeded)
	}
	return errors.WithType(errors.WithType(err, errTargetText), errConnBroken)
}

// unusableAnswer returns an errTargetFailed for an answer that can't be relayed, for a reason that
// may quote it.
func unusableAnswer(reason error) error {
	return errors.WithType(errors.WithType(reason, errTargetText), errTargetFailed)
}

// beginAnswer sets the status, the content type and further header fields of an
// answer.
func beginAnswer(answer *Answer, status int, contentType string, fields []HeaderField) {
	answer.SetHead(&ResponseHead{Status: status, Fields: append([]HeaderField{{"Content-Type", contentType}}, fields...)})
}

// relayWhole relays an answer that is not streamed.
func (ec *engineClient) relayWhole(ctx context.Context, resp *fasthttp.Response, ea *engineAttempt, relay *chatRelay, answer *Answer) error {
	b, release, err := ec.conns.readBody(resp)
	defer release()
	if err != nil {
		return classifyConnError(err)
	}
	ea.timeToFirstByte = time.Since(ea.started)
	var response struct {
		Usage *tokenUsage `json:"usage"`
	}
	if err := json.Unmarshal(b, &response); err != nil {
		return unusableAnswer(errors.Annotate(err, "answer"))
	}
	relay.usage = response.Usage
	if response.Usage != nil {
		relay.attemptTokens = response.Usage.Completion
	}
	beginAnswer(answer, http.StatusOK, string(resp.Header.ContentType()), nil)
	return answer.Write(ctx, b)
}

// relayStream relays server-sent events until [DONE]. An answer of another type, and an
// end before any choice has finished, are an errTargetFailed: they do not belong to the
// stream.
func (ec *engineClient) relayStream(ctx context.Context, resp *fasthttp.Response, req *clientRequest, ea *engineAttempt, relay *chatRelay, answer *Answer) error {
	if contentType := string(resp.Header.ContentType()); !isEventStream(contentType) {
		return unusableAnswer(errors.Errorf("target answered with %.40q, not with a stream", contentType))
	}
	events := newSSEReader(resp.BodyStream())
	for {
		event, err := events.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("stream ended before [DONE]")
			}
			return classifyConnError(err)
		}
		if ea.timeToFirstByte == 0 {
			ea.timeToFirstByte = time.Since(ea.started)
		}
		ea.received.Add(1)
		if event.isDone() && !relay.finished {
			return errors.WithType(errors.New("stream ended without a finish reason"), errTargetFailed)
		}
		if event.isDone() {
			return answer.Write(ctx, []byte("data: [DONE]\n\n"))
		}
		data, err := relay.process(event, req.chat.StreamOptions.IncludeUsage)
		if err != nil {
			return err
		}
		more := int64(cap(relay.text)) - relay.heldText
		relay.heldText += more
		if err := ec.conns.hold(more); err != nil {
			return err
		}
		if data != nil {
			if !relay.headSent {
				beginAnswer(answer, http.StatusOK, "text/event-stream", nil)
				relay.headSent = true
			}
			if err := answer.Write(ctx, fmt.Appendf(nil, "data: %s\n\n", data)); err != nil {
				return err
			}
		}
	}
}

// isEventStream reports whether a content type is that of server-sent events.
func isEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// resume continues a broken stream after the last event received, over new
// connections, at most maxResumesPerEngine times. It returns the error first,
// which broke the stream, if the engine cannot resume it.
func (ec *engineClient) resume(ctx context.Context, req *clientRequest, ea *engineAttempt, relay *chatRelay, answer *Answer, first error) error {
	for range maxResumesPerEngine {
		attemptCtx, cancel := context.WithCancelCause(ctx)
		go ec.watchForSilence(attemptCtx, cancel, ea)
		lastEvent := relay.lastEvent
		err := ec.resumeOnce(attemptCtx, req, ea, relay, answer)
		cancel(nil)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || (errors.Is(err, errNotResumable) && relay.lastEvent == lastEvent) {
			return first
		}
	}
	return first
}

// errNotResumable means that the engine cannot resume the request's stream.
const errNotResumable = errors.ConstError("stream cannot be resumed")

// resumeOnce requests the events after the last one received.
func (ec *engineClient) resumeOnce(ctx context.Context, req *clientRequest, ea *engineAttempt, relay *chatRelay, answer *Answer) error {
	httpReq := fasthttp.AcquireRequest()
	httpReq.SetRequestURI(fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", ea.address, ea.requestID, relay.lastEvent))
	resp, releaseResp, _, err := ec.conns.send(ctx, ea.address, true, httpReq, req.deadline)
	if err != nil {
		return errors.WithType(err, errNotResumable)
	}
	defer releaseResp()
	if resp.StatusCode() != http.StatusOK {
		return errors.Trace(errNotResumable)
	}
	return ec.relayStream(ctx, resp, req, ea, relay, answer)
}

// engineStatus is an engine's report on one request.
type engineStatus struct {
	State string     `json:"state"`
	Usage tokenUsage `json:"usage"`
}

// ended reports whether the engine no longer works on the request.
func (s engineStatus) ended() bool { return s.State != "running" && s.State != "waiting" }

// probe asks the engine for the request's status over a new connection. The
// error is NotFound if the engine does not know the request.
func (ec *engineClient) probe(ctx context.Context, ea *engineAttempt) (engineStatus, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + ea.address + "/v1/requests/" + ea.requestID)
	resp, releaseResp, _, err := ec.conns.send(ctx, ea.address, true, req, time.Now().Add(targetProbeTimeout))
	if err != nil {
		return engineStatus{}, errors.Trace(err)
	}
	defer releaseResp()
	if resp.StatusCode() != http.StatusOK {
		return engineStatus{}, errors.NotFoundf("request %s", ea.requestID)
	}
	b, release, err := ec.conns.readBody(resp)
	defer release()
	if err != nil {
		return engineStatus{}, errors.Trace(err)
	}
	var status engineStatus
	return status, errors.Trace(json.Unmarshal(b, &status))
}

// hasCrashed reports whether the engine refuses connections, or no longer knows
// a request that it had begun to answer, because it restarted.
func (ec *engineClient) hasCrashed(ctx context.Context, ea *engineAttempt) bool {
	_, err := ec.probe(ctx, ea)
	return errors.Is(err, errNotSent) || errors.Is(err, errors.NotFound) && ea.received.Load() > 0
}

// watchForSilence cancels the attempt with errTargetSilent when nothing arrives
// on its connection although the engine has ended the request, has generated
// more tokens, or cannot be asked. A request that waits in the engine's queue is
// left alone.
func (ec *engineClient) watchForSilence(ctx context.Context, cancel context.CancelCauseFunc, ea *engineAttempt) {
	tick := time.NewTicker(ec.silenceTimeout)
	defer tick.Stop()
	lastReceived, lastGenerated := ea.received.Load(), bbunit.Tokens(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if received := ea.received.Load(); received != lastReceived {
			lastReceived, lastGenerated = received, -1
			continue
		}
		status, err := ec.probe(ctx, ea)
		if ea.received.Load() != lastReceived || ctx.Err() != nil {
			continue
		}
		generating := lastGenerated >= 0 && status.Usage.Completion > lastGenerated && ea.timeToFirstByte > 0
		if err != nil || status.ended() || generating {
			cancel(errTargetSilent)
			return
		}
		lastGenerated = status.Usage.Completion
	}
}

// cancel cancels the request at the engine. Errors are ignored: the engine then
// generates an answer that nobody reads.
func (ec *engineClient) cancel(ea *engineAttempt) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodDelete)
	req.SetRequestURI("http://" + ea.address + "/v1/requests/" + ea.requestID)
	_, releaseResp, _, err := ec.conns.send(context.Background(), ea.address, true, req, time.Now().Add(cancelTimeout))
	if err == nil {
		releaseResp()
	}
}
