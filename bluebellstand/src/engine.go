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
	errLeaving        = errors.ConstError("leaving")
	errQueueFull      = errors.ConstError("queue full")
	errPrefixMismatch = errors.ConstError("the last message is not how the answer begins")
)

// exitCodeCrash is the exit code of an engine that a prompt crashed.
const exitCodeCrash = 70

// States of a request.
const (
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// EngineExecution is one run of a request.
type EngineExecution struct {
	Request string `json:"request"`
	// Name is what the prompt has after "--name".
	Name string `json:"name"`
	// GeneratedTokens is how many were generated so far.
	GeneratedTokens int    `json:"tokens"`
	PromptTokens    int    `json:"prompt"`
	State           string `json:"state"`
	// AcceptedAt is when the request came, in microseconds since the epoch.
	AcceptedAt int64 `json:"at"`
}

// job is one request in an engine.
type job struct {
	id           string
	name         string
	model        string
	promptTokens int // tokens
	priority     int
	crash        bool
	prefixCached bool
	answerTokens []string // all that will be generated
	truncated    bool     // max_tokens ends it

	generated   int
	state       string
	acceptedAt  time.Time
	readers     int
	changed     chan struct{}
	slotGranted chan struct{}
	cancel      context.CancelFunc
	ctx         context.Context
}

// engine runs requests by continuous batching: each of the running ones gets a
// token each interval, and a waiting one starts as soon as a slot is free.
type engine struct {
	opts EngineOptions
	exit func(int)
	// onAccepted is told of each request that is taken, before it runs.
	onAccepted func(EngineExecution)

	mu          sync.Mutex
	running     int
	waiting     []*job
	jobs        map[string]*job
	accepted    []*job
	refused     int
	cache       prefixCache
	loadHistory loadHistory
	orders      orderLog
	leaving     bool
	frozenUntil time.Time
	ctx         context.Context
	wg          conc.WaitGroup
}

// newEngine returns an engine, and a function that stops what it runs.
func newEngine(o EngineOptions) (*engine, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{opts: o, exit: os.Exit, onAccepted: func(EngineExecution) {}, jobs: map[string]*job{}, ctx: ctx}
	e.cache = prefixCache{size: o.Cache, dropEvery: o.EventGap}
	e.loadHistory = loadHistory{lag: o.LoadLag}
	e.orders = orderLog{rejectStale: o.Fence}
	return e, func() {
		cancel()
		e.wg.Wait()
	}
}

// submit queues a request, or tells why not.
func (e *engine) submit(id string, priority int, r *chatRequest) (*job, error) {
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
		return nil, errQueueFull
	}
	j.prefixCached = e.cache.touch(r.Model, r.Messages, j.acceptedAt)
	e.jobs[id] = j
	e.accepted = append(e.accepted, j)
	e.waiting = append(e.waiting, j)
	e.onAccepted(j.execution())
	sort.SliceStable(e.waiting, func(a, b int) bool { return e.waiting[a].priority > e.waiting[b].priority })
	e.assignSlots()
	e.wg.Go(func() { e.runJob(j) })
	return j, nil
}

func (e *engine) newJob(id string, priority int, r *chatRequest) (*job, error) {
	j := &job{id: id, model: r.Model, promptTokens: PromptTokens(r.Messages), priority: priority, state: stateWaiting}
	messages, partial := r.Messages, ""
	if r.ContinueFinalMessage {
		last := len(messages) - 1
		messages, partial = messages[:last], messages[last].Content
	}
	for _, m := range r.Messages {
		j.name = wordAfter(m.Content, nameMarker, j.name)
		j.crash = j.crash || e.opts.Crash != "" && strings.Contains(m.Content, e.opts.Crash)
	}
	var ok bool
	j.answerTokens, ok = remainingTokens(AnswerTokens(r.Model, messages, e.opts.Answer), partial)
	if !ok {
		return nil, errPrefixMismatch
	}
	if limit := r.maxAnswerTokens(); limit > 0 && limit < len(j.answerTokens) {
		j.answerTokens, j.truncated = j.answerTokens[:limit], true
	}
	j.acceptedAt = time.Now()
	j.changed = make(chan struct{})
	j.slotGranted = make(chan struct{})
	j.ctx, j.cancel = context.WithCancel(e.ctx)
	return j, nil
}

// assignSlots gives free slots to the first of the waiting; e.mu is held.
func (e *engine) assignSlots() {
	for e.running < e.opts.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.state = stateRunning
		close(j.slotGranted)
	}
	e.loadHistory.record(time.Now(), e.load())
}

// runJob runs one request to its end.
func (e *engine) runJob(j *job) {
	defer j.cancel()
	select {
	case <-j.slotGranted:
	case <-j.ctx.Done():
		e.abandon(j)
		return
	}
	prefill := e.opts.Prefill * time.Duration(j.promptTokens)
	if j.prefixCached {
		prefill /= 10
	}
	alive := e.sleep(j.ctx, prefill)
	if alive && j.crash {
		e.exit(exitCodeCrash)
	}
	for alive && j.generated < len(j.answerTokens) {
		e.mu.Lock()
		j.generated++
		j.notifyReaders()
		e.mu.Unlock()
		alive = e.sleep(j.ctx, e.opts.Interval)
	}
	e.releaseSlot(j)
}

// sleep waits, longer while the engine is frozen; false when ctx ended.
func (e *engine) sleep(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	if frozen := time.Until(e.frozenUntil); frozen > d {
		d = frozen
	}
	e.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseSlot frees the request's slot.
func (e *engine) releaseSlot(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.finish(j)
}

// abandon takes a request that has no slot out of the queue, or frees the slot
// that it was given meanwhile.
func (e *engine) abandon(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state == stateRunning {
		e.running--
	}
	for i, queued := range e.waiting {
		if queued == j {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	e.finish(j)
}

func (e *engine) finish(j *job) {
	j.state = stateDone
	if j.generated < len(j.answerTokens) {
		j.state = stateCancelled
	}
	j.notifyReaders()
	e.assignSlots()
}

// notifyReaders tells the readers that the request has moved on; engine.mu is held.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// progress is what a reader sees of a request.
type progress struct {
	tokens    []string
	generated int
	finished  bool
	state     string
	changed   <-chan struct{}
}

// readProgress returns the tokens made after the first from ones.
func (e *engine) readProgress(j *job, from int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := progress{generated: j.generated, state: j.state, changed: j.changed}
	p.finished = j.state == stateDone || j.state == stateCancelled
	if from < j.generated {
		p.tokens = j.answerTokens[from:j.generated]
	}
	return p
}

// addReader counts a reader of the request's stream.
func (e *engine) addReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// removeReader counts a reader out; a request that stays without one is cancelled.
func (e *engine) removeReader(j *job) {
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

func (e *engine) findJob(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// executions returns all that ran since the start, oldest first.
func (e *engine) executions() []EngineExecution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EngineExecution, len(e.accepted))
	for i, j := range e.accepted {
		out[i] = j.execution()
	}
	return out
}

// execution returns how far the request has come; engine.mu is held.
func (j *job) execution() EngineExecution {
	return EngineExecution{Request: j.id, Name: j.name, GeneratedTokens: j.generated, PromptTokens: j.promptTokens, State: j.state, AcceptedAt: j.acceptedAt.UnixMicro()}
}
