package bbport

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// busPair holds the connected buses of the instances a and b.
type busPair struct {
	a, b Bus
	// sever cuts the link permanently.
	sever func()
}

func ticketAskEnvelope(n uint64) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{Ticketask: &bbwire.TicketAsk{After: n}}}
}

func ticketTellEnvelope(s string) *bbwire.Envelope {
	return &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{State: []byte(s)}}}
}

func TestLoopBusContract(t *testing.T) {
	busContract(t, func(t *testing.T) busPair {
		l := NewLoopBus()
		return busPair{
			a: l.Join(t, "a", 1), b: l.Join(t, "b", 2),
			sever: func() { l.Cut("a", "b", true) },
		}
	})
}

func TestReplyFromAnotherInstanceIsRejected(t *testing.T) {
	is := is.New(t)
	var d dispatcher
	sent := make(chan uint64, 1)
	done := make(chan *bbwire.Envelope, 1)
	go func() {
		r, _ := d.call(context.Background(), "b", ticketAskEnvelope(1), func(request *bbwire.Envelope) error {
			sent <- request.Seq
			return nil
		})
		done <- r
	}()
	seq := <-sent
	reply := func(s string) *bbwire.Envelope {
		r := ticketTellEnvelope(s)
		r.Seq, r.Reply = seq, true
		return r
	}
	is.True(errors.Is(d.deliver("c", reply("crossed"), nil), errUnexpectedReply))
	is.NoErr(d.deliver("b", reply("own"), nil))
	is.Equal(string((<-done).GetTickettell().State), "own")
	is.True(errors.Is(d.deliver("b", reply("late"), nil), errUnexpectedReply))
}

// busContract checks what every implementation of Bus must do.
func busContract(t *testing.T, pair func(t *testing.T) busPair) {
	answerAll := func(_ bbunit.InstanceID, _ *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("ok") }
	t.Run("answer", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		from := make(chan bbunit.InstanceID, 1)
		p.b.Handle(ticketAskEnvelope(0), func(id bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
			from <- id
			return ticketTellEnvelope(string(rune('0' + e.GetTicketask().After)))
		})
		r, err := busCall(p.a, "b", ticketAskEnvelope(7), time.Second)
		is.NoErr(err)
		is.Equal(string(r.GetTickettell().State), "7")
		is.Equal(<-from, bbunit.InstanceID("a"))
		is.Equal(r.Inc, uint64(2)) // the reply has the peer's incarnation
	})
	t.Run("concurrent replies reach their callers", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		p.b.Handle(ticketAskEnvelope(0), func(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
			return ticketTellEnvelope(string(rune('a' + e.GetTicketask().After)))
		})
		errs := make(chan bool, 20)
		for i := range uint64(20) {
			go func() {
				r, err := busCall(p.a, "b", ticketAskEnvelope(i), time.Second)
				errs <- err == nil && string(r.GetTickettell().State) == string(rune('a'+i))
			}()
		}
		for range 20 {
			is.True(<-errs)
		}
	})
	t.Run("no handler fails the call at once", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		start := time.Now()
		_, err := busCall(p.a, "b", ticketAskEnvelope(1), 5*time.Second)
		is.True(err != nil)
		is.True(time.Since(start) < 4*time.Second)
	})
	t.Run("other handlers work after a panic", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		p.b.Handle(ticketTellEnvelope(""), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { panic("x") })
		p.b.Handle(ticketAskEnvelope(0), answerAll)
		_, err := busCall(p.a, "b", ticketTellEnvelope(""), time.Second)
		is.True(err != nil)
		_, err = busCall(p.a, "b", ticketAskEnvelope(1), time.Second)
		is.NoErr(err)
	})
	t.Run("a call without a reply ends at its deadline", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		p.b.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return nil })
		_, err := busCall(p.a, "b", ticketAskEnvelope(1), 100*time.Millisecond)
		is.True(errors.Is(err, ErrPeerUnreachable))
	})
	t.Run("unknown instance", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		_, err := busCall(p.a, "nobody", ticketAskEnvelope(1), 200*time.Millisecond)
		is.True(errors.Is(err, ErrPeerUnreachable))
	})
	t.Run("severed link", func(t *testing.T) {
		is := is.New(t)
		p := pair(t)
		p.b.Handle(ticketAskEnvelope(0), answerAll)
		_, err := busCall(p.a, "b", ticketAskEnvelope(1), time.Second)
		is.NoErr(err)
		p.sever()
		_, err = busCall(p.a, "b", ticketAskEnvelope(1), 300*time.Millisecond)
		is.True(errors.Is(err, ErrPeerUnreachable))
	})
}

func busCall(b Bus, to bbunit.InstanceID, e *bbwire.Envelope, d time.Duration) (*bbwire.Envelope, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return b.Call(ctx, to, e)
}
