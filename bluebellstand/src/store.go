package bbstand

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"bluebellport.example/shared/bbstore"
)

// StoreFault is the body of POST /admin/fault of the store. It replaces the
// faults in force. bbstore.Faults explains them.
type StoreFault struct {
	Down               bool    `json:"down"`
	LatencyMS          int     `json:"slowms"`
	LoseNextAnswers    int     `json:"lose"`
	LoseEveryNthAnswer int     `json:"loseevery"`
	DropNextWrites     int     `json:"drop"`
	ApplyDelayMS       int     `json:"latems"`
	ReadRate           float64 `json:"readrate"`
	WriteRate          float64 `json:"writerate"`
	// Silent makes the connections that are now open silent for good.
	Silent bool `json:"silent"`
}

func (f *StoreFault) faults() bbstore.Faults {
	return bbstore.Faults{
		Down:               f.Down,
		Latency:            time.Duration(f.LatencyMS) * time.Millisecond,
		LoseNextAnswers:    f.LoseNextAnswers,
		LoseEveryNthAnswer: f.LoseEveryNthAnswer,
		DropNextWrites:     f.DropNextWrites,
		ApplyDelay:         time.Duration(f.ApplyDelayMS) * time.Millisecond,
		ReadRate:           f.ReadRate,
		WriteRate:          f.WriteRate,
	}
}

func (o *StoreOptions) run(ctx context.Context, s streams) error { return serve(ctx, s, o.standIn()) }

func (o *StoreOptions) standIn() standIn {
	m := bbstore.NewMem()
	m.SetFaults(bbstore.Faults{ReadRate: o.ReadRate, WriteRate: o.WriteRate})
	server, stop := bbstore.NewServer(m, o.Progress)
	return standIn{name: "store", addr: o.Listen, stop: stop, mount: func(app *fiber.App, l *listener) {
		app.Post("/v3/*", func(c *fiber.Ctx) error {
			server.Handle(c.Context())
			return nil
		})
		app.Get("/admin/counts", func(c *fiber.Ctx) error { return c.JSON(m.Counts()) })
		app.Post("/admin/fault", func(c *fiber.Ctx) error {
			f := StoreFault{ReadRate: o.ReadRate, WriteRate: o.WriteRate}
			if err := decodeStrict(c, &f); err != nil {
				return err
			}
			if f.Silent {
				l.silenceConns(c.Context().Conn())
			}
			m.SetFaults(f.faults())
			return c.JSON(f)
		})
	}}
}

func (o *PlatformOptions) run(ctx context.Context, s streams) error {
	return serve(ctx, s, o.Store.standIn(), o.List.standIn())
}
