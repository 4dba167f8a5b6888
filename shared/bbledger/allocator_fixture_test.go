package bbledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fixture runs one Allocator; the test answers all its messages and store calls.
type fixture struct {
	is      *is.I
	al      *Allocator
	now     time.Time
	view    *bbmember.View
	actions []any
	page    *bbwire.Page
	rev     bbstore.Revision
}

var (
	selfPeer    = Peer{"k", 1}
	witness1    = Peer{"w1", 1}
	witness2    = Peer{"w2", 1}
	granteePeer = Peer{"g", 1}
)

func memberOf(p Peer, d bbunit.DomainID) bbmember.Member {
	return bbmember.Member{ID: p.ID, Inc: p.Inc, Domain: d}
}

// newFixture returns an allocator on the page's home, with witness1 as the only
// possible witness and a paid amount of 100.
func newFixture(t *testing.T) *fixture {
	self := memberOf(selfPeer, "d")
	var n uint64
	f := &fixture{is: is.New(t), now: time.Unix(1000, 0), page: &bbwire.Page{}}
	f.view = &bbmember.View{Self: self, Members: []bbmember.Member{self, memberOf(witness1, "d"), memberOf(granteePeer, "e")}}
	f.al = NewAllocator(PageOf("b"), self, simPolicy, func() uint64 { n++; return n })
	f.tick(0)
	return f
}

func (f *fixture) handle(ev any) { f.actions = append(f.actions, f.al.Step(f.now, ev)...) }

func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.handle(Tick{View: f.view, State: (&bbticket.State{}).Apply(bbticket.Ticket{Number: 1, Budgets: []bbticket.Budget{{ID: "b", Paid: 100}}})})
}

// request sends a want of the grantee, which has received granted so far.
func (f *fixture) request(amount, granted int64) {
	ask := &bbwire.GrantAsk{Wants: []*bbwire.Want{{Budget: "b", Amount: amount, Least: amount}}}
	if granted > 0 {
		ask.Slices = []*bbwire.Slice{{Budget: "b", Holder: string(f.al.Holder()), Grantee: granteePeer.String(), Granted: granted}}
	}
	f.handle(GrantRequested{From: granteePeer, Msg: ask})
}

// takeAction returns the last action or message of type T and removes it together
// with all earlier ones.
func takeAction[T any](f *fixture) (T, bool) {
	for i := len(f.actions) - 1; i >= 0; i-- {
		if a, ok := f.actions[i].(T); ok {
			f.actions = f.actions[i+1:]
			return a, true
		}
		if s, ok := f.actions[i].(Send); ok {
			if m, ok := s.Body.(T); ok {
				f.actions = f.actions[i+1:]
				return m, true
			}
		}
	}
	var none T
	return none, false
}

// requireAction is takeAction, but fails the test when there is none.
func requireAction[T any](f *fixture) T {
	a, ok := takeAction[T](f)
	if !ok {
		f.is.Helper()
		f.is.True(ok) // the action was expected
	}
	return a
}

func (f *fixture) requireNone(ok bool) {
	f.is.Helper()
	f.is.True(!ok) // the action must not be taken
}

func (f *fixture) answerLoad() {
	requireAction[Load](f)
	f.handle(Loaded{Page: clonePage(f.page), Rev: f.rev})
}

func (f *fixture) answerSave() {
	a := requireAction[Save](f)
	f.is.Equal(a.Prev, f.rev)
	f.page, f.rev = clonePage(a.Page), f.rev+1
	f.handle(Saved{Rev: f.rev})
}

func (f *fixture) ackMark(from Peer, m *bbwire.Mark) {
	f.handle(MarkAcked{From: from, Msg: &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}})
}

// grantedFixture returns a fixture whose grantee has been granted 10, acknowledged by
// witness1.
func grantedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.request(10, 0)
	f.answerLoad()
	f.answerSave()
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(10))
	return f
}

func (f *fixture) holder() *bbwire.Holder {
	return findHolder(findEntry(f.page, "b"), f.al.Holder())
}
