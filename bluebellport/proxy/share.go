package bbproxy

import (
	"context"
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
	writing     bool                           // it has not ended, or writes pause after it
	rowsRead    bool                           // readAll has ended
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

// writeIsOverdue reports whether a write has no answer yet though it should have one. The
// caller holds mu.
func (c *shareController) writeIsOverdue() bool {
	return c.writing && c.now().Sub(c.lastWriteAt) > overdueWrite
}

// isCutOff reports whether the store does not answer, as far as the last write tells. The
// caller holds mu.
func (c *shareController) isCutOff() bool { return c.outage() > 0 || c.writeIsOverdue() }

// replyAge returns how long ago the store last answered a write, in milliseconds, -1 if it
// never has. The caller holds mu.
func (c *shareController) replyAge() int64 {
	if c.lastReplyAt.IsZero() {
		return -1
	}
	return c.now().Sub(c.lastReplyAt).Milliseconds()
}

// activeAccounts returns the shares of the accounts that this instance has spent of or
// holds a grant of. The caller holds mu.
func (c *shareController) activeAccounts() []bbshare.Status {
	return slices.DeleteFunc(c.allocator.Status(), func(s bbshare.Status) bool {
		return s.Spent == 0 && s.Rate == 0 && s.Granted == 0 && s.Lent == 0
	})
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
				c.log.WithFields(logrus.Fields{"event": "money", "age": c.replyAge(), "accounts": c.activeAccounts(), "calls": c.store.Calls()}).Info("shares held")
			}
		}
		c.mu.Unlock()
		c.writeShares(ctx)
		c.mu.Lock()
		c.loans.offerToHomes(c.allocator.Offers())
		c.mu.Unlock()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowsRead = true
	if err != nil {
		c.log.WithError(err).Warn("account rows not read; the first write reads them")
		return
	}
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
		c.loans.borrowFromHomes(c.allocator.LoanRequests(bbshare.DefaultHomePolicy()))
		c.loans.gatherForDemand()
		now, interval := c.now(), prefetchInterval
		if c.board.UsesHomes() {
			interval = homePrefetchInterval
		}
		rowWrite := c.allocator.NextWrite(holders, now.Sub(c.lastWriteAt) >= interval)
		if rowWrite != nil {
			c.lastWriteAt, c.writing = now, true
		}
		c.mu.Unlock()
		if rowWrite == nil {
			c.notifyWaiters()
			return
		}
		err := c.write(ctx, rowWrite)
		c.mu.Lock()
		c.writing = false
		c.mu.Unlock()
		if !errors.Is(err, bbstore.ErrConflict) {
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
	for tries, returned := 1, 0; ; tries++ {
		c.mu.Lock()
		rowWrite, held := c.allocator.Close(), c.activeAccounts()
		c.mu.Unlock()
		if rowWrite == nil {
			c.log.WithFields(logrus.Fields{"event": "money-closed", "accounts": returned, "held": held, "tries": tries}).Info("shares returned, as far as there were any")
			return
		}
		err := c.write(ctx, rowWrite)
		if err == nil {
			returned += len(rowWrite.Rows)
		} else if ctx.Err() != nil {
			c.log.WithError(err).WithFields(logrus.Fields{"event": "money-stuck", "accounts": returned, "held": held, "tries": tries}).Warn("shares not returned; they count as spent")
			return
		}
	}
}
