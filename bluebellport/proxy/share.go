package bbproxy

import (
	"context"
	"net/http"
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

// moneyPrefix is above the rows of the accounts in the platform's store.
const moneyPrefix = "bluebellport/money/"

// Rows is the part of the platform's store that money uses.
type Rows interface {
	List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error)
	Swap(ctx context.Context, rows []bbstore.Entry, lease bbstore.LeaseID) (bbstore.Revision, []bbstore.Entry, error)
	// Calls returns how often each kind of call was made.
	Calls() map[string]int64
}

// money is the controller of this instance's shares.
type money struct {
	rows  Rows
	board *Board
	log   logrus.FieldLogger
	now   func() time.Time
	poke  chan struct{}

	mu    sync.Mutex // guards book and drawn
	book  *bbshare.Allocator
	drawn chan struct{} // closed after each write and replaced
	last  time.Time     // last answer of the store
	plan  *bbplan.Plan
	ahead time.Time     // last write
	pause time.Duration // after the last write, which failed

	lost   atomic.Int64 // since when the store does not answer, in ns of the steady clock; 0: it does
	purses sync.Map     // bbunit.AccountID -> *bbshare.Purse

	loans *loans
}

func newMoney(rows Rows, board *Board, log logrus.FieldLogger, now func() time.Time, holder bbunit.HolderID) *money {
	return &money{
		rows: rows, board: board, log: log, now: now, poke: make(chan struct{}, 1),
		book: bbshare.NewAllocator(holder, moneyPrefix, bbshare.DefaultPolicy()), drawn: make(chan struct{}),
	}
}

// purse returns an account's purse.
func (m *money) purse(id bbunit.AccountID) *bbshare.Balance {
	if p, ok := m.purses.Load(id); ok {
		return p.(*bbshare.Balance)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.book.Account(id).Balance
	m.purses.Store(id, p)
	return p
}

// reserve sets n of an account aside, or says why not. While the store answers
// it waits a little for a share, as long as gone stays open; while it does not,
// the answer is given at once.
func (m *money) reserve(a *bbplan.Account, n bbunit.Tokens, until time.Time, gone <-chan struct{}) (*bbshare.Balance, *Refusal) {
	p := m.purse(a.ID)
	if p.Reserve(n) {
		return p, nil
	}
	wait := time.NewTimer(min(shareWait, time.Until(until)))
	defer wait.Stop()
	for round := 0; round < shareRounds; round++ {
		m.mu.Lock()
		drawn, away := m.drawn, m.book.Account(a.ID).UsesRemoteHome()
		m.mu.Unlock()
		if !away && m.lostSince() > 0 {
			break
		}
		m.poked()
		select {
		case <-drawn:
		case <-gone:
			return nil, notRun("caller left", 0)
		case <-wait.C:
			return nil, m.short(a, n)
		}
		if p.Reserve(n) {
			return p, nil
		}
		if m.drained(a, n) {
			break
		}
		if away {
			time.Sleep(shareWait / shareRounds / 4) // its home draws meanwhile
		}
	}
	if m.loans.borrow(a, n) && p.Reserve(n) {
		return p, nil
	}
	if r := m.uncovered(a, n); r != nil {
		return nil, r
	}
	return nil, m.short(a, n)
}

// drained tells that a draw cannot bring n, as the store has just told.
func (m *money) drained(a *bbplan.Account, n bbunit.Tokens) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.book.Account(a.ID)
	if l.UsesRemoteHome() {
		return m.loans.broke(a.ID)
	}
	return l.RowLoaded() && l.Free()+l.Balance.Available() < n
}

// poked makes the controller look at once.
func (m *money) poked() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// lostSince returns for how long the store has not answered, 0 when it does.
func (m *money) lostSince() time.Duration {
	lost := m.lost.Load()
	if lost == 0 {
		return 0
	}
	return max(m.now().Sub(time.Unix(0, lost)), 1)
}

// short refuses for want of a share. The store is expected to be away as long
// again as it has been.
func (m *money) short(a *bbplan.Account, n bbunit.Tokens) *Refusal {
	r := notRun("no share of the account's money at hand", min(max(m.lostSince(), comeBack), comeBackMost))
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Inputs = m.facts(m.book.Account(a.ID), n)
	return r
}

// uncovered refuses what the account cannot cover, as the store has just told,
// or what only other instances' shares could.
func (m *money) uncovered(a *bbplan.Account, n bbunit.Tokens) *Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.book.Account(a.ID)
	fresh := !l.UsesRemoteHome() && l.RowLoaded() && m.now().Sub(m.last) <= shareWait
	switch {
	case l.UsesRemoteHome() && m.loans.brokeJustNow(a.ID), fresh && !l.Covers(n, m.book.Holder):
		return &Refusal{Status: http.StatusPaymentRequired, Reason: "the account's balance does not cover the request", Inputs: m.facts(l, n)}
	case !fresh || l.Free()+l.Balance.Available() >= n:
		return nil
	}
	r := notRun("the rest of the account's money is in other instances' shares", comeBack)
	r.Inputs = m.facts(l, n)
	return r
}

// facts are what decides whether a share is to be had.
func (m *money) facts(l *bbshare.AccountShare, n bbunit.Tokens) logrus.Fields {
	return logrus.Fields{
		"account": l.ID, "tokens": n, "here": l.Balance.Available(), "free": l.Free(), "others": l.UnspentByOthers(m.book.Holder),
		"age": m.now().Sub(m.last).Milliseconds(),
	}
}

// run draws shares until ctx ends.
func (m *money) run(ctx context.Context) {
	t := time.NewTicker(moneyTick)
	defer t.Stop()
	ticked, told := m.now(), m.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.poke:
			if m.board.Homes() {
				bbclock.Wait(ctx, homeBatch) // one write for what several members need
			}
		}
		if m.board.Plan.Load() == nil {
			continue
		}
		m.mu.Lock()
		if now := m.now(); now.Sub(ticked) >= time.Second {
			m.book.Tick(now)
			ticked = now
			if now.Sub(told) >= moneyTold {
				told = now
				m.log.WithFields(logrus.Fields{"event": "money", "age": now.Sub(m.last).Milliseconds(), "accounts": m.book.Status(), "calls": m.rows.Calls()}).Info("shares held")
			}
		}
		m.mu.Unlock()
		m.draw(ctx)
	}
}

// pay tells the book what accounts have paid.
func (m *money) pay() {
	plan := m.board.Plan.Load()
	if plan == nil || plan == m.plan {
		return
	}
	m.plan = plan
	for _, a := range plan.Accounts {
		if a.Prepaid {
			m.book.SetPaid(a.ID, a.Paid)
		}
	}
}

// start reads all rows once, so that the first requests need no conflict.
func (m *money) start(ctx context.Context) {
	entries, _, err := m.rows.List(ctx, moneyPrefix)
	if err != nil {
		m.log.WithError(err).Warn("money rows not read; they are read with the first write")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told(m.book.ApplyRows(entries))
}

// draw writes what is due, and again after a conflict.
func (m *money) draw(ctx context.Context) {
	for range drawTries {
		m.mu.Lock()
		m.pay()
		holders := m.loans.homes()
		m.loans.askHomes(m.book.LoanRequests(bbshare.DefaultHomePolicy(), int(m.board.Instances.Load())))
		now, every := m.now(), aheadEvery
		if m.board.Homes() {
			every = homeAheadEvery
		}
		d := m.book.NextWrite(holders, now.Sub(m.ahead) >= every)
		if d != nil {
			m.ahead = now
		}
		m.mu.Unlock()
		if d == nil {
			m.wake()
			return
		}
		if !errors.Is(m.write(ctx, d), bbstore.ErrConflict) {
			return
		}
	}
}

// write carries out one write and takes its outcome.
func (m *money) write(ctx context.Context, d *bbshare.RowWrite) error {
	call, cancel := context.WithTimeout(ctx, swapTime)
	rev, now, err := m.rows.Swap(call, d.Rows, 0)
	cancel()
	m.mu.Lock()
	m.told(m.book.FinishWrite(d, rev, now, err))
	if err == nil || errors.Is(err, bbstore.ErrConflict) {
		m.last = m.now()
		m.lost.Store(0)
	} else {
		m.lost.CompareAndSwap(0, m.now().UnixNano())
	}
	m.mu.Unlock()
	if !errors.Is(err, bbstore.ErrConflict) {
		m.wake()
	}
	if err != nil && !errors.Is(err, bbstore.ErrConflict) {
		m.pause = min(max(2*m.pause, storePause), moneyPauseMost)
		bbclock.Wait(ctx, m.pause)
	} else {
		m.pause = 0
	}
	return err
}

// wake lets those that wait for a share look again.
func (m *money) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.drawn)
	m.drawn = make(chan struct{})
}

func (m *money) told(bad []error) {
	for _, err := range bad {
		m.log.WithError(err).Error("money row not readable; nothing is drawn from it")
	}
}

// leave gives back what lies unused; requests still find what they ask for.
func (m *money) leave() {
	m.mu.Lock()
	m.book.Drain()
	m.mu.Unlock()
	m.poked()
}

// close gives back what is unspent, and tries until ctx ends.
func (m *money) close(ctx context.Context) {
	for {
		m.mu.Lock()
		d := m.book.Close()
		m.mu.Unlock()
		if d == nil {
			m.log.WithField("event", "money-closed").Info("nothing to give back")
			return
		}
		err := m.write(ctx, d)
		if err == nil {
			m.log.WithFields(logrus.Fields{"event": "money-closed", "accounts": len(d.Rows)}).Info("shares given back")
			return
		}
		if ctx.Err() != nil {
			m.log.WithError(err).WithField("event", "money-stuck").Warn("shares not given back; they count as spent")
			return
		}
	}
}
