package bbproxy

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbclock"
)

// connPhase is what a client connection does, as the stop of the instance sees it.
// The zero value reads a request or has one in flight.
type connPhase struct {
	mu            sync.Mutex // also held while the read deadline is set
	idle, closing bool
	// idleSince is when the connection last became idle. Only its own goroutine writes it.
	idleSince time.Time
}

// becomeIdle lets the connection wait for the next request, until the idle timeout
// or until idle connections are closed.
func (c *clientConn) becomeIdle() {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	now := time.Now()
	c.phase.idle, c.phase.idleSince = true, now
	until := now.Add(c.limits().IdleTimeout)
	if c.proxy.closing.Load() {
		until = now.Add(time.Millisecond)
	}
	_ = c.SetReadDeadline(until)
}

// becomeBusy ends the wait for a request. From now on closeIfIdle does nothing.
func (c *clientConn) becomeBusy() {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	c.phase.idle = false
}

// beginLastLook lets an idle connection whose time is over be read for lastLookPeriod
// more. It reports whether the connection waits for a request.
func (c *clientConn) beginLastLook() bool {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	if c.phase.idle {
		_ = c.SetReadDeadline(time.Now().Add(lastLookPeriod))
	}
	return c.phase.idle
}

// isIdle reports whether the connection waits, or waited last, for a request.
func (c *clientConn) isIdle() bool {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	return c.phase.idle
}

// waitingSince returns since when the connection waits for a request, and whether it does.
func (c *clientConn) waitingSince() (time.Time, bool) {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	return c.phase.idleSince, c.phase.idle
}

// becomeClosing lets the connection be read for closeReadTimeout, but not beyond
// the stop. It returns until when.
func (c *clientConn) becomeClosing() time.Time {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	c.phase.closing = true
	until := time.Now().Add(closeReadTimeout)
	if times := c.proxy.stop.Times(); times != nil {
		until = bbclock.Earlier(until, times.AnswersUntil(time.Now()))
	}
	_ = c.SetReadDeadline(until)
	return until
}

// readBy sets the read deadline, zero for none. Once the stop has ended nothing
// more is read.
func (c *clientConn) readBy(deadline time.Time) {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	if c.proxy.stop.Ended() {
		deadline = time.Now()
	}
	_ = c.SetReadDeadline(deadline)
}

// closeIfIdle ends the wait for a request, if the connection waits for one.
func (c *clientConn) closeIfIdle() {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	if c.phase.idle {
		_ = c.SetReadDeadline(time.Now())
	}
}

// endRequest ends the request that is read or in flight at the end of the stop. Its
// client gets a refusal, unless a part of the response has been passed on.
func (c *clientConn) endRequest() {
	c.phase.mu.Lock()
	defer c.phase.mu.Unlock()
	if c.phase.closing {
		return
	}
	_ = c.SetReadDeadline(time.Now())
	if x := c.current.Load(); x != nil {
		x.gone.set()
		x.abort()
	}
}
