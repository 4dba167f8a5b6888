package bbport

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Sentinel errors of orders to targets.
const (
	// ErrSuperseded means that a later order took the place of this one.
	ErrSuperseded = bbroute.ErrSuperseded
	// ErrFence means that the target has seen a higher fencing number.
	ErrFence = errors.ConstError("stale fencing number")
	// ErrOrder means that the target refused the order or could not be reached.
	ErrOrder = errors.ConstError("order not acknowledged")
)

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Fence  bbunit.Fence `json:"fence"`
	Action string       `json:"action"`
	Model  string       `json:"model"`
}

// orderSender sends one order to a target. It blocks up to the deadline and
// returns nil once the target acknowledged, ErrFence or ErrOrder.
type orderSender interface {
	Send(t bbticket.Target, i bbroute.Intent, deadline time.Time) error
}

// Orders gives targets their orders: to load a model, an adapter or a version,
// or to change their role. The last order to a target stands in the key-value
// service, and that one is sent.
type Orders struct {
	p      Parts
	sender orderSender
	sleep  func(ctx context.Context, d time.Duration) error
	failed metrics.Counter
	resent map[bbunit.TargetID]*bbroute.Resender // of the home's goroutine
}

// NewOrders returns the orders of an instance, and a function that stops it.
// The home of the orders in each failure domain sends again what must be.
func NewOrders(p Parts) (*Orders, func()) {
	o := newOrders(p, &httpOrders{client: fasthttp.Client{MaxConnsPerHost: 2, MaxResponseBodySize: orderAnswerMost}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for o.sleep(ctx, reissueEvery) == nil {
			o.reissue(ctx)
		}
	})
	return o, func() {
		cancel()
		wg.Wait()
	}
}

func newOrders(p Parts, sender orderSender) *Orders {
	return &Orders{
		p: p, sender: sender, sleep: sleepFor,
		resent: make(map[bbunit.TargetID]*bbroute.Resender),
		failed: metrics.GetOrRegisterCounter("order.failed", p.Metrics),
	}
}

// Order gives the target an order and returns its fencing number. It blocks
// until the target acknowledged it, a later order took its place
// (ErrSuperseded), the target saw a higher number (ErrFence) or ctx ended; the
// order then stands, and is sent on.
func (o *Orders) Order(ctx context.Context, t bbticket.Target, action, model string) (bbunit.Fence, error) {
	order := bbroute.NewOrder(action, model, string(o.p.Opts.Self.ID())+"/"+uuid.NewString())
	for ctx.Err() == nil {
		began := o.p.Now()
		top, rev, err := o.read(ctx, t.ID)
		if err != nil {
			return order.Intent.Fence, errors.Trace(err)
		}
		done, err := o.step(ctx, t, order, top, rev, began)
		if done || err != nil {
			return order.Intent.Fence, err
		}
	}
	return order.Intent.Fence, errors.Annotate(ErrOrder, ctx.Err().Error())
}

// step does the order's next step and tells whether it is over.
func (o *Orders) step(ctx context.Context, t bbticket.Target, order *bbroute.Order, top bbroute.Intent, rev bbstore.Revision, began time.Time) (bool, error) {
	switch order.OnRead(o.p.Now(), top, t.Fence, orderCall) {
	case bbroute.OrderStepWrite:
		err := o.write(ctx, t.ID, order.Intent, rev)
		if err == nil {
			order.OnWritten(o.p.Now(), orderCall)
		}
		return false, maybeWritten(err)
	case bbroute.OrderStepMark:
		return false, maybeWritten(o.write(ctx, t.ID, order.Intent, rev))
	case bbroute.OrderStepWait:
		_ = o.sleep(ctx, order.WaitUntil.Sub(o.p.Now()))
	case bbroute.OrderStepSend:
		err := o.sender.Send(t, order.Intent, began.Add(orderCall))
		if errors.Is(err, ErrFence) {
			return true, errors.Trace(err)
		}
		if err == nil {
			order.OnAcknowledged()
			return false, nil
		}
		o.failed.Inc(1)
		o.p.Log.WithError(err).WithField("target", t.ID).Warn("order not acknowledged")
		_ = o.sleep(ctx, orderPause)
	case bbroute.OrderStepSuperseded:
		return true, errors.Trace(ErrSuperseded)
	case bbroute.OrderStepEnd:
		return true, nil
	}
	return false, nil
}

// maybeWritten passes over the errors after which a reading tells what stands.
func maybeWritten(err error) error {
	if errors.Is(err, bbstore.ErrConflict) || errors.Is(err, bbstore.ErrUnknown) {
		return nil
	}
	return errors.Trace(err)
}

// reissue sends last orders again where needed, if this instance is home to the
// orders of its failure domain. It reads all of them with one call.
func (o *Orders) reissue(ctx context.Context) {
	home, ok := o.p.Board.View.Load().Home("orders", bbunit.DomainID(o.p.Opts.Self.Domain))
	if !ok || home.ID != o.p.Opts.Self.ID() {
		return
	}
	began := o.p.Now()
	entries, _, err := o.p.Store.List(ctx, fencePrefix)
	if err != nil {
		o.p.Log.WithError(err).Warn("orders not read")
		return
	}
	state := o.p.Board.State.Load()
	for _, e := range entries {
		id := bbunit.TargetID(strings.TrimPrefix(e.Key, fencePrefix))
		t, ok := state.Targets[id]
		if !ok || t.Object.Deleted || string(t.Object.Domain) != o.p.Opts.Self.Domain {
			continue
		}
		o.resend(ctx, t.Object, e, began)
	}
}

// resend sends the order that was read at began, and marks it done. What could
// not be sent in the time of a call is left for the next round.
func (o *Orders) resend(ctx context.Context, t bbticket.Target, e bbstore.Entry, began time.Time) {
	var top bbroute.Intent
	if err := json.Unmarshal(e.Value, &top); err != nil {
		o.p.Log.WithError(err).WithField("target", t.ID).Error("order unreadable")
		return
	}
	again, ok := o.resent[t.ID]
	if !ok {
		again = &bbroute.Resender{}
		o.resent[t.ID] = again
	}
	now := o.p.Now()
	if !again.ShouldSend(now, top, t.Fence, orderCall) || now.After(began.Add(orderCall)) {
		return
	}
	if err := o.sender.Send(t, top, began.Add(orderCall)); err != nil {
		o.failed.Inc(1)
		o.p.Log.WithError(err).WithField("target", t.ID).Warn("order not acknowledged")
		return
	}
	if !top.Done {
		top.Done = true
		_ = o.write(ctx, t.ID, top, e.Rev) // a conflict means that a later order counts
	}
}

// read returns the last order to the target, an empty one when there is none.
func (o *Orders) read(ctx context.Context, id bbunit.TargetID) (bbroute.Intent, bbstore.Revision, error) {
	var top bbroute.Intent
	e, err := o.p.Store.Get(ctx, fencePrefix+string(id))
	if err != nil || e.Rev == 0 {
		return top, 0, errors.Trace(err)
	}
	return top, e.Rev, errors.Annotatef(json.Unmarshal(e.Value, &top), "order to %s", id)
}

func (o *Orders) write(ctx context.Context, id bbunit.TargetID, i bbroute.Intent, prev bbstore.Revision) error {
	b, err := json.Marshal(i)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = o.p.Store.CAS(ctx, fencePrefix+string(id), b, prev, 0)
	return errors.Trace(err)
}

// httpOrders sends orders by POST /v1/orders.
type httpOrders struct {
	client fasthttp.Client
}

// Send posts the order and waits for the answer.
func (h *httpOrders) Send(t bbticket.Target, i bbroute.Intent, deadline time.Time) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	b, err := json.Marshal(orderBody{Fence: i.Fence, Action: i.Action, Model: i.Model})
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + t.Address + "/v1/orders")
	req.SetBody(b)
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.WithType(err, ErrOrder)
	}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusConflict:
		return errors.Annotatef(ErrFence, "%d at %s", i.Fence, t.ID)
	case code < 200 || code > 299:
		return errors.Annotatef(ErrOrder, "status %d", code)
	}
	return nil
}

// sleepFor waits for the time or until ctx ends.
func sleepFor(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
