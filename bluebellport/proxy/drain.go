package bbproxy

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/stop"
)

// drain stops taking requests. It reports not ready at once, accepts
// connections for some time more, closes those without a request, and waits for
// the others until the end of the stop.
func (p *Proxy) drain(clientListener net.Listener, times *bbstop.Times) {
	p.board.Leaving.Store(true)
	p.stop.Begin(times)
	p.shares.drain()
	p.log.WithFields(logrus.Fields{
		"event": "leaving", "grace": p.settings.GracePeriod.Milliseconds(), "requests": len(p.openRequests()), "intake": times.IntakeEnd.Sub(times.Begin).Milliseconds(),
		"accept": times.AcceptUntil.Sub(times.Begin).Milliseconds(), "end": times.End.Sub(times.Begin).Milliseconds(),
	}).Info("leaving")
	time.Sleep(time.Until(times.AcceptUntil))
	p.closing.Store(true)
	_ = clientListener.Close()
	p.closeIdleConns()
	p.log.WithFields(logrus.Fields{"event": "closed", "since": p.sinceStop(), "requests": len(p.openRequests())}).Info("closed to clients")
	allClosed := make(chan struct{})
	go func() {
		p.openConns.Wait()
		close(allClosed)
	}()
	select {
	case <-allClosed:
	case <-time.After(time.Until(times.End)):
		p.logCutRequests()
	}
}

// exit ends the controllers and returns the shares, as far as there is time.
func (p *Proxy) exit(times *bbstop.Times, waitForControllers func()) {
	drainedAt := p.now()
	ctx, cancel := context.WithDeadline(context.Background(), times.SharesUntil())
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

// logCutRequests logs up to maxCutLogged of the requests that are still open at
// the end of the stop.
func (p *Proxy) logCutRequests() {
	requests := p.openRequests()
	p.log.WithFields(logrus.Fields{"event": "cut", "open": len(requests), "since": p.sinceStop()}).Warn("requests still open at the end of the grace period")
	for _, x := range requests[:min(len(requests), maxCutLogged)] {
		fields := logrus.Fields{"request": x.req.AttemptID, "ms": time.Since(x.req.ReceivedAt).Milliseconds(), "since": p.sinceStop()}
		if target := x.lastTarget.Load(); target != nil {
			fields["target"] = target.ID
		}
		if open := x.open.Load(); open != nil {
			fields["route"], fields["sent"] = open.route, p.now().Sub(open.sentAt).Milliseconds()
		}
		p.log.WithFields(fields).Warn("request cut")
	}
}

// openRequests returns the requests in flight.
func (p *Proxy) openRequests() []*exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var requests []*exchange
	for client := range p.conns {
		if x := client.current.Load(); x != nil {
			requests = append(requests, x)
		}
	}
	return requests
}

// closeIdleConns closes the connections that have no request in flight, by
// ending the read that waits for the next one.
func (p *Proxy) closeIdleConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client := range p.conns {
		if client.idle.Load() {
			_ = client.SetReadDeadline(time.Now())
		}
	}
}
