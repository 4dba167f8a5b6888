package bbledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

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
