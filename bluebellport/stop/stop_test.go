package bbstop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_000_000, 0)

func TestTimesOfAStop(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ grace, intake, uncertain, accept, end time.Duration }{
		{8000 * ms, 2500 * ms, 2500 * ms, 3500 * ms, 7500 * ms},
		{6000 * ms, 5500 * ms / 3, 2500 * ms, 3500 * ms, 5500 * ms},
		{2000 * ms, 1750 * ms / 3, 1750*ms - 1750*ms/3, 1750*ms - 1750*ms/3, 1750 * ms},
		{1000 * ms, 875 * ms / 3, 875*ms - 875*ms/3, 875*ms - 875*ms/3, 875 * ms},
		{0, 0, 0, 0, 0},
	} {
		is := is.New(t)
		times := NewTimes(begin, c.grace)
		is.Equal(times.IntakeEnd.Sub(begin), c.intake)
		is.Equal(times.UncertainUntil.Sub(begin), c.uncertain)
		is.Equal(times.AcceptUntil.Sub(begin), c.accept)
		is.Equal(times.End.Sub(begin), c.end)
		is.Equal(times.ExitBy.Sub(begin), c.grace)
		is.Equal(times.AnswersUntil(times.End).Sub(begin), c.end+(c.grace-c.end)/2)
		is.Equal(times.SharesUntil(times.End).Sub(begin), c.grace-(c.grace-c.end)/5)
	}
}

// TestSecondOrderToStopChangesNothing guards against a second order that moves the
// end of the stop beyond the kill.
func TestSecondOrderToStopChangesNothing(t *testing.T) {
	is := is.New(t)
	var stop Stop
	is.True(stop.Times() == nil)
	is.True(stop.Begin(NewTimes(begin, 8*time.Second)))
	is.True(!stop.Begin(NewTimes(begin.Add(5*time.Second), 8*time.Second)))
	is.Equal(stop.Times().Begin, begin)
}
