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

// admin serves health checks, metrics, status and orders to targets over HTTP
// to operators.
type admin struct {
	deps     Deps
	frontend *Frontend
	app      *fiber.App
	// statusSources return the status of components, by name.
	statusSources map[string]func() any
	// sendOrder sends an order to a target and returns its fence; may be nil.
	sendOrder func(ctx context.Context, target bbticket.Target, action, model string) (bbunit.Fence, error)
}

func newAdmin(deps Deps, frontend *Frontend, statusSources map[string]func() any) *admin {
	a := &admin{deps: deps, frontend: frontend, statusSources: statusSources}
	a.app = fiber.New(fiber.Config{DisableStartupMessage: true})
	a.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.handleReady)
	a.app.Get("/metrics", bbmetrics.Handler(deps.Metrics))
	a.app.Post("/order", a.handleOrder)
	a.app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(a.status()) })
	return a
}

// adminOrderRequest is the body of POST /order: an operator's order to a
// target.
type adminOrderRequest struct {
	Target bbunit.TargetID `json:"target"`
	Action string          `json:"action"`
	Model  string          `json:"model"`
}

// adminOrderResponse is the answer to POST /order.
type adminOrderResponse struct {
	Fence bbunit.Fence `json:"fence"`
	Error string       `json:"error,omitempty"`
}

// handleOrder sends an order to a target. It answers when the target has
// acknowledged the order, or else with the reason. An order that was stored but
// not acknowledged in time stays in force and is sent again.
func (a *admin) handleOrder(c *fiber.Ctx) error {
	var req adminOrderRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil || req.Action == "" {
		return c.Status(http.StatusBadRequest).JSON(adminOrderResponse{Error: "body: needs target, action and model as JSON"})
	}
	target, ok := a.deps.Board.State.Load().Targets[req.Target]
	if !ok || target.Object.Deleted || a.sendOrder == nil {
		return c.Status(http.StatusNotFound).JSON(adminOrderResponse{Error: fmt.Sprintf("target: unknown: %q", req.Target)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	fence, err := a.sendOrder(ctx, target.Object, req.Action, req.Model)
	if err != nil {
		return c.Status(http.StatusBadGateway).JSON(adminOrderResponse{Fence: fence, Error: err.Error()})
	}
	return c.JSON(adminOrderResponse{Fence: fence})
}

// isReady reports whether load balancers should send requests to this instance.
func (a *admin) isReady() bool {
	b := a.deps.Board
	return !b.Leaving.Load() && !b.Draining.Load() && b.Ready.Load() && b.State.Load().Number > 0
}

func (a *admin) handleReady(c *fiber.Ctx) error {
	if !a.isReady() {
		return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (a *admin) status() bbunit.Status {
	b := a.deps.Board
	s := bbunit.Status{
		Instance: a.deps.Opts.Self.ID(),
		Domain:   bbunit.DomainID(a.deps.Opts.Self.Domain),
		Version:  bbunit.Version,
		Number:   b.State.Load().Number,
		Ready:    a.isReady(),
		Draining: b.Draining.Load(),
		Open:     a.frontend.openRequests.Load(),
		Parts:    map[string]any{},
	}
	for _, m := range b.View.Load().Members {
		s.Members = append(s.Members, m.ID)
	}
	for name, source := range a.statusSources {
		s.Parts[name] = source()
	}
	return s
}
