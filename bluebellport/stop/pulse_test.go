package bbstop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFreezeIsPartOfTheGracePeriod guards against a stop that counts the grace
// period from the end of a freeze, however short, and is killed before its own end.
func TestFreezeIsPartOfTheGracePeriod(t *testing.T) {
	const grace, ms = 8 * time.Second, time.Millisecond
	for _, frozen := range []time.Duration{0, 50 * ms, 100 * ms, 200 * ms, 300 * ms, 400 * ms, 450 * ms, 500 * ms, 600 * ms, time.Second, 3 * time.Second} {
		for ordered := -2 * PulseInterval; ordered <= frozen+2*PulseInterval; ordered += 5 * ms {
			for _, notice := range []time.Duration{0, 5 * ms, noticeTime - ms} {
				counted, noticed := playPulse(frozen, ordered, notice, grace)
				if counted > ordered {
					t.Errorf("frozen for %s, ordered at %s, noticed at %s: counted from %s", frozen, ordered, noticed, counted)
				}
				if early := noticed - counted; early > frozen+2*PulseInterval+noticeTime {
					t.Errorf("frozen for %s, ordered at %s, noticed at %s: counted from %s before", frozen, ordered, noticed, early)
				}
			}
		}
	}
}

// playPulse plays a process that stands still from 0 on and is ordered to stop, which
// it notices once it has run for a time. It returns from when the order counts and when
// it is noticed.
func playPulse(frozen, ordered, notice, grace time.Duration) (counted, noticed time.Duration) {
	noticed = ordered + notice
	switch {
	case ordered >= 0 && ordered < frozen:
		noticed = frozen + notice
	case ordered < 0 && noticed >= 0:
		noticed += frozen
	}
	var p Pulse
	for at := -10 * PulseInterval; at <= noticed; at += PulseInterval {
		if at >= 0 && at < frozen {
			at = frozen
		}
		if at <= noticed {
			p.Beat(begin.Add(at))
		}
	}
	return p.OrderedAt(begin.Add(noticed), grace).Sub(begin), noticed
}

// TestOrderAfterALongFreezeLeavesHalfOfTheGracePeriod guards against a stop without
// time for its requests.
func TestOrderAfterALongFreezeLeavesHalfOfTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	counted, noticed := playPulse(20*time.Second, time.Second, 0, grace)
	is.New(t).Equal(noticed-counted, grace/2)
}

// TestOrderToARunningProcessTakesNoPartOfItsLastSixth guards against requests that are
// ended before the last sixth of the grace period, since an order counts from a beat.
func TestOrderToARunningProcessTakesNoPartOfItsLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		for ordered := time.Duration(0); ordered < 2*PulseInterval; ordered += time.Millisecond {
			counted, noticed := playPulse(0, ordered, 0, grace)
			if end := NewTimes(begin.Add(counted), grace).End.Sub(begin.Add(noticed)); end < grace-grace/6 {
				t.Errorf("grace period %s: ends after %s", grace, end)
			}
		}
	}
}

// TestOrderThatCountsFromABeatClosesNoListenerEarly guards against connections that are
// refused within the accept period, since an order counts from before it was given.
func TestOrderThatCountsFromABeatClosesNoListenerEarly(t *testing.T) {
	const grace = 8 * time.Second
	for _, frozen := range []time.Duration{0, 2 * time.Second} {
		for ordered := time.Duration(0); ordered < 2*PulseInterval; ordered += time.Millisecond {
			counted, noticed := playPulse(frozen, ordered, 0, grace)
			times := NewTimes(begin.Add(counted), grace)
			times.NoticedAt(begin.Add(noticed))
			accepted := times.AcceptUntil.Sub(begin.Add(ordered))
			if frozen == 0 && accepted < maxAcceptPeriod || accepted > maxAcceptPeriod+PulseInterval+noticeTime {
				t.Errorf("frozen for %s, ordered at %s: accepts for %s", frozen, ordered, accepted)
			}
		}
	}
}

// TestRequestAfterAFreezeWaitsForAnOrderGivenMeanwhile guards against requests that
// are taken in the moment before an order given long ago is noticed.
func TestRequestAfterAFreezeWaitsForAnOrderGivenMeanwhile(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	var p Pulse
	is.Equal(p.Unsettled(begin), time.Duration(0))
	p.Beat(begin)
	is.Equal(p.Unsettled(begin.Add(uncertainMargin)), time.Duration(0))
	is.Equal(p.Unsettled(begin.Add(time.Second)), noticeTime)
	p.Beat(begin.Add(time.Second))
	is.Equal(p.Unsettled(begin.Add(time.Second+10*ms)), noticeTime-10*ms)
	is.Equal(p.Unsettled(begin.Add(time.Second+noticeTime)), time.Duration(0))
	p.Beat(begin.Add(time.Second + PulseInterval))
	is.Equal(p.Unsettled(begin.Add(time.Second+PulseInterval)), time.Duration(0))
}

func TestOrderBeforeTheFirstBeat(t *testing.T) {
	var p Pulse
	is.New(t).Equal(p.OrderedAt(begin, time.Second), begin)
}

// TestLateStopKeepsTimeForItsAnswers guards against answers and shares that are given
// up at once as a process stood still to the end of its stop.
func TestLateStopKeepsTimeForItsAnswers(t *testing.T) {
	is := is.New(t)
	times := NewTimes(begin, 8*time.Second)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	is.Equal(times.AnswersUntil(times.End), at(7750*time.Millisecond))
	is.Equal(times.SharesUntil(times.End), at(7900*time.Millisecond))
	is.Equal(times.CutAt(times.AcceptUntil), times.End)
	late := at(7900 * time.Millisecond)
	is.Equal(times.CutAt(late), late.Add(leastPeriod))
	is.Equal(times.AnswersUntil(late), late.Add(leastPeriod))
	is.Equal(times.SharesUntil(late), late.Add(leastPeriod))
}
