package bbledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// lentOut returns a rig whose grantee has 100, which is all that is paid.
func lentOut(t *testing.T) *rig {
	r := newRig(t)
	r.want(100, 0)
	r.load()
	r.save()
	r.ack(rigW1, need[*bbwire.Mark](r))
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(100))
	return r
}

// hungry is a want of another grantee on a page that is fresh.
func (r *rig) hungry(urgent bool, least int64) {
	r.hungryAs(rigW1, urgent, least)
}

func (r *rig) hungryAs(p Peer, urgent bool, least int64) {
	r.step(GrantRequested{From: p, Msg: &bbwire.GrantAsk{Wants: []*bbwire.Want{{Budget: "b", Amount: least, Least: least, Urgent: urgent}}}})
	if _, ok := take[Load](r); ok {
		r.step(Loaded{Page: clonePage(r.page), Rev: r.rev})
	}
}

// said is what the rig's grantee reports.
func (r *rig) said(spent, returned int64) {
	r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{
		{Budget: "b", Holder: string(r.k.Holder()), Grantee: rigG.String(), Granted: 100, Spent: spent, Returned: returned},
	}}})
}

// emptied answers the keeper until it says that the budget is empty; nil when it
// does not.
func (r *rig) emptied() *bbwire.GrantTell {
	for range 10 {
		r.tick(TickInterval)
		out := r.out
		r.out = nil
		for _, a := range out {
			switch a := a.(type) {
			case Load:
				r.step(Loaded{Page: clonePage(r.page), Rev: r.rev})
			case Send:
				switch m := a.Body.(type) {
				case *bbwire.Mark:
					r.ack(rigW1, m)
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

func recalls(out []any) int {
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

func TestKeeperRecallsOnlyWhatMayHelp(t *testing.T) {
	for _, c := range []struct {
		name   string
		urgent bool
		spent  int64
		gone   bool
		want   int
	}{
		{"a request waits", true, 20, false, 1},
		{"no request waits", false, 20, false, 0},
		{"all is spent", true, 100, false, 0},
		{"the grantee is gone", true, 20, true, 0},
	} {
		r := lentOut(t)
		if c.gone {
			r.view = &bbmember.View{Self: r.view.Self, Members: r.view.Members[:2]}
			r.tick(0)
		}
		r.said(c.spent, 0)
		r.out = nil
		r.hungry(c.urgent, 50)
		if n := recalls(r.out); n != c.want {
			t.Errorf("%s: %d recalls, want %d", c.name, n, c.want)
		}
	}
}

func TestKeeperGrantsWhatARecallBrought(t *testing.T) {
	r := lentOut(t)
	writes := r.rev
	r.out = nil
	r.hungry(true, 50)
	r.is.Equal(need[*bbwire.GrantTell](r).Recalls[0].Grantee, rigW1.String())
	for range 3 {
		r.hungry(true, 50)
	}
	r.is.Equal(recalls(r.out), 0) // not again so soon
	r.said(20, 60)
	for range 2 {
		r.ack(rigW1, need[*bbwire.Mark](r)) // what came back, then the mark of the next grant
	}
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(50))
	_, ok := take[Save](r)
	r.none(ok)
	r.is.Equal(r.rev, writes)
}

func TestKeeperRecallsWhatOnlyTheMarksSay(t *testing.T) {
	r := lentOut(t)
	r.k.accounts["b"].share(rigG).granted = 40
	r.out = nil
	r.hungry(true, 50)
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(100))
}

func TestKeeperRecallsNowAndThenForTheOneThatComesFirst(t *testing.T) {
	r := lentOut(t)
	r.out = nil
	r.hungry(true, 50)
	r.is.Equal(recalls(r.out), 1)
	r.tick(recallFor / 2)
	r.out = nil
	r.hungryAs(Peer{"z", 1}, true, 50)
	r.hungryAs(rigSelf, true, 50)
	r.is.Equal(recalls(r.out), 0)
	r.tick(recallEvery - recallFor/2)
	r.is.Equal(recalls(r.out), 1)
	r.is.Equal(need[*bbwire.GrantTell](r).Recalls[0].Grantee, rigSelf.String())
}

func TestKeeperTellsWhatMayComeBack(t *testing.T) {
	for _, c := range []struct {
		name                  string
		spent, returned, lent int64
	}{
		{"nothing is spent", 0, 0, 100},
		{"some is spent", 60, 0, 40},
		{"some came back, too little", 60, 30, 40},
		{"all is spent", 100, 0, 0},
	} {
		r := lentOut(t)
		r.said(c.spent, c.returned)
		if m, ok := take[*bbwire.Mark](r); ok {
			r.ack(rigW1, m)
		}
		r.out = nil
		r.hungry(true, 101)
		m := r.emptied()
		if m == nil {
			t.Fatalf("%s: not told", c.name)
		}
		if m.Lefts[0].Lent != c.lent || m.Lefts[0].Rest != 0 {
			t.Errorf("%s: told %v, want %d", c.name, m.Lefts[0], c.lent)
		}
	}
}

func TestPurseReturnsWhatItIsAskedFor(t *testing.T) {
	for _, c := range []struct {
		name     string
		waits    bbunit.Tokens
		grantee  string
		returned int64
	}{
		{"no request waits", 0, "z/1", 15},
		{"there is enough for one that waits", 15, "a/1", 0},
		{"too little, for one that comes first", 16, "a/1", 15},
		{"too little, for one that comes after", 16, "z/1", 0},
	} {
		is := is.New(t)
		p, v := newTestPurse(true)
		now := time.Unix(1000, 0)
		p.HandleGrant(now, "d", grantOf("k/1/0-1", 20))
		pot := p.Balance("b")
		is.True(pot.Reserve(5))
		if c.waits > 0 {
			p.AddWaiter(pot, c.waits)
		}
		out := p.HandleGrant(now, "d", &bbwire.GrantTell{Recalls: []*bbwire.Recall{{Budget: "b", Grantee: c.grantee}}})
		is.Equal(len(out), 1)
		is.Equal(out[0].To, bbunit.InstanceID("k"))
		s := out[0].Body.(*bbwire.GrantAsk).Slices[0]
		if s.Returned != c.returned || s.Granted != 20 {
			t.Errorf("%s: %v, want %d returned", c.name, s, c.returned)
		}
		is.Equal(pot.Free(), bbunit.Tokens(15-c.returned))
		if c.waits == 0 {
			pot.rate.perSec = 1000
			is.Equal(len(p.DueMessages(now.Add(askEvery), v)), 0) // it does not ask back what it returned
			is.Equal(len(p.DueMessages(now.Add(recallCalm), v)), 1)
		}
	}
}

func TestPurseIsExhaustedOnlyWhenNothingMayComeBack(t *testing.T) {
	for _, c := range []struct {
		name       string
		own, other *bbwire.Left
		exhausted  bool
	}{
		{"nothing", &bbwire.Left{}, &bbwire.Left{}, true},
		{"reserved at home", &bbwire.Left{Lent: 10}, &bbwire.Left{}, false},
		{"reserved elsewhere", &bbwire.Left{}, &bbwire.Left{Lent: 10}, false},
		{"enough together", &bbwire.Left{Lent: 4}, &bbwire.Left{Lent: 6}, false},
		{"too little together", &bbwire.Left{Lent: 4}, &bbwire.Left{Lent: 5}, true},
		{"the page's rest counts once", &bbwire.Left{Rest: 6}, &bbwire.Left{Rest: 6}, true},
		{"with the page's rest", &bbwire.Left{Rest: 6}, &bbwire.Left{Lent: 4, Rest: 6}, false},
	} {
		is := is.New(t)
		p, v := newTestPurse(true)
		now := time.Unix(1000, 0)
		pot := p.Balance("b")
		p.AddWaiter(pot, 10)
		for d, l := range map[bbunit.DomainID]*bbwire.Left{"e": c.own, "d": c.other} {
			l.Budget = "b"
			p.HandleGrant(now, d, &bbwire.GrantTell{Empty: []string{"b"}, Lefts: []*bbwire.Left{l}})
		}
		is.True(p.AllAllocatorsEmpty(now, v, pot))
		if p.Exhausted(now, v, pot, 10) != c.exhausted {
			t.Errorf("%s: exhausted is not %v", c.name, c.exhausted)
		}
	}
}

func TestPurseAsksNoFasterWhenAllAnswerAtOnce(t *testing.T) {
	is := is.New(t)
	p, v := newTestPurse(true)
	now := time.Unix(1000, 0)
	pot := p.Balance("b")
	p.AddWaiter(pot, 10)
	asked := 0
	for range 100 {
		for range p.DueMessages(now, v) {
			asked++
		}
		for _, d := range []bbunit.DomainID{"d", "e"} {
			p.HandleGrant(now, d, &bbwire.GrantTell{Empty: []string{"b"}, Lefts: []*bbwire.Left{{Budget: "b", Lent: 50}}})
		}
	}
	is.True(asked <= 2)
}

// TestKeeperTellsWhatClosingAndCutOffHoldersHave looks at what an answer counts of
// other holders on the page.
func TestKeeperTellsWhatClosingAndCutOffHoldersHave(t *testing.T) {
	for _, c := range []struct {
		name       string
		holder     bbunit.HolderID
		domain     string
		witness    Peer
		lent, rest int64
	}{
		{"an older one of its own", "k/1/0-9", "d", rigW2, 30, 0},
		{"gone, the witness lives", "x/7/0-1", "d", rigW1, 30, 0},
		{"gone with its witness", "x/7/0-1", "d", rigW2, 0, 0},
		{"alive", "w1/1/0-1", "d", rigW2, 0, 0},
		{"alive in another failure domain", "g/1/0-1", "e", rigW2, 0, 0},
		{"in a failure domain that cannot be asked", "y/1/0-1", "f", rigW2, 0, 30},
	} {
		r := newRig(t)
		r.page = &bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Paid: 100, Number: 1, Settled: 60, Holders: []*bbwire.Holder{
			{Holder: string(c.holder), Domain: c.domain, Drawn: 40, Spent: 10, Seq: 1, Witness: c.witness.String()},
		}}}}
		r.rev = 1
		r.hungry(true, 50)
		var m *bbwire.GrantTell
		for _, a := range r.out {
			if s, ok := a.(Send); ok && m == nil {
				m, _ = s.Body.(*bbwire.GrantTell)
			}
		}
		if m == nil {
			m = r.emptied()
		}
		if l := m.Lefts[0]; l.Lent != c.lent || l.Rest != c.rest {
			t.Errorf("%s: told %v", c.name, l)
		}
	}
}

func TestPurseTopsUpInItsOwnDomainOnly(t *testing.T) {
	is := is.New(t)
	p, v := newTestPurse(true)
	now := time.Unix(1000, 0)
	pot := p.Balance("b")
	pot.rate.perSec = 1000
	is.Equal(p.DueMessages(now, v)[0].To, rigG.ID)
	p.HandleGrant(now, "e", &bbwire.GrantTell{Empty: []string{"b"}})
	is.Equal(len(p.DueMessages(now.Add(askEvery), v)), 0)
}
