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

func TestAllocatorGrantsNothingBeforeTheWitnessAcknowledges(t *testing.T) {
	f := newFixture(t)
	f.request(10, 0)
	f.answerLoad()
	f.answerSave()
	m := requireAction[*bbwire.Mark](f)
	f.is.Equal(m.Slices[0].Granted, int64(10))
	for _, c := range []struct {
		name string
		from Peer
		ack  *bbwire.MarkAck
	}{
		{"another peer", witness2, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}},
		{"another incarnation of the witness", Peer{witness1.ID, 2}, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}},
		{"another mark", witness1, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq + 1}},
		{"another holder", witness1, &bbwire.MarkAck{Holder: "x", Seq: m.Seq}},
	} {
		f.handle(MarkAcked{From: c.from, Msg: c.ack})
		_, ok := takeAction[*bbwire.GrantTell](f)
		if ok {
			t.Errorf("granted on an acknowledgement of %s", c.name)
		}
	}
	f.ackMark(witness1, m)
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(10))
}

func TestAllocatorRetiresWhenItsWitnessIsFrozen(t *testing.T) {
	f := grantedFixture(t)
	old := f.al.Holder()
	f.request(10, 10)
	f.answerSave()
	m := requireAction[*bbwire.Mark](f)
	f.handle(MarkAcked{From: witness1, Msg: &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq, Frozen: true}})
	f.is.True(f.al.Holder() != old)
	_, ok := takeAction[*bbwire.GrantTell](f)
	f.requireNone(ok)
}

func TestAllocatorChangesItsWitness(t *testing.T) {
	f := grantedFixture(t)
	f.request(10, 10)
	f.answerSave()
	before := requireAction[*bbwire.Mark](f)
	f.view = &bbmember.View{Self: f.view.Self, Members: append(f.view.Members[:1:1], memberOf(witness2, "d"), memberOf(granteePeer, "e"))}
	f.tick(TickInterval)
	copied := requireAction[*bbwire.Mark](f)
	f.is.True(copied.Slices[0].Granted >= 20) // all that the old witness may have acknowledged
	f.ackMark(witness1, before)
	_, ok := takeAction[*bbwire.GrantTell](f)
	f.requireNone(ok) // the change has begun
	_, ok = takeAction[Save](f)
	f.requireNone(ok) // the new witness does not have the marks yet
	f.ackMark(witness2, copied)
	a := requireAction[Save](f)
	f.is.Equal(findHolder(findEntry(a.Page, "b"), f.al.Holder()).Witness, witness2.String())
	f.ackMark(witness1, before)
	f.ackMark(witness2, copied)
	_, ok = takeAction[*bbwire.GrantTell](f)
	f.requireNone(ok) // the outcome of the change is not read yet
	f.page, f.rev = clonePage(a.Page), f.rev+1
	f.handle(Saved{Err: bbstore.ErrUnknown})
	f.ackMark(witness1, before)
	f.tick(minBackoff)
	f.answerLoad()
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(20))
}

func TestAllocatorAssumesTheSmallerDrawAfterAnUnknownWrite(t *testing.T) {
	f := grantedFixture(t)
	f.request(10, 10)
	late := requireAction[Save](f)
	f.handle(Saved{Err: bbstore.ErrUnknown})
	f.tick(minBackoff)
	f.answerLoad() // the write has not taken effect yet
	again := requireAction[Save](f)
	f.is.Equal(again.Prev, late.Prev)
	_, ok := takeAction[*bbwire.Mark](f)
	f.requireNone(ok) // the uncertain draw must not be granted
	f.page, f.rev = clonePage(late.Page), f.rev+1
	f.handle(Saved{Err: bbstore.ErrConflict})
	f.answerLoad()
	f.is.Equal(requireAction[*bbwire.Mark](f).Slices[0].Granted, int64(20))
}

func TestAllocatorCountsALoweredDrawAtOnceAfterAnUnknownWrite(t *testing.T) {
	f := grantedFixture(t)
	// The grantee returns all, the witness learns it, and nothing is wanted.
	f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(f.al.Holder()), Grantee: granteePeer.String(), Granted: 10, Returned: 10}}}})
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	var lower Save
	for lower.Page == nil {
		f.tick(TickInterval)
		a, ok := takeAction[Save](f)
		if !ok {
			continue
		}
		if findHolder(findEntry(a.Page, "b"), f.al.Holder()).Drawn < f.holder().Drawn {
			lower = a
			break
		}
		f.page, f.rev = clonePage(a.Page), f.rev+1
		f.handle(Saved{Rev: f.rev})
	}
	f.handle(Saved{Err: bbstore.ErrUnknown})
	f.tick(minBackoff)
	f.answerLoad() // the write has not taken effect, but still may
	f.actions = nil
	f.request(10, 10)
	_, ok := takeAction[*bbwire.Mark](f)
	f.requireNone(ok) // the larger draw may be lowered at any moment
}

func TestAllocatorReusesReturnsOnceTheWitnessAcknowledged(t *testing.T) {
	f := grantedFixture(t)
	drawn := f.holder().Drawn
	f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(f.al.Holder()), Grantee: granteePeer.String(), Granted: 10, Returned: 10}}}})
	m := requireAction[*bbwire.Mark](f)
	f.is.Equal(m.Slices[0].Returned, int64(10))
	a := f.al.allocations["b"]
	f.is.True(a.exposure() >= 10)
	f.ackMark(witness1, m)
	f.is.Equal(a.headroom(), bbunit.Tokens(drawn))
}

func TestAllocatorTakesANewHolderIDWhenAnUnknownWriteWasClosed(t *testing.T) {
	f := newFixture(t)
	f.request(10, 0)
	f.answerLoad()
	requireAction[Save](f)
	old := f.al.Holder()
	f.handle(Saved{Err: bbstore.ErrUnknown})
	f.rev += 2 // it took effect, and another allocator closed the holder
	f.tick(minBackoff)
	f.answerLoad()
	f.is.True(f.al.Holder() != old)
}

func TestAllocatorRepeatsALostGrantInsteadOfGrantingTwice(t *testing.T) {
	f := grantedFixture(t)
	f.request(10, 0) // the grantee has not seen the answer
	tell := requireAction[*bbwire.GrantTell](f)
	f.is.Equal(tell.Slices[0].Granted, int64(10))
}

func TestAllocatorAnswersEmptyOnlyFromAFreshPage(t *testing.T) {
	f := grantedFixture(t)
	f.now = f.now.Add(time.Second)
	f.request(1000, 10)
	_, ok := takeAction[*bbwire.GrantTell](f)
	f.requireNone(ok)
	f.answerLoad()
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Empty, []string{"b"})
}

func TestAllocatorIgnoresReportsAboveTheGrant(t *testing.T) {
	for _, s := range []*bbwire.Slice{
		{Spent: -1},
		{Returned: -1},
		{Spent: 11},
		{Spent: 6, Returned: 5},
		{Returned: 11},
		{Spent: 1 << 62, Returned: 1 << 62},
	} {
		f := grantedFixture(t)
		s.Budget, s.Holder, s.Grantee = "b", string(f.al.Holder()), granteePeer.String()
		f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{s}}})
		x := f.al.allocations["b"].grant(granteePeer)
		f.is.Equal(x.spent+x.returned, bbunit.Tokens(0))
	}
}

// closingFixture returns a fixture that closes a dead holder with 50 drawn, and the
// grantee's final report. answerFreeze gives the grantee's mark, 30.
func closingFixture(t *testing.T) (*fixture, *bbwire.SurrenderTell) {
	f := newFixture(t)
	f.page = &bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Paid: 100, Number: 1, Holders: []*bbwire.Holder{
		{Holder: "x/7/0-1", Instance: "x", Domain: "d", Drawn: 50, Seq: 1, Witness: witness1.String()},
	}}}}
	f.rev = 1
	f.handle(Refresh{})
	f.answerLoad()
	f.tick(TickInterval)
	f.tick(closeDelay)
	requireAction[*bbwire.Freeze](f)
	return f, &bbwire.SurrenderTell{Holder: "x/7/0-1", Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: granteePeer.String(), Granted: 20, Spent: 15, Returned: 5},
	}}
}

func (f *fixture) answerFreeze(from Peer) {
	f.handle(Frozen{From: from, Msg: &bbwire.FreezeTell{Holder: "x/7/0-1", Known: true, Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: granteePeer.String(), Granted: 30},
	}}})
}

func TestClosingSettlesWhatTheGranteeSpent(t *testing.T) {
	f, final := closingFixture(t)
	f.answerFreeze(witness2)
	f.answerFreeze(Peer{witness1.ID, 2})
	_, ok := takeAction[*bbwire.Surrender](f)
	f.requireNone(ok) // only the witness named on the page counts
	f.answerFreeze(witness1)
	requireAction[*bbwire.Surrender](f)
	f.handle(Surrendered{From: granteePeer, Msg: final})
	f.answerSave()
	e := findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(15))
	f.is.Equal(Charged(e), bbunit.Tokens(15))
}

func TestClosingCountsASilentGranteeAsStuckUntilItAnswers(t *testing.T) {
	f, final := closingFixture(t)
	f.answerFreeze(witness1)
	f.tick(surrenderTimeout)
	f.answerSave()
	e := findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(0))
	f.is.Equal(e.Stuck[0].Amount, int64(30))
	f.actions = nil
	f.tick(stuckRetryInterval)
	requireAction[*bbwire.Surrender](f)
	f.handle(Surrendered{From: granteePeer, Msg: final})
	f.answerSave()
	e = findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(15))
	f.is.Equal(len(e.Stuck), 0)
	f.handle(Surrendered{From: granteePeer, Msg: final})
	_, ok := takeAction[Save](f)
	f.requireNone(ok) // already settled
}

func TestClosingRestartsWhenTheHolderChangedItsWitness(t *testing.T) {
	f, final := closingFixture(t)
	f.answerFreeze(witness1)
	h := findEntry(f.page, "b").Holders[0]
	h.Witness, h.Drawn = witness2.String(), 60
	f.rev++
	f.handle(Surrendered{From: granteePeer, Msg: final})
	requireAction[Save](f)
	f.handle(Saved{Err: bbstore.ErrConflict})
	f.answerLoad()
	_, ok := takeAction[Save](f)
	f.requireNone(ok) // the valid marks are with another witness
	f.view = &bbmember.View{Self: f.view.Self, Members: append(f.view.Members[:len(f.view.Members):len(f.view.Members)], memberOf(witness2, "d"))}
	f.tick(TickInterval)
	f.tick(resendInterval)
	requireAction[*bbwire.Freeze](f)
}

func TestClosingLeavesAHolderWhoseWitnessIsGoneToTheOperator(t *testing.T) {
	f, _ := closingFixture(t)
	f.view = &bbmember.View{Self: f.view.Self, Members: f.view.Members[:1]}
	for range 100 {
		f.tick(time.Second)
	}
	_, ok := takeAction[Save](f)
	f.requireNone(ok)
	f.is.Equal(f.al.Status().Lost, []bbunit.HolderID{"x/7/0-1"})
}

func TestAllocatorRecordsTheSliceOfALostGranteeAsStuck(t *testing.T) {
	f := grantedFixture(t)
	h := f.al.Holder()
	f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(h), Grantee: granteePeer.String(), Granted: 10, Spent: 4, Returned: 1}}}})
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	charged := Charged(findEntry(f.page, "b"))
	all := f.view
	f.view = &bbmember.View{Self: all.Self, Members: all.Members[:2]}
	f.tick(TickInterval)
	if f.al.callInFlight {
		f.answerSave()
	}
	f.tick(stuckDelay)
	f.answerSave()
	e := findEntry(f.page, "b")
	f.is.True(Charged(e) >= charged) // tokens are never freed by time alone
	f.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(5))
	f.is.Equal(StatusOf(e).Spent, bbunit.Tokens(4))
	f.tick(TickInterval)

	// The grantee was only unreachable: it accounts for its slice and gets a new one.
	f.view = all
	final := &bbwire.SurrenderTell{Holder: string(h), Slices: []*bbwire.Slice{{Budget: "b", Holder: string(h), Grantee: granteePeer.String(), Granted: 10, Spent: 7, Returned: 3}}}
	f.request(10, 10)
	f.is.True(f.al.Holder() != h)
	f.handle(Surrendered{From: granteePeer, Msg: final})
	for range 50 {
		f.tick(resendInterval)
		if _, ok := takeAction[Load](f); ok {
			f.handle(Loaded{Page: clonePage(f.page), Rev: f.rev})
		}
		if a, ok := takeAction[Save](f); ok {
			f.page, f.rev = clonePage(a.Page), f.rev+1
			f.handle(Saved{Rev: f.rev})
		}
		f.handle(Surrendered{From: granteePeer, Msg: final})
	}
	e = findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(7))
	f.is.Equal(len(e.Stuck), 0)
}

func TestClosingDoesNotCountAStuckGranteeTwice(t *testing.T) {
	f, _ := closingFixture(t)
	e := findEntry(f.page, "b")
	e.Holders[0].Drawn -= 30
	addStuck(e, "x/7/0-1", granteePeer, 20, 10)
	f.rev++
	f.handle(Refresh{})
	f.answerLoad()
	before := Charged(e)
	f.answerFreeze(witness1)
	f.tick(surrenderTimeout)
	f.answerSave()
	e = findEntry(f.page, "b")
	f.is.Equal(Charged(e), before-20) // the holder's own 20, which were not granted
	f.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(20))
}

func TestClosingDoesNotCountASettledGranteeAgain(t *testing.T) {
	f, _ := closingFixture(t)
	e := findEntry(f.page, "b")
	e.Holders[0].Drawn -= 30
	addStuck(e, "x/7/0-1", granteePeer, 20, 10)
	f.rev++
	f.handle(Refresh{})
	f.answerLoad()
	// The grantee accounts for its slice while its holder is still on the page.
	f.handle(Surrendered{From: granteePeer, Msg: &bbwire.SurrenderTell{Holder: "x/7/0-1", Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: granteePeer.String(), Granted: 30, Spent: 25, Returned: 5},
	}}})
	f.answerSave()
	e = findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(25))
	f.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(0))
	f.answerFreeze(witness1)
	f.tick(surrenderTimeout)
	f.answerSave()
	e = findEntry(f.page, "b")
	f.is.Equal(e.Settled, int64(25))
	f.is.Equal(Charged(e), bbunit.Tokens(25))
	f.is.Equal(len(e.Stuck), 0) // the amount of 0 is dropped together with the holder
}

func TestClosingIgnoresReportsAboveTheMark(t *testing.T) {
	for _, s := range []*bbwire.Slice{
		{Spent: 31}, {Returned: 31}, {Spent: 20, Returned: 20}, {Spent: -5}, {Returned: -5},
	} {
		f, _ := closingFixture(t)
		f.answerFreeze(witness1)
		s.Budget, s.Holder, s.Grantee = "b", "x/7/0-1", granteePeer.String()
		f.handle(GrantRequested{From: granteePeer, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{s}}})
		f.tick(surrenderTimeout)
		f.answerSave()
		e := findEntry(f.page, "b")
		f.is.Equal(Charged(e), bbunit.Tokens(30)) // the mark, regardless of the report
	}
}

// TestAllocatorClosedIgnoresHoldersOfOthers: a retired allocator must not wait for
// the holder of another instance, which cannot be closed while its witness is gone.
// Otherwise the instance would not finish draining.
func TestAllocatorClosedIgnoresHoldersOfOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.al.closings["gone/1/1"] = &holderClosing{holder: "gone/1/1", finalReports: map[Peer][]*bbwire.Slice{}}
	f.handle(Retire{})
	is.True(f.al.closings["gone/1/1"] != nil)
	for id, c := range f.al.closings {
		if c.own {
			delete(f.al.closings, id) // as after the page was written
		}
	}
	f.al.callInFlight, f.al.writeUncertain = false, false
	is.True(f.al.Closed())
}
