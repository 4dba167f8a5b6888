package bbport

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbunit"
)

// TestBudgetManagerRefusesWhileAFormerHomeHoldsTokens guards against callers that
// are told that a budget is exhausted while an instance that was the home of its
// page, before another joined, still holds some of it.
func TestBudgetManagerRefusesWhileAFormerHomeHoldsTokens(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int // that the former home serves
		pause    time.Duration
	}{
		{"a small draw", 15, 0},
		{"a draw ahead of demand", 30, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newBudgetFleet(t, testMember("a1", "a"), testMember("b1", "b"))
			f.setBudget("b", 1000)
			var spent bbunit.Tokens
			for range c.requests {
				s, _, _ := f.spend("a1", "b", 1, 10, 10)
				spent += s
				time.Sleep(c.pause)
			}
			is.Equal(spent, bbunit.Tokens(c.requests*10))
			f.start(testMember("a2", "a"))
			home, _ := f.boards["a2"].View.Load().Home(bbledger.PageHomeKey(bbledger.PageOf("b")), "a")
			is.Equal(home.ID, bbunit.InstanceID("a2"))
			s, exhausted, _ := f.spend("a2", "b", 100, 10, 10)
			is.Equal(spent+s, bbunit.Tokens(1000))
			is.Equal(exhausted, c.requests)
		})
	}
}
