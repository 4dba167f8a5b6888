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

// shutdownTimeout is how long a shutdown waits for open requests.
const shutdownTimeout = 2 * time.Second

// standIn is a stand-in service at one address.
type standIn struct {
	name string
	addr string
	// mount adds the routes of the stand-in.
	mount func(app *fiber.App, l *listener)
	// stop ends the stand-in's background work.
	stop func()
}

// serve listens at the address of each stand-in and serves until ctx is done.
func serve(ctx context.Context, s streams, standIns ...standIn) error {
	listeners := make([]*listener, len(standIns))
	for i, service := range standIns {
		l, err := listen(service.addr)
		if err != nil {
			return errors.Annotate(err, service.name)
		}
		defer func() { _ = l.Close() }()
		listeners[i] = l
	}
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for i, service := range standIns {
		app := fiber.New(fiber.Config{
			AppName:               service.name,
			DisableStartupMessage: true,
			Immutable:             true,
			UnescapePath:          true,
			BodyLimit:             fasthttp.DefaultMaxRequestBodySize,
			ErrorHandler:          respondError,
		})
		service.mount(app, listeners[i])
		s.log.WithField("part", service.name).WithField("address", listeners[i].Addr().String()).Info("ready")
		group.Go(func(context.Context) error { return app.Listener(listeners[i]) })
		group.Go(func(ctx context.Context) error {
			<-ctx.Done()
			service.stop()
			err := bbserve.Stop(app, listeners[i], shutdownTimeout)
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

// respondError is the error handler of all stand-ins. It answers with the
// status of a *fiber.Error, or else 500.
func respondError(c *fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	return c.Status(status).JSON(errorResponse{Error: errorBody{Message: err.Error(), Type: http.StatusText(status)}})
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// decodeStrict decodes the JSON body of the request into v. An unknown field is
// an error.
func decodeStrict(c *fiber.Ctx, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	return nil
}

// closeWithoutResponse closes the connection instead of answering.
func closeWithoutResponse(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}
