package bbstand

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbserve"
)

// stopTime is how long open requests may take to end at a stop.
const stopTime = 2 * time.Second

// part is one stand-in at one address.
type part struct {
	name string
	addr string
	// mount adds the part's routes.
	mount func(app *fiber.App, l *listener)
	// stop ends what the part has running.
	stop func()
}

// serve listens at each part's address and serves until ctx ends.
func serve(ctx context.Context, s streams, parts ...part) error {
	listeners := make([]*listener, len(parts))
	for i, p := range parts {
		l, err := listen(p.addr)
		if err != nil {
			return errors.Annotate(err, p.name)
		}
		defer func() { _ = l.Close() }()
		listeners[i] = l
	}
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for i, p := range parts {
		app := fiber.New(fiber.Config{
			AppName:               p.name,
			DisableStartupMessage: true,
			Immutable:             true,
			UnescapePath:          true,
			BodyLimit:             fasthttp.DefaultMaxRequestBodySize,
			ErrorHandler:          answerError,
		})
		p.mount(app, listeners[i])
		s.log.WithField("part", p.name).WithField("address", listeners[i].Addr().String()).Info("ready")
		group.Go(func(context.Context) error { return app.Listener(listeners[i]) })
		group.Go(func(ctx context.Context) error {
			<-ctx.Done()
			p.stop()
			err := bbserve.Stop(app, listeners[i], stopTime)
			if errors.Is(err, context.DeadlineExceeded) {
				return nil
			}
			return err
		})
	}
	err := group.Wait()
	s.log.Info("stopped")
	return err
}

func answerError(c *fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var f *fiber.Error
	if errors.As(err, &f) {
		status = f.Code
	}
	return c.Status(status).JSON(errorAnswer{Error: errorText{Message: err.Error(), Type: http.StatusText(status)}})
}

type errorAnswer struct {
	Error errorText `json:"error"`
}

type errorText struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// strict reads the request's JSON body; an unknown field is an error.
func strict(c *fiber.Ctx, v any) error {
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	return nil
}

// hangUp closes the connection without an answer.
func hangUp(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(n net.Conn) { _ = n.Close() })
	return nil
}
