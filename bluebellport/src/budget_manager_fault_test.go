package bbport

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

func TestBudgetManagerSurvivesStoreFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults bbstore.Faults
	}{
		{"every second answer lost", bbstore.Faults{LoseEveryNthAnswer: 2}},
		{"writes lost", bbstore.Faults{DropNextWrites: 3}},
		{"writes late", bbstore.Faults{ApplyDelay: 30 * time.Millisecond}},
		{"slow", bbstore.Faults{Latency: 20 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"), testMember("b1", "b"))
			f.setBudget("b", 500)
			f.store.SetFaults(c.faults)
			var spent bbunit.Tokens
			for i := range 6 {
				s, _, _ := f.spend([]bbunit.InstanceID{"a1", "a2", "b1"}[i%3], "b", 8, 10, 10)
				spent += s
			}
			is.True(spent > 0)
			is.True(spent <= 500)
			f.store.SetFaults(bbstore.Faults{})
			for _, m := range f.managers {
				is.NoErr(m.Drain(drainCtx(t)))
			}
			s := f.budgetStatus("b")
			is.Equal(s.Settled, spent)
			is.Equal(s.Stuck, bbunit.Tokens(0))
		})
	}
}

func TestBudgetManagerServesFromItsShareWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"))
	f.setBudget("b", 100_000)
	for range 15 { // some demand, so that the allocator draws ahead
		_, exhausted, noShare := f.spend("a1", "b", 20, 10, 10)
		is.Equal(exhausted+noShare, 0)
		time.Sleep(100 * time.Millisecond)
	}
	f.store.SetFaults(bbstore.Faults{Down: true})
	spent, exhausted, noShare := f.spend("a1", "b", 50, 10, 10)
	is.Equal(spent, bbunit.Tokens(500))
	is.Equal(exhausted+noShare, 0)
	_, exhausted, noShare = f.spend("a1", "b", 1, 50_000, 1)
	is.Equal([]int{exhausted, noShare}, []int{0, 1}) // the budget may have tokens left: not ErrBudgetExhausted
}

// unreachableStore is the store as seen by an instance that cannot reach it.
type unreachableStore struct{ bbstore.Store }

func (s *unreachableStore) Get(context.Context, string) (bbstore.Entry, error) {
	return bbstore.Entry{}, bbstore.ErrDown
}

func (s *unreachableStore) CAS(context.Context, string, []byte, bbstore.Revision, bbstore.LeaseID) (bbstore.Revision, error) {
	return 0, bbstore.ErrDown
}

func TestBudgetManagerBorrowsATopUpThatItsDomainCannotSee(t *testing.T) {
	for _, borrow := range []bool{true, false} {
		is := is.New(t)
		f := newBudgetFleet(t, testMember("a1", "a"), testMember("b1", "b"))
		f.setBudget("b", 100)
		spent, _, _ := f.spend("a1", "b", 10, 10, 10)
		is.Equal(spent, bbunit.Tokens(100))
		done := make(chan struct{})
		f.managers["a1"].tasks.put(func() { f.managers["a1"].deps.Store = &unreachableStore{f.store}; close(done) })
		<-done
		f.setBudget("b", 200)
		f.boards["a1"].State.Store(&bbticket.State{}) // a1 has not seen the ticket
		if !borrow {
			f.net.mu.Lock()
			f.net.cut[[2]bbunit.InstanceID{"a1", "b1"}] = true
			f.net.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond) // longer than an allocator's "empty" is trusted
		spent, exhausted, _ := f.spend("a1", "b", 10, 10, 10)
		if borrow {
			is.Equal(spent, bbunit.Tokens(100))
		} else {
			is.Equal(spent, bbunit.Tokens(0))
			is.Equal(exhausted, 0) // refused with ErrShareUnavailable: the budget may have tokens left
		}
	}
}

func TestBudgetManagerRecoversTokensOfAKilledAllocator(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"), testMember("a3", "a"))
	f.setBudget("b", 10_000)
	home, _ := f.boards["a1"].View.Load().Home(bbledger.PageHomeKey(bbledger.PageOf("b")), "a")
	other := bbunit.InstanceID("a1")
	if home.ID == other {
		other = "a2"
	}
	var spent bbunit.Tokens
	for range 10 {
		for _, id := range []bbunit.InstanceID{home.ID, other} {
			s, exhausted, noShare := f.spend(id, "b", 5, 10, 10)
			is.Equal(exhausted+noShare, 0)
			spent += s
		}
		time.Sleep(100 * time.Millisecond)
	}
	open, err := f.managers[other].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 10)
	is.NoErr(err)
	f.kill(home.ID)
	f.eventually("the killed instance's holder is closed", func() bool {
		s := f.budgetStatus("b")
		for _, holder := range s.Holders {
			if bbledger.HolderPeer(holder.Holder).ID == home.ID {
				return false
			}
		}
		return true
	})
	open.Commit(10) // a request that was open while the holder was closed
	spent += 10
	for id, m := range f.managers {
		if id != home.ID {
			is.NoErr(m.Drain(drainCtx(t)))
		}
	}
	s := f.budgetStatus("b")
	is.True(s.Settled <= spent)
	is.True(s.Settled+s.Stuck >= spent)
	for _, grant := range s.StuckGrants {
		is.Equal(bbledger.ParsePeer(grant.Grantee).ID, home.ID) // only the killed instance's
	}
	is.True(s.Stuck < 2000)
}

func TestReservationIsCommittedOnce(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"))
	f.setBudget("b", 100)
	res, err := f.managers["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 100)
	is.NoErr(err)
	is.True(res.Holder != "")
	_, err = f.managers["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 1)
	is.True(errors.Is(err, ErrShareUnavailable)) // the open request may return tokens
	res.Commit(30)
	res.Commit(100)
	res.Commit(0)
	spent, exhausted, noShare := f.spend("a1", "b", 8, 10, 10)
	is.Equal(spent, bbunit.Tokens(70))
	is.Equal(exhausted, 1) // all is spent now
	is.Equal(noShare, 0)
}

func TestBudgetManagerRefusesBadAmountsAndUnknownBudgets(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"))
	f.setBudget("b", 100)
	m := f.managers["a1"]
	for _, n := range []bbunit.Tokens{-1, bbledger.MaxPaid + 1} {
		_, err := m.Reserve(context.Background(), []bbunit.BudgetID{"b"}, n)
		is.True(errors.Is(err, bbledger.ErrAmountRange))
	}
	_, err := m.Reserve(context.Background(), nil, 1)
	is.True(errors.Is(err, ErrBudgetExhausted))
	_, err = m.Reserve(context.Background(), []bbunit.BudgetID{"unknown"}, 1)
	is.True(errors.Is(err, ErrBudgetExhausted))
	res, err := m.Reserve(context.Background(), []bbunit.BudgetID{"unknown", "b"}, 100) // the second budget has the amount
	is.NoErr(err)
	is.Equal(res.Budget, bbunit.BudgetID("b"))
}

func BenchmarkBudgetManagerReserve(b *testing.B) {
	f := newBudgetFleet(b, testMember("a1", "a"))
	f.setBudget("b", bbledger.MaxPaid)
	ids := []bbunit.BudgetID{"b"}
	first, err := f.managers["a1"].Reserve(context.Background(), ids, bbledger.MaxPaid/2)
	if err != nil {
		b.Fatal(err)
	}
	first.Commit(0)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			res, err := f.managers["a1"].Reserve(context.Background(), ids, 10)
			if err != nil {
				b.Error(err)
				return
			}
			res.Commit(0)
		}
	})
}

// TestBudgetManagerTriesTheNextBudgetWhileTheFirstIsReserved has the first of
// two budgets reserved by an open request that may return tokens. A request
// takes the second budget, and waits for the first once the second is spent.
func TestBudgetManagerTriesTheNextBudgetWhileTheFirstIsReserved(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"))
	f.setBudget("b", 100)
	f.setBudget("c", 10)
	m, both := f.managers["a1"], []bbunit.BudgetID{"b", "c"}
	open, err := m.Reserve(context.Background(), both, 100)
	is.NoErr(err)
	is.Equal(open.Budget, bbunit.BudgetID("b"))
	res, err := m.Reserve(context.Background(), both, 10)
	is.NoErr(err)
	is.Equal(res.Budget, bbunit.BudgetID("c"))
	res.Commit(10)
	_, err = m.Reserve(context.Background(), both, 10)
	is.True(errors.Is(err, ErrShareUnavailable)) // b may be refunded
	go func() {
		time.Sleep(100 * time.Millisecond)
		open.Commit(90)
	}()
	res, err = m.Reserve(context.Background(), both, 10)
	is.NoErr(err)
	is.Equal(res.Budget, bbunit.BudgetID("b"))
	res.Commit(10)
	_, err = m.Reserve(context.Background(), both, 10)
	is.True(errors.Is(err, ErrBudgetExhausted)) // both are spent
}

// TestBudgetManagerReturnsToABudgetThatMayBeRefunded has tokens of the first of
// two spent budgets returned at another instance: the waiting request must ask
// that instance again.
func TestBudgetManagerReturnsToABudgetThatMayBeRefunded(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"))
	f.setBudget("b", 100)
	f.setBudget("c", 10)
	f.managers["a1"].maxShareWait = 5 * time.Second
	time.Sleep(4 * bbledger.TickInterval) // until the instances see each other
	open, err := f.managers["a2"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 100)
	is.NoErr(err)
	time.AfterFunc(time.Second, func() { open.Commit(0) })
	res, err := f.managers["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b", "c"}, 50)
	is.NoErr(err)
	is.Equal(res.Budget, bbunit.BudgetID("b"))
	res.Commit(50)
}
