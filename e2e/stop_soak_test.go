package bbe2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bluebellport.example/platform"
)

const (
	// soakCallersPerInstance send one request after the other.
	soakCallersPerInstance = 10
	// soakIdle connections of each process are open at its SIGTERM and used once, at
	// any moment of its grace period.
	soakIdle = 10
	// soakWarmup is how long requests are sent before the first stop, soakAfter how
	// long after the last instance has come back.
	soakWarmup = time.Second
	soakAfter  = 500 * time.Millisecond
	soakGrace  = 6 * time.Second
	// balancerInterval is the time between two readiness checks of an instance;
	// balancerFailures of them in a row take it out.
	balancerInterval = time.Second
	balancerFailures = 2
	// soakDrainTimeout is how long after it has said that it leaves a target may get
	// requests.
	soakDrainTimeout = 2 * time.Second
	// soakLimit is the limit of each target with a limit, in requests a second.
	soakLimit = "40"
	// soakTargets is the number of targets of each service.
	soakTargets = 3
)

// soakKinds are the kinds of requests.
var soakKinds = append([]stopKind{kindLimited}, allStopKinds...)

// stopWay is what happens to an instance around its stop.
type stopWay string

// Ways to stop.
const (
	wayOnce      stopWay = "once"
	wayTwice     stopWay = "SIGTERM twice"
	wayHangup    stopWay = "SIGHUP before and after SIGTERM"
	wayStoreAway stopWay = "store silent"
	wayFrozen    stopWay = "frozen while it stops"
)

var allStopWays = []stopWay{wayOnce, wayTwice, wayHangup, wayStoreAway, wayFrozen, wayTwice, wayOnce}

// instanceLife is one run of the process of an instance.
type instanceLife struct {
	*process
	way       stopWay
	stoppedAt time.Time // of the first SIGTERM
	frozenAt  time.Time // zero: it was not frozen
}

// soakInstance is an instance of the soak.
type soakInstance struct {
	*nativeInstance
	link *storeLink

	mu   sync.Mutex // guards the fields below
	life *instanceLife
	up   bool // the balancer sends new connections
}

func (s *soakInstance) state() (*instanceLife, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life, s.up
}

// soakRecord is one request and the process that it was sent to.
type soakRecord struct {
	*stopRequest
	life *instanceLife
}

// stopSoak stops a part of a fleet in series, with other disturbances.
type stopSoak struct {
	*nativeFleet
	seed     uint64
	all      []*soakInstance
	stopping int // how many of them stop
	routes   []string
	services []string
	version  int
	begunAt  time.Time // of the first stop
	end      chan struct{}
	idle     sync.WaitGroup // requests on idle connections

	mu      sync.Mutex // guards the fields below
	targets map[stopKind][]*workTarget
	left    map[*workTarget]time.Time // when the store had its word that it leaves
	records []*soakRecord
	lives   []*instanceLife
	joined  int
}

// newStopSoak starts a fleet in which so many instances stop.
func newStopSoak(t *testing.T, seed uint64, stopping int) *stopSoak {
	s := &stopSoak{
		nativeFleet: newNativeStore(t), seed: seed, stopping: stopping, version: 1, end: make(chan struct{}),
		targets: map[stopKind][]*workTarget{}, left: map[*workTarget]time.Time{},
	}
	s.grace = soakGrace
	for _, kind := range soakKinds {
		for range soakTargets {
			s.join(kind)
		}
		s.services = append(s.services, stopService(kind, string(kind)))
		s.routes = append(s.routes, stopRoute(kind, string(kind), string(kind)))
	}
	s.changePlan()
	storeAddress := s.storeAddress
	for i, domain := range domainNames(stopping + stopping/2 + 1) {
		link := newStoreLink(t, storeAddress)
		s.storeAddress = link.address
		inst := &soakInstance{nativeInstance: s.newInstance(fmt.Sprint("i", i), domain), link: link}
		s.begin(inst, fmt.Sprint("i", i))
		s.all = append(s.all, inst)
	}
	for _, inst := range s.all {
		s.waitReady(inst.nativeInstance)
		inst.up = true
	}
	return s
}

// begin starts a process of an instance.
func (s *stopSoak) begin(inst *soakInstance, name string) *instanceLife {
	s.start(inst.nativeInstance, name)
	life := &instanceLife{process: inst.process}
	inst.mu.Lock()
	inst.life = life
	inst.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives = append(s.lives, life)
	return life
}

// join adds a target of a kind of request.
func (s *stopSoak) join(kind stopKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined++
	target := newWorkTarget(s.t, fmt.Sprint(kind, "-", s.joined), string(kind), fmt.Sprint("domain-", s.joined%3))
	if kind == kindLimited {
		target.limit = soakLimit
	}
	target.write(s.t, s.memStore, "ready")
	s.targets[kind] = append(s.targets[kind], target)
}

// changePlan writes a newer plan, each time with one more route.
func (s *stopSoak) changePlan() {
	s.version++
	s.routes = append(s.routes, stopRoute(kindPlain, fmt.Sprint("added-", s.version), string(kindPlain)))
	s.writeStopPlan(s.version, s.routes, s.services)
}

// balance checks the readiness of an instance until the soak ends.
func (s *stopSoak) balance(inst *soakInstance) {
	client := &http.Client{Timeout: balancerInterval}
	defer client.CloseIdleConnections()
	for failures := 0; ; {
		select {
		case <-s.end:
			return
		case <-time.After(balancerInterval):
		}
		r, err := client.Get("http://" + inst.readyAddress + bbplatform.PathReadiness)
		if failures++; err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				failures = 0
			}
		}
		inst.mu.Lock()
		inst.up = failures == 0 || inst.up && failures < balancerFailures
		inst.mu.Unlock()
	}
}

// draw returns a random request.
func (s *stopSoak) draw(rng *rand.Rand) *stopRequest {
	kind := soakKinds[rng.IntN(len(soakKinds))]
	q := &stopRequest{attemptID: fmt.Sprint("attempt-", s.attemptCount.Add(1)), path: "/" + string(kind) + "/1", limit: 10 * time.Second}
	switch n := rng.IntN(20); {
	case n < 2:
		q.work = 3 * time.Second
	case n < 7:
		q.work = 200*time.Millisecond + time.Duration(rng.IntN(1300))*time.Millisecond
	default:
		q.work = 20*time.Millisecond + time.Duration(rng.IntN(180))*time.Millisecond
	}
	if rng.IntN(5) == 0 {
		q.slow, q.pause = []slowPart{slowHead, slowBody}[rng.IntN(2)], time.Duration(rng.IntN(1200))*time.Millisecond
	}
	return q
}

// callOn opens a connection to an instance that the balancer takes for ready, and
// uses it for some requests, until it is closed.
func (s *stopSoak) callOn(rng *rand.Rand) {
	inst := s.all[rng.IntN(len(s.all))]
	life, up := inst.state()
	if !up {
		return
	}
	conn, err := net.DialTimeout("tcp4", inst.callerAddress, callerDial)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for range 1 + rng.IntN(20) {
		q := s.draw(rng)
		q.send(conn, "")
		s.record(life, q)
		if q.err != nil || q.closed || s.over() {
			return
		}
		time.Sleep(think(rng))
	}
}

// holdIdle opens connections to a process and lets each be used once, at any
// moment of the grace period that begins now.
func (s *stopSoak) holdIdle(inst *soakInstance, life *instanceLife, rng *rand.Rand) {
	for range soakIdle {
		conn, err := net.DialTimeout("tcp4", inst.callerAddress, callerDial)
		if err != nil {
			s.t.Errorf("%s: %s", life.name, err)
			return
		}
		wait, q := time.Duration(rng.Float64()*float64(soakGrace)), s.draw(rng)
		q.work = 100*time.Millisecond + time.Duration(rng.IntN(4))*time.Second
		s.idle.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(wait)
			q.send(conn, "")
			s.record(life, q)
		})
	}
}

// record keeps a request that has ended.
func (s *stopSoak) record(life *instanceLife, q *stopRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, &soakRecord{stopRequest: q, life: life})
}

// think returns how long a caller lets its connection stay idle: often not at all,
// at times for seconds.
func think(rng *rand.Rand) time.Duration {
	most := []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second}[rng.IntN(4)]
	return time.Duration(rng.Float64() * float64(most))
}

// over reports whether the soak has ended.
func (s *stopSoak) over() bool {
	select {
	case <-s.end:
		return true
	default:
		return false
	}
}

// run plays the soak and waits for its last request.
func (s *stopSoak) run() {
	var callers, stops sync.WaitGroup
	for i := range soakCallersPerInstance * len(s.all) {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
			for !s.over() {
				s.callOn(rng)
				time.Sleep(time.Duration(1+rng.IntN(50)) * time.Millisecond)
			}
		})
	}
	for _, inst := range s.all {
		callers.Go(func() { s.balance(inst) })
	}
	time.Sleep(soakWarmup)
	begin := time.Now()
	s.begunAt = begin
	for i := range s.stopping {
		rng := rand.New(rand.NewPCG(s.seed, uint64(1000+i)))
		stops.Go(func() {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * stopInterval)))
			s.stopOne(s.all[i], allStopWays[(i+int(s.seed))%len(allStopWays)], rng)
		})
	}
	s.disturb(begin, rand.New(rand.NewPCG(s.seed, 999)))
	stops.Wait()
	s.idle.Wait()
	time.Sleep(soakAfter)
	close(s.end)
	callers.Wait()
}

// disturb changes the plan and lets targets leave while instances stop.
func (s *stopSoak) disturb(begin time.Time, rng *rand.Rand) {
	series := time.Duration(s.stopping) * stopInterval
	for time.Since(begin) < series+soakGrace/2 {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			s.changePlan()
			continue
		}
		kind := soakKinds[rng.IntN(len(soakKinds))]
		s.join(kind)
		s.mu.Lock()
		target := s.targets[kind][0]
		s.targets[kind] = s.targets[kind][1:]
		s.left[target] = target.write(s.t, s.memStore, []string{"draining", ""}[rng.IntN(2)])
		s.mu.Unlock()
	}
}

// stopOne stops an instance, starts it again, at times stops it before it is
// ready, and waits until it is.
func (s *stopSoak) stopOne(inst *soakInstance, way stopWay, rng *rand.Rand) {
	within := func(d time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(d)) }
	life, _ := inst.state()
	s.mu.Lock()
	life.way, life.stoppedAt = way, time.Now()
	s.mu.Unlock()
	switch way {
	case wayHangup:
		life.signal(syscall.SIGHUP)
		time.Sleep(within(100 * time.Millisecond))
	case wayStoreAway:
		inst.link.set(linkSilent)
	}
	s.holdIdle(inst, life, rng)
	s.terminate(life)
	switch way {
	case wayTwice:
		time.Sleep(within(3 * time.Second))
		life.signal(syscall.SIGTERM)
	case wayHangup:
		time.Sleep(within(time.Second))
		life.signal(syscall.SIGHUP)
	case wayFrozen:
		time.Sleep(within(time.Second))
		s.mu.Lock()
		life.frozenAt = time.Now()
		s.mu.Unlock()
		life.signal(syscall.SIGSTOP)
		time.Sleep(500*time.Millisecond + within(1500*time.Millisecond))
		life.signal(syscall.SIGCONT)
	}
	s.awaitEnd(life)
	inst.link.set(linkSound)
	time.Sleep(within(500 * time.Millisecond))
	if rng.IntN(3) == 0 {
		unready := s.begin(inst, life.name+"-unready")
		time.Sleep(within(250 * time.Millisecond))
		s.terminate(unready)
		s.awaitEnd(unready)
	}
	s.begin(inst, life.name+"-again")
	s.waitReady(inst.nativeInstance)
}

// terminate sends SIGTERM.
func (s *stopSoak) terminate(life *instanceLife) {
	s.mu.Lock()
	life.stoppedAt = time.Now()
	s.mu.Unlock()
	life.signal(syscall.SIGTERM)
}

// awaitEnd waits for the end of a process that has got SIGTERM, and kills it at the
// end of the grace period.
func (s *stopSoak) awaitEnd(life *instanceLife) {
	select {
	case <-life.done:
	case <-time.After(time.Until(life.stoppedAt.Add(soakGrace))):
		life.kill()
	}
}
