package bbreach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns a time of a test's clock, in milliseconds.
func at(ms int) time.Time { return time.Unix(1e9, 0).Add(time.Duration(ms) * time.Millisecond) }

// TestPathIsLostOnlyIfAPeerCanConnect guards against a target that is down and is taken for
// a lost path, and against a lost path that is taken for a target that is down.
func TestPathIsLostOnlyIfAPeerCanConnect(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	tr.Heard("a", at(0))
	tr.Heard("b", at(0))
	is.Equal(tr.Looked("a", false, false, at(300)), EventNone)
	is.True(!tr.UsesPeer("a"))
	tr.Heard("b", at(400))
	is.Equal(tr.Looked("a", false, true, at(450)), EventLost)
	is.True(tr.UsesPeer("a") && !tr.UsesPeer("b"))
	is.Equal(tr.Lost(), 1)
	tr.Heard("a", at(500)) // an open connection lives on, new ones don't
	is.True(tr.UsesPeer("a"))
	is.Equal(tr.Looked("a", true, false, at(1000)), EventBack)
	is.True(!tr.UsesPeer("a"))
	is.Equal(tr.Lost(), 0)
}

// TestAllPathsAreLostOnlyInSilence guards against an instance that sends nothing itself any
// more because some of its paths are lost, and against one that finds out about each alone.
func TestAllPathsAreLostOnlyInSilence(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for _, a := range []string{"a", "b", "c"} {
		tr.Heard(a, at(0))
	}
	tr.Heard("c", at(290))
	is.Equal(tr.Looked("a", false, true, at(300)), EventLost)
	is.Equal(tr.Looked("b", false, true, at(300)), EventLost) // c was heard
	is.True(!tr.UsesPeer("c") && !tr.IsCut())
	tr.Looked("a", true, false, at(400))
	is.Equal(tr.Looked("a", false, true, at(700)), EventCut)
	is.True(tr.UsesPeer("c") && tr.IsCut())
	is.Equal(tr.Looked("c", false, true, at(800)), EventNone)
	is.Equal(tr.Looked("c", true, false, at(900)), EventCutEnded)
	is.True(!tr.IsCut() && !tr.UsesPeer("c") && tr.UsesPeer("a"))
	is.Equal(len(tr.Due(at(900))), 2) // a and b, at once
}

// TestAllPathsAreLostWhereHalfOfTheTargetsAnswerNobody guards against instances that go on
// trying each target in a fleet that has lost all paths, and against a few targets that
// are down and are taken for that.
func TestAllPathsAreLostWhereHalfOfTheTargetsAnswerNobody(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for _, a := range []string{"a", "b", "c", "d", "e", "f"} {
		tr.Heard(a, at(0))
	}
	is.Equal(tr.Looked("a", false, false, at(300)), EventNone)
	is.Equal(tr.Looked("b", false, false, at(300)), EventNone)
	is.Equal(tr.Looked("b", false, false, at(900)), EventNone)
	tr.Heard("b", at(1000))
	is.Equal(tr.Looked("b", false, false, at(1300)), EventNone)
	is.Equal(tr.Looked("c", false, false, at(1300)), EventCut)
	is.True(tr.UsesPeer("d"))
}

// TestPathsAreLookedAtWhenAnswersAreOverdue guards against a lost path that is noticed only
// when requests have used up their time, and against looks without a reason.
func TestPathsAreLookedAtWhenAnswersAreOverdue(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	is.Equal(len(tr.Due(at(0))), 0)
	tr.Sent("a", time.Second, at(0))
	is.Equal(len(tr.Due(at(200))), 0) // one target may be slow
	tr.Sent("b", time.Second, at(150))
	is.Equal(tr.Due(at(200)), []string{"a", "b"}) // nothing came from anywhere
	is.Equal(len(tr.Due(at(300))), 0)             // not again at once
	tr.Heard("b", at(400))
	is.Equal(len(tr.Due(at(900))), 0) // b answers, and a has its patience
	is.Equal(tr.Due(at(1000)), []string{"a"})
	tr.Heard("a", at(1100))
	is.Equal(len(tr.Due(at(5000))), 0)
	tr.Sent("a", time.Second, at(5000))
	tr.Heard("a", at(5100))
	is.Equal(len(tr.Due(at(5400))), 0)
}

// TestLostPathsAreProbedAndForgotten guards against a path that nobody tries again, and
// against entries that stay for ever.
func TestLostPathsAreProbedAndForgotten(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	tr.Heard("b", at(0))
	tr.Looked("a", false, true, at(100))
	is.Equal(len(tr.Due(at(300))), 0)
	is.Equal(tr.Due(at(600)), []string{"a"})
	is.Equal(len(tr.Due(at(70_000))), 0)
	is.Equal(tr.Lost(), 0)
	is.Equal(len(tr.paths), 0)
}
