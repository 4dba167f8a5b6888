package bbroute

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRetry(t *testing.T) {
	broken := errors.New("broken")
	rule := &RetryRule{Tries: 3}
	for _, c := range []struct {
		name  string
		state RetryState
		end   End
		ask   Ask
		want  Decision
	}{
		{name: "success", state: RetryState{Tries: 1}, want: DecisionStop},
		{name: "nothing sent", state: RetryState{Tries: 1}, end: End{Err: broken}, want: DecisionElsewhere},
		{name: "sent, not to be repeated", state: RetryState{Tries: 1}, end: End{Err: broken, Sent: true}, want: DecisionStop},
		{name: "crashed, not to be repeated", state: RetryState{Tries: 1}, end: End{Err: broken, Sent: true, Crashed: true}, want: DecisionStop},
		{name: "sent, may be repeated", state: RetryState{Tries: 1}, end: End{Err: broken, Sent: true}, ask: Ask{Repeat: true}, want: DecisionElsewhere},
		{name: "refused as leaving", state: RetryState{Tries: 1}, end: End{Err: ErrLeaving, Sent: true}, want: DecisionElsewhere},
		{name: "refused as full", state: RetryState{Tries: 1}, end: End{Err: ErrBusy, Sent: true}, want: DecisionElsewhere},
		{name: "reused connection, nothing sent", state: RetryState{Tries: 1}, end: End{Err: broken, Reused: true}, want: DecisionElsewhere},
		{name: "reused connection, sent", state: RetryState{Tries: 1}, end: End{Err: broken, Reused: true, Sent: true}, want: DecisionStop},
		{name: "reused connection, may be repeated", state: RetryState{Tries: 1}, end: End{Err: broken, Reused: true, Sent: true}, ask: Ask{Repeat: true}, want: DecisionFresh},
		{name: "reused again", state: RetryState{Tries: 2, Refreshed: true}, end: End{Err: broken, Reused: true, Sent: true}, ask: Ask{Repeat: true}, want: DecisionElsewhere},
		{name: "crash on a reused connection", state: RetryState{Tries: 1}, end: End{Err: broken, Reused: true, Crashed: true, Sent: true}, ask: Ask{Repeat: true}, want: DecisionElsewhere},
		{name: "tries used up", state: RetryState{Tries: 3}, end: End{Err: broken}, want: DecisionStop},
		{name: "deadline over", state: RetryState{Tries: 1}, end: End{Err: broken}, ask: Ask{Deadline: testNow}, want: DecisionStop},
		{name: "caller left", state: RetryState{Tries: 1}, end: End{Err: ErrCancelled}, ask: Ask{Repeat: true}, want: DecisionStop},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Retry(c.state, &c.end, &c.ask, rule, testNow), c.want)
		})
	}
}

func TestBlame(t *testing.T) {
	is := is.New(t)
	broken := errors.New("broken")
	is.True((&End{Err: broken}).Blame())
	is.True(!(&End{Err: broken, Reused: true, Sent: true}).Blame()) // a fresh connection first
	is.True((&End{Err: broken, Reused: true}).Blame())              // could not be opened
	is.True((&End{Err: broken, Reused: true, Crashed: true}).Blame())
	is.True(!(&End{Err: ErrLeaving}).Blame())
	is.True(!(&End{Err: ErrBusy}).Blame())
	is.True(!(&End{Err: ErrCancelled}).Blame())
	is.True(!(&End{}).Blame())
}

// TestRetriesCannotMultiply holds that retries stay below the ratio of the
// successes, the floor and what can be saved, whatever fails.
func TestRetriesCannotMultiply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := &RetryRule{Tries: 3, Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Floor: rapid.Float64Range(0, 5).Draw(t, "floor")}
		b := &RetryBudget{}
		now := testNow
		var good, spent float64
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				b.Earn(rule)
				good++
			} else if b.Spend(now, rule) {
				spent++
			}
			if most := good*rule.Ratio + now.Sub(testNow).Seconds()*rule.Floor + retryFloorBurst; spent > most {
				t.Fatalf("%.0f retries, at most %.2f", spent, most)
			}
		}
	})
}

func TestTinyFloorGivesNothing(t *testing.T) {
	is := is.New(t)
	b, n := &RetryBudget{}, 0
	for i := range 100 {
		if b.Spend(time.Now().Add(time.Duration(i)), &RetryRule{Floor: 1e-12}) {
			n++
		}
	}
	is.True(n <= 1)
}

func TestRetryBudgetSavesLittle(t *testing.T) {
	is := is.New(t)
	rule := &RetryRule{Ratio: 0.1}
	b := &RetryBudget{}
	for range 100_000 {
		b.Earn(rule)
	}
	n := 0
	for b.Spend(testNow, rule) {
		n++
	}
	is.True(n <= retrySaveMost+1)
}
