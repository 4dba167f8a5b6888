package bbledger

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

func newTestWallet(borrow bool) (*Wallet, *bbmember.View) {
	self := memberOf(granteePeer, "e")
	v := &bbmember.View{Self: self, Members: []bbmember.Member{self, memberOf(selfPeer, "d")}}
	return NewWallet(self, Policy{GrantHorizon: time.Second, Borrow: borrow}), v
}

func grantMessage(h bbunit.HolderID, n int64) *bbwire.GrantTell {
	return &bbwire.GrantTell{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(h), Grantee: granteePeer.String(), Granted: n}}}
}

func TestWalletTakesEachGrantOnce(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWallet(true)
	now := time.Unix(1000, 0)
	for _, n := range []int64{10, 10, 4, 25, 10} {
		w.HandleGrant(now, "d", grantMessage("k/1/0-1", n))
	}
	is.Equal(w.Balance("b").Available(), bbunit.Tokens(25))
	other := grantMessage("k/1/0-1", 99)
	other.Slices[0].Grantee = "g/2"
	w.HandleGrant(now, "d", other)
	is.Equal(w.Balance("b").Available(), bbunit.Tokens(25)) // granted to another incarnation
}

func TestWalletSurrenderIsFinal(t *testing.T) {
	is := is.New(t)
	w, v := newTestWallet(true)
	now := time.Unix(1000, 0)
	w.HandleGrant(now, "d", grantMessage("k/1/0-1", 20))
	bal := w.Balance("b")
	is.True(bal.Reserve(5))
	s := w.Surrender("k/1/0-1").Slices[0]
	is.Equal([]int64{s.Granted, s.Spent, s.Returned}, []int64{20, 0, 15}) // 5 are reserved by an open request
	replies := w.HandleGrant(now, "d", grantMessage("k/1/0-1", 50))
	is.Equal(bal.Available(), bbunit.Tokens(0)) // a late grant
	is.Equal(len(replies), 1)                   // its allocator gets the surrender again
	is.True(!bal.addGrant("k/1/0-1", 50))
	bal.Commit(5, 3)
	w.DueMessages(now, v)
	s = w.Surrender("k/1/0-1").Slices[0]
	is.Equal([]int64{s.Granted, s.Spent, s.Returned}, []int64{20, 3, 17})

	w.Surrender("k/1/0-2") // before any grant of it
	w.HandleGrant(now, "d", grantMessage("k/1/0-2", 50))
	is.Equal(bal.Available(), bbunit.Tokens(0))
}

func TestBalanceClampsSpendToTheReservation(t *testing.T) {
	for _, c := range []struct{ reserved, used, spent, free bbunit.Tokens }{
		{10, 4, 4, 16},
		{10, 10, 10, 10},
		{10, 11, 10, 10},
		{10, -3, 0, 20},
		{0, 5, 0, 20},
	} {
		is := is.New(t)
		w, _ := newTestWallet(true)
		w.HandleGrant(time.Unix(1000, 0), "d", grantMessage("k/1/0-1", 20))
		bal := w.Balance("b")
		is.True(bal.Reserve(c.reserved))
		bal.Commit(c.reserved, c.used)
		bal.attributeSpent()
		is.Equal(bal.slices[0].spent, c.spent)
		is.Equal(bal.Available(), c.free)
		is.True(!bal.Reserve(-1))
		is.True(!bal.Reserve(21))
	}
}

func TestBalanceReservesNoMoreThanItHasUnderRace(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWallet(true)
	w.HandleGrant(time.Unix(1000, 0), "d", grantMessage("k/1/0-1", 1000))
	bal := w.Balance("b")
	var wg sync.WaitGroup
	spent := make([]bbunit.Tokens, 8)
	for i := range spent {
		wg.Go(func() {
			for n := range 500 {
				if bal.Reserve(3) {
					bal.Commit(3, bbunit.Tokens(n%4))
					spent[i] += bbunit.Tokens(min(n%4, 3))
				}
			}
		})
	}
	wg.Wait()
	bal.attributeSpent()
	var all bbunit.Tokens
	for _, n := range spent {
		all += n
	}
	is.Equal(bal.slices[0].spent, all)
	is.True(all <= 1000)
	is.Equal(bal.Available(), 1000-all)
}

func TestWalletAsksItsOwnDomainFirstThenBorrows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, borrow := range []bool{true, false} {
		w, v := newTestWallet(borrow)
		bal := w.Balance("b")
		w.AddWaiter(bal, 10)
		first := w.DueMessages(now, v)
		is.Equal(first[0].To, granteePeer.ID)
		is.True(!first[0].Body.(*bbwire.GrantAsk).Wants[0].Borrow)
		is.Equal(len(w.DueMessages(now, v)), 0) // no second request at the same time
		w.HandleGrant(now, "e", &bbwire.GrantTell{Empty: []string{"b"}})
		is.Equal(w.Exhausted(now, v, bal, 10), !borrow)
		if !borrow {
			continue
		}
		second := w.DueMessages(now, v)
		is.Equal(second[0].To, selfPeer.ID)
		is.True(second[0].Body.(*bbwire.GrantAsk).Wants[0].Borrow)
		w.HandleGrant(now, "d", &bbwire.GrantTell{Empty: []string{"b"}})
		is.True(w.Exhausted(now, v, bal, 10))
		is.True(!w.Exhausted(now.Add(2*emptyReplyTTL), v, bal, 10)) // the answers have expired
	}
}

func TestWitnessKeepsHoldersFrozen(t *testing.T) {
	is := is.New(t)
	var w Witness
	mark := func(n int64) *bbwire.Mark {
		return &bbwire.Mark{Holder: "h", Seq: uint64(n), Slices: []*bbwire.Slice{{Budget: "b", Grantee: "g/1", Granted: n}}}
	}
	is.True(!w.Mark(mark(10)).Frozen)
	is.True(!w.Mark(mark(4)).Frozen) // an older mark, delivered late
	f := w.Freeze(&bbwire.Freeze{Holder: "h"})
	is.True(f.Known)
	is.Equal(f.Slices[0].Granted, int64(10))
	is.True(w.Mark(mark(20)).Frozen)
	is.Equal(w.Freeze(&bbwire.Freeze{Holder: "h"}).Slices[0].Granted, int64(10))
	is.True(!w.Freeze(&bbwire.Freeze{Holder: "x"}).Known)
	is.True(w.Mark(&bbwire.Mark{Holder: "x"}).Frozen) // frozen before its first mark
}
