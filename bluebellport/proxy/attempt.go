package bbproxy

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

//go:generate enumer -type=endKind -trimprefix=end -transform=kebab -output=resultkind_enumer.go

// endKind tells how an attempt ended.
type endKind int

// Ends of an attempt.
const (
	// endDone means that the caller has an answer.
	endDone endKind = iota
	// endUnsent means that no byte of the request left.
	endUnsent
	// endNotRun means that the target says it did not run the request.
	endNotRun
	// endBroken means that the request left and no usable answer came.
	endBroken
	// endLate means that the request's time was over.
	endLate
	// endGone means that the caller left.
	endGone
)

// ending is how an attempt ended.
type ending struct {
	kind endKind
	err  error
	// keep tells that the caller's connection stays.
	keep bool
	// silent tells that the target did not answer in time, reset that it broke
	// the connection off.
	silent, reset bool
	// failed tells that the answer that was passed on is a failure of the target.
	failed bool
}

// attempt sends the request to one target and passes its answer on.
func (x *exchange) attempt(s *Server) ending {
	x.tried = append(x.tried, s.ID)
	x.at.Store(s)
	ctx, cancel := x.context()
	defer cancel()
	if !time.Now().Before(x.end) {
		return ending{kind: endLate}
	}
	c, err := s.pool.take(ctx)
	if err != nil {
		return ending{kind: endUnsent, err: err, silent: true}
	}
	if !x.hold(c) {
		_ = c.Close()
		return ending{kind: endGone}
	}
	s.State.Begin()
	defer s.State.End()
	if x.sends++; x.sends == 1 {
		x.door.tally.sent(x.q.At)
	}
	x.door.prefills.sent(s, x.unread)
	out := x.exchangeWith(s, c)
	x.hold(nil)
	if out.kind != endDone && x.left() {
		out.kind = endGone
	}
	return out
}

// exchangeWith sends the request over c and reads its answer.
func (x *exchange) exchangeWith(s *Server, c *targetConn) ending {
	sent := make(chan error, 1)
	_ = c.SetDeadline(x.end)
	off := &sendOff{account: x.accountID(), target: s.Target.Target, left: time.Until(x.end), priority: x.priority(), last: x.stream.lastID()}
	if x.stride == 0 {
		off.priority = -1
	}
	head := x.q.forwardHead(off)
	x.ran = true // until the target says otherwise
	if len(x.q.Body) <= inlineBody {
		_, err := c.Write(append(head, x.q.Body...))
		sent <- err
	} else {
		go func() {
			bufs := net.Buffers{head, x.q.Body}
			_, err := bufs.WriteTo(c.Conn)
			sent <- err
		}()
	}
	a, err := x.awaitAnswer(c)
	if err != nil {
		_ = c.Close()
		return x.broken(err)
	}
	select {
	case err := <-sent:
		c.keep = c.keep && err == nil
	default:
		c.keep = false // it answered before it had the whole body
	}
	return x.take(c, a)
}

// awaitAnswer reads the head of the request's answer, past whole answers that
// belong to others.
func (x *exchange) awaitAnswer(c *targetConn) (*Answer, error) {
	if x.route.Repeatable() && x.sends < x.route.MaxAttempts {
		_ = c.SetReadDeadline(earlier(x.end, time.Now().Add(x.patience())))
	}
	for range maxForeign {
		a, err := c.readAnswerHead()
		if err != nil {
			return nil, err
		}
		if a.belongs(x.q.Attempt) || a.notRun() {
			return a, nil
		}
		if a.frame.length < 0 && !a.frame.chunked {
			break
		}
		if _, err := answerBody(c.br, a.frame, a.Status, x.q.Method).all(maxAnswer); err != nil {
			return nil, err
		}
	}
	return nil, errors.Annotate(ErrMalformed, "answer of another request")
}

// patience is how long a request that may be repeated waits for the head of an
// answer before it is sent elsewhere.
func (x *exchange) patience() time.Duration {
	return max(patienceAims*x.route.LatencyObjective, leastPatience)
}

// take passes an answer on, if it is one.
func (x *exchange) take(c *targetConn, a *Answer) ending {
	if a.notRun() {
		x.ran = x.sends > 1
		x.discard(c, a)
		return ending{kind: endNotRun, err: errors.Errorf("status %d", a.Status)}
	}
	ok := a.Status >= 200 && a.Status < 300
	if !a.signed() {
		_ = c.Close()
		return ending{kind: endBroken, err: errors.Errorf("status %d without signature", a.Status)}
	}
	if ok && x.stride > 0 {
		return x.passStream(c, a)
	}
	_ = c.SetReadDeadline(x.end)
	body, err := answerBody(c.br, a.frame, a.Status, x.q.Method).all(maxAnswer)
	if err != nil {
		_ = c.Close()
		return x.broken(err)
	}
	c.park()
	if !ok {
		return x.failure(a, body)
	}
	return x.deliver(a, body)
}

// failure passes a target's own failure on, or leaves it for another attempt.
func (x *exchange) failure(a *Answer, body []byte) ending {
	out := ending{kind: endBroken, failed: true, err: errors.Errorf("status %d", a.Status)}
	if x.stream.begun {
		return out
	}
	if a.Status >= 500 && x.route.Repeatable() && x.sends < x.route.MaxAttempts {
		return out
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return out // the target does not say that it did not run the request
	}
	done := x.deliver(a, body)
	done.failed = a.Status >= 500
	return done
}

// deliver writes a whole answer.
func (x *exchange) deliver(a *Answer, body []byte) ending {
	x.stream.whole = true
	closing := x.q.Close || x.door.board.closing()
	head := answerHead(a, len(body), closing)
	if x.q.Method == http.MethodHead {
		body = nil
	}
	err := x.caller.write(append(head, body...))
	return ending{kind: endDone, err: err, keep: err == nil && !closing}
}

// discard reads an answer that is not passed on, so that its connection can be
// used again.
func (x *exchange) discard(c *targetConn, a *Answer) {
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	if _, err := answerBody(c.br, a.frame, a.Status, x.q.Method).all(maxAnswer); err != nil || a.frame.length < 0 && !a.frame.chunked {
		_ = c.Close()
		return
	}
	c.park()
}

// broken is the end of an attempt whose connection failed.
func (x *exchange) broken(err error) ending {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		if !time.Now().Before(x.end) {
			return ending{kind: endLate, err: err, silent: true}
		}
		return ending{kind: endBroken, err: err, silent: true}
	}
	return ending{kind: endBroken, err: err, reset: !errors.Is(err, ErrMalformed)}
}
