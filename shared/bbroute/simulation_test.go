package bbroute

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// queueModel is a small deterministic queue model: independent routers before
// targets with slots and a first-in-first-out queue, whose load is reported
// late. Callers give up at their deadline, and the target then stops.
type queueModel struct {
	routers, targets, slots int
	service                 float64 // mean, seconds
	spread                  float64 // sigma of the lognormal service time
	report, lag             time.Duration
	warm, length            time.Duration
	load                    float64 // of the capacity
	seed                    uint64
	policy                  string
	skew                    bool // one router gets half of the requests
	slow                    bool // every third target runs at half its pace
	deaf                    bool // targets run on when callers give up
	outside                 bool // others keep half of every third target's slots

	rnd    *rand.Rand
	now    time.Time
	events eventHeap
	order  int
	sinks  []*modelTarget
	fronts []*modelRouter
	result modelResult
}

// modelResult is what one run measured.
type modelResult struct {
	waits   []float64 // seconds, of the requests that began to run
	offered int
	good    int
	refused map[bbunit.Priority]int
	asked   map[bbunit.Priority]int
}

func (r *modelResult) quantile(q float64) float64 {
	if len(r.waits) == 0 {
		return math.NaN()
	}
	slices.Sort(r.waits)
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// refusedPart returns the part of the offered requests that was refused.
func (r *modelResult) refusedPart() float64 {
	n := 0
	for _, v := range r.refused {
		n += v
	}
	return float64(n) / float64(max(r.offered, 1))
}

// goodput returns the requests answered in time, in parts of the capacity.
func (m *queueModel) goodput() float64 {
	return float64(m.result.good) / m.length.Seconds() / m.capacity()
}

type modelRequest struct {
	ask     Request
	counted bool
	began   time.Time
	service time.Duration
	router  *modelRouter
	target  *modelTarget
	work    int64
	sent    time.Time
	stage   int // 0 waits at the router, 1 queued, 2 runs, 3 over
	waiter  *Waiter
}

type modelTarget struct {
	id      int
	running int
	queue   []*modelRequest
}

type modelRouter struct {
	id      int
	table   *Table
	seed    uint64
	turn    int
	waiting []*modelRequest
}

type event struct {
	at    time.Time
	order int
	fn    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

var modelRule = PickPolicy{
	Circuit:   CircuitPolicy{FailureThreshold: 3, InitialOpen: time.Second, MaxOpen: 30 * time.Second, ProbeTimeout: 10 * time.Second},
	SlowStart: 10 * time.Second,
	SpillWait: 250 * time.Millisecond,
}

func (m *queueModel) after(d time.Duration, fn func()) {
	m.order++
	heap.Push(&m.events, event{m.now.Add(d), m.order, fn})
}

// run runs the model and returns what it measured after the warm-up.
func (m *queueModel) run() *modelResult {
	m.rnd = rand.New(rand.NewPCG(m.seed, 1))
	m.now = time.Unix(1_000_000, 0)
	m.result = modelResult{refused: map[bbunit.Priority]int{}, asked: map[bbunit.Priority]int{}}
	state := &bbticket.State{
		Number:   1,
		Services: map[bbunit.ServiceID]bbticket.Numbered[bbticket.Service]{"s": {Object: bbticket.Service{ID: "s"}}},
		Targets:  map[bbunit.TargetID]bbticket.Numbered[bbticket.Target]{},
	}
	for i := range m.targets {
		id := bbunit.TargetID(fmt.Sprintf("t%02d", i))
		state.Targets[id] = bbticket.Numbered[bbticket.Target]{Object: bbticket.Target{ID: id, Service: "s", Slots: m.slots}}
		m.sinks = append(m.sinks, &modelTarget{id: i})
	}
	rule := AdmissionPolicy{MaxQueued: 256, MaxWait: 5 * time.Second}
	for i := range m.routers {
		t := (&Table{}).WithState(state, "", rule, m.now)
		g, _ := t.Group("s")
		g.turn.Store(uint64(i))
		m.fronts = append(m.fronts, &modelRouter{id: i, table: t, seed: mix(m.seed*1000 + uint64(i)), turn: i})
	}
	end := m.now.Add(m.warm + m.length)
	m.arrive()
	for i := range m.sinks {
		m.after(time.Duration(i)*m.report/time.Duration(m.targets), func() { m.tell(m.sinks[i]) })
	}
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.fn()
	}
	return &m.result
}

func (m *queueModel) measured() bool { return m.now.Sub(time.Unix(1_000_000, 0)) >= m.warm }

// capacity is in requests a second.
func (m *queueModel) capacity() (sum float64) {
	for _, t := range m.sinks {
		sum += float64(m.slots-m.taken(t)) / m.pace(t) / m.service
	}
	return sum
}

func (m *queueModel) arrive() {
	gap := m.rnd.ExpFloat64() / (m.capacity() * m.load)
	m.after(time.Duration(gap*float64(time.Second)), func() { m.take(); m.arrive() })
}

func (m *queueModel) take() {
	mu := math.Log(m.service) - m.spread*m.spread/2
	service := math.Exp(mu + m.spread*m.rnd.NormFloat64())
	deadline := m.service * (4 + 8*m.rnd.Float64())
	r := m.fronts[m.rnd.IntN(m.routers)]
	if m.skew && m.rnd.IntN(2) == 0 {
		r = m.fronts[0]
	}
	q := &modelRequest{
		ask: Request{
			Service:        "s",
			Priority:       bbunit.Priority(m.rnd.IntN(3)),
			Deadline:       m.now.Add(time.Duration(deadline * float64(time.Second))),
			ExpectedOutput: bbunit.Tokens(service * 200 * (0.7 + 0.6*m.rnd.Float64())),
		},
		began:   m.now,
		service: time.Duration(service * float64(time.Second)),
		router:  r,
	}
	if q.counted = m.measured(); q.counted {
		m.result.offered++
		m.result.asked[q.ask.Priority]++
	}
	m.after(q.ask.Deadline.Sub(m.now), func() { m.giveUp(q) })
	m.admit(q)
}

// admit sends the request, lines it up or refuses it.
func (m *queueModel) admit(q *modelRequest) {
	g := m.group(q.router)
	q.work = g.ExpectedWork(&q.ask)
	if m.policy != "bluebellport" || g.gate.TryAcquire() {
		m.send(q)
		return
	}
	q.waiter = &Waiter{Priority: q.ask.Priority, Deadline: q.ask.Deadline, ExpectedDuration: g.gate.ExpectedDuration(q.work), Ready: make(chan error, 1)}
	if err := g.gate.Enqueue(q.waiter, m.now); err != nil {
		m.refuse(q)
		return
	}
	q.router.waiting = append(q.router.waiting, q)
	m.wake(q.router)
}

func (m *queueModel) refuse(q *modelRequest) {
	q.stage = 3
	if q.counted {
		m.result.refused[q.ask.Priority]++
	}
}

// wake looks at what became of those that wait at the router.
func (m *queueModel) wake(r *modelRouter) {
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		select {
		case err := <-q.waiter.Ready:
			if err != nil {
				m.refuse(q)
			} else {
				m.send(q)
			}
		default:
			r.waiting = append(r.waiting, q)
		}
	}
}

func (m *queueModel) group(r *modelRouter) *Group {
	g, _ := r.table.Group("s")
	return g
}

func (m *queueModel) send(q *modelRequest) {
	r := q.router
	var p *Candidate
	switch g := m.group(r); m.policy {
	case "random":
		p = &g.Local[m.rnd.IntN(m.targets)]
	case "round robin":
		r.turn++
		p = &g.Local[r.turn%m.targets]
	default:
		r.seed++
		p = g.Pick(&q.ask, &PickOptions{Now: m.now, Rand: r.seed * 0x9e3779b97f4a7c15}, &modelRule)
	}
	p.State.Begin(q.work, false)
	q.target, q.sent, q.stage = m.sinks[slices.IndexFunc(m.group(r).Local, func(x Candidate) bool { return x.State == p.State })], m.now, 1
	q.target.queue = append(q.target.queue, q)
	m.start(q.target)
}

func (m *queueModel) start(t *modelTarget) {
	for t.running < m.slots-m.taken(t) && len(t.queue) > 0 {
		q := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		q.stage = 2
		if m.measured() {
			m.result.waits = append(m.result.waits, m.now.Sub(q.began).Seconds())
		}
		m.after(time.Duration(float64(q.service)*m.pace(t)), func() { m.finish(q) })
	}
}

// finish ends a request that ran whole.
func (m *queueModel) finish(q *modelRequest) {
	if q.stage != 2 {
		return
	}
	if m.measured() && !m.now.After(q.ask.Deadline) {
		m.result.good++
	}
	total := m.now.Sub(q.sent)
	m.group(q.router).RecordCompletion(m.place(q).State, bbunit.Tokens(q.service.Seconds()*200), total)
	m.leave(q)
}

func (m *queueModel) place(q *modelRequest) *Candidate {
	return &m.group(q.router).Local[q.target.id]
}

// taken returns how many of the target's slots others keep.
func (m *queueModel) taken(t *modelTarget) int {
	if m.outside && t.id%3 == 0 {
		return m.slots / 2
	}
	return 0
}

// pace returns how much longer an answer of the target takes.
func (m *queueModel) pace(t *modelTarget) float64 {
	if m.slow && t.id%3 == 0 {
		return 2
	}
	return 1
}

// giveUp ends a request at its deadline, wherever it is.
func (m *queueModel) giveUp(q *modelRequest) {
	switch q.stage {
	case 0:
		g := m.group(q.router)
		if g.gate.CancelWait(q.waiter) {
			m.refuse(q)
		}
		q.router.waiting = slices.DeleteFunc(q.router.waiting, func(x *modelRequest) bool { return x == q })
	case 1, 2:
		if !m.deaf {
			m.leave(q)
		}
	}
}

// leave takes the request out of its target and gives its place back.
func (m *queueModel) leave(q *modelRequest) {
	t := q.target
	if q.stage == 2 {
		t.running--
	} else {
		t.queue = slices.DeleteFunc(t.queue, func(x *modelRequest) bool { return x == q })
	}
	q.stage = 3
	m.place(q).State.End(q.work, false)
	m.start(t)
	if m.policy == "bluebellport" {
		m.group(q.router).gate.Release()
		m.wake(q.router)
	}
}

// tell reports the target's load to all routers, late.
func (m *queueModel) tell(t *modelTarget) {
	r := LoadReport{Running: t.running + m.taken(t), Waiting: len(t.queue), Slots: m.slots, SampledAt: m.now}
	m.after(m.lag, func() {
		for _, f := range m.fronts {
			g := m.group(f)
			_, _ = g.Local[t.id].State.Observe(r, m.now)
			g.UpdateWindow(m.now, m.routers)
			m.wake(f)
		}
	})
	m.after(m.report, func() { m.tell(t) })
}
