package bbconfirm

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/bluebellport/emulate"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

var confirmSeeds = flag.Uint64("confirm-seeds", 4, "seeds of each simulated fleet")

// Times of the simulated instances.
const (
	simDomains = 5 // of bbemulate
	simAnswer  = 8 * time.Millisecond
	simWait    = 20 * time.Second // of a poll
	simCheck   = 10 * time.Millisecond
	// simTakeOver is how long after its watcher was killed a failure domain has another.
	simTakeOver = 1300 * time.Millisecond
	simLength   = 60 * time.Second
	// simBound is how long the service may go unasked: 2 s, within which a change has to be
	// in force, less 0.3 s for its way to all.
	simBound = 1700 * time.Millisecond
	// simCalls is how many calls a second the fleet may make: as many as with a poll each 4 s
	// in each of five failure domains.
	simCalls = 1.25
)

// confirmFleet is a fleet with a watcher in each failure domain that polls a service and
// looks beside the poll.
type confirmFleet struct {
	*bbemulate.Fleet
	calls int
	// askedAt is when the service last answered a look, widest the longest time between
	// two.
	askedAt time.Time
	widest  time.Duration
}

// answered notes that the service has answered an instance.
func (f *confirmFleet) answered(n *bbemulate.Node, newest *Newest) {
	f.widest = max(f.widest, f.Now().Sub(f.askedAt))
	f.askedAt = f.Now()
	newest.Confirm(f.Now())
	for _, m := range f.Nodes[:simDomains] {
		if m != n {
			_ = n.Send(m.Member.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{}}})
		}
	}
}

// start makes an instance watch if it is the first of its failure domain, whose polls are
// never answered if they are silent.
func (f *confirmFleet) start(n *bbemulate.Node, turn int, silent bool) {
	newest := &Newest{}
	newest.Confirm(f.Now())
	n.Handle(nil, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope {
		newest.Confirm(f.Now().Add(-simAnswer))
		return nil
	})
	if !silent {
		f.After(time.Duration(f.Rand.Int64N(int64(simWait))), func() {
			n.Every(simWait, func() {
				f.calls++
				f.answered(n, newest)
			})
		})
	}
	looking := false
	n.Every(simCheck, func() {
		if looking || newest.DueIn(f.Now(), turn) > 0 {
			return
		}
		looking = true
		f.calls++
		f.After(simAnswer, func() {
			looking = false
			f.answered(n, newest)
		})
	})
}

// Some instance asks while all polls are silent, and not all instances do.
func TestServiceIsAskedByOneInstanceAtATime(t *testing.T) {
	for _, play := range []struct {
		name   string
		silent bool
		loss   float64
		kills  bool
		calls  float64
	}{
		{"calm", false, 0, false, simCalls},
		{"all polls silent", true, 0, false, simCalls},
		{"a tenth of the messages lost", true, 0.1, false, 2 * simCalls},
		{"first in turn killed again and again", true, 0, true, simCalls},
	} {
		for _, instances := range []int{8, 84, 295} {
			t.Run(fmt.Sprintf("%s, %d instances", play.name, instances), func(t *testing.T) {
				is := is.New(t)
				for seed := range *confirmSeeds {
					f := &confirmFleet{}
					started := 0
					f.Fleet = bbemulate.NewFleet(instances, play.loss, seed, func(*bbemulate.Node) {})
					f.askedAt = f.Now()
					for _, n := range f.Nodes[:simDomains] {
						f.start(n, started, play.silent)
						started++
					}
					if play.kills {
						for at := 5 * time.Second; at < simLength; at += 5 * time.Second {
							f.After(at, func() {
								f.Kill(f.Nodes[0])
								f.After(simTakeOver, func() {
									f.Start(f.Nodes[0])
									f.start(f.Nodes[0], 0, play.silent)
								})
							})
						}
					}
					f.Run(simLength)
					rate := float64(f.calls) / simLength.Seconds()
					t.Logf("seed %d: %.2f calls a second, %s at most between two answers", seed, rate, f.widest)
					is.True(f.widest <= simBound)
					is.True(rate <= play.calls)
				}
			})
		}
	}
}
