package bbshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

const account bbunit.AccountID = "a"

// table is the store: rows under compare-and-swap, and writes whose answer was
// lost and that may still take effect.
type table struct {
	rows map[string]bbstore.Entry
	rev  bbstore.Revision
	late []*RowWrite
}

func (t *table) swap(d *RowWrite) (bbstore.Revision, []bbstore.Entry, error) {
	for _, r := range d.Rows {
		if t.rows[r.Key].Rev != r.Rev {
			return 0, t.now(d), errors.Trace(bbstore.ErrConflict)
		}
	}
	t.rev++
	for _, r := range d.Rows {
		t.rows[r.Key] = bbstore.Entry{Key: r.Key, Value: r.Value, Rev: t.rev}
	}
	return t.rev, nil, nil
}

func (t *table) now(d *RowWrite) []bbstore.Entry {
	var out []bbstore.Entry
	for _, r := range d.Rows {
		e := t.rows[r.Key]
		e.Key = r.Key
		out = append(out, e)
	}
	return out
}

// holder is one instance with the requests that it has under way. Spent is what
// its targets truly ran, over all its lives.
type holder struct {
	book *Allocator
	open []bbunit.Tokens
	life int
}

// world is several instances, the store between them, and the truth.
type world struct {
	table   table
	holders []*holder
	paid    bbunit.Tokens
	spent   bbunit.Tokens
	clock   time.Time
}

func (w *world) start(i int) {
	h := w.holders[i]
	h.life++
	h.open = nil
	name := bbunit.InstanceID(fmt.Sprint("i", i))
	h.book = NewAllocator(NewHolderID(name, name, fmt.Sprint(h.life)), "m/", DefaultPolicy())
	h.book.SetPaid(account, w.paid)
}

func newWorld(n int, paid bbunit.Tokens) *world {
	w := &world{table: table{rows: map[string]bbstore.Entry{}}, paid: paid, clock: time.Unix(1000, 0)}
	for i := range n {
		w.holders = append(w.holders, &holder{})
		w.start(i)
	}
	return w
}

// draw lets an instance write once; fate tells whether the answer is lost, and
// whether the write takes effect at once, later or never.
func (w *world) draw(i int, d *RowWrite, fate int) {
	b := w.holders[i].book
	if d == nil {
		return
	}
	switch fate {
	case 1: // takes effect, answer lost
		_, _, _ = w.table.swap(d)
		b.FinishWrite(d, 0, nil, bbstore.ErrUnknown)
	case 2: // may take effect later
		w.table.late = append(w.table.late, d)
		b.FinishWrite(d, 0, nil, bbstore.ErrUnknown)
	case 3: // nothing was done
		b.FinishWrite(d, 0, nil, bbstore.ErrDown)
	default:
		rev, now, err := w.table.swap(d)
		b.FinishWrite(d, rev, now, err)
	}
}

// TestNoAccountIsOverspent plays requests, draws with every fate of a write,
// kills, restarts, stops, top-ups and loans of which some get lost, in any order:
// what targets ran never exceeds what was paid.
func TestNoAccountIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "instances"), bbunit.Tokens(rapid.IntRange(0, 800).Draw(t, "paid")))
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(w.holders)-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				i := pick(t)
				n := bbunit.Tokens(rapid.IntRange(1, 400).Draw(t, "tokens"))
				if w.obtain(i, n) {
					w.holders[i].open = append(w.holders[i].open, n)
				}
			},
			"end": func(t *rapid.T) {
				h := w.holders[pick(t)]
				if len(h.open) == 0 {
					return
				}
				n := h.open[0]
				h.open = h.open[1:]
				used := bbunit.Tokens(rapid.IntRange(0, int(n)).Draw(t, "used"))
				w.spent += used
				h.book.Account(account).Balance.Settle(n, used)
			},
			"draw": func(t *rapid.T) {
				i := pick(t)
				w.clock = w.clock.Add(time.Second)
				w.holders[i].book.Tick(w.clock)
				w.draw(i, w.holders[i].book.NextWrite(len(w.holders), true), rapid.IntRange(0, 5).Draw(t, "fate"))
			},
			"late": func(_ *rapid.T) {
				if len(w.table.late) > 0 {
					_, _, _ = w.table.swap(w.table.late[0])
					w.table.late = w.table.late[1:]
				}
			},
			"kill": func(t *rapid.T) {
				i := pick(t)
				for _, n := range w.holders[i].open {
					w.spent += n // at worst all of it ran
				}
				w.start(i)
			},
			"stop": func(t *rapid.T) {
				i := pick(t)
				h := w.holders[i]
				for _, n := range h.open {
					w.spent += n
					h.book.Account(account).Balance.Settle(n, n)
				}
				h.open = nil
				h.book.Drain()
				w.draw(i, h.book.NextWrite(1, true), rapid.IntRange(0, 5).Draw(t, "fate"))
				w.draw(i, h.book.Close(), rapid.IntRange(0, 5).Draw(t, "fate"))
				w.start(i)
			},
			"loan": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				if from == to {
					return
				}
				n := w.holders[from].book.Account(account).LendUpTo(bbunit.Tokens(rapid.IntRange(1, 500).Draw(t, "ask")))
				if rapid.Bool().Draw(t, "arrives") {
					w.holders[to].book.Account(account).AddLoan(n)
				}
			},
			"topup": func(t *rapid.T) {
				w.paid += bbunit.Tokens(rapid.IntRange(0, 500).Draw(t, "more"))
				for _, h := range w.holders {
					if rapid.Bool().Draw(t, "heard") {
						h.book.SetPaid(account, w.paid)
					}
				}
			},
			"": func(t *rapid.T) {
				worst := w.spent
				for _, h := range w.holders {
					for _, n := range h.open {
						worst += n
					}
				}
				if worst > w.paid {
					t.Fatalf("spent %d of %d paid", worst, w.paid)
				}
			},
		})
	})
}

// obtain draws until n can be reserved, and tells whether it could; the first
// write finds the row.
func (w *world) obtain(i int, n bbunit.Tokens) bool {
	b := w.holders[i].book
	for range 4 {
		if b.Account(account).Balance.Reserve(n) {
			return true
		}
		w.draw(i, b.NextWrite(len(w.holders), true), 0)
	}
	return false
}

// A stop gives back what is unspent, so that another instance can spend it.
func TestStopGivesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 1000)
	first := w.holders[0].book
	is.True(w.obtain(0, 600))
	first.Account(account).Balance.Settle(600, 200)
	w.draw(0, first.Close(), 0)
	is.True(w.obtain(1, 800))
}

// What a killed instance was granted stays spent; a new life of it draws from
// the rest only.
func TestKillLosesWhatWasGranted(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1000)
	b := w.holders[0].book
	is.True(w.obtain(0, 600))
	granted := 600 + b.Account(account).Balance.Available()
	w.start(0)
	b = w.holders[0].book
	is.True(!w.obtain(0, 1000-granted+1))
	is.Equal(b.Account(account).Free()+b.Account(account).Balance.Available(), 1000-granted)
	is.True(!b.Account(account).Covers(1000-granted+1, b.Holder)) // a truthful 402
}

// After a lost answer only what is certain is spent, until the row tells.
func TestLostAnswerOfADraw(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1000)
	b := w.holders[0].book
	is.True(w.obtain(0, 1)) // the row is known
	p := b.Account(account).Balance
	before := p.Available()
	p.Reserve(400)
	w.draw(0, b.NextWrite(1, true), 1)
	is.Equal(p.Available(), before)
	p.Reserve(400)
	w.draw(0, b.NextWrite(1, true), 0) // a conflict, which shows the row
	is.True(p.Reserve(400))
}

// Shares follow what each instance has spent, so that the only instance of a
// busy failure domain is not held to an equal part.
func TestSharesFollowSpending(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 1_000_000)
	busy := w.holders[0].book
	spend := func(n bbunit.Tokens) {
		p := busy.Account(account).Balance
		for !p.Reserve(n) {
			w.draw(0, busy.NextWrite(8, true), 0)
		}
		p.Settle(n, n)
	}
	for range 10 {
		for range 10 {
			spend(1000)
		}
		w.clock = w.clock.Add(time.Second)
		busy.Tick(w.clock)
		w.draw(0, busy.NextWrite(8, true), 0)
	}
	is.True(busy.Account(account).Balance.Available() >= 80_000) // 8 s of its demand
}

// Nothing is drawn from a row that cannot be read.
func TestBadRow(t *testing.T) {
	is := is.New(t)
	b := NewAllocator("i@i/1", "m/", DefaultPolicy())
	b.SetPaid(account, 1000)
	bad := b.ApplyRows([]bbstore.Entry{{Key: "m/a", Value: []byte("{"), Rev: 3}})
	is.Equal(len(bad), 1)
	is.True(errors.Is(bad[0], ErrMalformedRow))
	is.True(!b.Account(account).RowLoaded())
}

func BenchmarkReserve(b *testing.B) {
	p := &Balance{}
	p.avail.Store(1 << 60)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p.Reserve(1000) {
				p.Settle(1000, 10)
			}
		}
	})
}

// A life that is closed by the next one of its instance may have wasted what it
// was not known to have spent. The more kills have wasted, the less of what is free
// is handed out; where nothing was wasted, as much as ever.
func TestSharesShrinkWhereInstancesDie(t *testing.T) {
	is := is.New(t)
	first, second := NewHolderID("i1", "i1:1", "a"), NewHolderID("i1", "i1:1", "b")
	row := Row{}.with(first, Grant{Granted: 300, Spent: 100}).with(second, Grant{Granted: 50})
	is.Equal(row.Closed, bbunit.Tokens(300))
	is.Equal(row.Lost, bbunit.Tokens(200))
	is.Equal(row.without(second, 20).Lost, bbunit.Tokens(200)) // an end in order wastes nothing
	again, err := ParseRow(row.Encode())
	is.NoErr(err)
	is.Equal(again.Lost, row.Lost)

	b := NewAllocator(second, "m/", DefaultPolicy())
	b.SetPaid("a", 1000)
	l := b.Account("a")
	is.Equal(b.part(l), b.rule.MaxHeld)
	l.row.Lost = 50
	is.True(b.part(l) < b.rule.MaxHeld && b.part(l) > b.rule.MaxHeld*b.rule.MinScale)
	l.row.Lost = 900
	is.Equal(b.part(l), b.rule.MaxHeld*b.rule.MinScale)
}
