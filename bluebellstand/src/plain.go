package bbstand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

const headerIdempotencyKey = "Idempotency-Key"

// PlainExecution is one execution of a request by a plain service.
type PlainExecution struct {
	Request     string `json:"request"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	WriteNumber int    `json:"run"`
	State       string `json:"state"`
	// ReceivedAt is when the request arrived, in microseconds since the epoch.
	ReceivedAt int64 `json:"at"`
}

// PlainResponse is the answer of a plain service. It depends on the request
// alone, except for WriteNumber, which numbers the executed requests that are
// not reads from 1 and is 0 for a read.
type PlainResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the hex SHA-256 of the request's body.
	Body        string `json:"body"`
	WriteNumber int    `json:"run,omitempty"`
}

// PlainFault is the body of POST /admin/fault of a plain service.
type PlainFault struct {
	// Silent makes the connections that are now open silent for good.
	Silent bool `json:"silent"`
	// Leaving makes the service refuse new requests.
	Leaving bool `json:"leaving"`
	// LoseNextAnswers loses the answers of that many requests after they ran.
	LoseNextAnswers int `json:"lose"`
	// FailNextAnswers answers that many requests with status 500 after they
	// ran.
	FailNextAnswers int `json:"fail"`
	// DelayMS is how long each request takes, in milliseconds.
	DelayMS int `json:"delayms"`
}

// plainService is a service in which GET and HEAD are idempotent and other
// methods are not.
type plainService struct {
	opts PlainOptions

	mu         sync.Mutex
	slots      chan struct{}
	waiting    int
	running    int
	executions []PlainExecution
	writes     int
	refused    int
	fault      PlainFault
}

func (o *PlainOptions) run(ctx context.Context, s streams) error {
	p := newPlainService(*o)
	return serve(ctx, s, standIn{name: "plain", addr: o.Listen, mount: p.mount, stop: func() {}})
}

func newPlainService(o PlainOptions) *plainService {
	return &plainService{
		opts:  o,
		slots: make(chan struct{}, o.Slots),
		fault: PlainFault{DelayMS: int(o.Delay.Milliseconds())},
	}
}

func (p *plainService) mount(app *fiber.App, l *listener) {
	app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(p.load()) })
	app.Get("/admin/ran", func(c *fiber.Ctx) error { return c.JSON(p.listExecutions()) })
	app.Get("/admin/counts", func(c *fiber.Ctx) error { return c.JSON(p.counts()) })
	app.Post("/admin/fault", func(c *fiber.Ctx) error {
		f := PlainFault{DelayMS: int(p.opts.Delay.Milliseconds())}
		if err := decodeStrict(c, &f); err != nil {
			return err
		}
		p.setFault(f)
		if f.Silent {
			l.silenceConns(c.Context().Conn())
		}
		return c.JSON(f)
	})
	app.All("/*", p.handle)
}

func (p *plainService) handle(c *fiber.Ctx) error {
	receivedAt := time.Now()
	if err := p.admit(); err != nil {
		return refuse(c, err)
	}
	p.slots <- struct{}{}
	defer p.releaseSlot()
	execution, fault := p.beginExecution(c, receivedAt)
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	p.finishExecution(execution)
	switch {
	case fault.LoseNextAnswers > 0:
		return closeWithoutResponse(c)
	case fault.FailNextAnswers > 0:
		return fiber.NewError(http.StatusInternalServerError, "failed after it ran")
	}
	return c.JSON(NewPlainResponse(c.Method(), c.OriginalURL(), c.Body(), execution.WriteNumber))
}

// NewPlainResponse returns the answer of a plain service to the request.
func NewPlainResponse(method, path string, body []byte, writeNumber int) PlainResponse {
	sum := sha256.Sum256(body)
	return PlainResponse{Method: method, Path: path, Body: hex.EncodeToString(sum[:]), WriteNumber: writeNumber}
}

// admit counts the request as waiting, or returns errLeaving or errQueueFull.
func (p *plainService) admit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Leaving {
		p.refused++
		return errLeaving
	}
	if p.waiting+p.running >= p.opts.Slots+p.opts.Queue {
		p.refused++
		return errQueueFull
	}
	p.waiting++
	return nil
}

// beginExecution records the execution and returns it with the faults that
// apply to it. It uses up one of each counted fault.
func (p *plainService) beginExecution(c *fiber.Ctx, receivedAt time.Time) (PlainExecution, PlainFault) {
	id := c.Get(headerIdempotencyKey)
	if id == "" {
		id = c.Get(headerRequestID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.running++
	execution := PlainExecution{Request: id, Method: c.Method(), Path: c.OriginalURL(), State: stateRunning, ReceivedAt: receivedAt.UnixMicro()}
	if execution.Method != http.MethodGet && execution.Method != http.MethodHead {
		p.writes++
		execution.WriteNumber = p.writes
	}
	p.executions = append(p.executions, execution)
	fault := p.fault
	p.fault.LoseNextAnswers = max(0, p.fault.LoseNextAnswers-1)
	p.fault.FailNextAnswers = max(0, p.fault.FailNextAnswers-1)
	return execution, fault
}

func (p *plainService) finishExecution(execution PlainExecution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.executions) - 1; i >= 0; i-- {
		if p.executions[i] == execution {
			p.executions[i].State = stateDone
			return
		}
	}
}

func (p *plainService) releaseSlot() {
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *plainService) setFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *plainService) load() TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TargetLoad{
		Running: p.running, Waiting: p.waiting, Slots: p.opts.Slots,
		Leaving: p.fault.Leaving, At: time.Now().UnixMilli(),
	}
}

func (p *plainService) listExecutions() []PlainExecution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainExecution{}, p.executions...)
}

func (p *plainService) counts() TargetCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TargetCounts{Accepted: len(p.executions), Refused: p.refused, Waiting: p.waiting, Running: p.running}
}
