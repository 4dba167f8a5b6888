package bbe2e

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

var (
	versionInstances = flag.Int("version-instances", 8, "instances of TestNativeStreamsStayAtTheirVersion")
	versionSeed      = flag.Uint64("version-seed", 1, "seed of its streams")
	versionTime      = flag.Duration("version-time", 8*time.Second, "how long its streams begin")
	versionPlays     = flag.String("version-plays", "roll-out, three in eight killed;roll-out, all killed;two versions, all killed", "its plays")
)

const (
	versionEvents = 12
	versionPause  = 40 * time.Millisecond
	versionRate   = 30 // streams a second
	// maxMixedStreams is how many streams may hold events of two versions.
	maxMixedStreams = 2
	versionTries    = 6
	versionDeadline = 4 * time.Second
)

// versionPlay is a fleet with targets of two software versions.
type versionPlay struct {
	*nativeFleet
	versions map[*bbplatformstand.Target]string
	gone     map[*bbplatformstand.Target]bool
	mu       sync.Mutex // guards gone, rng and the fields below
	rng      *rand.Rand
	streams  []*versionStream
	first    []time.Duration // from request to first event
	killedAt time.Time       // when all instances were killed last
}

// versionStream is a stream over its client's tries.
type versionStream struct {
	attempts []string
	begun    string // the attempt that brought the first event, empty if none did
	last     int    // the last event
	whole    bool
	// takenUp and wentOn count the tries while two targets of its version served, of
	// which lostUp and lostOn followed a kill of all.
	takenUp, wentOn, lostUp, lostOn int
}

func newVersionPlay(t *testing.T, instances int, rollOut bool) *versionPlay {
	p := &versionPlay{nativeFleet: newNativeStore(t), versions: map[*bbplatformstand.Target]string{}, gone: map[*bbplatformstand.Target]bool{}, rng: rand.New(rand.NewPCG(*versionSeed, 0))}
	plan := strings.Replace(nativePlan, `"target-gap-ms":300,"max-attempts":1`, `"target-gap-ms":300,"max-attempts":2,"resumable":true`, 1)
	plan = strings.Replace(plan, fmt.Sprintf(`"prepaid":%d`, nativePrepaid), `"prepaid":100000000`, 1)
	old, err := p.memStore.Get(t.Context(), bbplatform.KeyPlan)
	is.New(t).NoErr(err)
	_, err = p.memStore.CAS(t.Context(), bbplatform.KeyPlan, []byte(plan), old.Rev, 0)
	is.New(t).NoErr(err)
	domains := domainNames(instances)
	for i := range 6 {
		p.addTarget(fmt.Sprint("old-", i), "v1", domains[i%3])
		if !rollOut {
			p.addTarget(fmt.Sprint("new-", i), "v1.1", domains[i%3])
		}
	}
	for i, domain := range domains {
		inst := p.newInstance(fmt.Sprint("i", i), domain)
		p.start(inst, fmt.Sprint("i", i))
		p.instances = append(p.instances, inst)
	}
	for _, inst := range p.instances {
		p.waitReady(inst)
	}
	return p
}

func (p *versionPlay) addTarget(id, version, domain string) {
	p.mu.Lock() // also for the fleet's list of targets
	defer p.mu.Unlock()
	target := p.startTarget(bbplatformstand.TargetOptions{ID: id, Service: "llm", Domain: domain, Engine: true, EventCount: versionEvents, Pause: versionPause, Version: version})
	p.versions[target] = version
}

// rollOut starts a target of the new version and lets one of the old version leave,
// one pair after the other.
func (p *versionPlay) rollOut(ctx context.Context) {
	for i := range 6 {
		p.addTarget(fmt.Sprint("new-", i), "v1.1", fmt.Sprint("domain-", i%3))
		p.mu.Lock()
		old := p.targets[i]
		p.gone[old] = true
		p.mu.Unlock()
		_ = old.Register(ctx, p.memStore, "draining")
		time.Sleep(500 * time.Millisecond)
	}
}

// truncate lets some streams break off at their targets, a fifth of all.
func (p *versionPlay) truncate(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		target := p.targets[p.rng.IntN(len(p.targets))]
		p.mu.Unlock()
		target.SetFault(bbplatformstand.FaultBegunTruncated, 1)
		time.Sleep(5 * time.Second / versionRate)
	}
}

// kill kills a share of the instances and starts them again.
func (p *versionPlay) kill(share float64) {
	p.mu.Lock()
	killed := p.rng.Perm(len(p.instances))[:int(share*float64(len(p.instances)))]
	if len(killed) == len(p.instances) {
		p.killedAt = time.Now()
	}
	p.mu.Unlock()
	for _, i := range killed {
		p.instances[i].kill()
	}
	time.Sleep(time.Second)
	for _, i := range killed {
		p.start(p.instances[i], fmt.Sprint("again-", i))
	}
}

// stream begins a stream and takes it up again until it is whole.
func (p *versionPlay) stream() {
	s := &versionStream{}
	p.mu.Lock()
	p.streams = append(p.streams, s)
	drop := versionEvents
	if p.rng.IntN(5) == 0 {
		drop = 2 + p.rng.IntN(versionEvents-4)
	}
	p.mu.Unlock()
	for try := 0; try < versionTries && !s.whole; try++ {
		p.try(s, drop)
		if s.begun == "" {
			return
		}
		drop = versionEvents
		time.Sleep(100*time.Millisecond + time.Duration(try)*200*time.Millisecond)
	}
}

// try sends one attempt of a stream to a random instance, and leaves after some
// events.
func (p *versionPlay) try(s *versionStream, drop int) {
	p.mu.Lock()
	inst := p.instances[p.rng.IntN(len(p.instances))]
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), versionDeadline)
	defer cancel()
	attempt := fmt.Sprint("attempt-", p.attemptCount.Add(1))
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+inst.callerAddress+"/draft/1", strings.NewReader("prompt"))
	r.Host = nativeHost
	r.Header.Set(bbplatform.HeaderAttemptID, attempt)
	r.Header.Set(bbplatform.HeaderAPIKey, nativeKey)
	r.Header.Set(bbplatform.HeaderDeadline, fmt.Sprint(versionDeadline.Milliseconds()))
	r.Header.Set(bbplatform.HeaderTokenUsage, fmt.Sprintf("%d,%d", nativePromptTokens, versionEvents*nativeStride))
	if s.begun != "" {
		r.Header.Set(bbplatform.HeaderLastEventID, strconv.Itoa(s.last))
		r.Header.Set(bbplatform.HeaderResumes, s.begun)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	sentAt := time.Now()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.attempts = append(s.attempts, attempt)
	p.countTakeUp(s, resp.StatusCode == http.StatusOK)
	if resp.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(id)
			if s.begun == "" {
				s.begun = attempt
				p.mu.Lock()
				p.first = append(p.first, time.Since(sentAt))
				p.mu.Unlock()
			}
		}
		if s.last >= drop && drop < versionEvents {
			return
		}
	}
	s.whole = lines.Err() == nil && s.last == versionEvents
}

// countTakeUp counts a try that takes a stream up, if two targets of its version
// serve.
func (p *versionPlay) countTakeUp(s *versionStream, wentOn bool) {
	if s.begun == "" {
		return
	}
	began := p.versionsOf(s.attempts)
	p.mu.Lock()
	defer p.mu.Unlock()
	serving := 0
	for target, version := range p.versions {
		if !p.gone[target] && slices.Contains(began, version) {
			serving++
		}
	}
	if serving < 2 {
		return
	}
	up, on := &s.takenUp, &s.wentOn
	if time.Since(p.killedAt) < versionDeadline {
		up, on = &s.lostUp, &s.lostOn
	}
	*up++
	if wentOn {
		*on++
	}
}

// versionsOf returns the versions of the targets that ran one of some attempts.
func (p *versionPlay) versionsOf(attempts []string) []string {
	p.mu.Lock()
	targets := slices.Clone(p.targets)
	p.mu.Unlock()
	var versions []string
	for _, target := range targets {
		for _, e := range target.Executions() {
			if slices.Contains(attempts, e.AttemptID) {
				p.mu.Lock()
				version := p.versions[target]
				p.mu.Unlock()
				if !slices.Contains(versions, version) {
					versions = append(versions, version)
				}
			}
		}
	}
	return versions
}

// TestNativeStreamsStayAtTheirVersion guards against streams whose events two
// software versions have written, in one answer or over the client's tries, while
// targets are rolled out and some or all instances are killed.
func TestNativeStreamsStayAtTheirVersion(t *testing.T) {
	for name := range strings.SplitSeq(*versionPlays, ";") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rollOut := strings.Contains(name, "roll-out")
			p := newVersionPlay(t, *versionInstances, rollOut)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() { p.truncate(ctx) })
			if rollOut {
				wg.Go(func() { time.Sleep(*versionTime / 4); p.rollOut(t.Context()) })
			}
			switch {
			case strings.Contains(name, "all killed"):
				wg.Go(func() { time.Sleep(*versionTime / 2); p.kill(1) })
			case strings.Contains(name, "killed"):
				wg.Go(func() { time.Sleep(*versionTime / 2); p.kill(0.375) })
			}
			var clients sync.WaitGroup
			for begin := time.Now(); time.Since(begin) < *versionTime; time.Sleep(time.Second / versionRate) {
				clients.Go(p.stream)
			}
			clients.Wait()
			cancel()
			wg.Wait()
			begun, whole, mixed, up, on, lostUp, lostOn := 0, 0, 0, 0, 0, 0, 0
			for _, s := range p.streams {
				if s.begun != "" {
					begun++
				}
				if s.whole {
					whole++
				}
				if versions := p.versionsOf(s.attempts); len(versions) > 1 {
					mixed++
					t.Logf("stream %s, attempts %v: versions %v", s.begun, s.attempts, versions)
				}
				up, on, lostUp, lostOn = up+s.takenUp, on+s.wentOn, lostUp+s.lostUp, lostOn+s.lostOn
			}
			slices.Sort(p.first)
			t.Logf("%d streams, %d begun, %d whole, %d mixed; taken up %d, went on %d; soon after a kill of all %d, %d; first event p95 %s",
				len(p.streams), begun, whole, mixed, up, on, lostUp, lostOn, p.first[len(p.first)*95/100])
			is.True(mixed <= maxMixedStreams)
			is.True(10*on >= 9*up)
			if !rollOut {
				is.True(10*(on+lostOn) >= 9*(up+lostUp)) // the split alone tells the version
			}
		})
	}
}
