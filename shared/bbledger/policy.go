package bbledger

import (
	"math"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Policy trades false refusals against stuck tokens: longer horizons place more
// tokens near the requests, and more are stuck when an instance is lost. No
// policy allows overspending.
type Policy struct {
	// DrawHorizon is how long the tokens that an allocator draws should last.
	DrawHorizon time.Duration
	// UnwitnessedHorizon replaces DrawHorizon while an allocator has no witness.
	UnwitnessedHorizon time.Duration
	// GrantHorizon is how long the tokens granted to an instance should last.
	GrantHorizon time.Duration
	// Borrow lets an instance ask allocators of other failure domains before
	// it refuses a request.
	Borrow bool
}

const (
	// wantTimeout is how long an allocator keeps a want that it cannot meet.
	wantTimeout = 300 * time.Millisecond
	// maxPageAge is the greatest age of a page read on which an allocator
	// declares a budget empty.
	maxPageAge = 100 * time.Millisecond
	// resendInterval is the pause before an unanswered Mark, Freeze or
	// Surrender is sent again.
	resendInterval = 100 * time.Millisecond
	// witnessTimeout is how long a witness may leave a mark unacknowledged
	// before the allocator chooses another.
	witnessTimeout = time.Second
	// closeDelay is how long an instance must be missing before its holders
	// are closed.
	closeDelay = 2 * time.Second
	// surrenderTimeout is how long the closing of a holder waits for reports
	// of its grantees.
	surrenderTimeout = time.Second
	// stuckRetryInterval is how often grantees are asked again to account for
	// stuck amounts.
	stuckRetryInterval = 2 * time.Second
	// stuckDelay is how long a grantee must be missing before its slices are
	// recorded as stuck.
	stuckDelay = 3 * time.Second
	// retireDelay is how long an allocator goes on after its instance stopped
	// being the home of the page.
	retireDelay = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed store call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// demandSamplePeriod is the sampling period of the demand rate.
	demandSamplePeriod = 500 * time.Millisecond
	// demandRiseTime is the time constant of a rising demand. A falling demand
	// uses the horizon.
	demandRiseTime = time.Second
	// minDemandRate, in tokens per second, is the rate below which demand
	// counts as zero.
	minDemandRate = 0.5
	// emptyReplyTTL is how long a wallet relies on an allocator's answer that
	// a budget is empty.
	emptyReplyTTL = 250 * time.Millisecond
	// recallInterval is the shortest time between two recalls of one budget by
	// an allocator.
	recallInterval = 100 * time.Millisecond
	// recallWait is how long a want waits for tokens returned by a recall.
	recallWait = 100 * time.Millisecond
	// refillPauseAfterRecall is how long a wallet, after a recall, asks only
	// for tokens that requests wait for.
	refillPauseAfterRecall = 500 * time.Millisecond
	// reportInterval is how often a wallet reports what was spent.
	reportInterval = time.Second
	// requestInterval is the pause before a wallet repeats an unanswered
	// request or asks the next allocator.
	requestInterval = 60 * time.Millisecond
)

// demandRate is an exponential moving average of demand, in tokens per second.
// The zero value means no demand.
type demandRate struct {
	tokensPerSecond float64
	sum             bbunit.Tokens
	periodStart     time.Time
}

// add counts n tokens of demand.
func (r *demandRate) add(n bbunit.Tokens) { r.sum += n }

// update folds the demand since the last period into the average once a sampling
// period has passed; fallTime is the time constant of a falling demand.
func (r *demandRate) update(now time.Time, fallTime time.Duration) {
	if r.periodStart.IsZero() {
		r.periodStart = now
	}
	period := now.Sub(r.periodStart)
	if period < demandSamplePeriod {
		return
	}
	observed := float64(r.sum) / period.Seconds()
	timeConstant := max(fallTime, demandSamplePeriod)
	if observed > r.tokensPerSecond {
		timeConstant = min(timeConstant, demandRiseTime)
	}
	weight := math.Exp(-period.Seconds() / timeConstant.Seconds())
	r.tokensPerSecond = weight*r.tokensPerSecond + (1-weight)*observed
	if r.tokensPerSecond < minDemandRate {
		r.tokensPerSecond = 0
	}
	r.sum, r.periodStart = 0, now
}

// expected returns the demand over a duration at the current rate.
func (r *demandRate) expected(d time.Duration) bbunit.Tokens {
	return bbunit.Tokens(min(r.tokensPerSecond*d.Seconds(), float64(MaxPaid)))
}
