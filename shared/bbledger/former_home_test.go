package bbledger

import (
	"testing"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// otherHome adds an instance of the failure domain that is the page's home instead.
func (f *fixture) otherHome() {
	for _, id := range []bbunit.InstanceID{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"} {
		m := memberOf(Peer{id, 1}, "d")
		v := &bbmember.View{Self: f.view.Self, Members: append(append([]bbmember.Member{}, f.view.Members...), m)}
		if home, _ := v.Home(PageHomeKey(PageOf("b")), "d"); home.ID == id {
			f.view = v
			return
		}
	}
	f.is.Fail() // no such instance
}

// headroomFixture returns a fixture with a draw of 100 whose grantee has spent and
// returned 50 each.
func headroomFixture(t *testing.T) *fixture {
	f := fullyGrantedFixture(t)
	f.report(50, 50)
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	f.tick(0)
	f.is.Equal(f.al.allocation("b").headroom(), bbunit.Tokens(50))
	return f
}

func TestFormerHomeReturnsItsHeadroomAtOnce(t *testing.T) {
	f := headroomFixture(t)
	f.otherHome()
	f.tick(TickInterval)
	f.answerSave()
	f.is.Equal(f.holder().Drawn, int64(50))
	f.is.Equal(f.holder().Spent, int64(50))
}

func TestFormerHomeGrantsItsUnusedMarks(t *testing.T) {
	f := headroomFixture(t)
	f.requestAs(witness1, true, 5)
	f.ackMark(witness1, requireAction[*bbwire.Mark](f))
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(5))
	unused := f.al.allocation("b").grant(witness1).markAcked
	f.is.True(unused > 5)
	f.otherHome()
	f.tick(TickInterval)
	f.is.Equal(requireAction[*bbwire.GrantTell](f).Slices[0].Granted, int64(unused))
}

func TestFormerHomeRecordsThatAllIsSpent(t *testing.T) {
	f := fullyGrantedFixture(t)
	f.otherHome()
	f.tick(TickInterval)
	f.report(99, 0)
	_, ok := takeAction[Save](f)
	f.is.True(!ok) // a token is left
	f.report(100, 0)
	f.answerSave()
	f.is.Equal(f.holder().Spent, int64(100))
}

func TestHomeRecallsTokensOfAFormerHome(t *testing.T) {
	f := newFixture(t)
	f.page = &bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Paid: 100, Number: 1, Settled: 60, Holders: []*bbwire.Holder{
		{Holder: "w1/1/0-1", Domain: "d", Drawn: 40, Spent: 10, Seq: 1, Witness: witness2.String()},
	}}}}
	f.rev = 1
	f.actions = nil
	f.requestAs(granteePeer, true, 50)
	f.is.Equal(countRecalls(f.actions), 2) // both instances of the failure domain
}
