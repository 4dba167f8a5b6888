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

const headerKey = "Idempotency-Key"

// PlainRan is one run of a request by a plain service.
type PlainRan struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Run     int    `json:"run"`
	State   string `json:"state"`
	// At is when the request came, in microseconds since the epoch.
	At int64 `json:"at"`
}

// PlainAnswer is what a plain service answers: a function of the request, but
// for Run, which counts the runs that are not reads.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the hex SHA-256 of the request's body.
	Body string `json:"body"`
	Run  int    `json:"run,omitempty"`
}

// PlainFault is the body of POST /admin/fault of a plain service.
type PlainFault struct {
	// Silent silences the connections that are open now, for good.
	Silent bool `json:"silent"`
	// Leaving refuses new requests.
	Leaving bool `json:"leaving"`
	// Lose loses the answers of that many requests after they ran.
	Lose int `json:"lose"`
	// Fail answers that many requests with a 500 after they ran.
	Fail    int `json:"fail"`
	DelayMS int `json:"delayms"`
}

// plain is a service whose GET and HEAD may be repeated and whose other methods
// may not.
type plain struct {
	opts PlainOptions

	mu      sync.Mutex
	slots   chan struct{}
	waiting int
	running int
	ran     []PlainRan
	writes  int
	refused int
	fault   PlainFault
}

func (o *PlainOptions) run(ctx context.Context, s streams) error {
	p := newPlain(*o)
	return serve(ctx, s, part{name: "plain", addr: o.Listen, mount: p.mount, stop: func() {}})
}

func newPlain(o PlainOptions) *plain {
	return &plain{
		opts:  o,
		slots: make(chan struct{}, o.Slots),
		fault: PlainFault{DelayMS: int(o.Delay.Milliseconds())},
	}
}

func (p *plain) mount(app *fiber.App, l *listener) {
	app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(p.load()) })
	app.Get("/admin/ran", func(c *fiber.Ctx) error { return c.JSON(p.list()) })
	app.Get("/admin/counts", func(c *fiber.Ctx) error { return c.JSON(p.counts()) })
	app.Post("/admin/fault", func(c *fiber.Ctx) error {
		f := PlainFault{DelayMS: int(p.opts.Delay.Milliseconds())}
		if err := strict(c, &f); err != nil {
			return err
		}
		p.setFault(f)
		if f.Silent {
			l.mute(c.Context().Conn())
		}
		return c.JSON(f)
	})
	app.All("/*", p.serve)
}

func (p *plain) serve(c *fiber.Ctx) error {
	came := time.Now()
	if err := p.enter(); err != nil {
		return refuse(c, err)
	}
	p.slots <- struct{}{}
	defer p.exit()
	run, f := p.begin(c, came)
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	p.finish(run)
	switch {
	case f.Lose > 0:
		return hangUp(c)
	case f.Fail > 0:
		return fiber.NewError(http.StatusInternalServerError, "failed after it ran")
	}
	return c.JSON(NewPlainAnswer(c.Method(), c.OriginalURL(), c.Body(), run.Run))
}

// NewPlainAnswer returns what a plain service answers to the request.
func NewPlainAnswer(method, path string, body []byte, run int) PlainAnswer {
	sum := sha256.Sum256(body)
	return PlainAnswer{Method: method, Path: path, Body: hex.EncodeToString(sum[:]), Run: run}
}

func (p *plain) enter() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Leaving {
		p.refused++
		return errLeaving
	}
	if p.waiting+p.running >= p.opts.Slots+p.opts.Queue {
		p.refused++
		return errFull
	}
	p.waiting++
	return nil
}

// begin records the run and takes one of the counted faults.
func (p *plain) begin(c *fiber.Ctx, came time.Time) (PlainRan, PlainFault) {
	id := c.Get(headerKey)
	if id == "" {
		id = c.Get(headerID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.running++
	r := PlainRan{Request: id, Method: c.Method(), Path: c.OriginalURL(), State: stateRunning, At: came.UnixMicro()}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		p.writes++
		r.Run = p.writes
	}
	p.ran = append(p.ran, r)
	f := p.fault
	p.fault.Lose = max(0, p.fault.Lose-1)
	p.fault.Fail = max(0, p.fault.Fail-1)
	return r, f
}

func (p *plain) finish(r PlainRan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.ran) - 1; i >= 0; i-- {
		if p.ran[i] == r {
			p.ran[i].State = stateDone
			return
		}
	}
}

func (p *plain) exit() {
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *plain) setFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *plain) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		Running: p.running, Waiting: p.waiting, Slots: p.opts.Slots,
		Leaving: p.fault.Leaving, At: time.Now().UnixMilli(),
	}
}

func (p *plain) list() []PlainRan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRan{}, p.ran...)
}

func (p *plain) counts() TargetCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TargetCounts{Ran: len(p.ran), Refused: p.refused, Waits: p.waiting, Runs: p.running}
}
