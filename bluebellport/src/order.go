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

	"bluebellport.example/shared/bbhead"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Sentinel errors of orders.
const (
	// ErrSuperseded means that a later order replaced this one.
	ErrSuperseded = bbroute.ErrSuperseded
	// ErrStaleFence means that the target has seen a higher fencing number.
	ErrStaleFence = errors.ConstError("stale fencing number")
	// ErrNotAcknowledged means that the target refused the order or could not be
	// reached.
	ErrNotAcknowledged = errors.ConstError("order not acknowledged")
)

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	Fence  bbunit.Fence `json:"fence"`
	Action string       `json:"action"`
	Model  string       `json:"model"`
}

// orderSender sends one order to a target. It blocks up to the deadline and
// returns nil once the target acknowledged the order, or else ErrStaleFence or
// ErrNotAcknowledged.
type orderSender interface {
	Send(t bbticket.Target, i bbroute.Intent, deadline time.Time) error
}

// OrderManager sends operators' orders to targets: to load a model, an adapter or a
// version, or to change their role. The latest order for each target is stored in the
// key-value service before it is sent, and is sent again until the target has
// it.
type OrderManager struct {
	deps      Deps
	sender    orderSender
	sleep     func(ctx context.Context, d time.Duration) error
	failed    metrics.Counter
	resenders map[bbunit.TargetID]*bbroute.Resender // used by the background goroutine only
}

// NewOrderManager returns a running OrderManager and a function that stops it. In each
// failure domain, the home instance of the orders sends unfinished ones again.
func NewOrderManager(deps Deps) (*OrderManager, func()) {
	o := newOrders(deps, newHTTPOrderSender())
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for o.sleep(ctx, orderResendInterval) == nil {
			o.resendAll(ctx)
		}
	})
	return o, func() {
		cancel()
		wg.Wait()
	}
}

func newOrders(deps Deps, sender orderSender) *OrderManager {
	return &OrderManager{
		deps: deps, sender: sender, sleep: sleepFor,
		resenders: make(map[bbunit.TargetID]*bbroute.Resender),
		failed:    metrics.GetOrRegisterCounter("order.failed", deps.Metrics),
	}
}

// Order gives the target an order and returns its fencing number. It blocks
// until the target acknowledged the order, a later order replaced it
// (ErrSuperseded), the target has seen a higher fencing number (ErrStaleFence)
// or ctx ended. In the last case the order, if stored, stays in force and is
// sent again in the background.
func (o *OrderManager) Order(ctx context.Context, t bbticket.Target, action, model string) (bbunit.Fence, error) {
	order := bbroute.NewOrder(action, model, string(o.deps.Opts.Self.ID())+"/"+uuid.NewString())
	for ctx.Err() == nil {
		readAt := o.deps.Now()
		stored, rev, err := o.readIntent(ctx, t.ID)
		if err != nil {
			return order.Intent.Fence, errors.Trace(err)
		}
		done, err := o.runStep(ctx, t, order, stored, rev, readAt)
		if done || err != nil {
			return order.Intent.Fence, err
		}
	}
	return order.Intent.Fence, errors.Annotate(ErrNotAcknowledged, ctx.Err().Error())
}

// runStep does the order's next step and reports whether the order is finished.
// The stored order was read at readAt and has revision rev.
func (o *OrderManager) runStep(ctx context.Context, t bbticket.Target, order *bbroute.Order, stored bbroute.Intent, rev bbstore.Revision, readAt time.Time) (bool, error) {
	switch order.OnRead(o.deps.Now(), stored, t.ChecksFence, orderCallTimeout) {
	case bbroute.OrderStepWrite:
		err := o.writeIntent(ctx, t.ID, order.Intent, rev)
		if err == nil {
			order.OnWritten(o.deps.Now(), orderCallTimeout)
		}
		return false, ignoreUncertainWrite(err)
	case bbroute.OrderStepMark:
		return false, ignoreUncertainWrite(o.writeIntent(ctx, t.ID, order.Intent, rev))
	case bbroute.OrderStepWait:
		_ = o.sleep(ctx, order.WaitUntil.Sub(o.deps.Now()))
	case bbroute.OrderStepSend:
		err := o.sender.Send(t, order.Intent, readAt.Add(orderCallTimeout))
		if errors.Is(err, ErrStaleFence) {
			return true, errors.Trace(err)
		}
		if err == nil {
			order.OnAcknowledged()
			return false, nil
		}
		o.failed.Inc(1)
		o.deps.Log.WithError(err).WithField("target", t.ID).Warn("order not acknowledged")
		_ = o.sleep(ctx, orderRetryDelay)
	case bbroute.OrderStepSuperseded:
		return true, errors.Trace(ErrSuperseded)
	case bbroute.OrderStepEnd:
		return true, nil
	}
	return false, nil
}

// ignoreUncertainWrite returns nil for a conflict and for a write of unknown
// outcome: the next read shows which order is stored.
func ignoreUncertainWrite(err error) error {
	if errors.Is(err, bbstore.ErrConflict) || errors.Is(err, bbstore.ErrUnknown) {
		return nil
	}
	return errors.Trace(err)
}

// resendAll sends stored orders again where needed, if this instance is the home
// of its failure domain's orders. It reads all orders with one call.
func (o *OrderManager) resendAll(ctx context.Context) {
	home, ok := o.deps.Board.View.Load().Home("orders", bbunit.DomainID(o.deps.Opts.Self.Domain))
	if !ok || home.ID != o.deps.Opts.Self.ID() {
		return
	}
	readAt := o.deps.Now()
	entries, _, err := o.deps.Store.List(ctx, orderKeyPrefix)
	if err != nil {
		o.deps.Log.WithError(err).Warn("cannot read stored orders; none are sent again in this round")
		return
	}
	state := o.deps.Board.State.Load()
	for _, e := range entries {
		id := bbunit.TargetID(strings.TrimPrefix(e.Key, orderKeyPrefix))
		t, ok := state.Targets[id]
		if !ok || t.Object.Deleted || string(t.Object.Domain) != o.deps.Opts.Self.Domain {
			continue
		}
		o.resendIfDue(ctx, t.Object, e, readAt)
	}
}

// resendIfDue sends the stored order e, which was read at readAt, and marks it
// done. If orderCallTimeout has passed since then, the order is left for the
// next round.
func (o *OrderManager) resendIfDue(ctx context.Context, t bbticket.Target, e bbstore.Entry, readAt time.Time) {
	var stored bbroute.Intent
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		o.deps.Log.WithError(err).WithField("target", t.ID).Error("order unreadable")
		return
	}
	resender, ok := o.resenders[t.ID]
	if !ok {
		resender = &bbroute.Resender{}
		o.resenders[t.ID] = resender
	}
	now := o.deps.Now()
	if !resender.ShouldSend(now, stored, t.ChecksFence, orderCallTimeout) || now.After(readAt.Add(orderCallTimeout)) {
		return
	}
	if err := o.sender.Send(t, stored, readAt.Add(orderCallTimeout)); err != nil {
		o.failed.Inc(1)
		o.deps.Log.WithError(err).WithField("target", t.ID).Warn("order not acknowledged")
		return
	}
	if !stored.Done {
		stored.Done = true
		_ = o.writeIntent(ctx, t.ID, stored, e.Rev) // a conflict means that a later order was stored
	}
}

// readIntent returns the latest order for the target, or an empty one if there
// is none.
func (o *OrderManager) readIntent(ctx context.Context, id bbunit.TargetID) (bbroute.Intent, bbstore.Revision, error) {
	var intent bbroute.Intent
	entry, err := o.deps.Store.Get(ctx, orderKeyPrefix+string(id))
	if err != nil || entry.Rev == 0 {
		return intent, 0, errors.Trace(err)
	}
	return intent, entry.Rev, errors.Annotatef(json.Unmarshal(entry.Value, &intent), "stored order for target %q", id)
}

// writeIntent stores the order if the stored one still has revision prev.
func (o *OrderManager) writeIntent(ctx context.Context, id bbunit.TargetID, intent bbroute.Intent, prev bbstore.Revision) error {
	b, err := json.Marshal(intent)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = o.deps.Store.CAS(ctx, orderKeyPrefix+string(id), b, prev, 0)
	return errors.Trace(err)
}

// httpOrderSender sends orders with POST /v1/orders.
type httpOrderSender struct {
	client fasthttp.Client
}

func newHTTPOrderSender() *httpOrderSender {
	return &httpOrderSender{client: fasthttp.Client{Dial: bbhead.Dial, MaxConnsPerHost: 2, MaxResponseBodySize: maxOrderResponseBytes}}
}

// Send posts the order and waits for the response.
func (h *httpOrderSender) Send(t bbticket.Target, intent bbroute.Intent, deadline time.Time) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	b, err := json.Marshal(orderRequest{Fence: intent.Fence, Action: intent.Action, Model: intent.Model})
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + t.Address + "/v1/orders")
	req.SetBody(b)
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.WithType(err, ErrNotAcknowledged)
	}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusConflict:
		return errors.Annotatef(ErrStaleFence, "order %d to target %q", intent.Fence, t.ID)
	case code < 200 || code > 299:
		return errors.Annotatef(ErrNotAcknowledged, "status %d", code)
	}
	return nil
}

// sleepFor waits for the duration d or until ctx ends.
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
