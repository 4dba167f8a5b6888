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

// answerReady answers the platform's balancer, and collectors of metrics, until
// the listener is closed.
func (d *Door) answerReady(ln net.Listener) {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get(bbplatform.PathReady, func(c *fiber.Ctx) error {
		if d.board.Ready() {
			return c.SendStatus(http.StatusOK)
		}
		return c.SendStatus(http.StatusServiceUnavailable)
	})
	app.Get(pathMetrics, bbmetrics.Page(d.tally.reg))
	if err := app.Listener(ln); err != nil && d.board.Leaving.Load() == false {
		d.log.WithError(err).Error("readiness not served")
	}
}

// newLife names one life of an instance.
func newLife() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return hex.EncodeToString(b[:])
}
