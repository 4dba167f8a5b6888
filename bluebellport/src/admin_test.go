package bbport

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// TestAdmin checks each page of the operators' interface.
func TestAdmin(t *testing.T) {
	frontend := newTestFrontend(t, nil)
	adminServer := newAdmin(frontend.deps, frontend.Frontend, map[string]func() any{"part": func() any { return 7 }})
	adminServer.sendOrder = func(_ context.Context, _ bbticket.Target, action, _ string) (bbunit.Fence, error) {
		if action == "fail" {
			return 4, errors.New("target saw a higher number")
		}
		return 3, nil
	}
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		want               string
	}{
		"health":        {"GET", "/healthz", "", 200, "ok"},
		"ready":         {"GET", "/readyz", "", 200, "ready"},
		"status":        {"GET", "/status", "", 200, `"parts":{"part":7}`},
		"metrics":       {"GET", "/metrics", "", 200, "bluebellport_front_requests_total 0"},
		"order":         {"POST", "/order", `{"target":"chat-0","action":"load","model":"m"}`, 200, `"fence":3`},
		"order-fails":   {"POST", "/order", `{"target":"chat-0","action":"fail"}`, 502, "higher number"},
		"order-unknown": {"POST", "/order", `{"target":"none","action":"load"}`, 404, "target: unknown"},
		"order-bad":     {"POST", "/order", `{"target":`, 400, "needs target"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := adminServer.app.Test(httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(strings.Contains(string(got), c.want))
		})
	}
	is := is.New(t)
	frontend.deps.Board.Leaving.Store(true) // not ready, but requests are still accepted
	resp, err := adminServer.app.Test(httptest.NewRequest("GET", "/readyz", nil))
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
}
