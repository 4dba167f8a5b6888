package bbroute

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDecideRetry(t *testing.T) {
	broken := errors.New("broken")
	policy := &RetryPolicy{MaxAttempts: 3}
	for _, c := range []struct {
		name   string
		state  RetryState
		result AttemptResult
		req    Request
		want   Decision
	}{
		{name: "success", state: RetryState{Attempts: 1}, want: DecisionStop},
		{name: "nothing sent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken}, want: DecisionRetryOther},
		{name: "sent, not idempotent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, Sent: true}, want: DecisionStop},
		{name: "crashed, not idempotent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, Sent: true, Crashed: true}, want: DecisionStop},
		{name: "sent, idempotent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, Sent: true}, req: Request{Idempotent: true}, want: DecisionRetryOther},
		{name: "refused as leaving", state: RetryState{Attempts: 1}, result: AttemptResult{Err: ErrLeaving, Sent: true}, want: DecisionRetryOther},
		{name: "refused as full", state: RetryState{Attempts: 1}, result: AttemptResult{Err: ErrBusy, Sent: true}, want: DecisionRetryOther},
		{name: "reused connection, nothing sent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, ConnReused: true}, want: DecisionRetryOther},
		{name: "reused connection, sent, not idempotent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, ConnReused: true, Sent: true}, want: DecisionStop},
		{name: "reused connection, sent, idempotent", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, ConnReused: true, Sent: true}, req: Request{Idempotent: true}, want: DecisionRetrySame},
		{name: "reused connection after a reconnect", state: RetryState{Attempts: 2, Reconnected: true}, result: AttemptResult{Err: broken, ConnReused: true, Sent: true}, req: Request{Idempotent: true}, want: DecisionRetryOther},
		{name: "crash on a reused connection", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken, ConnReused: true, Crashed: true, Sent: true}, req: Request{Idempotent: true}, want: DecisionRetryOther},
		{name: "attempts used up", state: RetryState{Attempts: 3}, result: AttemptResult{Err: broken}, want: DecisionStop},
		{name: "deadline passed", state: RetryState{Attempts: 1}, result: AttemptResult{Err: broken}, req: Request{Deadline: testNow}, want: DecisionStop},
		{name: "caller left", state: RetryState{Attempts: 1}, result: AttemptResult{Err: ErrCancelled}, req: Request{Idempotent: true}, want: DecisionStop},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(DecideRetry(c.state, &c.result, &c.req, policy, testNow), c.want)
		})
	}
}

func TestIsTargetFault(t *testing.T) {
	is := is.New(t)
	broken := errors.New("broken")
	is.True((&AttemptResult{Err: broken}).IsTargetFault())
	is.True(!(&AttemptResult{Err: broken, ConnReused: true, Sent: true}).IsTargetFault()) // retried over a new connection first
	is.True((&AttemptResult{Err: broken, ConnReused: true}).IsTargetFault())              // no connection could be opened
	is.True((&AttemptResult{Err: broken, ConnReused: true, Crashed: true}).IsTargetFault())
	is.True(!(&AttemptResult{Err: ErrLeaving}).IsTargetFault())
	is.True(!(&AttemptResult{Err: ErrBusy}).IsTargetFault())
	is.True(!(&AttemptResult{Err: ErrCancelled}).IsTargetFault())
	is.True(!(&AttemptResult{}).IsTargetFault())
}

// TestRetryBudgetBound checks that retries never exceed the ratio of the
// successes plus the minimum rate and its burst.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := &RetryPolicy{MaxAttempts: 3, Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), MinPerSecond: rapid.Float64Range(0, 5).Draw(t, "min per second")}
		budget := &RetryBudget{}
		now := testNow
		var successes, retries float64
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				budget.Earn(policy)
				successes++
			} else if budget.Spend(now, policy) {
				retries++
			}
			if allowed := successes*policy.Ratio + now.Sub(testNow).Seconds()*policy.MinPerSecond + minRateBurst; retries > allowed {
				t.Fatalf("%.0f retries, at most %.2f", retries, allowed)
			}
		}
	})
}

func TestTinyMinRateGivesNoRetries(t *testing.T) {
	is := is.New(t)
	budget, retries := &RetryBudget{}, 0
	for i := range 100 {
		if budget.Spend(time.Now().Add(time.Duration(i)), &RetryPolicy{MinPerSecond: 1e-12}) {
			retries++
		}
	}
	is.True(retries <= 1)
}

func TestRetryBudgetSavingsAreCapped(t *testing.T) {
	is := is.New(t)
	policy := &RetryPolicy{Ratio: 0.1}
	budget := &RetryBudget{}
	for range 100_000 {
		budget.Earn(policy)
	}
	retries := 0
	for budget.Spend(testNow, policy) {
		retries++
	}
	is.True(retries <= maxSavedRetries+1)
}
