package bbproxy

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/stop"
	"bluebellport.example/shared/bbclock"
)

// beat shows that the process runs, until ctx ends.
func (p *Proxy) beat(ctx context.Context) {
	for ctx.Err() == nil {
		p.pulse.Beat(p.now())
		bbclock.Wait(ctx, bbstop.PulseInterval)
	}
}

// drain stops taking requests. It reports not ready at once, accepts
// connections for some time more, closes those without a request, and waits for
// the others until the end of the stop. What is open then is ended: its client gets
// a refusal, unless a part of the response has been passed on.
func (p *Proxy) drain(clientListener net.Listener, times *bbstop.Times) {
	p.board.Leaving.Store(true)
	p.stop.Begin(times)
	p.shares.drain()
	p.log.WithFields(logrus.Fields{
		"event": "leaving", "frozen": p.sinceStop(), "grace": p.settings.GracePeriod.Milliseconds(), "requests": len(p.openRequests()), "intake": times.IntakeEnd.Sub(times.Begin).Milliseconds(),
		"uncertain": times.UncertainUntil.Sub(times.Begin).Milliseconds(), "accept": times.AcceptUntil.Sub(times.Begin).Milliseconds(), "end": times.End.Sub(times.Begin).Milliseconds(),
	}).Info("leaving")
	time.Sleep(time.Until(times.AcceptUntil))
	p.closing.Store(true)
	_ = clientListener.Close()
	p.forEachConn((*clientConn).closeIfIdle)
	p.log.WithFields(logrus.Fields{"event": "closed", "since": p.sinceStop(), "requests": len(p.openRequests())}).Info("closed to clients")
	allClosed := make(chan struct{})
	go func() {
		p.openConns.Wait()
		close(allClosed)
	}()
	select {
	case <-allClosed:
		return
	case <-time.After(time.Until(times.CutAt(time.Now()))):
	}
	p.logCutRequests()
	p.stop.SetEnded()
	p.forEachConn((*clientConn).endRequest)
	select {
	case <-allClosed:
	case <-time.After(time.Until(times.AnswersUntil(time.Now()))):
		p.logRequests("answers not read by their callers", p.openRequests())
		p.forEachConn(func(c *clientConn) { _ = c.Close() })
	}
}

// forEachConn calls fn for each connection of a client.
func (p *Proxy) forEachConn(fn func(*clientConn)) {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, c := range conns {
		fn(c)
	}
}

// exit ends the controllers and returns the shares, as far as there is time.
func (p *Proxy) exit(times *bbstop.Times, waitForControllers func()) {
	drainedAt := p.now()
	ctx, cancel := context.WithDeadline(context.Background(), times.SharesUntil(drainedAt))
	defer cancel()
	controllersEnded := make(chan struct{})
	go func() {
		defer close(controllersEnded)
		waitForControllers()
	}()
	fields := logrus.Fields{"event": "stop", "drained": drainedAt.Sub(times.Begin).Milliseconds(), "unlogged": p.stopLines.suppressed()}
	select {
	case <-controllersEnded:
		endedAt := p.now()
		p.shares.close(ctx)
		fields["controllers"], fields["shares"] = endedAt.Sub(drainedAt).Milliseconds(), p.now().Sub(endedAt).Milliseconds()
	case <-ctx.Done():
		p.log.WithField("event", "money-stuck").Warn("controllers still running; shares not returned, they count as spent")
	}
	p.log.WithFields(fields).Info("stopped")
}

// sinceStop returns how long ago the stop began, in ms.
func (p *Proxy) sinceStop() int64 {
	times := p.stop.Times()
	if times == nil {
		return 0
	}
	return p.now().Sub(times.Begin).Milliseconds()
}

// logCutRequests logs the requests that are still open at the end of the stop:
// maxCutLogged of them in a line each, the ids of the others together.
func (p *Proxy) logCutRequests() {
	requests := p.openRequests()
	p.log.WithFields(logrus.Fields{"event": "cut", "open": len(requests), "since": p.sinceStop()}).Warn("requests still open at the end of the stop")
	detailed := min(len(requests), maxCutLogged)
	for _, x := range requests[:detailed] {
		fields := logrus.Fields{"request": x.req.AttemptID, "ms": time.Since(x.req.ReceivedAt).Milliseconds(), "since": p.sinceStop()}
		if target := x.lastTarget.Load(); target != nil {
			fields["target"] = target.ID
		}
		if open := x.open.Load(); open != nil {
			fields["route"], fields["sent"] = open.route, p.now().Sub(open.sentAt).Milliseconds()
		}
		p.log.WithFields(fields).Warn("request cut")
	}
	p.logRequests("requests cut", requests[detailed:])
}

// logRequests logs the ids of requests, idsPerLine in a line.
func (p *Proxy) logRequests(message string, requests []*exchange) {
	for part := range slices.Chunk(requests, idsPerLine) {
		ids := make([]string, len(part))
		for i, x := range part {
			ids[i] = x.req.AttemptID
		}
		p.log.WithFields(logrus.Fields{"event": "cut", "requests": ids, "since": p.sinceStop()}).Warn(message)
	}
}

// logUndelivered logs an answer that could not be written to its client, if the
// instance stops or the client did not read, and any other request whose client left.
func (p *Proxy) logUndelivered(x *exchange, result *attemptResult) {
	if result.err == nil && result.kind != resultGone {
		return
	}
	fields := x.logFields(x.lastTarget.Load(), result)
	fields["since"], fields["events"] = p.sinceStop(), x.stream.eventCount
	if err := x.client.readErr.Load(); err != nil {
		fields["read"] = (*err).Error()
	}
	var netErr net.Error
	if timedOut := errors.As(result.err, &netErr) && netErr.Timeout(); timedOut || result.err != nil && p.stop.Times() != nil {
		p.log.WithFields(fields).Warn("answer not delivered")
		return
	}
	p.log.WithFields(fields).Info("client left")
}

// openRequests returns the requests in flight.
func (p *Proxy) openRequests() []*exchange {
	var requests []*exchange
	p.forEachConn(func(c *clientConn) {
		if x := c.current.Load(); x != nil {
			requests = append(requests, x)
		}
	})
	return requests
}
