package bbproxy

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// sharesPrefix is the key prefix of the accounts' rows in the platform's store.
const sharesPrefix = "bluebellport/money/"

// ShareStore is the part of the platform's store that shareController uses.
type ShareStore interface {
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	Swap(ctx context.Context, rows []bbstore.Entry, lease bbstore.LeaseID) (bbstore.Revision, []bbstore.Entry, error)
	// Calls returns how often each kind of call was made.
	Calls() map[string]int64
	// Era returns the newest era of the store that an answer has named.
	Era() bbstore.Era
}

// shareController holds this instance's shares of the accounts' prepaid tokens.
// It gets more granted from the store by compare-and-swap, and reserves tokens
// of its shares for requests.
type shareController struct {
	store  ShareStore
	board  *Board
	log    logrus.FieldLogger
	now    func() time.Time
	wakeup chan struct{}

	mu          sync.Mutex // guards the fields down to lastWriteAt
	allocator   *bbshare.Allocator
	written     chan struct{}                  // closed and replaced after each write
	lastReplyAt time.Time                      // when the store last answered a write
	rowAt       map[bbunit.AccountID]time.Time // when it last told an account's row
	plan        *bbplan.Plan                   // whose payments have been applied
	lastWriteAt time.Time                      // when the last write was begun
	backoff     time.Duration                  // pause after the last write, 0 if it succeeded

	lostAt   atomic.Int64 // when the store stopped answering, in ns of the monotonic clock; 0 while it answers
	balances sync.Map     // bbunit.AccountID -> *bbshare.Balance

	loans *peerLoans
}

func newShareController(store ShareStore, board *Board, log logrus.FieldLogger, now func() time.Time, holder bbunit.HolderID) *shareController {
	return &shareController{
		store: store, board: board, log: log, now: now, wakeup: make(chan struct{}, 1),
		allocator: bbshare.NewAllocator(holder, sharesPrefix, bbshare.DefaultPolicy()), written: make(chan struct{}), rowAt: map[bbunit.AccountID]time.Time{},
	}
}

// balance returns what this instance may spend of an account.
func (c *shareController) balance(id bbunit.AccountID) *bbshare.Balance {
	if b, ok := c.balances.Load(id); ok {
		return b.(*bbshare.Balance)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.allocator.Account(id).Balance
	c.balances.Store(id, b)
	return b
}

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
	timeout := time.NewTimer(min(shareTimeout, time.Until(deadline)))
	defer timeout.Stop()
	for round := 0; round < maxShareRounds; round++ {
		written, remoteHome, more := c.awaitsWrite(account, n)
		if !more {
			break
		}
		c.wake()
		select {
		case <-written:
		case <-clientGone:
			return nil, refuseNotRun("caller left", 0)
		case <-timeout.C:
			return nil, c.refuseNoShare(account, n)
		}
		if balance.Reserve(n) {
			return balance, nil
		}
		if remoteHome {
			if c.uncoveredByHome(account, n) {
				break
			}
			time.Sleep(shareTimeout / maxShareRounds / 4) // the account's home writes meanwhile
		}
	}
	if c.borrow(account, n, balance, timeout.C) {
		return balance, nil
	}
	if refusal := c.refuseUncovered(account, n); refusal != nil {
		return nil, refusal
	}
	return nil, c.refuseNoShare(account, n)
}

// awaitsWrite reports whether the next write, or loan of the account's home, may
// bring n tokens, and returns what is closed after it.
func (c *shareController) awaitsWrite(account *bbplan.Account, n bbunit.Tokens) (written <-chan struct{}, remoteHome, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.allocator.Account(account.ID)
	switch {
	case share.UsesRemoteHome():
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
	if !c.loans.borrowFromPeers(account, n) {
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
func (c *shareController) settle(account *bbplan.Account, balance *bbshare.Balance, reserved, used bbunit.Tokens) {
	balance.Commit(reserved, used)
	if reserved-used > account.Paid/largeReturnDivisor {
		c.wake()
	}
}

// wake makes run check the shares at once.
func (c *shareController) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// outage returns for how long the store has not answered, 0 while it answers.
func (c *shareController) outage() time.Duration {
	lostAt := c.lostAt.Load()
	if lostAt == 0 {
		return 0
	}
	return max(c.now().Sub(time.Unix(0, lostAt)), 1)
}

// refuseNoShare refuses a request for which no share could be had in time.
// Retry-After is as long as the outage has lasted so far, which is taken as the
// best guess of how much longer it lasts.
func (c *shareController) refuseNoShare(account *bbplan.Account, n bbunit.Tokens) *Refusal {
	refusal := refuseNotRun("no share of the account's money at hand", min(max(c.outage(), defaultRetryAfter), maxRetryAfter))
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal.LogFields = c.logFields(c.allocator.Account(account.ID), n)
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

// activeAccounts returns the shares of the accounts that this instance has spent of or
// holds a grant of. The caller holds mu.
func (c *shareController) activeAccounts() []bbshare.Status {
	return slices.DeleteFunc(c.allocator.Status(), func(s bbshare.Status) bool {
		return s.Spent == 0 && s.Rate == 0 && s.Granted == 0 && s.Lent == 0
	})
}

// logFields returns the values that decide whether a share is available.
func (c *shareController) logFields(share *bbshare.AccountShare, n bbunit.Tokens) logrus.Fields {
	return logrus.Fields{
		"account": share.ID, "tokens": n, "here": share.Balance.Available(), "free": share.Remaining(), "others": share.UnspentByOthers(c.allocator.Holder),
		"age": c.now().Sub(c.lastReplyAt).Milliseconds(),
	}
}

// run writes shares until ctx ends.
func (c *shareController) run(ctx context.Context) {
	ticker := time.NewTicker(shareCheckInterval)
	defer ticker.Stop()
	lastTickAt, lastLoggedAt := c.now(), c.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wakeup:
			if c.board.UsesHomes() {
				bbclock.Wait(ctx, homeBatchDelay) // one write serves several instances
			}
		}
		if c.board.Plan.Load() == nil {
			continue
		}
		c.mu.Lock()
		if now := c.now(); now.Sub(lastTickAt) >= time.Second {
			c.allocator.Tick(now)
			lastTickAt = now
			if now.Sub(lastLoggedAt) >= shareLogInterval {
				lastLoggedAt = now
				c.log.WithFields(logrus.Fields{"event": "money", "age": now.Sub(c.lastReplyAt).Milliseconds(), "accounts": c.activeAccounts(), "calls": c.store.Calls()}).Info("shares held")
			}
		}
		c.mu.Unlock()
		c.writeShares(ctx)
	}
}

// applyPayments tells the allocator the prepaid tokens of the accounts of a new
// plan. The caller holds mu.
func (c *shareController) applyPayments() {
	plan := c.board.Plan.Load()
	if plan == nil || plan == c.plan {
		return
	}
	c.plan = plan
	for _, a := range plan.Accounts {
		if a.Prepaid {
			c.allocator.SetPaid(a.ID, a.Paid)
		}
	}
}

// readAll reads all rows once, so that the first writes do not conflict.
func (c *shareController) readAll(ctx context.Context) {
	entries, _, err := c.store.List(ctx, sharesPrefix)
	if err != nil {
		c.log.WithError(err).Warn("account rows not read; the first write reads them")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logBadRows(c.allocator.ApplyRows(entries))
}

// writeShares writes the shares that are needed, and tries again after a
// conflict.
func (c *shareController) writeShares(ctx context.Context) {
	for range maxWriteAttempts {
		c.mu.Lock()
		c.applyPayments()
		c.allocator.SetEra(c.store.Era())
		holders := c.loans.updateHomes()
		c.loans.borrowFromHomes(c.allocator.LoanRequests(bbshare.DefaultHomePolicy(), int(c.board.Instances.Load())))
		now, interval := c.now(), prefetchInterval
		if c.board.UsesHomes() {
			interval = homePrefetchInterval
		}
		rowWrite := c.allocator.NextWrite(holders, now.Sub(c.lastWriteAt) >= interval)
		if rowWrite != nil {
			c.lastWriteAt = now
		}
		c.mu.Unlock()
		if rowWrite == nil {
			c.notifyWaiters()
			return
		}
		if !errors.Is(c.write(ctx, rowWrite), bbstore.ErrConflict) {
			return
		}
	}
}

// write performs one write and records its outcome. It backs off after an error
// other than a conflict.
func (c *shareController) write(ctx context.Context, rowWrite *bbshare.RowWrite) error {
	callCtx, cancel := context.WithTimeout(ctx, swapTimeout)
	rev, now, err := c.store.Swap(callCtx, rowWrite.Rows, 0)
	cancel()
	c.mu.Lock()
	c.logBadRows(c.allocator.FinishWrite(rowWrite, rev, now, err))
	if err == nil || errors.Is(err, bbstore.ErrConflict) {
		c.lastReplyAt = c.now()
		for _, row := range rowWrite.Rows {
			c.rowAt[bbunit.AccountID(strings.TrimPrefix(row.Key, sharesPrefix))] = c.lastReplyAt
		}
		c.lostAt.Store(0)
	} else {
		c.lostAt.CompareAndSwap(0, c.now().UnixNano())
	}
	c.mu.Unlock()
	if !errors.Is(err, bbstore.ErrConflict) {
		c.notifyWaiters()
	}
	if err != nil && !errors.Is(err, bbstore.ErrConflict) {
		c.backoff = min(max(2*c.backoff, minStoreBackoff), maxShareBackoff)
		bbclock.Wait(ctx, c.backoff)
	} else {
		c.backoff = 0
	}
	return err
}

// notifyWaiters lets the requests that wait for a share try again.
func (c *shareController) notifyWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.written)
	c.written = make(chan struct{})
}

// logBadRows logs the rows that could not be read.
func (c *shareController) logBadRows(errs []error) {
	for _, err := range errs {
		c.log.WithError(err).Error("account row unreadable; no share is drawn from it")
	}
}

// drain returns unused shares to the store, except what requests still need.
func (c *shareController) drain() {
	c.mu.Lock()
	c.allocator.Drain()
	c.mu.Unlock()
	c.wake()
}

// close returns all that is unspent to the store. It tries until ctx ends.
func (c *shareController) close(ctx context.Context) {
	for {
		c.mu.Lock()
		rowWrite := c.allocator.Close()
		c.mu.Unlock()
		if rowWrite == nil {
			c.log.WithField("event", "money-closed").Info("no shares to return")
			return
		}
		err := c.write(ctx, rowWrite)
		if err == nil {
			c.log.WithFields(logrus.Fields{"event": "money-closed", "accounts": len(rowWrite.Rows)}).Info("shares returned")
			return
		}
		if ctx.Err() != nil {
			c.log.WithError(err).WithField("event", "money-stuck").Warn("shares not returned; they count as spent")
			return
		}
	}
}
