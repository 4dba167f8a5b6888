package bbproxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// tally counts what the door does, for the page of metrics.
type tally struct {
	reg metrics.Registry
	// served are answers of targets that were passed on, failures included.
	served metrics.Counter
	// own is the time from a whole request to its first send, which is the
	// instance's own part; first is that to the first event of a stream or to a
	// whole plain answer. Both in microseconds.
	own, first metrics.Histogram
}

func newTally(reg metrics.Registry) *tally {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(tallySample, tallyDecay) }
	return &tally{
		reg:    reg,
		served: metrics.GetOrRegisterCounter("door.served", reg),
		own:    metrics.GetOrRegisterHistogram("door.own-us", reg, sample()),
		first:  metrics.GetOrRegisterHistogram("door.first-us", reg, sample()),
	}
}

// sent notes the first send of a request that came at that moment.
func (t *tally) sent(came time.Time) { t.own.Update(time.Since(came).Microseconds()) }

// answered notes an answer that was passed on whole; first is zero for a plain
// one.
func (t *tally) answered(came, first time.Time) {
	t.served.Inc(1)
	if first.IsZero() {
		first = time.Now()
	}
	t.first.Update(first.Sub(came).Microseconds())
}

// refused counts the fleet's own answers by status.
func (t *tally) refused(status int) {
	metrics.GetOrRegisterCounter("door.refused."+strconv.Itoa(status), t.reg).Inc(1)
}

// failed counts attempts that brought no answer, by how they ended.
func (t *tally) failed(kind endKind) {
	metrics.GetOrRegisterCounter("door.attempts."+kind.String(), t.reg).Inc(1)
}
