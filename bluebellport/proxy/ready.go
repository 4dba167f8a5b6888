package bbproxy

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v2"

	bbmetrics "bluebellport.example/bluebellport/metrics"
	"bluebellport.example/platform"
)

// serveReady answers readiness checks of the platform's balancer, and serves
// metrics, until the listener is closed.
func (p *Proxy) serveReady(ln net.Listener) {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get(bbplatform.PathReadiness, func(c *fiber.Ctx) error {
		if p.board.Ready() && p.beginsStreams() {
			return c.SendStatus(http.StatusOK)
		}
		return c.SendStatus(http.StatusServiceUnavailable)
	})
	app.Get(metricsPath, bbmetrics.Handler(p.metrics.registry))
	if err := app.Listener(ln); err != nil && p.board.Leaving.Load() == false {
		p.log.WithError(err).Error("serving readiness checks and metrics failed")
	}
}

// beginsStreams reports whether this instance has known since its start at which
// software version streams begin, or has waited maxVersionsWait for that: other
// requests need no version.
func (p *Proxy) beginsStreams() bool {
	if p.versionsKnown.Load() {
		return true
	}
	known := p.now().Sub(p.startedAt) > maxVersionsWait
	if !known {
		known = true
		for service, slots := range p.slotsByVersion() {
			_, ok := p.versions.Version(service, 0)
			known = known && (ok || len(slots) == 0 && p.board.anyEvacuated()) // no stream begins there
		}
	}
	if known {
		p.versionsKnown.Store(true)
	}
	return known
}

// newIncarnation returns a random id that tells this run of the process from
// earlier ones of the same instance.
func newIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return hex.EncodeToString(b[:])
}
