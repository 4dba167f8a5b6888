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

// fakeStore is an in-memory store with compare-and-swap writes. Delayed holds
// writes whose answer was lost and that may still take effect.
type fakeStore struct {
	rows    map[string]bbstore.Entry
	rev     bbstore.Revision
	delayed []*RowWrite
}

func (s *fakeStore) apply(w *RowWrite) (bbstore.Revision, []bbstore.Entry, error) {
	for _, r := range w.Rows {
		if s.rows[r.Key].Rev != r.Rev {
			return 0, s.current(w), errors.Trace(bbstore.ErrConflict)
		}
	}
	s.rev++
	for _, r := range w.Rows {
		s.rows[r.Key] = bbstore.Entry{Key: r.Key, Value: r.Value, Rev: s.rev}
	}
	return s.rev, nil, nil
}

func (s *fakeStore) current(w *RowWrite) []bbstore.Entry {
	var out []bbstore.Entry
	for _, r := range w.Rows {
		e := s.rows[r.Key]
		e.Key = r.Key
		out = append(out, e)
	}
	return out
}

// instance is an instance of the fleet with the reservations of its requests in
// flight.
type instance struct {
	allocator   *Allocator
	inFlight    []bbunit.Tokens
	incarnation int
}

// simulation is a fleet with a shared store. Spent is what targets actually ran, by
// all incarnations of all instances.
type simulation struct {
	store     fakeStore
	instances []*instance
	paid      bbunit.Tokens
	spent     bbunit.Tokens
	now       time.Time
}

func (s *simulation) start(i int) {
	in := s.instances[i]
	in.incarnation++
	in.inFlight = nil
	name := bbunit.InstanceID(fmt.Sprint("i", i))
	in.allocator = NewAllocator(NewHolderID(name, name, fmt.Sprint(in.incarnation)), "m/", DefaultPolicy())
	in.allocator.SetPaid(account, s.paid)
}

func newSimulation(n int, paid bbunit.Tokens) *simulation {
	s := &simulation{store: fakeStore{rows: map[string]bbstore.Entry{}}, paid: paid, now: time.Unix(1000, 0)}
	for i := range n {
		s.instances = append(s.instances, &instance{})
		s.start(i)
	}
	return s
}

// write carries out one write of an instance. Outcome selects whether the answer is
// lost, and whether the write takes effect at once, later or never.
func (s *simulation) write(i int, w *RowWrite, outcome int) {
	a := s.instances[i].allocator
	if w == nil {
		return
	}
	switch outcome {
	case 1: // takes effect, answer lost
		_, _, _ = s.store.apply(w)
		a.FinishWrite(w, 0, nil, bbstore.ErrUnknown)
	case 2: // may take effect later
		s.store.delayed = append(s.store.delayed, w)
		a.FinishWrite(w, 0, nil, bbstore.ErrUnknown)
	case 3: // never takes effect
		a.FinishWrite(w, 0, nil, bbstore.ErrDown)
	default:
		rev, current, err := s.store.apply(w)
		a.FinishWrite(w, rev, current, err)
	}
}

// Requests, writes with every outcome, kills, restarts, graceful stops, top-ups and
// loans, some of them lost, happen in any order. What targets ran must never exceed
// what was paid.
func TestNoAccountIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "instances"), bbunit.Tokens(rapid.IntRange(0, 800).Draw(t, "paid")))
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				i := pick(t)
				n := bbunit.Tokens(rapid.IntRange(1, 400).Draw(t, "tokens"))
				if s.reserve(i, n) {
					s.instances[i].inFlight = append(s.instances[i].inFlight, n)
				}
			},
			"end": func(t *rapid.T) {
				in := s.instances[pick(t)]
				if len(in.inFlight) == 0 {
					return
				}
				n := in.inFlight[0]
				in.inFlight = in.inFlight[1:]
				used := bbunit.Tokens(rapid.IntRange(0, int(n)).Draw(t, "used"))
				s.spent += used
				in.allocator.Account(account).Balance.Commit(n, used)
			},
			"write": func(t *rapid.T) {
				i := pick(t)
				s.now = s.now.Add(time.Second)
				s.instances[i].allocator.Tick(s.now)
				s.write(i, s.instances[i].allocator.NextWrite(len(s.instances), true), rapid.IntRange(0, 5).Draw(t, "outcome"))
			},
			"delayed write": func(_ *rapid.T) {
				if len(s.store.delayed) > 0 {
					_, _, _ = s.store.apply(s.store.delayed[0])
					s.store.delayed = s.store.delayed[1:]
				}
			},
			"kill": func(t *rapid.T) {
				i := pick(t)
				for _, n := range s.instances[i].inFlight {
					s.spent += n // worst case: the target ran all of it
				}
				s.start(i)
			},
			"stop": func(t *rapid.T) {
				i := pick(t)
				in := s.instances[i]
				for _, n := range in.inFlight {
					s.spent += n
					in.allocator.Account(account).Balance.Commit(n, n)
				}
				in.inFlight = nil
				in.allocator.Drain()
				s.write(i, in.allocator.NextWrite(1, true), rapid.IntRange(0, 5).Draw(t, "outcome"))
				s.write(i, in.allocator.Close(), rapid.IntRange(0, 5).Draw(t, "outcome"))
				s.start(i)
			},
			"loan": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				if from == to {
					return
				}
				n := s.instances[from].allocator.Account(account).LendUpTo(bbunit.Tokens(rapid.IntRange(1, 500).Draw(t, "ask")))
				if rapid.Bool().Draw(t, "arrives") {
					s.instances[to].allocator.Account(account).AddLoan(n)
				}
			},
			"topup": func(t *rapid.T) {
				s.paid += bbunit.Tokens(rapid.IntRange(0, 500).Draw(t, "more"))
				for _, in := range s.instances {
					if rapid.Bool().Draw(t, "instance sees it") {
						in.allocator.SetPaid(account, s.paid)
					}
				}
			},
			"": func(t *rapid.T) {
				worst := s.spent
				for _, in := range s.instances {
					for _, n := range in.inFlight {
						worst += n
					}
				}
				if worst > s.paid {
					t.Fatalf("spent %d of %d paid", worst, s.paid)
				}
			},
		})
	})
}

// reserve writes until n can be reserved, at most four times, and reports whether
// it was. The first write may fail with a conflict, which loads the row.
func (s *simulation) reserve(i int, n bbunit.Tokens) bool {
	a := s.instances[i].allocator
	defer a.Account(account).Balance.Await(n)()
	for range 4 {
		if a.Account(account).Balance.Reserve(n) {
			return true
		}
		s.write(i, a.NextWrite(len(s.instances), true), 0)
	}
	return false
}

// A graceful stop must return unspent tokens, so that another instance can spend
// them.
func TestStopReturnsUnspentTokens(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, 1000)
	first := s.instances[0].allocator
	is.True(s.reserve(0, 600))
	first.Account(account).Balance.Commit(600, 200)
	s.write(0, first.Close(), 0)
	is.True(s.reserve(1, 800))
}

// The whole grant of a killed instance must count as used: the next incarnation
// gets only what was not granted.
func TestKilledHolderLosesItsWholeGrant(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1000)
	a := s.instances[0].allocator
	is.True(s.reserve(0, 600))
	granted := 600 + a.Account(account).Balance.Available()
	s.start(0)
	a = s.instances[0].allocator
	is.True(!s.reserve(0, 1000-granted+1))
	is.Equal(a.Account(account).Remaining()+a.Account(account).Balance.Available(), 1000-granted)
	is.True(!a.Account(account).Covers(1000-granted+1, a.Holder)) // the request is refused with 402
}

// After a write with a lost answer, the instance must not spend the new grant until
// it has read the row.
func TestLostAnswerOfAWrite(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1000)
	a := s.instances[0].allocator
	is.True(s.reserve(0, 1)) // loads the row
	balance := a.Account(account).Balance
	before := balance.Available()
	defer balance.Await(400)()
	s.write(0, a.NextWrite(1, true), 1)
	is.Equal(balance.Available(), before)
	s.write(0, a.NextWrite(1, true), 0) // fails with a conflict, which loads the row
	is.True(balance.Reserve(400))
}

// Shares must follow what each instance has spent: the only instance of a busy
// failure domain must not be limited to an equal part.
func TestSharesFollowSpending(t *testing.T) {
	is := is.New(t)
	s := newSimulation(8, 1_000_000)
	busy := s.instances[0].allocator
	spend := func(n bbunit.Tokens) {
		balance := busy.Account(account).Balance
		defer balance.Await(n)()
		for !balance.Reserve(n) {
			s.write(0, busy.NextWrite(8, true), 0)
		}
		balance.Commit(n, n)
	}
	for range 10 {
		for range 10 {
			spend(1000)
		}
		s.now = s.now.Add(time.Second)
		busy.Tick(s.now)
		s.write(0, busy.NextWrite(8, true), 0)
	}
	is.True(busy.Account(account).Balance.Available() >= 80_000) // 8 s of its demand of 10,000 tokens per second
}

// A malformed row must be reported and not used.
func TestMalformedRow(t *testing.T) {
	is := is.New(t)
	a := NewAllocator("i@i/1", "m/", DefaultPolicy())
	a.SetPaid(account, 1000)
	rowErrs := a.ApplyRows([]bbstore.Entry{{Key: "m/a", Value: []byte("{"), Rev: 3}})
	is.Equal(len(rowErrs), 1)
	is.True(errors.Is(rowErrs[0], ErrMalformedRow))
	is.True(!a.Account(account).RowLoaded())
}

func BenchmarkReserve(b *testing.B) {
	balance := &Balance{}
	balance.available.Store(1 << 60)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if balance.Reserve(1000) {
				balance.Commit(1000, 10)
			}
		}
	})
}

// When the next incarnation closes a killed holder, whatever the holder was not
// known to have spent counts as lost. The larger the loss, the less of the free
// tokens may be held in shares; without losses, the full MaxHeld may.
func TestLossesShrinkShares(t *testing.T) {
	is := is.New(t)
	first, second := NewHolderID("i1", "i1:1", "a"), NewHolderID("i1", "i1:1", "b")
	row := Row{}.withGrant(first, Grant{Granted: 300, Spent: 100}).withGrant(second, Grant{Granted: 50})
	is.Equal(row.Closed, bbunit.Tokens(300))
	is.Equal(row.Lost, bbunit.Tokens(200))
	is.Equal(row.withClosed(second, 20).Lost, bbunit.Tokens(200)) // a graceful end loses nothing
	decoded, err := ParseRow(row.Encode())
	is.NoErr(err)
	is.Equal(decoded.Lost, row.Lost)

	a := NewAllocator(second, "m/", DefaultPolicy())
	a.SetPaid("a", 1000)
	share := a.Account("a")
	is.Equal(a.maxHeldFraction(share), a.policy.MaxHeld)
	share.row.Lost = 50
	is.True(a.maxHeldFraction(share) < a.policy.MaxHeld && a.maxHeldFraction(share) > a.policy.MaxHeld*a.policy.MinScale)
	share.row.Lost = 900
	is.Equal(a.maxHeldFraction(share), a.policy.MaxHeld*a.policy.MinScale)
}
