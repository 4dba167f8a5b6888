package bbstop

import (
	"time"

	"github.com/sirupsen/logrus"
)

//go:generate enumer -type=Reason -trimprefix=Reason -transform=kebab -output=reason_enumer.go

// Reason tells what a decision rests on. The names appear in logs.
type Reason int

// Reasons to take or to refuse a request.
const (
	// ReasonRunning means that the instance is not stopping.
	ReasonRunning Reason = iota
	// ReasonLimit means that the request's own time limit ends before the stop.
	ReasonLimit
	// ReasonUsual means that the usual time ends before the stop, ReasonUnknown that
	// nothing is known of it and the load balancer may not know of the stop.
	ReasonUsual
	ReasonUnknown
	// ReasonLongest means that also the longest request known ends before the stop.
	ReasonLongest
	// ReasonTooLong means that the request may not end before the stop,
	// ReasonTooUncertain that nothing is known that says so, ReasonTooLate that it
	// came so late that only its own time limit counts, which does not end before the
	// stop, ReasonOver that the stop has ended. These refuse it.
	ReasonTooLong
	ReasonTooUncertain
	ReasonTooLate
	ReasonOver
)

// Request is what is known of a request that may be sent to a target.
type Request struct {
	// ReceivedAt is when the instance had read it.
	ReceivedAt time.Time
	// Limit is when the request is given up in any case.
	Limit time.Time
	// Size is the expected size of its answer in the unit of Durations.Record, 0 if
	// it is not known.
	Size float64
	// Durations are those of its kind, nil if none are kept.
	Durations *Durations
	// Open are the requests of its kind that are open at targets. They are used only
	// where Limit does not decide; nil if there are none.
	Open func() []Open
}

// Open is a request that is open at a target.
type Open struct {
	Age  time.Duration
	Size float64
}

// Decision is whether a request is taken, and the values that decided it.
type Decision struct {
	Take   bool
	Reason Reason
	// Left is the time to the end of the stop, Limit that to the request's own time
	// limit, Expected how long it is expected to take.
	Left, Limit, Expected time.Duration
	// Samples is the number of ended requests, Open that of open ones, that Expected
	// comes from.
	Samples int64
	Open    int
}

// Fields returns the log fields of the decision, times in ms.
func (d *Decision) Fields() logrus.Fields {
	return logrus.Fields{
		"decided": d.Reason.String(), "left": d.Left.Milliseconds(), "limit": d.Limit.Milliseconds(),
		"expected": d.Expected.Milliseconds(), "samples": d.Samples, "open": d.Open,
	}
}

// Decide tells whether a request may be sent to a target. Without a stop (t is
// nil) it always may. In the intake period a request may be sent that usually ends
// in time, later one that ends in time even if it takes as long as the longest
// known. One that was received after UncertainUntil may be sent only if its own time
// limit ends before the stop.
func (t *Times) Decide(now time.Time, r *Request) Decision {
	if t == nil {
		return Decision{Take: true, Reason: ReasonRunning}
	}
	d := Decision{Left: t.End.Sub(now), Limit: r.Limit.Sub(now)}
	switch {
	case d.Left <= 0:
		d.Reason = ReasonOver
		return d
	case d.Limit <= d.Left:
		d.Take, d.Reason = true, ReasonLimit
		return d
	case !r.ReceivedAt.Before(t.UncertainUntil):
		// However short those before it were, this one may last as long as its limit.
		d.Reason = ReasonTooLate
		return d
	}
	if r.Durations != nil {
		d.Samples = r.Durations.Count()
	}
	ages := r.openAges()
	d.Open = len(ages)
	if now.Before(t.IntakeEnd) {
		d.decideUsual(r, ages)
	} else {
		d.decideLongest(now, r, ages)
	}
	return d
}

// decideUsual takes a request that ends in time as a rule, or of which nothing is
// known.
func (d *Decision) decideUsual(r *Request, ages []time.Duration) {
	var recent []time.Duration
	if r.Durations != nil {
		recent = r.Durations.recentOf(r.Size)
	}
	d.Reason = ReasonUsual
	if len(recent) == 0 {
		d.Reason = ReasonUnknown
	}
	d.Expected = usualTime(recent, ages)
	if d.Take = d.Expected+answerTime <= d.Left; !d.Take {
		d.Reason = ReasonTooLong
	}
}

// decideLongest takes a request only if it ends in time even if it takes as long as
// any that is known.
func (d *Decision) decideLongest(now time.Time, r *Request, ages []time.Duration) {
	d.Reason = ReasonTooUncertain
	if d.Samples < minSamples {
		return
	}
	longest := r.Durations.longestOf(now, r.Size)
	margin, spread := maxMargin, longest-medianOf(r.Durations.recentOf(r.Size))
	if d.Samples < fewSamples {
		if float64(spread) > alikeSpread*float64(longest) {
			return
		}
		margin = fewSamplesMargin
	}
	// Where lengths differ much, the next may be longer than any so far.
	d.Expected = longest + max(time.Duration(margin*float64(longest)), spread)
	for _, age := range ages {
		if age > d.Expected {
			d.Expected = openFactor * age
		}
	}
	d.Reason = ReasonTooLong
	if d.Take = d.Expected+answerTime <= d.Left; d.Take {
		d.Reason = ReasonLongest
	}
}
