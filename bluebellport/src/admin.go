package bbport

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gofiber/fiber/v2"

	bbmetrics "bluebellport.example/bluebellport/metrics"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// admin serves health, metrics and status to operators.
type admin struct {
	parts Parts
	front *Front
	app   *fiber.App
	// tells are the controllers' own reports, by name.
	tells map[string]func() any
	// order gives a target an order; nil when there is none to give.
	order func(ctx context.Context, t bbticket.Target, action, model string) (bbunit.Fence, error)
}

func newAdmin(p Parts, f *Front, tells map[string]func() any) *admin {
	a := &admin{parts: p, front: f, tells: tells}
	a.app = fiber.New(fiber.Config{DisableStartupMessage: true})
	a.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.ready)
	a.app.Get("/metrics", bbmetrics.Handler(p.Metrics))
	a.app.Post("/order", a.orders)
	a.app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(a.status()) })
	return a
}

// orderAsk is an operator's order to a target.
type orderAsk struct {
	Target bbunit.TargetID `json:"target"`
	Action string          `json:"action"`
	Model  string          `json:"model"`
}

// orderTell is what became of it.
type orderTell struct {
	Fence bbunit.Fence `json:"fence"`
	Error string       `json:"error,omitempty"`
}

// orders gives a declared target an order. It answers once the target has
// acknowledged it, or with why it has not; an order that was accepted stands and
// is sent on.
func (a *admin) orders(c *fiber.Ctx) error {
	var ask orderAsk
	if err := json.Unmarshal(c.Body(), &ask); err != nil || ask.Action == "" {
		return c.Status(http.StatusBadRequest).JSON(orderTell{Error: "body: needs target, action and model as JSON"})
	}
	t, ok := a.parts.Board.State.Load().Targets[ask.Target]
	if !ok || t.Object.Deleted || a.order == nil {
		return c.Status(http.StatusNotFound).JSON(orderTell{Error: fmt.Sprintf("target: unknown: %q", ask.Target)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	fence, err := a.order(ctx, t.Object, ask.Action, ask.Model)
	if err != nil {
		return c.Status(http.StatusBadGateway).JSON(orderTell{Fence: fence, Error: err.Error()})
	}
	return c.JSON(orderTell{Fence: fence})
}

func (a *admin) isReady() bool {
	b := a.parts.Board
	return !b.Leaving.Load() && !b.Draining.Load() && b.Ready.Load() && b.State.Load().Number > 0
}

func (a *admin) ready(c *fiber.Ctx) error {
	if !a.isReady() {
		return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (a *admin) status() bbunit.Status {
	b := a.parts.Board
	s := bbunit.Status{
		Instance: a.parts.Opts.Self.ID(),
		Domain:   bbunit.DomainID(a.parts.Opts.Self.Domain),
		Version:  bbunit.Version,
		Number:   b.State.Load().Number,
		Ready:    a.isReady(),
		Draining: b.Draining.Load(),
		Open:     a.front.open.Load(),
		Parts:    map[string]any{},
	}
	for _, m := range b.View.Load().Members {
		s.Members = append(s.Members, m.ID)
	}
	for name, tell := range a.tells {
		s.Parts[name] = tell()
	}
	return s
}
