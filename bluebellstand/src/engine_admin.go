package bbstand

import (
	"time"

	"github.com/gofiber/fiber/v2"
)

// EngineFault is the body of POST /admin/fault of an engine.
type EngineFault struct {
	// Silent makes the connections that are now open silent for good.
	Silent bool `json:"silent"`
	// Leaving makes the engine refuse new requests.
	Leaving bool `json:"leaving"`
	// FreezeMS stops all generation for this number of milliseconds.
	FreezeMS int `json:"freezems"`
}

// TargetCounts holds the request counts of a target. Accepted and Refused count
// from its start. Only an engine sets GeneratedTokens and HighestFence.
type TargetCounts struct {
	Accepted        int    `json:"ran"`
	Refused         int    `json:"refused"`
	Waiting         int    `json:"waiting"`
	Running         int    `json:"running"`
	GeneratedTokens int    `json:"tokens"`
	HighestFence    uint64 `json:"fence"`
}

// mountAdmin adds the routes that tests use to inspect the engine and to inject
// faults.
func (e *engine) mountAdmin(app *fiber.App, l *listener) {
	app.Get("/admin/ran", func(c *fiber.Ctx) error { return c.JSON(e.executions()) })
	app.Get("/admin/counts", func(c *fiber.Ctx) error { return c.JSON(e.counts()) })
	app.Get("/admin/orders", func(c *fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.orders.accepted)
	})
	app.Post("/admin/fault", func(c *fiber.Ctx) error {
		var f EngineFault
		if err := decodeStrict(c, &f); err != nil {
			return err
		}
		e.setFault(f)
		if f.Silent {
			l.silenceConns(c.Context().Conn())
		}
		return c.JSON(f)
	})
}

func (e *engine) setFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = f.Leaving
	e.frozenUntil = time.Now().Add(time.Duration(f.FreezeMS) * time.Millisecond)
	e.loadHistory.record(time.Now(), e.load())
}

func (e *engine) counts() TargetCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := TargetCounts{Accepted: len(e.accepted), Refused: e.refused, Waiting: len(e.waiting), Running: e.running, HighestFence: e.orders.highestFence}
	for _, j := range e.accepted {
		counts.GeneratedTokens += j.generated
	}
	return counts
}
