package bbledger

import (
	"math"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Policy moves between fewer false refusals and smaller stuck shares. Overspend
// is impossible under any policy.
type Policy struct {
	// DrawHorizon is how long a keeper's draw should last.
	DrawHorizon time.Duration
	// UnwitnessedHorizon is the horizon of a keeper that has no witness.
	UnwitnessedHorizon time.Duration
	// GrantHorizon is how long an instance's slice should last.
	GrantHorizon time.Duration
	// Borrow lets an instance ask keepers of other failure domains before it
	// refuses a request.
	Borrow bool
}

const (
	// wantTimeout is how long a keeper works on a want before it answers with nothing.
	wantTimeout = 300 * time.Millisecond
	// maxPageAge is how old a page may be for a keeper to call a budget empty.
	maxPageAge = 100 * time.Millisecond
	// resendInterval is when an unanswered mark, freeze or surrender is sent again.
	resendInterval = 100 * time.Millisecond
	// witnessTimeout is how long a witness may be silent before the holder moves on.
	witnessTimeout = time.Second
	// closeDelay is how long an instance must be gone before its holder is closed.
	closeDelay = 2 * time.Second
	// surrenderTimeout is how long the closer of a holder waits for its grantees.
	surrenderTimeout = time.Second
	// stuckRetryInterval is how often grantees are asked again about stuck amounts.
	stuckRetryInterval = 2 * time.Second
	// stuckDelay is how long a grantee must be gone for its slices to be listed
	// as stuck.
	stuckDelay = 3 * time.Second
	// retireDelay is how long a keeper that is no longer home goes on.
	retireDelay = 5 * time.Second
	// minBackoff and backoffMost bound the pause after a failed store call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// demandSamplePeriod is the sampling period of demand.
	demandSamplePeriod = 500 * time.Millisecond
	// demandRiseTime is the time constant of a rising demand; a falling one has the
	// horizon's.
	demandRiseTime = time.Second
	// minDemandRate is the demand, in tokens a second, that counts as none.
	minDemandRate = 0.5
	// emptyReplyTTL is how long a purse takes a budget to be empty once told so.
	emptyReplyTTL = 250 * time.Millisecond
	// recallInterval is how often a keeper asks the grantees of a budget for what
	// they have free, at most.
	recallInterval = 100 * time.Millisecond
	// recallWait is how long a want waits for what a recall brings.
	recallWait = 100 * time.Millisecond
	// refillPauseAfterRecall is how long a purse that was asked to return what is free asks
	// for nothing but what requests wait for.
	refillPauseAfterRecall = 500 * time.Millisecond
	// reportInterval is how often a purse reports what it spent.
	reportInterval = time.Second
	// requestInterval is when a purse repeats an unanswered ask, or asks the next keeper.
	requestInterval = 60 * time.Millisecond
)

// demandRate is a moving average of demand in tokens a second. The zero value is no
// demand.
type demandRate struct {
	tokensPerSecond float64
	sum             bbunit.Tokens
	periodStart     time.Time
}

// add counts n tokens of demand.
func (r *demandRate) add(n bbunit.Tokens) { r.sum += n }

// update folds the demand of the last period in; fall is the time constant of a
// falling demand.
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

// expected returns the demand of a period.
func (r *demandRate) expected(d time.Duration) bbunit.Tokens {
	return bbunit.Tokens(min(r.tokensPerSecond*d.Seconds(), float64(MaxPaid)))
}
