package bbledger

import (
	"testing"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

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
