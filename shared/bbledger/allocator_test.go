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

// rig is one keeper whose every message and store call the test answers.
type rig struct {
	is   *is.I
	k    *Allocator
	now  time.Time
	view *bbmember.View
	out  []any
	page *bbwire.Page
	rev  bbstore.Revision
}

var (
	rigSelf = Peer{"k", 1}
	rigW1   = Peer{"w1", 1}
	rigW2   = Peer{"w2", 1}
	rigG    = Peer{"g", 1}
)

func rigMember(p Peer, d bbunit.DomainID) bbmember.Member {
	return bbmember.Member{ID: p.ID, Inc: p.Inc, Domain: d}
}

// newRig returns a keeper that is home, with one possible witness.
func newRig(t *testing.T) *rig {
	self := rigMember(rigSelf, "d")
	var n uint64
	r := &rig{is: is.New(t), now: time.Unix(1000, 0), page: &bbwire.Page{}}
	r.view = &bbmember.View{Self: self, Members: []bbmember.Member{self, rigMember(rigW1, "d"), rigMember(rigG, "e")}}
	r.k = NewAllocator(PageOf("b"), self, simPolicy, func() uint64 { n++; return n })
	r.tick(0)
	return r
}

func (r *rig) step(ev any) { r.out = append(r.out, r.k.Step(r.now, ev)...) }

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.step(Tick{View: r.view, State: (&bbticket.State{}).Apply(bbticket.Ticket{Number: 1, Budgets: []bbticket.Budget{{ID: "b", Paid: 100}}})})
}

// want asks for an amount for the grantee, who knows of granted so far.
func (r *rig) want(amount, granted int64) {
	ask := &bbwire.GrantAsk{Wants: []*bbwire.Want{{Budget: "b", Amount: amount, Least: amount}}}
	if granted > 0 {
		ask.Slices = []*bbwire.Slice{{Budget: "b", Holder: string(r.k.Holder()), Grantee: rigG.String(), Granted: granted}}
	}
	r.step(GrantRequested{From: rigG, Msg: ask})
}

// take returns the last action of type T, and forgets it with all before it.
func take[T any](r *rig) (T, bool) {
	for i := len(r.out) - 1; i >= 0; i-- {
		if a, ok := r.out[i].(T); ok {
			r.out = r.out[i+1:]
			return a, true
		}
		if s, ok := r.out[i].(Send); ok {
			if m, ok := s.Body.(T); ok {
				r.out = r.out[i+1:]
				return m, true
			}
		}
	}
	var none T
	return none, false
}

func need[T any](r *rig) T {
	a, ok := take[T](r)
	if !ok {
		r.is.Helper()
		r.is.True(ok) // the action was expected
	}
	return a
}

func (r *rig) none(ok bool) {
	r.is.Helper()
	r.is.True(!ok) // the action must not be taken
}

func (r *rig) load() {
	need[Load](r)
	r.step(Loaded{Page: clonePage(r.page), Rev: r.rev})
}

func (r *rig) save() {
	a := need[Save](r)
	r.is.Equal(a.Prev, r.rev)
	r.page, r.rev = clonePage(a.Page), r.rev+1
	r.step(Saved{Rev: r.rev})
}

func (r *rig) ack(from Peer, m *bbwire.Mark) {
	r.step(MarkAcked{From: from, Msg: &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}})
}

// opened returns a rig whose grantee has been granted 10 under witness w1.
func opened(t *testing.T) *rig {
	r := newRig(t)
	r.want(10, 0)
	r.load()
	r.save()
	r.ack(rigW1, need[*bbwire.Mark](r))
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(10))
	return r
}

func (r *rig) holder() *bbwire.Holder {
	return findHolder(findEntry(r.page, "b"), r.k.Holder())
}

func TestKeeperHandsOutNothingBeforeTheWitnessKnows(t *testing.T) {
	r := newRig(t)
	r.want(10, 0)
	r.load()
	r.save()
	m := need[*bbwire.Mark](r)
	r.is.Equal(m.Slices[0].Granted, int64(10))
	for _, c := range []struct {
		name string
		from Peer
		ack  *bbwire.MarkAck
	}{
		{"another peer", rigW2, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}},
		{"another life of the witness", Peer{rigW1.ID, 2}, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq}},
		{"another mark", rigW1, &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq + 1}},
		{"another holder", rigW1, &bbwire.MarkAck{Holder: "x", Seq: m.Seq}},
	} {
		r.step(MarkAcked{From: c.from, Msg: c.ack})
		_, ok := take[*bbwire.GrantTell](r)
		if ok {
			t.Errorf("granted on the word of %s", c.name)
		}
	}
	r.ack(rigW1, m)
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(10))
}

func TestKeeperRetiresWhenItsWitnessIsFrozen(t *testing.T) {
	r := opened(t)
	old := r.k.Holder()
	r.want(10, 10)
	r.save()
	m := need[*bbwire.Mark](r)
	r.step(MarkAcked{From: rigW1, Msg: &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq, Frozen: true}})
	r.is.True(r.k.Holder() != old)
	_, ok := take[*bbwire.GrantTell](r)
	r.none(ok)
}

func TestKeeperMovesToAnotherWitness(t *testing.T) {
	r := opened(t)
	r.want(10, 10)
	r.save()
	before := need[*bbwire.Mark](r)
	r.view = &bbmember.View{Self: r.view.Self, Members: append(r.view.Members[:1:1], rigMember(rigW2, "d"), rigMember(rigG, "e"))}
	r.tick(TickInterval)
	carried := need[*bbwire.Mark](r)
	r.is.True(carried.Slices[0].Granted >= 20) // all that the old one may have acknowledged
	r.ack(rigW1, before)
	_, ok := take[*bbwire.GrantTell](r)
	r.none(ok) // the move has begun
	_, ok = take[Save](r)
	r.none(ok) // the new one does not have the marks yet
	r.ack(rigW2, carried)
	a := need[Save](r)
	r.is.Equal(findHolder(findEntry(a.Page, "b"), r.k.Holder()).Witness, rigW2.String())
	r.ack(rigW1, before)
	r.ack(rigW2, carried)
	_, ok = take[*bbwire.GrantTell](r)
	r.none(ok) // the outcome of the move is not read yet
	r.page, r.rev = clonePage(a.Page), r.rev+1
	r.step(Saved{Err: bbstore.ErrUnknown})
	r.ack(rigW1, before)
	r.tick(backoffLeast)
	r.load()
	r.is.Equal(need[*bbwire.GrantTell](r).Slices[0].Granted, int64(20))
}

func TestKeeperTakesAnUnknownDrawForTheLesser(t *testing.T) {
	r := opened(t)
	r.want(10, 10)
	late := need[Save](r)
	r.step(Saved{Err: bbstore.ErrUnknown})
	r.tick(backoffLeast)
	r.load() // not landed yet
	again := need[Save](r)
	r.is.Equal(again.Prev, late.Prev)
	_, ok := take[*bbwire.Mark](r)
	r.none(ok) // nothing may be handed out of it
	r.page, r.rev = clonePage(late.Page), r.rev+1
	r.step(Saved{Err: bbstore.ErrConflict})
	r.load()
	r.is.Equal(need[*bbwire.Mark](r).Slices[0].Granted, int64(20))
}

func TestKeeperGiveBackCountsAtOnceAndMayLandLate(t *testing.T) {
	r := opened(t)
	// The grantee returns all, the witness learns it, and nothing is wanted.
	r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(r.k.Holder()), Grantee: rigG.String(), Granted: 10, Returned: 10}}}})
	r.ack(rigW1, need[*bbwire.Mark](r))
	var lower Save
	for lower.Page == nil {
		r.tick(TickInterval)
		a, ok := take[Save](r)
		if !ok {
			continue
		}
		if findHolder(findEntry(a.Page, "b"), r.k.Holder()).Drawn < r.holder().Drawn {
			lower = a
			break
		}
		r.page, r.rev = clonePage(a.Page), r.rev+1
		r.step(Saved{Rev: r.rev})
	}
	r.step(Saved{Err: bbstore.ErrUnknown})
	r.tick(backoffLeast)
	r.load() // not landed, and it still may
	r.out = nil
	r.want(10, 10)
	_, ok := take[*bbwire.Mark](r)
	r.none(ok) // the old amount may be gone at any moment
}

func TestKeeperReturnsAreFreeOnceTheWitnessKnows(t *testing.T) {
	r := opened(t)
	drawn := r.holder().Drawn
	r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(r.k.Holder()), Grantee: rigG.String(), Granted: 10, Returned: 10}}}})
	m := need[*bbwire.Mark](r)
	r.is.Equal(m.Slices[0].Returned, int64(10))
	a := r.k.accounts["b"]
	r.is.True(a.committed() >= 10)
	r.ack(rigW1, m)
	r.is.Equal(a.headroom(), bbunit.Tokens(drawn))
}

func TestKeeperOpensUnderANewIDAfterAnUnknownOpenWasClosed(t *testing.T) {
	r := newRig(t)
	r.want(10, 0)
	r.load()
	need[Save](r)
	old := r.k.Holder()
	r.step(Saved{Err: bbstore.ErrUnknown})
	r.rev += 2 // it landed, and another keeper closed it
	r.tick(backoffLeast)
	r.load()
	r.is.True(r.k.Holder() != old)
}

func TestKeeperRepeatsALostGrantInsteadOfGrantingTwice(t *testing.T) {
	r := opened(t)
	r.want(10, 0) // the grantee has not seen the answer
	tell := need[*bbwire.GrantTell](r)
	r.is.Equal(tell.Slices[0].Granted, int64(10))
}

func TestKeeperSaysEmptyOnlyOfAFreshPage(t *testing.T) {
	r := opened(t)
	r.now = r.now.Add(time.Second)
	r.want(1000, 10)
	_, ok := take[*bbwire.GrantTell](r)
	r.none(ok)
	r.load()
	r.is.Equal(need[*bbwire.GrantTell](r).Empty, []string{"b"})
}

func TestKeeperRefusesAbsurdReports(t *testing.T) {
	for _, s := range []*bbwire.Slice{
		{Spent: -1},
		{Returned: -1},
		{Spent: 11},
		{Spent: 6, Returned: 5},
		{Returned: 11},
		{Spent: 1 << 62, Returned: 1 << 62},
	} {
		r := opened(t)
		s.Budget, s.Holder, s.Grantee = "b", string(r.k.Holder()), rigG.String()
		r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{s}}})
		x := r.k.accounts["b"].share(rigG)
		r.is.Equal(x.spent+x.returned, bbunit.Tokens(0))
	}
}

// closing returns a rig that closes a dead holder with witness w1 and a mark of
// 30 for the grantee, out of 50 drawn.
func closing(t *testing.T) (*rig, *bbwire.SurrenderTell) {
	r := newRig(t)
	r.page = &bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Paid: 100, Number: 1, Holders: []*bbwire.Holder{
		{Holder: "x/7/0-1", Instance: "x", Domain: "d", Drawn: 50, Seq: 1, Witness: rigW1.String()},
	}}}}
	r.rev = 1
	r.step(Refresh{})
	r.load()
	r.tick(TickInterval)
	r.tick(closeAfter)
	need[*bbwire.Freeze](r)
	return r, &bbwire.SurrenderTell{Holder: "x/7/0-1", Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: rigG.String(), Granted: 20, Spent: 15, Returned: 5},
	}}
}

func (r *rig) frozen(from Peer) {
	r.step(Frozen{From: from, Msg: &bbwire.FreezeTell{Holder: "x/7/0-1", Known: true, Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: rigG.String(), Granted: 30},
	}}})
}

func TestCloserSettlesWhatTheGranteeSpent(t *testing.T) {
	r, final := closing(t)
	r.frozen(rigW2)
	r.frozen(Peer{rigW1.ID, 2})
	_, ok := take[*bbwire.Surrender](r)
	r.none(ok) // only the witness that the page names may promise
	r.frozen(rigW1)
	need[*bbwire.Surrender](r)
	r.step(Surrendered{From: rigG, Msg: final})
	r.save()
	e := findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(15))
	r.is.Equal(Charged(e), bbunit.Tokens(15))
}

func TestCloserCountsASilentGranteeAsStuckUntilItAnswers(t *testing.T) {
	r, final := closing(t)
	r.frozen(rigW1)
	r.tick(surrenderFor)
	r.save()
	e := findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(0))
	r.is.Equal(e.Stuck[0].Amount, int64(30))
	r.out = nil
	r.tick(stuckEvery)
	need[*bbwire.Surrender](r)
	r.step(Surrendered{From: rigG, Msg: final})
	r.save()
	e = findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(15))
	r.is.Equal(len(e.Stuck), 0)
	r.step(Surrendered{From: rigG, Msg: final})
	_, ok := take[Save](r)
	r.none(ok) // once
}

func TestCloserStartsAgainWhenTheHolderHasMoved(t *testing.T) {
	r, final := closing(t)
	r.frozen(rigW1)
	h := findEntry(r.page, "b").Holders[0]
	h.Witness, h.Drawn = rigW2.String(), 60
	r.rev++
	r.step(Surrendered{From: rigG, Msg: final})
	need[Save](r)
	r.step(Saved{Err: bbstore.ErrConflict})
	r.load()
	_, ok := take[Save](r)
	r.none(ok) // the marks that count are with another witness
	r.view = &bbmember.View{Self: r.view.Self, Members: append(r.view.Members[:len(r.view.Members):len(r.view.Members)], rigMember(rigW2, "d"))}
	r.tick(TickInterval)
	r.tick(resendAfter)
	need[*bbwire.Freeze](r)
}

func TestCloserLeavesAHolderWhoseWitnessIsGoneToTheOperator(t *testing.T) {
	r, _ := closing(t)
	r.view = &bbmember.View{Self: r.view.Self, Members: r.view.Members[:1]}
	for range 100 {
		r.tick(time.Second)
	}
	_, ok := take[Save](r)
	r.none(ok)
	r.is.Equal(r.k.Status().Lost, []bbunit.HolderID{"x/7/0-1"})
}

func TestKeeperListsWhatAGoneGranteeHasAsStuck(t *testing.T) {
	r := opened(t)
	h := r.k.Holder()
	r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{{Budget: "b", Holder: string(h), Grantee: rigG.String(), Granted: 10, Spent: 4, Returned: 1}}}})
	r.ack(rigW1, need[*bbwire.Mark](r))
	taken := Charged(findEntry(r.page, "b"))
	all := r.view
	r.view = &bbmember.View{Self: all.Self, Members: all.Members[:2]}
	r.tick(TickInterval)
	if r.k.busy {
		r.save()
	}
	r.tick(strandAfter)
	r.save()
	e := findEntry(r.page, "b")
	r.is.True(Charged(e) >= taken) // nothing comes back by time
	r.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(5))
	r.is.Equal(StatusOf(e).Spent, bbunit.Tokens(4))
	r.tick(TickInterval)

	// It was only cut off: it accounts for the slice, and gets a new one.
	r.view = all
	final := &bbwire.SurrenderTell{Holder: string(h), Slices: []*bbwire.Slice{{Budget: "b", Holder: string(h), Grantee: rigG.String(), Granted: 10, Spent: 7, Returned: 3}}}
	r.want(10, 10)
	r.is.True(r.k.Holder() != h)
	r.step(Surrendered{From: rigG, Msg: final})
	for range 50 {
		r.tick(resendAfter)
		if _, ok := take[Load](r); ok {
			r.step(Loaded{Page: clonePage(r.page), Rev: r.rev})
		}
		if a, ok := take[Save](r); ok {
			r.page, r.rev = clonePage(a.Page), r.rev+1
			r.step(Saved{Rev: r.rev})
		}
		r.step(Surrendered{From: rigG, Msg: final})
	}
	e = findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(7))
	r.is.Equal(len(e.Stuck), 0)
}

func TestCloserDoesNotCountAStrandedGranteeTwice(t *testing.T) {
	r, _ := closing(t)
	e := findEntry(r.page, "b")
	e.Holders[0].Drawn -= 30
	addStuck(e, "x/7/0-1", rigG, 20, 10)
	r.rev++
	r.step(Refresh{})
	r.load()
	before := Charged(e)
	r.frozen(rigW1)
	r.tick(surrenderFor)
	r.save()
	e = findEntry(r.page, "b")
	r.is.Equal(Charged(e), before-20) // the holder's own 20, which nobody had
	r.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(20))
}

func TestCloserDoesNotCountASettledGranteeAgain(t *testing.T) {
	r, _ := closing(t)
	e := findEntry(r.page, "b")
	e.Holders[0].Drawn -= 30
	addStuck(e, "x/7/0-1", rigG, 20, 10)
	r.rev++
	r.step(Refresh{})
	r.load()
	// The grantee accounts for its slice while its holder is still on the page.
	r.step(Surrendered{From: rigG, Msg: &bbwire.SurrenderTell{Holder: "x/7/0-1", Slices: []*bbwire.Slice{
		{Budget: "b", Holder: "x/7/0-1", Grantee: rigG.String(), Granted: 30, Spent: 25, Returned: 5},
	}}})
	r.save()
	e = findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(25))
	r.is.Equal(StatusOf(e).Stuck, bbunit.Tokens(0))
	r.frozen(rigW1)
	r.tick(surrenderFor)
	r.save()
	e = findEntry(r.page, "b")
	r.is.Equal(e.Settled, int64(25))
	r.is.Equal(Charged(e), bbunit.Tokens(25))
	r.is.Equal(len(e.Stuck), 0) // what stood for the grantee goes with the holder
}

func TestCloserIgnoresAbsurdReports(t *testing.T) {
	for _, s := range []*bbwire.Slice{
		{Spent: 31}, {Returned: 31}, {Spent: 20, Returned: 20}, {Spent: -5}, {Returned: -5},
	} {
		r, _ := closing(t)
		r.frozen(rigW1)
		s.Budget, s.Holder, s.Grantee = "b", "x/7/0-1", rigG.String()
		r.step(GrantRequested{From: rigG, Msg: &bbwire.GrantAsk{Slices: []*bbwire.Slice{s}}})
		r.tick(surrenderFor)
		r.save()
		e := findEntry(r.page, "b")
		r.is.Equal(Charged(e), bbunit.Tokens(30)) // the mark, whatever was reported
	}
}

// TestKeeperClosedLeavesOthersHolders: a retired keeper does not wait for the
// holder of another instance that cannot be closed, since its witness is gone
// too.
func TestKeeperClosedLeavesOthersHolders(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.k.jobs["gone/1/1"] = &job{holder: "gone/1/1", answers: map[Peer][]*bbwire.Slice{}}
	r.step(Retire{})
	is.True(r.k.jobs["gone/1/1"] != nil)
	for id, j := range r.k.jobs {
		if j.own {
			delete(r.k.jobs, id) // as when the page has been written
		}
	}
	r.k.busy, r.k.limbo = false, false
	is.True(r.k.Closed())
}
