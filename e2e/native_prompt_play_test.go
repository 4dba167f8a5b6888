package bbe2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebellport.example/platform"
)

// promptPlay is one run of a promptRow.
type promptPlay struct {
	*nativeFleet
	promptRow
	rng      *rand.Rand // of the goroutine of play
	attempts int
	// inCalm is the cost while only sound requests come, inStorm the one later.
	inCalm, inStorm processCost

	mu      sync.Mutex // guards the fields below
	sent    map[string]promptSend
	up      map[*nativeInstance][]upSpan
	stormAt time.Time
}

// promptSend is one request of a caller.
type promptSend struct {
	inst            *nativeInstance
	sentAt          time.Time
	culprit         int // -1: sound
	repeat          bool
	ended           bool
	served, refused bool // refused for crashes
	status          int
	detail          string // of a refusal for crashes
}

// upSpan is a time in which an instance ran; to is zero while it runs.
type upSpan struct{ from, to time.Time }

// play sends sound requests, later crashing ones too, until the storm is over and
// all are answered.
func (p *promptPlay) play() {
	time.Sleep(promptWarmUp)
	var wg sync.WaitGroup
	defer wg.Wait()
	p.inCalm = p.measured(func() { p.sendFor(&wg, *promptCalm, false) })
	p.mu.Lock()
	p.stormAt = time.Now()
	p.mu.Unlock()
	stop := make(chan struct{})
	if p.ownEnds {
		wg.Go(func() { p.endTargets(stop) })
	}
	if p.massCrashes {
		wg.Go(func() { p.endHalf(stop) })
	}
	if p.kills {
		wg.Go(func() { p.killInstances(stop) })
	}
	p.inStorm = p.measured(func() { p.sendFor(&wg, promptStorm, true) })
	close(stop)
}

// measured returns what the instances use during a part of the play, nothing if some
// of them are restarted.
func (p *promptPlay) measured(part func()) processCost {
	if p.kills {
		part()
		return processCost{}
	}
	before, conns, start := p.usage(), p.acceptedConns(), time.Now()
	part()
	cost := costBetween(before, p.usage())
	cost.accepted = float64(p.acceptedConns()-conns) / time.Since(start).Seconds() / float64(len(p.instances))
	return cost
}

// acceptedConns returns how many connections the targets have accepted.
func (p *promptPlay) acceptedConns() int {
	n := 0
	for _, target := range p.targets {
		n += target.AcceptedConns()
	}
	return n
}

// sendFor sends requests at the rates of the row for a while.
func (p *promptPlay) sendFor(wg *sync.WaitGroup, d time.Duration, storm bool) {
	start := time.Now()
	sound, crashing := 0, 0
	for {
		elapsed := time.Since(start)
		if elapsed >= d {
			return
		}
		if float64(sound) < p.sound*elapsed.Seconds() {
			sound++
			p.sendOne(wg, -1, p.soundParts())
		}
		if storm && float64(crashing) < p.crashing*elapsed.Seconds() {
			crashing++
			culprit := p.rng.IntN(p.culprits)
			p.sendOne(wg, culprit, p.crashingParts(culprit))
		}
		time.Sleep(time.Duration(p.rng.Int64N(int64(4 * time.Millisecond))))
	}
}

// sendOne sends a request to a random instance that runs, and again up to
// promptRepeats times while it fails.
func (p *promptPlay) sendOne(wg *sync.WaitGroup, culprit int, parts string) {
	p.attempts++
	request := fmt.Sprintf("%s-%d", p.name, p.attempts)
	random := p.rng.Uint64()
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(random, 0))
		for i := range promptRepeats + 1 {
			if p.send(rng, request, fmt.Sprintf("%s-%d", request, i), parts, promptSend{culprit: culprit, repeat: i > 0}) {
				return
			}
			time.Sleep(promptRepeatDelay)
		}
	})
}

// send sends one attempt of a request to a random instance that runs. It reports
// whether the caller is content with the answer or tries no more.
func (p *promptPlay) send(rng *rand.Rand, request, attempt, parts string, s promptSend) bool {
	p.mu.Lock()
	var running []*nativeInstance
	for _, inst := range p.instances {
		if spans := p.up[inst]; spans[len(spans)-1].to.IsZero() {
			running = append(running, inst)
		}
	}
	s.inst, s.sentAt = running[rng.IntN(len(running))], time.Now()
	p.sent[attempt] = s
	p.mu.Unlock()
	status, text := p.callWith(s.inst, p.path+request, "body of "+request,
		bbplatform.HeaderAttemptID, attempt, bbplatform.HeaderPromptParts, parts, bbplatform.HeaderDeadline, fmt.Sprint(promptDeadline.Milliseconds()))
	s.ended, s.status, s.served, s.refused = true, status, p.isServed(status, text, attempt), strings.Contains(text, statusRefusedByVerdict)
	if s.refused {
		s.detail = text
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[attempt] = s
	return s.served || status != 0 && status != http.StatusBadGateway && status != http.StatusServiceUnavailable
}

// sharedParts returns a first part that all requests have and one of four second
// parts.
func (p *promptPlay) sharedParts() []string {
	return []string{"f0000000:60", fmt.Sprintf("s%07d:20", p.rng.IntN(4))}
}

// soundParts returns the parts of a sound request: the shared ones, now and then one
// of a session, and its own.
func (p *promptPlay) soundParts() string {
	parts, own := p.sharedParts(), fmt.Sprintf("o%07d:10", p.attempts)
	if p.odd {
		switch p.attempts % 12 {
		case 0:
			return culpritPart(0) + ":100" // the last part, as it is the only one
		case 1:
			return strings.Join(append(parts, culpritPart(0)+":20"), ",")
		case 2:
			return "::,,x:y:z,f0000000:-1,:5," + own // malformed
		}
	}
	if p.rng.IntN(2) == 0 {
		parts = append(parts, fmt.Sprintf("e%07d:10", p.rng.IntN(promptSessions)))
	}
	return strings.Join(append(p.withFillers(parts), own), ",")
}

// withFillers adds parts that no other request has.
func (p *promptPlay) withFillers(parts []string) []string {
	for i := range p.fillers {
		parts = append(parts, fmt.Sprintf("x%d-%d:1", p.attempts, i))
	}
	return parts
}

// crashingParts returns the parts of a request with a part that crashes targets, now
// and then twice.
func (p *promptPlay) crashingParts(culprit int) string {
	parts, part := p.sharedParts(), culpritPart(culprit)+":10"
	parts = p.withFillers(parts)
	at := p.position * len(parts) / 2
	list := append(append(append([]string{}, parts[:at]...), part), parts[at:]...)
	if p.odd && p.attempts%4 == 0 {
		list = append(list, part)
	}
	return strings.Join(append(list, fmt.Sprintf("o%07d:10", p.attempts)), ",")
}

// endTargets ends a target each second.
func (p *promptPlay) endTargets(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(*promptSeed, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			go p.targets[rng.IntN(len(p.targets))].Crash()
		}
	}
}

// endHalf ends half of the targets at once, again and again.
func (p *promptPlay) endHalf(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(*promptSeed, 3))
	for {
		for _, i := range rng.Perm(len(p.targets))[:len(p.targets)/2] {
			go p.targets[i].Crash()
		}
		select {
		case <-stop:
			return
		case <-time.After(massInterval):
		}
	}
}

// killInstances kills a share of the instances and starts them again, until the
// storm is over.
func (p *promptPlay) killInstances(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(*promptSeed, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		var killed []*nativeInstance
		for _, i := range rng.Perm(len(p.instances))[:int(promptKillShare*float64(len(p.instances)))] {
			inst := p.instances[i]
			p.mu.Lock()
			p.up[inst][len(p.up[inst])-1].to = time.Now()
			p.mu.Unlock()
			inst.kill()
			killed = append(killed, inst)
		}
		for i, inst := range killed {
			p.startAndWait(inst, fmt.Sprint("again-", i))
			p.mu.Lock()
			p.up[inst] = append(p.up[inst], upSpan{from: time.Now()})
			p.mu.Unlock()
		}
	}
}
