package bbstand

import (
	"context"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

const (
	errLeaving = errors.ConstError("leaving")
	errFull    = errors.ConstError("queue full")
	errPartial = errors.ConstError("the last message is not how the answer begins")
)

// exitCrash is the exit code of an engine that a prompt crashed.
const exitCrash = 70

// States of a request.
const (
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// Ran is one run of a request.
type Ran struct {
	Request string `json:"request"`
	// Name is what the prompt has after "--name".
	Name string `json:"name"`
	// Tokens is how many were generated so far.
	Tokens int    `json:"tokens"`
	Prompt int    `json:"prompt"`
	State  string `json:"state"`
	// At is when the request came, in microseconds since the epoch.
	At int64 `json:"at"`
}

// job is one request in an engine.
type job struct {
	id       string
	name     string
	model    string
	prompt   int // tokens
	priority int
	crash    bool
	cached   bool
	tokens   []string // all that will be generated
	cut      bool     // max_tokens ends it

	made    int
	state   string
	at      time.Time
	readers int
	changed chan struct{}
	slot    chan struct{}
	cancel  context.CancelFunc
	ctx     context.Context
}

// engine runs requests by continuous batching: each of the running ones gets a
// token each interval, and a waiting one starts as soon as a slot is free.
type engine struct {
	opts EngineOptions
	exit func(int)
	// came is told of each request that is taken, before it runs.
	came func(Ran)

	mu      sync.Mutex
	running int
	waiting []*job
	jobs    map[string]*job
	ran     []*job
	refused int
	cache   prefixCache
	loads   loadHistory
	orders  orders
	leaving bool
	frozen  time.Time
	ctx     context.Context
	wg      conc.WaitGroup
}

// newEngine returns an engine, and a function that stops what it runs.
func newEngine(o EngineOptions) (*engine, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{opts: o, exit: os.Exit, came: func(Ran) {}, jobs: map[string]*job{}, ctx: ctx}
	e.cache = prefixCache{size: o.Cache, gap: o.EventGap}
	e.loads = loadHistory{lag: o.LoadLag}
	e.orders = orders{fence: o.Fence}
	return e, func() {
		cancel()
		e.wg.Wait()
	}
}

// start queues a request, or tells why not.
func (e *engine) start(id string, priority int, r *chatRequest) (*job, error) {
	j, err := e.newJob(id, priority, r)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.refused++
		return nil, errLeaving
	}
	if e.running >= e.opts.Slots && len(e.waiting) >= e.opts.Queue {
		e.refused++
		return nil, errFull
	}
	j.cached = e.cache.use(r.Model, r.Messages, j.at)
	e.jobs[id] = j
	e.ran = append(e.ran, j)
	e.waiting = append(e.waiting, j)
	e.came(j.record())
	sort.SliceStable(e.waiting, func(a, b int) bool { return e.waiting[a].priority > e.waiting[b].priority })
	e.fill()
	e.wg.Go(func() { e.work(j) })
	return j, nil
}

func (e *engine) newJob(id string, priority int, r *chatRequest) (*job, error) {
	j := &job{id: id, model: r.Model, prompt: PromptTokens(r.Messages), priority: priority, state: stateWaiting}
	messages, partial := r.Messages, ""
	if r.Continue {
		last := len(messages) - 1
		messages, partial = messages[:last], messages[last].Content
	}
	for _, m := range r.Messages {
		j.name = wordAfter(m.Content, nameWord, j.name)
		j.crash = j.crash || e.opts.Crash != "" && strings.Contains(m.Content, e.opts.Crash)
	}
	var ok bool
	j.tokens, ok = after(AnswerTokens(r.Model, messages, e.opts.Answer), partial)
	if !ok {
		return nil, errPartial
	}
	if most := r.most(); most > 0 && most < len(j.tokens) {
		j.tokens, j.cut = j.tokens[:most], true
	}
	j.at = time.Now()
	j.changed = make(chan struct{})
	j.slot = make(chan struct{})
	j.ctx, j.cancel = context.WithCancel(e.ctx)
	return j, nil
}

// fill gives free slots to the first of the waiting; e.mu is held.
func (e *engine) fill() {
	for e.running < e.opts.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.state = stateRunning
		close(j.slot)
	}
	e.loads.note(time.Now(), e.load())
}

// work runs one request to its end.
func (e *engine) work(j *job) {
	defer j.cancel()
	select {
	case <-j.slot:
	case <-j.ctx.Done():
		e.leave(j)
		return
	}
	prefill := e.opts.Prefill * time.Duration(j.prompt)
	if j.cached {
		prefill /= 10
	}
	alive := e.pause(j.ctx, prefill)
	if alive && j.crash {
		e.exit(exitCrash)
	}
	for alive && j.made < len(j.tokens) {
		e.mu.Lock()
		j.made++
		j.wake()
		e.mu.Unlock()
		alive = e.pause(j.ctx, e.opts.Interval)
	}
	e.end(j)
}

// pause waits, longer while the engine is frozen; false when ctx ended.
func (e *engine) pause(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	if f := time.Until(e.frozen); f > d {
		d = f
	}
	e.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// end frees the request's slot.
func (e *engine) end(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.finish(j)
}

// leave takes a request that has no slot out of the queue, or frees the slot
// that it was given meanwhile.
func (e *engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state == stateRunning {
		e.running--
	}
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	e.finish(j)
}

func (e *engine) finish(j *job) {
	j.state = stateDone
	if j.made < len(j.tokens) {
		j.state = stateCancelled
	}
	j.wake()
	e.fill()
}

// wake tells the readers that the request has moved on; engine.mu is held.
func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// progress is what a reader sees of a request.
type progress struct {
	tokens  []string
	made    int
	ended   bool
	state   string
	changed <-chan struct{}
}

// read returns the tokens made after the first from ones.
func (e *engine) read(j *job, from int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := progress{made: j.made, state: j.state, changed: j.changed}
	p.ended = j.state == stateDone || j.state == stateCancelled
	if from < j.made {
		p.tokens = j.tokens[from:j.made]
	}
	return p
}

// attach counts a reader of the request's stream.
func (e *engine) attach(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// detach counts a reader out; a request that stays without one is cancelled.
func (e *engine) detach(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	if j.readers > 0 {
		return
	}
	time.AfterFunc(e.opts.Linger, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if j.readers == 0 {
			j.cancel()
		}
	})
}

func (e *engine) find(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// list returns all that ran since the start, oldest first.
func (e *engine) list() []Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Ran, len(e.ran))
	for i, j := range e.ran {
		out[i] = j.record()
	}
	return out
}

// record returns how far the request has come; engine.mu is held.
func (j *job) record() Ran {
	return Ran{Request: j.id, Name: j.name, Tokens: j.made, Prompt: j.prompt, State: j.state, At: j.at.UnixMicro()}
}
