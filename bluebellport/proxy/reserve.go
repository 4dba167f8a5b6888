package bbproxy

import (
	"maps"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// reserve reserves n tokens of an account, or returns why it can't. It waits
// for a share up to shareTimeout or the deadline, and less if the client leaves
// or the store does not answer. A request that is larger than all that was paid is
// refused at once.
func (c *shareController) reserve(account *bbplan.Account, n bbunit.Tokens, deadline time.Time, clientGone <-chan struct{}) (*bbshare.Balance, *Refusal) {
	balance := c.balance(account.ID)
	if balance.Reserve(n) {
		return balance, nil
	}
	if n > account.Paid {
		return nil, c.refuseBalance(account, n)
	}
	defer balance.Await(n)()
	w := shareWait{until: c.now().Add(min(shareTimeout, time.Until(deadline)))}
	if refusal := c.awaitShare(&w, account, n, balance, clientGone); refusal != nil {
		if refusal.LogFields != nil {
			refusal.LogFields["ended"], refusal.LogFields["rounds"] = w.ended, w.rounds
		}
		return nil, refusal
	}
	return balance, nil
}

// shareWait is the wait of one request for a share.
type shareWait struct {
	until  time.Time
	rounds int    // writes or loans that it has waited for
	ended  string // why it ended without a share
}

// awaitShare waits until n tokens are reserved, or returns why they can't be. A large
// fleet's writes and loans are of any of its accounts, so there the time limits the wait
// and not their number.
func (c *shareController) awaitShare(w *shareWait, account *bbplan.Account, n bbunit.Tokens, balance *bbshare.Balance, clientGone <-chan struct{}) *Refusal {
	timeout := time.NewTimer(w.until.Sub(c.now()))
	defer timeout.Stop()
	for w.ended = "rounds"; w.rounds < maxShareRounds || c.board.UsesHomes() && c.now().Before(w.until); w.rounds++ {
		if w.rounds == maxShareRounds && c.borrow(account, n, balance, timeout.C) {
			return nil
		}
		written, remoteHome, more := c.awaitsWrite(account, n)
		if !more {
			w.ended = "no write helps"
			break
		}
		c.wake()
		select {
		case <-written:
		case <-clientGone:
			return refuseNotRun("caller left", 0)
		case <-timeout.C:
			w.ended = "timeout"
			return c.refuseNoShare(account, n)
		}
		if balance.Reserve(n) {
			return nil
		}
		if remoteHome && c.uncoveredByHome(account, n) {
			w.ended = "home says not covered"
			break
		}
		if remoteHome || c.board.UsesHomes() {
			time.Sleep(shareTimeout / maxShareRounds / 4) // the account's home writes meanwhile
		}
	}
	if c.borrow(account, n, balance, timeout.C) {
		return nil
	}
	if refusal := c.refuseUncovered(account, n); refusal != nil {
		return refusal
	}
	return c.refuseNoShare(account, n)
}

// awaitsWrite reports whether the next write, or loan of the account's home, may
// bring n tokens, and returns what is closed after it.
func (c *shareController) awaitsWrite(account *bbplan.Account, n bbunit.Tokens) (written <-chan struct{}, remoteHome, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.allocator.Account(account.ID)
	switch {
	case share.UsesRemoteHome():
		if c.writing { // of other accounts; run borrows after that
			c.loans.borrowFromHomes(c.allocator.LoanRequests(bbshare.DefaultHomePolicy()))
		}
		return c.written, true, true
	case c.outage() > 0:
		return nil, false, false
	case share.RowLoaded() && share.Remaining()+share.Balance.Available() < n:
		if c.isFresh(account.ID) {
			return nil, false, false
		}
		share.Refresh()
	}
	return c.written, false, true
}

// borrow borrows what is missing to n tokens from peers, draws the rest if there is
// any, and reports whether n tokens were reserved.
func (c *shareController) borrow(account *bbplan.Account, n bbunit.Tokens, balance *bbshare.Balance, timeout <-chan time.Time) bool {
	if !c.loans.borrowFromPeers(account, n, true) {
		return false
	}
	if balance.Reserve(n) {
		return true
	}
	written, _, more := c.awaitsWrite(account, n)
	if !more {
		return false
	}
	c.wake()
	select {
	case <-written:
		return balance.Reserve(n)
	case <-timeout:
		return false
	}
}

// uncoveredByHome reports whether the account's home said that the balance does not
// cover a request of n tokens.
func (c *shareController) uncoveredByHome(account *bbplan.Account, n bbunit.Tokens) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loans.uncoveredByHome(account.ID, n)
}

// isFresh reports whether the store has told the account's row within shareTimeout.
// The caller holds mu.
func (c *shareController) isFresh(id bbunit.AccountID) bool {
	at, ok := c.rowAt[id]
	return ok && c.now().Sub(at) <= shareTimeout
}

// settle ends a reservation of an account's tokens. A large part that was not used is
// given back at once.
func (c *shareController) settle(account *bbplan.Account, balance *bbshare.Balance, reserved, used bbunit.Tokens, delivery bbshare.Delivery) {
	balance.RecordDelivery(used, delivery)
	balance.Commit(reserved, used)
	if reserved-used > account.Paid/largeReturnDivisor {
		c.wake()
	}
}

// refuseNoShare refuses a request for which no share could be had in time.
// Retry-After is as long as the outage has lasted so far, which is taken as the
// best guess of how much longer it lasts.
func (c *shareController) refuseNoShare(account *bbplan.Account, n bbunit.Tokens) *Refusal {
	refusal := refuseNotRun("no share of the account's money at hand", min(max(c.outage(), defaultRetryAfter), maxRetryAfter))
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.allocator.Account(account.ID)
	if c.board.UsesHomes() {
		share.Balance.RecordMissed(n)
	}
	refusal.LogFields = c.logFields(share, n)
	return refusal
}

// refuseBalance refuses a request that the account's balance does not cover.
func (c *shareController) refuseBalance(account *bbplan.Account, n bbunit.Tokens) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uncovered(c.allocator.Account(account.ID), n)
}

// uncovered is refuseBalance for a caller that holds mu.
func (c *shareController) uncovered(share *bbshare.AccountShare, n bbunit.Tokens) *Refusal {
	return &Refusal{Status: http.StatusPaymentRequired, Reason: "the account's balance does not cover the request", ByPlan: true, LogFields: c.logFields(share, n)}
}

// refuseUncovered refuses a request that the account can't cover, or that only
// other instances' shares could cover, if what is known is recent enough to say
// so. Otherwise it returns nil.
func (c *shareController) refuseUncovered(account *bbplan.Account, n bbunit.Tokens) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.allocator.Account(account.ID)
	fresh := !share.UsesRemoteHome() && share.RowLoaded() && c.isFresh(account.ID)
	switch {
	case share.UsesRemoteHome() && c.loans.uncoveredRecently(account.ID, n), fresh && !share.Covers(n, c.allocator.Holder):
		return c.uncovered(share, n)
	case !fresh || share.Remaining()+share.Balance.Available() >= n:
		return nil
	}
	refusal := refuseNotRun("the rest of the account's money is in other instances' shares", defaultRetryAfter)
	refusal.LogFields = c.logFields(share, n)
	return refusal
}

// logFields returns the values that decide whether a share is available.
func (c *shareController) logFields(share *bbshare.AccountShare, n bbunit.Tokens) logrus.Fields {
	fields := c.loans.logFields(share.ID)
	if at, ok := c.rowAt[share.ID]; ok {
		fields["row-age"] = c.now().Sub(at).Milliseconds()
	}
	maps.Copy(fields, logrus.Fields{
		"account": share.ID, "tokens": n, "here": share.Balance.Available(), "free": share.Remaining(), "others": share.UnspentByOthers(c.allocator.Holder),
		"age": c.replyAge(), "remote": share.UsesRemoteHome(), "row-read": share.RowLoaded(),
	})
	return fields
}
