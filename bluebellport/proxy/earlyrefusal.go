package bbproxy

import (
	"math/rand/v2"
	"sync"
	"time"

	bbpressure "bluebellport.example/bluebellport/pressure"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

const (
	// moneylessPeriod is how long an account counts as without money here after a request
	// of it was refused for money. Then one is let through again, so that money is drawn.
	moneylessPeriod = time.Second
	// unreadGrace is how long a connection with an unread body stays open after its client
	// has the refusal: closing it resets it.
	unreadGrace = 100 * time.Millisecond
	// roomCheck is the time between two looks whether a part of a large response may be
	// written.
	roomCheck = 20 * time.Millisecond
)

// refuseEarly returns why the body of a request is not read, nil if it is. It has an effect only
// while the instance's incoming link is short.
func (c *clientConn) refuseEarly(req *Request, frame framing) *Refusal {
	intake := c.proxy.board.Pressure.Load()
	if intake == nil || !req.HasBody {
		return nil
	}
	size := frame.length
	if !intake.IsLarge(size) {
		return nil
	}
	hasMoney := c.proxy.hasMoney(req)
	if intake.ReadsBody(size, hasMoney, intake.IsUrgent(req.Timeout)) {
		c.proxy.traffic.bodies.Add(max(size, bbpressure.LargeBody))
		setWindow(c.socket, false) // if it was opened while the link was short
		return nil
	}
	if size < 0 || size > bbpressure.FirstFlight {
		size = bbpressure.FirstFlight
	}
	c.proxy.traffic.in.Add(max(size-int64(c.br.Buffered()), 0)) // has come, and is never read
	c.proxy.metrics.pressure.refused.Inc(1)
	refusal := refuseNotRun("this instance's link has no room for large requests", spreadRetryAfter(intake.RetryAfter, rand.Float64()))
	if refusal.Close = true; !hasMoney {
		refusal.Reason = "this instance's link has no room for requests without money at hand"
	}
	return refusal
}

// refuseUnread answers a request whose body stays unread. The connection is closed behind it.
func (c *clientConn) refuseUnread(req *Request, refusal *Refusal) bool {
	c.hasUnread = true
	c.proxy.recordRefusal(req.AttemptID, refusal)
	_ = c.write(refusal.encode(req.Method, req.AttemptID, true))
	return false
}

// closeUnread closes a connection with an unread body once its client has the refusal. What the
// client still sends is not read: it would use the link.
func (c *clientConn) closeUnread() {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = t.CloseWrite()
	until := c.becomeClosing()
	for !c.isDelivered() && time.Until(until) > deliveryCheck {
		time.Sleep(deliveryCheck)
	}
	time.Sleep(time.Until(bbclock.Earlier(until, time.Now().Add(unreadGrace))))
}

// awaitRoom lets a part of a large response wait while the outgoing link is short, so that heads
// and small responses go first. It waits for a sample at most, and for less near the deadline.
func (p *Proxy) awaitRoom(size int, deadline time.Time) {
	intake := p.board.Pressure.Load()
	if intake == nil || intake.WritesPart(int64(size)) {
		return
	}
	now := time.Now()
	until := now.Add(min(bbpressure.CheckInterval, deadline.Sub(now)/8))
	for time.Now().Before(until) {
		time.Sleep(roomCheck)
		if next := p.board.Pressure.Load(); next != intake {
			if next == nil || next.WritesPart(int64(size)) {
				return
			}
			intake = next
		}
	}
}

// moneyless remembers which accounts have had no money here.
type moneyless struct{ until sync.Map } // bbunit.AccountID -> time.Time

// note records that a request of an account was refused for money.
func (m *moneyless) note(id bbunit.AccountID, now time.Time) {
	m.until.Store(id, now.Add(moneylessPeriod))
}

// has reports whether that was lately.
func (m *moneyless) has(id bbunit.AccountID, now time.Time) bool {
	until, ok := m.until.Load(id)
	return ok && now.Before(until.(time.Time))
}

// hasMoney reports whether the account of a request can pay for it here, as far as its head tells.
func (p *Proxy) hasMoney(req *Request) bool {
	plan := p.board.Plan.Load()
	if plan == nil || !req.HasUsage {
		return true
	}
	account := paysFor(plan, req)
	if account == nil || p.shares.balance(account.ID).Available() >= req.PromptTokens+req.OutputTokens {
		return true
	}
	return !p.moneyless.has(account.ID, p.now())
}

// paysFor returns the account that a request is charged to, nil if there is none.
func paysFor(plan *bbplan.Plan, req *Request) *bbplan.Account {
	route := plan.FindRoute(req.Host, req.Path())
	if route == nil || !plan.KeyRequired || route.Public {
		return nil
	}
	account := plan.AccountByKey(req.APIKey)
	if account == nil || !account.Prepaid {
		return nil
	}
	return account
}

// refusedForMoney notes a refusal for money. While the link is short, the caller is told to stay
// away until that is expected to end: its next attempt brings the whole body again.
func (x *exchange) refusedForMoney(refusal *Refusal) {
	x.proxy.moneyless.note(x.account.ID, x.proxy.now())
	if intake := x.proxy.board.Pressure.Load(); intake != nil && intake.Short.Has(bbpressure.LinkIn) && refusal.RetryAfter > 0 {
		refusal.RetryAfter = max(refusal.RetryAfter, intake.RetryAfter)
	}
}
