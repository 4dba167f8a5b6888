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

func TestTreasuryDrawsByLostAndLateAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults bbstore.Faults
	}{
		{"every second answer lost", bbstore.Faults{LoseEvery: 2}},
		{"writes lost", bbstore.Faults{DropNext: 3}},
		{"writes late", bbstore.Faults{Late: 30 * time.Millisecond}},
		{"slow", bbstore.Faults{Slow: 20 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t, member("a1", "a"), member("a2", "a"), member("b1", "b"))
			f.pay("b", 500)
			f.mem.SetFaults(c.faults)
			var spent bbunit.Tokens
			for i := range 6 {
				s, _, _ := f.spend([]bbunit.InstanceID{"a1", "a2", "b1"}[i%3], "b", 8, 10, 10)
				spent += s
			}
			is.True(spent > 0)
			is.True(spent <= 500)
			f.mem.SetFaults(bbstore.Faults{})
			for _, m := range f.money {
				is.NoErr(m.Drain(drainCtx(t)))
			}
			s := f.status("b")
			is.Equal(s.Settled, spent)
			is.Equal(s.Stuck, bbunit.Tokens(0))
		})
	}
}

func TestTreasuryServesFromItsShareWhileTheServiceIsDown(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"), member("a2", "a"))
	f.pay("b", 100_000)
	for range 15 { // some demand, so that the keeper draws ahead
		_, budget, share := f.spend("a1", "b", 20, 10, 10)
		is.Equal(budget+share, 0)
		time.Sleep(100 * time.Millisecond)
	}
	f.mem.SetFaults(bbstore.Faults{Down: true})
	spent, budget, share := f.spend("a1", "b", 50, 10, 10)
	is.Equal(spent, bbunit.Tokens(500))
	is.Equal(budget+share, 0)
	_, budget, share = f.spend("a1", "b", 1, 50_000, 1)
	is.Equal([]int{budget, share}, []int{0, 1}) // money may be left: not ErrBudget
}

// deafStore is a service that one instance cannot reach.
type deafStore struct{ bbstore.Store }

func (d *deafStore) Get(context.Context, string) (bbstore.Entry, error) {
	return bbstore.Entry{}, bbstore.ErrDown
}

func (d *deafStore) CAS(context.Context, string, []byte, bbstore.Revision, bbstore.LeaseID) (bbstore.Revision, error) {
	return 0, bbstore.ErrDown
}

func TestTreasuryBorrowsATopUpThatItsDomainCannotSee(t *testing.T) {
	for _, borrow := range []bool{true, false} {
		is := is.New(t)
		f := newFakeFleet(t, member("a1", "a"), member("b1", "b"))
		f.pay("b", 100)
		spent, _, _ := f.spend("a1", "b", 10, 10, 10)
		is.Equal(spent, bbunit.Tokens(100))
		done := make(chan struct{})
		f.money["a1"].box.put(func() { f.money["a1"].p.Store = &deafStore{f.mem}; close(done) })
		<-done
		f.pay("b", 200)
		f.board["a1"].State.Store(&bbticket.State{}) // a does not know of the ticket
		if !borrow {
			f.net.mu.Lock()
			f.net.dead[[2]bbunit.InstanceID{"a1", "b1"}] = true
			f.net.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond) // longer than "empty" is believed
		spent, budget, _ := f.spend("a1", "b", 10, 10, 10)
		if borrow {
			is.Equal(spent, bbunit.Tokens(100))
		} else {
			is.Equal(spent, bbunit.Tokens(0))
			is.Equal(budget, 0) // refused with ErrShare: money may be left
		}
	}
}

func TestTreasuryBringsAKilledKeepersMoneyBack(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"), member("a2", "a"), member("a3", "a"))
	f.pay("b", 10_000)
	home, _ := f.board["a1"].View.Load().Home(bbledger.PageHomeKey(bbledger.PageOf("b")), "a")
	other := bbunit.InstanceID("a1")
	if home.ID == other {
		other = "a2"
	}
	var spent bbunit.Tokens
	for range 10 {
		for _, id := range []bbunit.InstanceID{home.ID, other} {
			s, budget, share := f.spend(id, "b", 5, 10, 10)
			is.Equal(budget+share, 0)
			spent += s
		}
		time.Sleep(100 * time.Millisecond)
	}
	h, err := f.money[other].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 10)
	is.NoErr(err)
	f.kill(home.ID)
	f.eventually("the killed holder is closed", func() bool {
		s := f.status("b")
		for _, x := range s.Holders {
			if bbledger.HolderPeer(x.Holder).ID == home.ID {
				return false
			}
		}
		return true
	})
	h.End(10) // a request that was open over the closing
	spent += 10
	for id, m := range f.money {
		if id != home.ID {
			is.NoErr(m.Drain(drainCtx(t)))
		}
	}
	s := f.status("b")
	is.True(s.Settled <= spent)
	is.True(s.Settled+s.Stuck >= spent)
	for _, x := range s.StuckGrants {
		is.Equal(bbledger.ParsePeer(x.Grantee).ID, home.ID) // only the dead one's
	}
	is.True(s.Stuck < 2000)
}

func TestTreasuryEndsAHoldOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"))
	f.pay("b", 100)
	h, err := f.money["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 100)
	is.NoErr(err)
	is.True(h.Holder != "")
	_, err = f.money["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 1)
	is.True(errors.Is(err, ErrShare)) // the open request may give money back
	h.End(30)
	h.End(100)
	h.End(0)
	spent, budget, share := f.spend("a1", "b", 8, 10, 10)
	is.Equal(spent, bbunit.Tokens(70))
	is.Equal(budget, 1) // all is spent now
	is.Equal(share, 0)
}

func TestTreasuryRefusesBadAmountsAndUnknownBudgets(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"))
	f.pay("b", 100)
	m := f.money["a1"]
	for _, n := range []bbunit.Tokens{-1, bbledger.MaxPaid + 1} {
		_, err := m.Reserve(context.Background(), []bbunit.BudgetID{"b"}, n)
		is.True(errors.Is(err, bbledger.ErrAmountRange))
	}
	_, err := m.Reserve(context.Background(), nil, 1)
	is.True(errors.Is(err, ErrBudget))
	_, err = m.Reserve(context.Background(), []bbunit.BudgetID{"unknown"}, 1)
	is.True(errors.Is(err, ErrBudget))
	h, err := m.Reserve(context.Background(), []bbunit.BudgetID{"unknown", "b"}, 100) // the second has it
	is.NoErr(err)
	is.Equal(h.Budget, bbunit.BudgetID("b"))
}

func BenchmarkTreasuryReserve(b *testing.B) {
	f := newFakeFleet(b, member("a1", "a"))
	f.pay("b", bbledger.MaxPaid)
	ids := []bbunit.BudgetID{"b"}
	big, err := f.money["a1"].Reserve(context.Background(), ids, bbledger.MaxPaid/2)
	if err != nil {
		b.Fatal(err)
	}
	big.End(0)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h, err := f.money["a1"].Reserve(context.Background(), ids, 10)
			if err != nil {
				b.Error(err)
				return
			}
			h.End(0)
		}
	})
}

// TestTreasuryGoesOnToTheNextBudgetWhileOneIsReserved: of two budgets the first
// may give money back; the request takes the second, and waits for the first
// when the second is spent.
func TestTreasuryGoesOnToTheNextBudgetWhileOneIsReserved(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"))
	f.pay("b", 100)
	f.pay("c", 10)
	m, both := f.money["a1"], []bbunit.BudgetID{"b", "c"}
	open, err := m.Reserve(context.Background(), both, 100)
	is.NoErr(err)
	is.Equal(open.Budget, bbunit.BudgetID("b"))
	h, err := m.Reserve(context.Background(), both, 10)
	is.NoErr(err)
	is.Equal(h.Budget, bbunit.BudgetID("c"))
	h.End(10)
	_, err = m.Reserve(context.Background(), both, 10)
	is.True(errors.Is(err, ErrShare)) // b may come back
	go func() {
		time.Sleep(100 * time.Millisecond)
		open.End(90)
	}()
	h, err = m.Reserve(context.Background(), both, 10)
	is.NoErr(err)
	is.Equal(h.Budget, bbunit.BudgetID("b"))
	h.End(10)
	_, err = m.Reserve(context.Background(), both, 10)
	is.True(errors.Is(err, ErrBudget)) // both are spent
}

// TestTreasuryComesBackToABudgetThatMayGiveMoneyBack: what the first of two spent
// budgets gets back lies at another instance, which must be asked again.
func TestTreasuryComesBackToABudgetThatMayGiveMoneyBack(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"), member("a2", "a"))
	f.pay("b", 100)
	f.pay("c", 10)
	f.money["a1"].wait = 5 * time.Second
	time.Sleep(4 * bbledger.TickInterval) // both see each other
	open, err := f.money["a2"].Reserve(context.Background(), []bbunit.BudgetID{"b"}, 100)
	is.NoErr(err)
	time.AfterFunc(time.Second, func() { open.End(0) })
	h, err := f.money["a1"].Reserve(context.Background(), []bbunit.BudgetID{"b", "c"}, 50)
	is.NoErr(err)
	is.Equal(h.Budget, bbunit.BudgetID("b"))
	h.End(50)
}
