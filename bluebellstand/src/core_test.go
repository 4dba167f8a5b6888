package bbstand

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"bluebellport.example/shared/bbcli"
	"bluebellport.example/shared/bbserve"
)

// startStandIn serves the routes on a loopback port and returns the base URL.
func startStandIn(t *testing.T, mount func(*fiber.App, *listener)) string {
	l, err := listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	app := fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true, UnescapePath: true, ErrorHandler: respondError})
	mount(app, l)
	var wg conc.WaitGroup
	wg.Go(func() { _ = app.Listener(l) })
	t.Cleanup(func() {
		_ = bbserve.Stop(app, l, shutdownTimeout/10)
		wg.Wait()
	})
	return "http://" + l.Addr().String()
}

func TestBadSettings(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = busy.Close() }()
	cases := []struct {
		args string
		code int
		want []string
	}{
		{"", bbcli.ExitUsage, nil},
		{"engine --slots 0 --listen x --interval 0s", bbcli.ExitUsage, []string{`--listen: not host:port: "x"`, "--slots: must be 1", "--interval: must be above 0"}},
		{"platform --store a --list b --read-rate=-1", bbcli.ExitUsage, []string{`--store: not host:port: "a"`, `--list: not host:port: "b"`, "--read-rate"}},
		{"plain --delay=-1s --queue=-1", bbcli.ExitUsage, []string{"--delay", "--queue"}},
		{"plain --delay soon", bbcli.ExitUsage, []string{"soon"}},
		{"bogus", bbcli.ExitUsage, []string{"bogus"}},
		{"plain --listen " + busy.Addr().String(), bbcli.ExitFailed, []string{"address already in use"}},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(Main(strings.Fields(c.args), &stdout, &stderr), c.code)
			for _, w := range c.want {
				is.True(strings.Contains(stderr.String(), w))
			}
		})
	}
}

// TestStopBeforeListenerIsRegistered checks that a server ends if it is stopped
// immediately after its start, when it may not yet have registered its
// listener.
func TestStopBeforeListenerIsRegistered(t *testing.T) {
	for range 300 {
		l, err := listen("127.0.0.1:0")
		is.New(t).NoErr(err)
		app := fiber.New(fiber.Config{DisableStartupMessage: true})
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = app.Listener(l)
		}()
		_ = bbserve.Stop(app, l, shutdownTimeout/10)
		select {
		case <-served:
		case <-time.After(5 * time.Second):
			t.Fatal("the server still runs 5 s after it was stopped")
		}
	}
}
