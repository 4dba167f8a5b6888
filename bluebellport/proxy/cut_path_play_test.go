package bbproxy

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbunit"
)

var cutInstances = flag.Int("cut-instances", 4, "instances in the plays of lost paths to targets")

const (
	// cutNoticeTime is how long after a cut began requests count.
	cutNoticeTime = time.Second
	// cutPlayTime is for how long they are sent, cutCallers how many callers send them at
	// each instance, with cutCallPause between two.
	cutPlayTime  = 2 * time.Second
	cutCallers   = 3
	cutCallPause = 15 * time.Millisecond
	// cutServedShare is how often first attempts at instances without a path have to be
	// served, as a share of how often those at others are; cutFailedShare how many may fail.
	cutServedShare = 0.9
	cutFailedShare = 0.01
)

// cutPlay is a fleet whose instances can lose their own paths to targets.
type cutPlay struct {
	t         *testing.T
	instances []*harness
	paths     []*pathCut
	targets   []*bbplatformstand.Target
}

// newCutPlay starts a fleet over two failure domains, with two plain targets and two
// engines in each.
func newCutPlay(t *testing.T) *cutPlay {
	p := &cutPlay{t: t}
	network := newFakeNetwork()
	first := newHarness(t, 1e9)
	for i := range 8 {
		o := bbplatformstand.TargetOptions{ID: fmt.Sprintf("t%d", i), Service: "desk", Domain: fmt.Sprintf("d%d", i%2), Pause: 2 * time.Millisecond}
		if i >= 4 {
			o.Service, o.Engine, o.EventCount = "llm", true, 3
		}
		p.targets = append(p.targets, first.startTarget(o))
	}
	for i := range *cutInstances {
		h := first
		if i > 0 {
			h = newHarness(t, 1e9)
			h.mem, h.settings.StoreAddress = first.mem, first.settings.StoreAddress
		}
		domain := bbunit.DomainID(fmt.Sprintf("d%d", i%2))
		h.settings.Instance, h.settings.Domain = bbunit.InstanceID(fmt.Sprintf("i%d", i)), domain
		h.peers = network.newPeer(bbunit.InstanceID(h.settings.PeerAddress), domain)
		path := newPathCut()
		h.dial = path.dial
		p.instances, p.paths = append(p.instances, h), append(p.paths, path)
	}
	for _, h := range p.instances {
		h.startWithVersions()
	}
	return p
}

// cutCount counts the first attempts at some instances by what came of them.
type cutCount struct {
	sent, served, refused, failed int
	lied                          int // told not run, and ran
	slowest                       time.Duration
}

// call sends requests of all kinds to the instances for a time and counts them by group of
// instances; those of a negative group get none.
func (p *cutPlay) call(d time.Duration, tag string, group func(instance int) int) (counts [2]cutCount) {
	var mu sync.Mutex
	results := map[string]clientResult{}
	of, took := map[string]int{}, map[string]time.Duration{}
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i, h := range p.instances {
		if group(i) < 0 {
			continue
		}
		for caller := range cutCallers {
			wg.Go(func() {
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%d-%d", tag, i, caller, n)
					begin := time.Now()
					r := h.callOver(transport, []string{"/read/1", "/book/1", "/draft/1"}[(n+caller)%3], id)
					mu.Lock()
					results[id], of[id], took[id] = r, group(i), time.Since(begin)
					mu.Unlock()
					time.Sleep(cutCallPause)
				}
			})
		}
	}
	wg.Wait()
	runs := runsByID(p.targets...)
	for id, r := range results {
		c := &counts[of[id]]
		c.sent++
		c.slowest = max(c.slowest, took[id])
		switch {
		case r.err == nil && r.status == http.StatusOK:
			c.served++
		case r.status == http.StatusServiceUnavailable:
			c.refused++
			if runs[id] > 0 {
				c.lied++
			}
		default:
			c.failed++
		}
	}
	return counts
}

// ranTwice counts the requests that may run once and ran more often.
func (p *cutPlay) ranTwice() int {
	n := 0
	seen := map[string]int{}
	for _, target := range p.targets {
		for _, run := range target.Executions() {
			if seen[run.AttemptID]++; strings.HasPrefix(run.Path, "/book/") && seen[run.AttemptID] == 2 {
				n++
			}
		}
	}
	return n
}

// carried returns how many connections peers have carried for the instances.
func (p *cutPlay) carried() (n int64) {
	for _, h := range p.instances {
		n += metrics.GetOrRegisterCounter("door.carry.used", h.registry).Count()
	}
	return n
}

func (p *cutPlay) judge(counts [2]cutCount) {
	p.t.Helper()
	is := is.New(p.t)
	cut, others := counts[0], counts[1]
	p.t.Logf("cut: %+v, others: %+v", cut, others)
	if cut.sent > 0 {
		share := float64(cut.served) / float64(cut.sent)
		reference := 1.0
		if others.sent > 0 {
			reference = float64(others.served) / float64(others.sent)
		}
		is.True(share >= cutServedShare*reference)                         // served
		is.True(float64(cut.failed) <= cutFailedShare*float64(cut.sent)+1) // failed
	}
	is.Equal(cut.lied+others.lied, 0)
	is.Equal(p.ranTwice(), 0)
}

// TestInstanceWithoutAPathToTargetsServes guards against an instance that refuses what
// reaches it because it has lost its own path to all targets, or to some.
func TestInstanceWithoutAPathToTargetsServes(t *testing.T) {
	tests := []struct {
		name   string
		kind   cutKind
		cut    func(instance int) bool
		target func(index int) bool
	}{
		{"one, all targets", cutSilent, func(i int) bool { return i == 0 }, func(int) bool { return true }},
		{"one, all targets", cutReset, func(i int) bool { return i == 0 }, func(int) bool { return true }},
		{"one, all targets", cutNewRefused, func(i int) bool { return i == 0 }, func(int) bool { return true }},
		{"a failure domain, all targets", cutSilent, func(i int) bool { return i%2 == 0 }, func(int) bool { return true }},
		{"all but one, all targets", cutSilent, func(i int) bool { return i != 3 }, func(int) bool { return true }},
		{"one, one service", cutSilent, func(i int) bool { return i == 0 }, func(t int) bool { return t < 4 }},
		{"all, one target", cutSilent, func(int) bool { return true }, func(t int) bool { return t == 1 }},
	}
	for _, test := range tests {
		t.Run(test.name+", "+test.kind.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newCutPlay(t)
			group := func(i int) int {
				if test.cut(i) {
					return 0
				}
				return 1
			}
			p.call(500*time.Millisecond, "before", group)
			hit := map[string]bool{}
			for i, target := range p.targets {
				hit[target.Address()] = test.target(i)
			}
			for i, path := range p.paths {
				if test.cut(i) {
					path.set(test.kind, func(address string) bool { return hit[address] })
				}
			}
			p.call(cutNoticeTime, "begin", group)
			p.judge(p.call(cutPlayTime, "cut", group))
			opened := 0
			for i, path := range p.paths {
				path.set(cutNone, func(string) bool { return true })
				if test.cut(i) {
					opened += path.opened()
				}
			}
			p.call(time.Second, "return", group)
			returned := 0
			for i, path := range p.paths {
				if test.cut(i) {
					returned += path.opened()
				}
			}
			is.True(returned > opened || test.kind == cutNewRefused) // whose old connections live on
			carried := p.carried()
			p.judge(p.call(time.Second, "after", group))
			is.Equal(p.carried(), carried) // back to the own path
		})
	}
}

// atFirst is the group of the instances in a play in which only the first one is called.
func atFirst(instance int) int {
	if instance == 0 {
		return 0
	}
	return -1
}

// cutAll cuts the first instances from all targets.
func (p *cutPlay) cutAll(instances int) {
	for _, path := range p.paths[:instances] {
		path.set(cutSilent, func(string) bool { return true })
	}
}

// TestCarryingPeerThatStopsCutsNothing guards against requests that are cut, or fail, since
// the peer that carries them stops.
func TestCarryingPeerThatStopsCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newCutPlay(t)
	p.call(500*time.Millisecond, "before", atFirst)
	p.cutAll(1)
	p.call(cutNoticeTime, "begin", atFirst)
	stopped := time.AfterFunc(cutPlayTime/4, func() { p.instances[2].stop() }) // the other one of its failure domain
	defer stopped.Stop()
	counts := p.call(cutPlayTime, "stop", atFirst)
	p.judge(counts)
	is.Equal(counts[0].failed, 0)
	is.Equal(counts[0].served, counts[0].sent)
}

// TestFleetWithoutPathsToTargetsRefusesAtOnce guards against callers that are held while
// instances ask each other for paths that none of them has.
func TestFleetWithoutPathsToTargetsRefusesAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newCutPlay(t)
	p.call(500*time.Millisecond, "before", atFirst)
	p.cutAll(len(p.instances))
	p.call(2*cutNoticeTime, "begin", atFirst)
	counts := p.call(cutNoticeTime, "cut", atFirst)
	t.Logf("%+v", counts[0])
	is.Equal(counts[0].served+counts[0].lied, 0)
	is.True(counts[0].refused > 0)
	is.True(counts[0].slowest <= connectTimeout+dialTimeout)
	for _, path := range p.paths {
		path.set(cutNone, func(string) bool { return true })
	}
	p.call(cutNoticeTime, "return", atFirst)
	p.judge(p.call(cutNoticeTime, "after", atFirst))
}
