package bbport

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Reasons for which a received envelope is dropped. All but errUnexpectedReply
// are logged and counted.
const (
	errNoBody          = errors.ConstError("envelope without a known body")
	errNoHandler       = errors.ConstError("no handler for the body")
	errUnexpectedReply = errors.ConstError("reply to no pending call")
	errTooManyMembers  = errors.ConstError("too many members in one message")
	errPanic           = errors.ConstError("handler panicked")
)

// envelopeHandler handles an envelope and returns the reply, or nil for none.
type envelopeHandler func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope

// dispatcher matches replies with pending calls, and passes all other envelopes
// to the handler of their type of body. The zero value is ready to use.
type dispatcher struct {
	seq      atomic.Uint64
	pending  sync.Map // seq -> *pendingCall
	handlers sync.Map // reflect.Type -> envelopeHandler
}

// pendingCall is a request that waits for its reply, which only the instance
// that was called may send.
type pendingCall struct {
	to bbunit.InstanceID
	ch chan *bbwire.Envelope // receives the reply, or nil if the session was lost
}

func (d *dispatcher) handle(sample *bbwire.Envelope, fn envelopeHandler) {
	d.handlers.Store(reflect.TypeOf(sample.GetBody()), fn)
}

// call sends a copy of e with a new sequence number and waits for the reply
// until ctx ends.
func (d *dispatcher) call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope, send func(*bbwire.Envelope) error) (*bbwire.Envelope, error) {
	pending := &pendingCall{to: to, ch: make(chan *bbwire.Envelope, 1)}
	request := &bbwire.Envelope{Seq: d.seq.Add(1), Body: e.Body}
	d.pending.Store(request.Seq, pending)
	defer d.pending.Delete(request.Seq)
	if err := send(request); err != nil {
		return nil, err
	}
	select {
	case reply := <-pending.ch:
		if reply == nil {
			return nil, errors.Annotatef(ErrPeerUnreachable, "session with %s lost before it replied", to)
		}
		if reply.Error != "" {
			return nil, errors.Errorf("%s: %s", to, reply.Error)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Annotatef(ErrPeerUnreachable, "no answer from %s: %v", to, ctx.Err())
	}
}

// failCalls fails all pending calls to an instance whose session was lost.
func (d *dispatcher) failCalls(to bbunit.InstanceID) {
	d.pending.Range(func(k, v any) bool {
		if c := v.(*pendingCall); c.to == to {
			d.pending.Delete(k)
			c.complete(nil)
		}
		return true
	})
}

// complete ends the call with a reply, or nil, unless it is already complete.
func (c *pendingCall) complete(reply *bbwire.Envelope) {
	select {
	case c.ch <- reply:
	default:
	}
}

// deliver dispatches a received envelope; reply sends the handler's result
// back. An error means that the envelope was dropped.
func (d *dispatcher) deliver(from bbunit.InstanceID, e *bbwire.Envelope, reply func(*bbwire.Envelope)) error {
	if e.Reply {
		return d.handleReply(from, e)
	}
	if e.GetBody() == nil {
		return errNoBody
	}
	fn, ok := d.handlers.Load(reflect.TypeOf(e.GetBody()))
	if !ok {
		sendReply(e, &bbwire.Envelope{Error: errNoHandler.Error()}, reply)
		return errNoHandler
	}
	var result *bbwire.Envelope
	if panicked := panics.Try(func() { result = fn.(envelopeHandler)(from, e) }); panicked != nil {
		sendReply(e, &bbwire.Envelope{Error: errPanic.Error()}, reply)
		return errors.Annotatef(errPanic, "%v", panicked.Value)
	}
	if result != nil {
		sendReply(e, result, reply)
	}
	return nil
}

func (d *dispatcher) handleReply(from bbunit.InstanceID, reply *bbwire.Envelope) error {
	v, ok := d.pending.Load(reply.Seq)
	if !ok || v.(*pendingCall).to != from {
		return errUnexpectedReply
	}
	d.pending.Delete(reply.Seq)
	v.(*pendingCall).complete(reply)
	return nil
}

// sendReply sends reply if the sender of request expects one.
func sendReply(request, reply *bbwire.Envelope, send func(*bbwire.Envelope)) {
	if request.Seq == 0 {
		return
	}
	reply.Seq, reply.Reply = request.Seq, true
	send(reply)
}

// dropper logs and counts dropped messages.
type dropper struct {
	log     logrus.FieldLogger
	dropped metrics.Counter
}

func (d *dropper) drop(peer bbunit.InstanceID, err error) {
	d.dropped.Inc(1)
	d.log.WithField("peer", peer).WithError(err).Warn("peer message dropped")
}
