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

// Reasons to refuse a request. Callers get the text.
const (
	errLeaving        = errors.ConstError("leaving")
	errQueueFull      = errors.ConstError("queue full")
	errPrefixMismatch = errors.ConstError("the last message is not how the answer begins")
)

// exitCodeCrash is the exit code of an engine after a prompt with the crash
// word.
const exitCodeCrash = 70

// States of a request.
const (
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// EngineExecution is one execution of a request by an engine.
type EngineExecution struct {
	Request string `json:"request"`
	// Name is the word after "--name" in the prompt.
	Name string `json:"name"`
	// GeneratedTokens is the number of tokens generated so far.
	GeneratedTokens int    `json:"tokens"`
	PromptTokens    int    `json:"prompt"`
	State           string `json:"state"`
	// AcceptedAt is when the request was accepted, in microseconds since the
	// epoch.
	AcceptedAt int64 `json:"at"`
}

// job is a request that an engine has accepted.
type job struct {
	id           string
	name         string
	model        string
	promptTokens int
	priority     int
	crash        bool
	prefixCached bool
	answerTokens []string // the whole answer, generated one by one
	truncated    bool     // max_tokens cuts the answer

	generated   int
	state       string
	acceptedAt  time.Time
	readers     int
	changed     chan struct{}
	slotGranted chan struct{}
	cancel      context.CancelFunc
	ctx         context.Context
}

// engine simulates continuous batching: every running request generates one
// token per interval, and a waiting request starts as soon as a slot is free.
type engine struct {
	opts EngineOptions
	exit func(int) // replaced in tests
	// onAccepted is called for each accepted request before it runs.
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

// newEngine returns an engine and a function that cancels its requests and
// waits for them to end.
func newEngine(o EngineOptions) (*engine, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{opts: o, exit: os.Exit, onAccepted: func(EngineExecution) {}, jobs: map[string]*job{}, ctx: ctx}
	e.cache = prefixCache{size: o.Cache, dropEvery: o.DropEventEvery}
	e.loadHistory = loadHistory{lag: o.LoadLag}
	e.orders = orderLog{rejectStale: o.RejectStaleOrders}
	return e, func() {
		cancel()
		e.wg.Wait()
	}
}

// submit queues a request. It returns errLeaving, errQueueFull or
// errPrefixMismatch if the request is refused.
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
		j.crash = j.crash || e.opts.CrashWord != "" && strings.Contains(m.Content, e.opts.CrashWord)
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

// assignSlots gives the free slots to the requests at the head of the queue.
// The caller holds e.mu.
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

// runJob waits for a slot and generates the answer until it is complete or the
// request is cancelled.
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
	active := e.sleep(j.ctx, prefill)
	if active && j.crash {
		e.exit(exitCodeCrash)
	}
	for active && j.generated < len(j.answerTokens) {
		e.mu.Lock()
		j.generated++
		j.notifyReaders()
		e.mu.Unlock()
		active = e.sleep(j.ctx, e.opts.Interval)
	}
	e.releaseSlot(j)
}

// sleep waits for d, or until the engine is no longer frozen if that is later.
// It returns false if ctx was done first.
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

// releaseSlot ends a request that has a slot.
func (e *engine) releaseSlot(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.finish(j)
}

// abandon ends a request that was cancelled while it waited for a slot. It
// frees the slot if the request got one in the meantime.
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

// finish sets the final state of the request and gives free slots to waiting
// requests. The caller holds e.mu.
func (e *engine) finish(j *job) {
	j.state = stateDone
	if j.generated < len(j.answerTokens) {
		j.state = stateCancelled
	}
	j.notifyReaders()
	e.assignSlots()
}

// notifyReaders wakes the readers after a change. The caller holds engine.mu.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// progress is a snapshot of a request for a reader. The channel changed is
// closed at the next change.
type progress struct {
	tokens    []string
	generated int
	finished  bool
	state     string
	changed   <-chan struct{}
}

// readProgress returns the progress of the request, with the tokens that follow
// token number from.
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

// addReader registers a reader of the request's stream.
func (e *engine) addReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// removeReader removes a reader of the request's stream. The request is
// cancelled if it has no reader after the linger time.
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

// findJob returns the request with the id, or nil.
func (e *engine) findJob(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// executions returns all requests accepted since the engine started, oldest
// first.
func (e *engine) executions() []EngineExecution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EngineExecution, len(e.accepted))
	for i, j := range e.accepted {
		out[i] = j.execution()
	}
	return out
}

// execution returns the current state of the request. The caller holds
// engine.mu.
func (j *job) execution() EngineExecution {
	return EngineExecution{Request: j.id, Name: j.name, GeneratedTokens: j.generated, PromptTokens: j.promptTokens, State: j.state, AcceptedAt: j.acceptedAt.UnixMicro()}
}
