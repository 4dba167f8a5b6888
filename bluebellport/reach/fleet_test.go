package bbreach

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/bluebellport/emulate"
)

var reachSeeds = flag.Uint64("reach-seeds", 2, "seeds of each simulated fleet")

// Times and sizes of the simulated fleets.
const (
	simRequestInterval = 50 * time.Millisecond
	simPatience        = 800 * time.Millisecond
	simTick            = 100 * time.Millisecond
	simDialTimeout     = 250 * time.Millisecond
	simCutAt           = 4 * time.Second
	simCutTime         = 6 * time.Second
	simCutOf5          = 2 // of five groups of instances across the failure domains
	// simNotice is how long after a cut began, and after it ended, requests take the right
	// way.
	simNotice = time.Second
	// simRightShare is how many of the requests then have to.
	simRightShare = 0.9
	// simMaxCarried is how many connections an instance carries at a time.
	simMaxCarried = 128
)

// reachFleet is a fleet whose instances send requests to targets, over their own paths or
// through peers.
type reachFleet struct {
	*bbemulate.Fleet
	nodes          map[*bbemulate.Node]*reachNode
	targets        []string
	cutFrom, cutTo time.Time
	silentTarget   string
	right, all     int // requests in the cut, and after it
	looks, peak    int
}

// reachNode is one instance of a reachFleet.
type reachNode struct {
	Tracker
	Carriers
	cut     bool
	carried int // for others
}

// isCut reports whether an instance has no own paths now.
func (f *reachFleet) isCut(r *reachNode) bool {
	return r.cut && !f.Now().Before(f.cutFrom) && f.Now().Before(f.cutTo)
}

// dial tries the own path to a target.
func (f *reachFleet) dial(r *reachNode, then func(ok bool)) {
	ok, takes := !f.isCut(r), 2*time.Millisecond
	if !ok {
		takes = simDialTimeout
	}
	f.After(takes, func() { then(ok) })
}

// carrier returns whether a peer can carry a connection for an instance.
func (f *reachFleet) carrier(n *bbemulate.Node, r *reachNode, address string) *reachNode {
	for _, id := range r.Choose(n.View(), f.Now(), f.Rand.IntN) {
		peer := f.nodes[f.ByID(id)]
		if peer == nil || peer.UsesPeer(address) || peer.carried >= simMaxCarried {
			r.Declined(id, f.Now())
			continue
		}
		if !f.isCut(peer) {
			return peer
		}
	}
	return nil
}

// send sends one request, as it would be sent on a kept connection.
func (f *reachFleet) send(n *bbemulate.Node, r *reachNode) {
	address := f.targets[f.Rand.IntN(len(f.targets))]
	counts, served := r.cut && f.counts(), false
	switch {
	case r.UsesPeer(address):
		if peer := f.carrier(n, r, address); peer != nil {
			served = f.isCut(r) // afterwards the own path is the right one
			peer.carried++
			f.peak = max(f.peak, peer.carried)
			f.After(answerTime(f.Rand), func() { peer.carried-- })
		}
	case !f.isCut(r):
		served = true
		r.Sent(address, simPatience, f.Now())
		takes := answerTime(f.Rand)
		if address == f.silentTarget {
			takes = time.Second
		}
		f.After(takes, func() {
			if !f.isCut(r) {
				r.Heard(address, f.Now())
			}
		})
	default:
		r.Sent(address, simPatience, f.Now())
	}
	if counts {
		f.all++
		if served {
			f.right++
		}
	}
}

// counts reports whether requests have to take the right way by now.
func (f *reachFleet) counts() bool {
	now := f.Now()
	inCut := !now.Before(f.cutFrom.Add(simNotice)) && now.Before(f.cutTo)
	return inCut || !now.Before(f.cutTo.Add(simNotice))
}

// answerTime returns how long a target works.
func answerTime(r *rand.Rand) time.Duration {
	return 15*time.Millisecond + time.Duration(r.ExpFloat64()*float64(80*time.Millisecond))
}

// look looks at the paths that are due.
func (f *reachFleet) look(n *bbemulate.Node, r *reachNode) {
	for _, address := range r.Due(f.Now()) {
		f.looks++
		f.dial(r, func(ok bool) {
			peer := !ok && !r.UsesPeer(address) && f.carrier(n, r, address) != nil
			r.Looked(address, ok, peer, f.Now())
		})
	}
}

func newReachFleet(instances, targets int, seed uint64, cut func(i int, n *bbemulate.Node) bool) *reachFleet {
	f := &reachFleet{nodes: map[*bbemulate.Node]*reachNode{}}
	for i := range targets {
		f.targets = append(f.targets, fmt.Sprintf("10.0.0.%d:80", i))
	}
	f.Fleet = bbemulate.NewFleet(instances, 0, seed, func(*bbemulate.Node) {})
	f.cutFrom, f.cutTo = f.Now().Add(simCutAt), f.Now().Add(simCutAt+simCutTime)
	for i, n := range f.Nodes {
		r := &reachNode{cut: cut(i, n)}
		f.nodes[n] = r
		f.After(time.Duration(f.Rand.Int64N(int64(simRequestInterval))), func() { n.Every(simRequestInterval, func() { f.send(n, r) }) })
		n.Every(simTick, func() { f.look(n, r) })
	}
	return f
}

// TestFleetTakesTheRightWays guards against instances that find out too late that their
// paths are lost, or back, and against peers that carry more than they can.
func TestFleetTakesTheRightWays(t *testing.T) {
	for _, size := range []struct{ instances, targets int }{{8, 13}, {84, 64}, {295, 166}} {
		for name, cut := range map[string]func(i int, n *bbemulate.Node) bool{
			"some":             func(i int, _ *bbemulate.Node) bool { return i/3%5 < simCutOf5 },
			"a failure domain": func(_ int, n *bbemulate.Node) bool { return n.Member.Domain == "d1" },
		} {
			t.Run(fmt.Sprintf("%d instances, %s", size.instances, name), func(t *testing.T) {
				is := is.New(t)
				for seed := range *reachSeeds {
					f := newReachFleet(size.instances, size.targets, seed, cut)
					f.Run(simCutAt + simCutTime + 4*time.Second)
					t.Logf("seed %d: %d of %d took the right way, %d looks, at most %d carried", seed, f.right, f.all, f.looks, f.peak)
					is.True(float64(f.right) >= simRightShare*float64(f.all))
					is.True(f.peak <= simMaxCarried)
				}
			})
		}
	}
}

// TestNoPathIsLostForASilentTarget guards against a target that is silent for a second, or a
// quiet time, that is taken for a lost path.
func TestNoPathIsLostForASilentTarget(t *testing.T) {
	is := is.New(t)
	f := newReachFleet(8, 13, 1, func(int, *bbemulate.Node) bool { return false })
	f.silentTarget = f.targets[0]
	f.Run(10 * time.Second)
	for _, r := range f.nodes {
		is.True(!r.IsCut())
		is.Equal(r.Lost(), 0)
	}
	t.Logf("%d looks in 10 s", f.looks)
}
