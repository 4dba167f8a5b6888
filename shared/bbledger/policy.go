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
	// askFor is how long a keeper works on a want before it answers with nothing.
	askFor = 300 * time.Millisecond
	// freshFor is how old a page may be for a keeper to call a budget empty.
	freshFor = 100 * time.Millisecond
	// resendAfter is when an unanswered mark, freeze or surrender is sent again.
	resendAfter = 100 * time.Millisecond
	// witnessFor is how long a witness may be silent before the holder moves on.
	witnessFor = time.Second
	// closeAfter is how long an instance must be gone before its holder is closed.
	closeAfter = 2 * time.Second
	// surrenderFor is how long the closer of a holder waits for its grantees.
	surrenderFor = time.Second
	// stuckEvery is how often grantees are asked again about stuck amounts.
	stuckEvery = 2 * time.Second
	// strandAfter is how long a grantee must be gone for its slices to be listed
	// as stuck.
	strandAfter = 3 * time.Second
	// retireAfter is how long a keeper that is no longer home goes on.
	retireAfter = 5 * time.Second
	// backoffLeast and backoffMost bound the pause after a failed store call.
	backoffLeast = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	// rateEvery is the sampling period of demand.
	rateEvery = 500 * time.Millisecond
	// rateRise is the time constant of a rising demand; a falling one has the
	// horizon's.
	rateRise = time.Second
	// rateLeast is the demand, in tokens a second, that counts as none.
	rateLeast = 0.5
	// emptyFor is how long a purse takes a budget to be empty once told so.
	emptyFor = 250 * time.Millisecond
	// recallEvery is how often a keeper asks the grantees of a budget for what
	// they have free, at most.
	recallEvery = 100 * time.Millisecond
	// recallFor is how long a want waits for what a recall brings.
	recallFor = 100 * time.Millisecond
	// recallCalm is how long a purse that was asked to return what is free asks
	// for nothing but what requests wait for.
	recallCalm = 500 * time.Millisecond
	// reportEvery is how often a purse reports what it spent.
	reportEvery = time.Second
	// askEvery is when a purse repeats an unanswered ask, or asks the next keeper.
	askEvery = 60 * time.Millisecond
)

// rate is a moving average of demand in tokens a second. The zero value is no
// demand.
type rate struct {
	perSec float64
	sum    bbunit.Tokens
	since  time.Time
}

// add counts n tokens of demand.
func (r *rate) add(n bbunit.Tokens) { r.sum += n }

// tick folds the demand of the last period in; fall is the time constant of a
// falling demand.
func (r *rate) tick(now time.Time, fall time.Duration) {
	if r.since.IsZero() {
		r.since = now
	}
	d := now.Sub(r.since)
	if d < rateEvery {
		return
	}
	seen := float64(r.sum) / d.Seconds()
	tau := max(fall, rateEvery)
	if seen > r.perSec {
		tau = min(tau, rateRise)
	}
	keep := math.Exp(-d.Seconds() / tau.Seconds())
	r.perSec = keep*r.perSec + (1-keep)*seen
	if r.perSec < rateLeast {
		r.perSec = 0
	}
	r.sum, r.since = 0, now
}

// over returns the demand of a period.
func (r *rate) over(d time.Duration) bbunit.Tokens {
	return bbunit.Tokens(min(r.perSec*d.Seconds(), float64(MaxPaid)))
}
