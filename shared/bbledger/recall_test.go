package bbledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fullyGrantedFixture returns a fixture whose grantee has the whole budget of 100.
func fullyGrantedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.request(100, 0)
	f.answerLoad()
	f.answerSave()
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(100))
	return f
}

// requestAsOther sends a want of another grantee, with a recently read page.
func (f *fixture) requestAsOther(urgent bool, least int64) {
	f.requestAs(witness1, urgent, least)
}

// requestAs sends a want of a peer and answers a load of the page.
func (f *fixture) requestAs(p Peer, urgent bool, least int64) {
	f.handle(GrantRequested{From: p, Msg: &bbwire.GrantAsk{Wants: []*bbwire.Want{{Budget: "b", Amount: least, Least: least, Urgent: urgent}}}})
	if _, ok := takeAction[Load](f); ok {
		f.handle(Loaded{Page: clonePage(f.page), Rev: f.rev})
	}
}

// report sends a report of the grantee.
func (f *fixture) report(spent, returned int64) {
	f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{
		{Budget: "b", Holder: string(f.al.Holder()), Grantee: granteePeer.String(), Granted: 100, Spent: spent, Returned: returned},
	}}})
}

// runUntilEmptyReply runs the allocator until it answers that the budget is empty.
// It returns nil when it does not.
func (f *fixture) runUntilEmptyReply() *bbwire.GrantTell {
	for range 10 {
		f.tick(TickInterval)
		out := f.actions
		f.actions = nil
		for _, a := range out {
			switch a := a.(type) {
			case Load:
				f.handle(Loaded{Page: clonePage(f.page), Rev: f.rev})
			case Send:
				switch m := a.Body.(type) {
				case *bbwire.Mark:
					f.ackMark(witness1, m)
				case *bbwire.GrantTell:
					if len(m.Empty) > 0 {
						return m
					}
				}
			}
		}
	}
	return nil
}

func countRecalls(out []any) int {
	n := 0
	for _, a := range out {
		if s, ok := a.(Send); ok {
			if m, ok := s.Body.(*bbwire.GrantTell); ok {
				n += len(m.Recalls)
			}
		}
	}
	return n
}

func TestAllocatorRecallsOnlyWhenItMayHelp(t *testing.T) {
	for _, c := range []struct {
		name    string
		urgent  bool
		spent   int64
		missing bool
		want    int
	}{
		{"a request waits", true, 20, false, 1},
		{"no request waits", false, 20, false, 0},
		{"all is spent", true, 100, false, 0},
		{"the grantee is missing", true, 20, true, 0},
	} {
		f := fullyGrantedFixture(t)
		if c.missing {
			f.view = &bbmember.View{Self: f.view.Self, Members: f.view.Members[:2]}
			f.tick(0)
		}
		f.report(c.spent, 0)
		f.actions = nil
		f.requestAsOther(c.urgent, 50)
		if n := countRecalls(f.actions); n != c.want {
			t.Errorf("%s: %d recalls, want %d", c.name, n, c.want)
		}
	}
}

func TestAllocatorGrantsRecalledTokens(t *testing.T) {
	f := fullyGrantedFixture(t)
	writes := f.rev
	f.actions = nil
	f.requestAsOther(true, 50)
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Recalls[0].Grantee, witness1.String())
	for range 3 {
		f.requestAsOther(true, 50)
	}
	f.is.Equal(countRecalls(f.actions), 0) // only once in recallInterval
	f.report(20, 60)
	for range 2 {
		f.ackMark(witness1, requireAction[*bbwire.Mark](f)) // the returned amount, then the mark of the next grant
	}
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(50))
	_, ok := takeAction[Save](f)
	f.requireNone(ok)
	f.is.Equal(f.rev, writes)
}

func TestAllocatorRecallsUpToTheAckedMark(t *testing.T) {
	f := fullyGrantedFixture(t)
	f.al.allocations["b"].grant(granteePeer).granted = 40
	f.actions = nil
	f.requestAsOther(true, 50)
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(100))
}

func TestAllocatorLimitsRecallsAndNamesTheSmallestPeer(t *testing.T) {
	f := fullyGrantedFixture(t)
	f.actions = nil
	f.requestAsOther(true, 50)
	f.is.Equal(countRecalls(f.actions), 1)
	f.tick(recallWait / 2)
	f.actions = nil
	f.requestAs(Peer{"z", 1}, true, 50)
	f.requestAs(selfPeer, true, 50)
	f.is.Equal(countRecalls(f.actions), 0)
	f.tick(recallInterval - recallWait/2)
	f.is.Equal(countRecalls(f.actions), 1)
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Recalls[0].Grantee, selfPeer.String())
}

func TestAllocatorReportsWhatMayBeReturned(t *testing.T) {
	for _, c := range []struct {
		name                  string
		spent, returned, lent int64
	}{
		{"nothing is spent", 0, 0, 100},
		{"some is spent", 60, 0, 40},
		{"some was returned, too little", 60, 30, 40},
		{"all is spent", 100, 0, 0},
	} {
		f := fullyGrantedFixture(t)
		f.report(c.spent, c.returned)
		if m, ok := takeAction[*bbwire.Mark](f); ok {
			f.ackMark(witness1, m)
		}
		f.actions = nil
		f.requestAsOther(true, 101)
		m := f.runUntilEmptyReply()
		if m == nil {
			t.Fatalf("%s: no reply that the budget is empty", c.name)
		}
		if m.Lefts[0].Lent != c.lent || m.Lefts[0].Rest != 0 {
			t.Errorf("%s: reported %v, want %d", c.name, m.Lefts[0], c.lent)
		}
	}
}

func TestWalletAnswersARecall(t *testing.T) {
	for _, c := range []struct {
		name     string
		waiting  bbunit.Tokens
		grantee  string
		returned int64
	}{
		{"no request waits", 0, "z/1", 15},
		{"enough for a waiting request", 15, "a/1", 0},
		{"too little, the other grantee sorts first", 16, "a/1", 15},
		{"too little, the other grantee sorts last", 16, "z/1", 0},
	} {
		is := is.New(t)
		w, v := newTestWallet(true)
		now := time.Unix(1000, 0)
		w.HandleGrant(now, "d", grantMessage("k/1/0-1", 20))
		bal := w.Balance("b")
		is.True(bal.Reserve(5))
		if c.waiting > 0 {
			w.AddWaiter(bal, c.waiting)
		}
		out := w.HandleGrant(now, "d", &bbwire.GrantTell{Recalls: []*bbwire.Recall{{Budget: "b", Grantee: c.grantee}}})
		is.Equal(len(out), 1)
		is.Equal(out[0].To, bbunit.InstanceID("k"))
		s := out[0].Body.(*bbwire.GrantAsk).Slices[0]
		if s.Returned != c.returned || s.Granted != 20 {
			t.Errorf("%s: %v, want %d returned", c.name, s, c.returned)
		}
		is.Equal(bal.Available(), bbunit.Tokens(15-c.returned))
		if c.waiting == 0 {
			bal.demand.tokensPerSecond = 1000
			is.Equal(len(w.DueMessages(now.Add(requestInterval), v)), 0) // it does not request what it has just returned
			is.Equal(len(w.DueMessages(now.Add(refillPauseAfterRecall), v)), 1)
		}
	}
}

func TestWalletIsExhaustedOnlyWhenTooLittleMayBeReturned(t *testing.T) {
	for _, c := range []struct {
		name       string
		own, other *bbwire.Left
		exhausted  bool
	}{
		{"nothing", &bbwire.Left{}, &bbwire.Left{}, true},
		{"reserved in the own failure domain", &bbwire.Left{Lent: 10}, &bbwire.Left{}, false},
		{"reserved elsewhere", &bbwire.Left{}, &bbwire.Left{Lent: 10}, false},
		{"enough together", &bbwire.Left{Lent: 4}, &bbwire.Left{Lent: 6}, false},
		{"too little together", &bbwire.Left{Lent: 4}, &bbwire.Left{Lent: 5}, true},
		{"the page's rest counts once", &bbwire.Left{Rest: 6}, &bbwire.Left{Rest: 6}, true},
		{"with the page's rest", &bbwire.Left{Rest: 6}, &bbwire.Left{Lent: 4, Rest: 6}, false},
	} {
		is := is.New(t)
		w, v := newTestWallet(true)
		now := time.Unix(1000, 0)
		bal := w.Balance("b")
		w.AddWaiter(bal, 10)
		for d, l := range map[bbunit.DomainID]*bbwire.Left{"e": c.own, "d": c.other} {
			l.Budget = "b"
			w.HandleGrant(now, d, &bbwire.GrantTell{Empty: []string{"b"}, Lefts: []*bbwire.Left{l}})
		}
		is.True(w.AllAllocatorsEmpty(now, v, bal))
		if w.Exhausted(now, v, bal, 10) != c.exhausted {
			t.Errorf("%s: exhausted is not %v", c.name, c.exhausted)
		}
	}
}

func TestWalletAsksNoFasterWhenAllAnswerAtOnce(t *testing.T) {
	is := is.New(t)
	w, v := newTestWallet(true)
	now := time.Unix(1000, 0)
	bal := w.Balance("b")
	w.AddWaiter(bal, 10)
	asked := 0
	for range 100 {
		for range w.DueMessages(now, v) {
			asked++
		}
		for _, d := range []bbunit.DomainID{"d", "e"} {
			w.HandleGrant(now, d, &bbwire.GrantTell{Empty: []string{"b"}, Lefts: []*bbwire.Left{{Budget: "b", Lent: 50}}})
		}
	}
	is.True(asked <= 2)
}

// TestAllocatorReportsUnspentOfClosingAndUnreachableHolders checks which other holders
// on the page are counted in the answer that a budget is empty.
func TestAllocatorReportsUnspentOfClosingAndUnreachableHolders(t *testing.T) {
	for _, c := range []struct {
		name       string
		holder     bbunit.HolderID
		domain     string
		witness    Peer
		lent, rest int64
	}{
		{"a former holder id of its own", "k/1/0-9", "d", witness2, 30, 0},
		{"gone, the witness is alive", "x/7/0-1", "d", witness1, 30, 0},
		{"gone with its witness", "x/7/0-1", "d", witness2, 0, 0},
		{"alive, no longer the home", "w1/1/0-1", "d", witness2, 30, 0},
		{"alive in another failure domain", "g/1/0-1", "e", witness2, 0, 0},
		{"in a failure domain that cannot be asked", "y/1/0-1", "f", witness2, 0, 30},
	} {
		f := newFixture(t)
		f.page = &bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Paid: 100, Number: 1, Settled: 60, Holders: []*bbwire.Holder{
			{Holder: string(c.holder), Domain: c.domain, Drawn: 40, Spent: 10, Seq: 1, Witness: c.witness.String()},
		}}}}
		f.rev = 1
		f.requestAsOther(true, 50)
		var m *bbwire.GrantTell
		for _, a := range f.actions {
			if s, ok := a.(Send); ok && m == nil {
				if tell, ok := s.Body.(*bbwire.GrantTell); ok && len(tell.Empty) > 0 {
					m = tell
				}
			}
		}
		if m == nil {
			m = f.runUntilEmptyReply()
		}
		if m == nil {
			t.Errorf("%s: no answer that the budget is empty", c.name)
			continue
		}
		if l := m.Lefts[0]; l.Lent != c.lent || l.Rest != c.rest {
			t.Errorf("%s: reported %v", c.name, l)
		}
	}
}

func TestWalletTopsUpInItsOwnDomainOnly(t *testing.T) {
	is := is.New(t)
	w, v := newTestWallet(true)
	now := time.Unix(1000, 0)
	bal := w.Balance("b")
	bal.demand.tokensPerSecond = 1000
	is.Equal(w.DueMessages(now, v)[0].To, granteePeer.ID)
	w.HandleGrant(now, "e", &bbwire.GrantTell{Empty: []string{"b"}})
	is.Equal(len(w.DueMessages(now.Add(requestInterval), v)), 0)
}
