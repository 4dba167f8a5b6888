package bbpath

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/bluebellport/emulate"
)

var pathSeeds = flag.Uint64("path-seeds", 4, "seeds of each simulated fleet")

// Times of the simulated instances' calls.
const (
	simAnswer  = 8 * time.Millisecond
	simDomains = 5 // of bbemulate
	// A short call each simCallInterval takes simCallTime and is given up after simCallLimit.
	simCallInterval = time.Second
	simCallTime     = 300 * time.Millisecond
	simCallLimit    = time.Second
	// A wait is answered after simWait and given up simWaitMargin later.
	simWait       = 4 * time.Second
	simWaitMargin = 700 * time.Millisecond
	// simTakeOver is how long after the watcher of its failure domain an instance of the
	// next rank begins to watch, simTakeOverStep how much later each further one.
	simTakeOver     = time.Second
	simTakeOverStep = 300 * time.Millisecond
	// simBound is how long after the service's return some instance has to have an answer:
	// of the second within which news have to be everywhere, less the way to all.
	simBound = 700 * time.Millisecond
)

// pathFleet is a fleet whose instances watch a service that is silent for a time. What is
// on its way in the silence is lost.
type pathFleet struct {
	*bbemulate.Fleet
	silentFrom, silentTo time.Time
	firstAnswer          time.Time // to a look or a wait since the return
	looks                int
}

// isLost reports whether a call that begins now and takes so long gets no answer.
func (f *pathFleet) isLost(takes time.Duration) bool {
	return f.Now().Before(f.silentTo) && f.Now().Add(takes).After(f.silentFrom)
}

// call makes a call whose end the path is told. Then is called with its end.
func (f *pathFleet) call(p *Path, takes, limit time.Duration, then func(answered bool)) {
	began, lost := f.Now(), f.isLost(takes)
	if !lost {
		limit = takes
	}
	f.After(limit, func() {
		if lost {
			p.Unanswered(began, f.Now())
		} else {
			p.Answered(began)
		}
		then(!lost)
	})
}

// hear notes that an instance has learned what the service has to tell.
func (f *pathFleet) hear() {
	if f.firstAnswer.IsZero() && !f.Now().Before(f.silentTo) {
		f.firstAnswer = f.Now()
	}
}

// watch makes an instance call, wait and look as one of a rank in its failure domain.
func (f *pathFleet) watch(n *bbemulate.Node, rank int) {
	p := &Path{}
	n.Every(simCallInterval, func() { f.call(p, simCallTime, simCallLimit, func(bool) {}) })
	var wait, look func()
	wait = func() {
		over := false
		again := func(next func()) func() {
			return func() {
				if !over {
					over = true
					next()
				}
			}
		}
		w := p.BeginWait(again(look), func() bool { return false })
		f.call(p, simWait, simWait+simWaitMargin, func(bool) {
			p.EndWait(w)
			again(wait)()
		})
	}
	look = func() {
		over := false
		var try func()
		try = func() {
			if over {
				return
			}
			f.looks++
			f.call(p, simAnswer, simWaitMargin, func(answered bool) {
				if answered && !over {
					over = true
					f.hear()
					wait()
				}
			})
			f.After(LookInterval(rank), try)
		}
		try()
	}
	wait()
}

// TestFleetLooksSoonAfterASilence guards against a fleet none of whose instances asks the
// service soon after it is back, whatever the phases of their calls.
func TestFleetLooksSoonAfterASilence(t *testing.T) {
	for _, instances := range []int{8, 84, 295} {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("%d instances, %s", instances, silence), func(t *testing.T) {
				is := is.New(t)
				for seed := range *pathSeeds {
					f := &pathFleet{}
					f.Fleet = bbemulate.NewFleet(instances, 0, seed, func(*bbemulate.Node) {})
					begin := f.Now()
					f.silentFrom = begin.Add(5*time.Second + time.Duration(f.Rand.Int64N(int64(simWait))))
					f.silentTo = f.silentFrom.Add(silence)
					for i, n := range f.Nodes {
						rank := i / simDomains
						from := time.Duration(f.Rand.Int64N(int64(simWait)))
						if rank > 0 { // watches once the first one is no longer heard
							from = f.silentFrom.Sub(begin) + simTakeOver + time.Duration(min(rank, 3))*simTakeOverStep
						}
						f.After(from, func() {
							if rank == 0 || f.Now().Before(f.silentTo) {
								f.watch(n, rank)
							}
						})
					}
					f.Run(f.silentTo.Sub(begin) + 8*time.Second)
					t.Logf("seed %d: %s after the return, %d looks", seed, f.firstAnswer.Sub(f.silentTo), f.looks)
					is.True(!f.firstAnswer.IsZero())
					is.True(f.firstAnswer.Sub(f.silentTo) <= simBound)
				}
			})
		}
	}
}
