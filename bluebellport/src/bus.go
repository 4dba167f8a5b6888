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

// Sentinel errors of received envelopes; each is logged, counted and dropped.
const (
	errNoBody          = errors.ConstError("envelope without a known body")
	errNoHandler       = errors.ConstError("no handler for the body")
	errUnexpectedReply = errors.ConstError("answer that nobody waits for")
	errTooManyMembers  = errors.ConstError("too many members in one message")
	errPanic           = errors.ConstError("handler panicked")
)

// envelopeHandler answers one kind of body; nil sends no answer.
type envelopeHandler func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope

// dispatcher pairs answers with questions and hands the rest to the handler of
// its body's type. The zero value works.
type dispatcher struct {
	seq      atomic.Uint64
	pending  sync.Map // seq -> *pendingCall
	handlers sync.Map // reflect.Type -> envelopeHandler
}

// pendingCall is a question under way; only the instance asked may answer it.
type pendingCall struct {
	to bbunit.InstanceID
	ch chan *bbwire.Envelope // nil: the peer was lost
}

func (d *dispatcher) handle(sample *bbwire.Envelope, fn envelopeHandler) {
	d.handlers.Store(reflect.TypeOf(sample.GetBody()), fn)
}

// call sends a numbered copy of e and waits for its answer up to the deadline
// of ctx.
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
			return nil, errors.Annotatef(ErrPeerUnreachable, "session with %s lost", to)
		}
		if reply.Error != "" {
			return nil, errors.Errorf("%s: %s", to, reply.Error)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Annotatef(ErrPeerUnreachable, "no answer from %s: %v", to, ctx.Err())
	}
}

// failCalls ends all questions to an instance whose session broke.
func (d *dispatcher) failCalls(to bbunit.InstanceID) {
	d.pending.Range(func(k, v any) bool {
		if c := v.(*pendingCall); c.to == to {
			d.pending.Delete(k)
			c.complete(nil)
		}
		return true
	})
}

// complete hands r over unless another answer came first.
func (c *pendingCall) complete(reply *bbwire.Envelope) {
	select {
	case c.ch <- reply:
	default:
	}
}

// deliver takes one received envelope; reply sends an answer back. An error
// means that the envelope was dropped.
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

// sendReply sends r back when the question asked for an answer.
func sendReply(request, reply *bbwire.Envelope, send func(*bbwire.Envelope)) {
	if request.Seq == 0 {
		return
	}
	reply.Seq, reply.Reply = request.Seq, true
	send(reply)
}

// dropper logs and counts what is dropped.
type dropper struct {
	log     logrus.FieldLogger
	dropped metrics.Counter
}

func (d *dropper) drop(peer bbunit.InstanceID, err error) {
	d.dropped.Inc(1)
	d.log.WithField("peer", peer).WithError(err).Warn("peer message dropped")
}
