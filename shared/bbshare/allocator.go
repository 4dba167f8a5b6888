package bbshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// Policy sets how much an instance draws.
type Policy struct {
	// Horizon is the demand that a share is to last for.
	Horizon time.Duration
	// RefillBelow is the part of that below which more is drawn.
	RefillBelow float64
	// MinShare is the least share of an account without demand, in parts of what
	// it has paid, so that a request that comes while the store is out of reach
	// finds some.
	MinShare float64
	// MaxHeld bounds the shares of all holders together, in parts of what is free;
	// each gets of it as much as its part of what was spent.
	MaxHeld float64
	// LossLimit is how much kills may waste, in parts of what the account has paid,
	// before Part shrinks to its Least part: where instances keep dying, their
	// shares are small.
	LossLimit, MinScale float64
	// PriorSpent is what all holders together count as having spent before they have,
	// in parts of what the account has paid.
	PriorSpent float64
	// MaxRows is the most accounts in one write.
	MaxRows int
}

// HomeHorizon is the demand that the share of a home is to last for: its members
// hold shares of their own.
const HomeHorizon = 8 * time.Second

// SetHorizon changes how long shares are to last.
func (b *Allocator) SetHorizon(d time.Duration) { b.rule.Horizon = d }

// DefaultPolicy draws for a few seconds of demand.
func DefaultPolicy() Policy {
	return Policy{Horizon: 15 * time.Second, RefillBelow: 0.7, MinShare: 0.005, MaxHeld: 0.25, LossLimit: 0.1, MinScale: 0.2, PriorSpent: 0.016, MaxRows: 32}
}

// unmetAhead is how many times what is asked for in vain is drawn ahead, while
// the demand is not yet known.
const unmetAhead = 3

// rateWeight is how far one second of demand moves the mean.
const rateWeight = 0.4

// Allocator holds an instance's accounts. All its methods but those of the purses
// belong to one controller.
type Allocator struct {
	Holder bbunit.HolderID
	rule   Policy
	prefix string
	lines  map[bbunit.AccountID]*AccountShare
	// largest is the largest request of late, of any account.
	largest int64
	// leaving tells that nothing is drawn ahead any more.
	leaving bool
}

// NewAllocator returns an empty book whose rows stand under prefix.
func NewAllocator(holder bbunit.HolderID, prefix string, rule Policy) *Allocator {
	return &Allocator{Holder: holder, rule: rule, prefix: prefix, lines: map[bbunit.AccountID]*AccountShare{}}
}

// AccountShare is one account in a book.
type AccountShare struct {
	ID      bbunit.AccountID
	Balance *Balance
	paid    bbunit.Tokens

	row   Row
	rev   bbstore.Revision
	known bool          // the row has been read
	ours  bbunit.Tokens // what this instance counts as granted
	// away tells that the home of the account is elsewhere; left is what the
	// home said that is free.
	away bool
	left bbunit.Tokens
	// guest tells that the home is elsewhere and out of reach.
	guest bool
	// lent is the sum of loans over this life.
	lent bbunit.Tokens

	fenced  bool    // this life has been closed
	unsure  bool    // a write may have taken effect
	rate    float64 // tokens a second that requests ask for
	asked   int64
	lastAt  time.Time
	largest int64
}

// Account returns an account's line, which it makes when there is none.
func (b *Allocator) Account(id bbunit.AccountID) *AccountShare {
	l := b.lines[id]
	if l == nil {
		l = &AccountShare{ID: id, Balance: &Balance{}}
		b.lines[id] = l
	}
	return l
}

// SetPaid sets what an account has paid in all.
func (b *Allocator) SetPaid(id bbunit.AccountID, paid bbunit.Tokens) { b.Account(id).paid = paid }

// Free returns what no holder has been granted, as far as the row is known.
func (l *AccountShare) Free() bbunit.Tokens { return l.paid - l.row.TotalGranted() }

// RowLoaded tells whether the row has been read.
func (l *AccountShare) RowLoaded() bool { return l.known }

// Covers tells whether the account may still cover n: as far as known, what is
// free and what other holders may give back reach it.
func (l *AccountShare) Covers(n bbunit.Tokens, holder bbunit.HolderID) bool {
	return l.Free()+l.Balance.Available()+l.row.UnspentByOthers(holder) >= n
}

// UnspentByOthers returns what other holders may still have, as far as known.
func (l *AccountShare) UnspentByOthers(holder bbunit.HolderID) bbunit.Tokens {
	return l.row.UnspentByOthers(holder)
}

// ApplyRows takes rows as they stand in the store. Rows that cannot be read are left
// out and named in bad.
func (b *Allocator) ApplyRows(entries []bbstore.Entry) (bad []error) {
	for _, e := range entries {
		if len(e.Key) <= len(b.prefix) || e.Key[:len(b.prefix)] != b.prefix {
			continue
		}
		l := b.Account(bbunit.AccountID(e.Key[len(b.prefix):]))
		if err := b.read(l, e); err != nil {
			bad = append(bad, errors.Annotate(err, e.Key))
		}
	}
	return bad
}

func (b *Allocator) read(l *AccountShare, e bbstore.Entry) error {
	if l.known && e.Rev < l.rev {
		return nil // older than what is known
	}
	row, err := ParseRow(e.Value)
	if err != nil {
		return err
	}
	_, had := l.row.Holders[b.Holder]
	l.row, l.rev, l.known = row, e.Rev, true
	g, have := row.Holders[b.Holder]
	if !have && l.ours != 0 && (had || l.unsure) {
		l.fenced = true // closed, by this life or a later one
	}
	l.unsure = false
	if !l.fenced {
		l.settle(g.Granted)
	}
	return nil
}

// settle makes what is granted here what the row says: no earlier write can
// still take effect, since the row has moved on from what it expected.
func (l *AccountShare) settle(granted bbunit.Tokens) {
	l.Balance.avail.Add(int64(granted - l.ours))
	l.ours = granted
}

// Tick measures demand; it is called about once a second.
func (b *Allocator) Tick(now time.Time) {
	b.largest = b.largest * 95 / 100
	for _, l := range b.lines {
		l.tick(now)
		b.largest = max(b.largest, l.largest)
	}
}

func (l *AccountShare) tick(now time.Time) {
	asked := l.Balance.asked.Load()
	if dt := now.Sub(l.lastAt).Seconds(); !l.lastAt.IsZero() && dt > 0 {
		w := min(rateWeight*dt, 1)
		l.rate += w * (float64(asked-l.asked)/dt - l.rate)
	}
	l.asked, l.lastAt = asked, now
	l.largest = max(l.Balance.most.Swap(0), l.largest*9/10)
}

// RowWrite is one write that a book asks for.
type RowWrite struct {
	Rows  []bbstore.Entry
	moves []move
}

// move is what a write changes for one line.
type move struct {
	line *AccountShare
	row  Row
	to   bbunit.Tokens // granted
}

// NextWrite returns the write that is due, nil when none is. Holders is how many draw
// from the accounts. Unless ahead, only a request that waits makes a write due;
// it then serves the other accounts too. What the write gives back is set aside
// at once.
func (b *Allocator) NextWrite(holders int, ahead bool) *RowWrite {
	type want struct {
		l     *AccountShare
		to    bbunit.Tokens
		short int64
	}
	var wants []want
	for _, l := range b.lines {
		if l.away {
			continue
		}
		unmet := l.Balance.unmet.Swap(0)
		if to, ok := b.target(l, unmet, holders); ok {
			wants = append(wants, want{l, to, unmet})
			ahead = ahead || unmet > 0
		}
	}
	if len(wants) == 0 || !ahead {
		return nil
	}
	slices.SortFunc(wants, func(a, c want) int {
		return cmp.Or(cmp.Compare(c.short, a.short), cmp.Compare(a.l.ID, c.l.ID))
	})
	d := &RowWrite{}
	for _, w := range wants[:min(len(wants), b.rule.MaxRows)] {
		if back := w.l.ours - w.to; back > 0 {
			w.l.ours -= bbunit.Tokens(w.l.Balance.takeUpTo(int64(back)))
			w.to = w.l.ours
		}
		d.add(b, w.l, w.l.row.with(b.Holder, Grant{Granted: w.to, Spent: bbunit.Tokens(w.l.Balance.spent.Load())}), w.to)
	}
	return d
}

func (d *RowWrite) add(b *Allocator, l *AccountShare, row Row, to bbunit.Tokens) {
	d.Rows = append(d.Rows, bbstore.Entry{Key: b.prefix + string(l.ID), Value: row.Encode(), Rev: l.rev})
	d.moves = append(d.moves, move{line: l, row: row, to: to})
}

// target returns what the line's grant should become, and whether a write is
// worth it.
func (b *Allocator) target(l *AccountShare, unmet int64, holders int) (bbunit.Tokens, bool) {
	if l.fenced || l.away || l.paid <= 0 && l.ours == 0 {
		return 0, false
	}
	free := max(l.Free(), 0)
	if !l.known {
		free = 0 // a write with the unknown row's revision reads it
	}
	share := l.rate * b.rule.Horizon.Seconds()
	share = max(share, float64(b.largest), float64(l.paid)*b.rule.MinShare, unmetAhead*float64(unmet))
	have := l.Balance.avail.Load()
	share = min(share, b.part(l)*float64(free+bbunit.Tokens(max(have, 0)))*b.weight(l, holders))
	if b.leaving || l.guest {
		share = 0
	}
	goal := int64(share) + unmet
	to := min(l.ours+bbunit.Tokens(goal-have), l.ours+free)
	switch {
	case unmet > 0:
		return to, !l.known || to > l.ours
	case to > l.ours:
		return to, float64(have) < b.rule.RefillBelow*share
	case to < l.ours && l.guest:
		return to, false
	case to < l.ours:
		return to, b.leaving || have > 3*goal+int64(l.largest)
	}
	return to, false
}

// part is how much of what is free all holders together may have: the less, the
// more kills have wasted of the account already.
func (b *Allocator) part(l *AccountShare) float64 {
	if l.paid <= 0 {
		return b.rule.MaxHeld
	}
	wasted := float64(l.row.Lost) / (b.rule.LossLimit * float64(l.paid))
	return b.rule.MaxHeld * max(1-wasted, b.rule.MinScale)
}

// weight is this instance's part of what has been spent, as the row tells.
func (b *Allocator) weight(l *AccountShare, holders int) float64 {
	sum := b.rule.PriorSpent * float64(l.paid)
	prior := sum / float64(max(holders, 1))
	for id, g := range l.row.Holders {
		if id != b.Holder {
			sum += float64(g.Spent)
		}
	}
	own := float64(l.Balance.spent.Load())
	if sum+own <= 0 {
		return 1 / float64(max(holders, 1))
	}
	return (own + prior) / (sum + own)
}

// FinishWrite takes the outcome of a write: its revision, or the error and the rows
// that the store returned with a conflict.
func (b *Allocator) FinishWrite(d *RowWrite, rev bbstore.Revision, now []bbstore.Entry, err error) (bad []error) {
	switch {
	case err == nil:
		for _, m := range d.moves {
			m.line.row, m.line.rev, m.line.known = m.row, rev, true
			m.line.settle(m.to)
		}
	case errors.Is(err, bbstore.ErrConflict):
		bad = b.ApplyRows(now)
	default:
		for _, m := range d.moves {
			m.line.unsure = true
		}
	}
	return bad
}

// Drain makes the book give back what lies unused, and draw no more than
// requests ask for.
func (b *Allocator) Drain() { b.leaving = true }

// Close returns the write that ends this holder and gives back what is unspent;
// nil when there is nothing to end. Nothing may be reserved any more.
func (b *Allocator) Close() *RowWrite {
	d := &RowWrite{}
	for _, l := range b.lines {
		_, have := l.row.Holders[b.Holder]
		if l.fenced || !have && l.Balance.Available() == 0 {
			continue
		}
		l.ours -= bbunit.Tokens(l.Balance.takeUpTo(1 << 62))
		d.add(b, l, l.row.without(b.Holder, l.ours), 0)
	}
	if len(d.Rows) == 0 {
		return nil
	}
	return d
}

// Status is what one line holds.
type Status struct {
	Account   bbunit.AccountID `json:"account"`
	Paid      bbunit.Tokens    `json:"paid"`
	Free      bbunit.Tokens    `json:"free"`
	Available bbunit.Tokens    `json:"here"` // available to this instance
	Spent     bbunit.Tokens    `json:"spent"`
	Rate      bbunit.Tokens    `json:"rate"` // asked for here, a second
	Lent      bbunit.Tokens    `json:"lent,omitempty"`
	Granted   bbunit.Tokens    `json:"granted"`
	Closed    bbunit.Tokens    `json:"closed"` // of holders that are no more
}

// Status returns what each line holds, by account.
func (b *Allocator) Status() []Status {
	out := make([]Status, 0, len(b.lines))
	for _, l := range b.lines {
		out = append(out, Status{
			Account: l.ID, Paid: l.paid, Free: l.Free(), Available: l.Balance.Available(),
			Spent: bbunit.Tokens(l.Balance.spent.Load()), Rate: bbunit.Tokens(l.rate),
			Lent: l.lent, Granted: l.ours, Closed: l.row.Closed,
		})
	}
	slices.SortFunc(out, func(a, c Status) int { return cmp.Compare(a.Account, c.Account) })
	return out
}
