package bbproxy

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbunit"
)

var brittleInstances = flag.Int("brittle-instances", 4, "instances in the plays of brittle targets")

const (
	// A target of the play runs brittleSlots requests of brittleWork at once and bears
	// brittleRefusals refusals a second.
	brittleSlots    = 4
	brittleWork     = 20 * time.Millisecond
	brittleTargets  = 2
	brittleRefusals = 10
	// brittleNotice is how long the targets say that they are brittle before they fall.
	brittleNotice = time.Second
	brittleTime   = 4 * time.Second
	// brittleRegister is the time between two writes of the targets' entries.
	brittleRegister = 100 * time.Millisecond
	// brittleFalls is how often they may fall in all: 2 and a tenth of their number.
	brittleFalls = 2
	// brittleServed is the part of what the targets can do that has to be served.
	brittleServed = 0.6
)

// brittlePlay is a fleet whose callers ask for more than the targets can do.
type brittlePlay struct {
	instances []*harness
	targets   []*bbplatformstand.Target
	served    atomic.Int64
	calls     atomic.Int64
}

func newBrittlePlay(t *testing.T) *brittlePlay {
	p := &brittlePlay{}
	network := newFakeNetwork()
	first := newHarness(t, 0)
	for i := range brittleTargets {
		target := first.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprintf("t%d", i), Service: "desk", Slots: brittleSlots, Pause: brittleWork, RestartAfter: time.Second})
		target.SetRoom(brittleSlots, 2*brittleSlots)
		p.targets = append(p.targets, target)
	}
	for i := range *brittleInstances {
		h := first
		if i > 0 {
			h = newHarness(t, 0)
			h.mem, h.settings.StoreAddress = first.mem, first.settings.StoreAddress
		}
		h.settings.Instance = bbunit.InstanceID(fmt.Sprintf("i%d", i))
		h.peers = network.newPeer(bbunit.InstanceID(h.settings.PeerAddress), "uppsala")
		p.instances = append(p.instances, h)
	}
	for _, h := range p.instances {
		h.start()
	}
	time.Sleep(permitWarmup)
	return p
}

// call sends requests by so many callers at each instance for a time.
func (p *brittlePlay) call(callers int, pause, d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i, h := range p.instances {
		for caller := range callers {
			wg.Go(func() {
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				for time.Now().Before(end) {
					n := p.calls.Add(1)
					r := h.callOver(transport, fmt.Sprintf("/%s/%d", []string{"read", "book"}[caller%2], n), fmt.Sprintf("a-%d-%d", i, n))
					if r.status == http.StatusOK {
						p.served.Add(1)
					}
					time.Sleep(pause)
				}
			})
		}
	}
	for now := range time.Tick(brittleRegister) { // a target that is back writes its entry
		if now.After(end) {
			break
		}
		p.instances[0].registerAgain(p.targets)
	}
	wg.Wait()
}

// crashes returns how often the targets have fallen over.
func (p *brittlePlay) crashes() (n int) {
	for _, target := range p.targets {
		n += len(target.Crashes())
	}
	return n
}

// TestBrittleTargetsDoNotFallOver guards against targets that fall over under the requests
// that they have to refuse, and against a fleet that sends them next to nothing.
func TestBrittleTargetsDoNotFallOver(t *testing.T) {
	for _, row := range []struct {
		name    string
		callers int
		pause   time.Duration
	}{
		{"twice what they can do", 24, 40 * time.Millisecond},
		{"callers that come back at once", 12, 5 * time.Millisecond},
		{"half of what they can do", 4, 60 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newBrittlePlay(t)
			p.call(row.callers, row.pause, time.Second)
			for _, target := range p.targets {
				target.SetBrittle(brittleRefusals, false)
			}
			p.call(row.callers, row.pause, brittleNotice)
			for _, target := range p.targets {
				target.SetRoom(brittleSlots, brittleSlots) // fewer wait
				target.SetBrittle(brittleRefusals, true)
			}
			before, calls := p.served.Load(), p.calls.Load()
			p.call(row.callers, row.pause, brittleTime)
			served := float64(p.served.Load()-before) / brittleTime.Seconds()
			able := brittleTargets * brittleSlots / brittleWork.Seconds()
			t.Logf("%d falls, %.0f of %.0f a second served, %d calls", p.crashes(), served, able, p.calls.Load()-calls)
			is.True(p.crashes() <= brittleFalls)
			asked := float64(p.calls.Load()-calls) / brittleTime.Seconds()
			is.True(served >= brittleServed*min(able, asked))
		})
	}
}
