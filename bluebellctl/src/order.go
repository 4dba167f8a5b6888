package bbctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// orderCommands declares the command that sends an order to a target.
func orderCommands(app *kingpin.Application, commands map[string]command) {
	var order orderRequest
	cmd := app.Command("order", "Order a target to load a model, adapter or version, or to change its role.")
	cmd.Arg("target", "Id of the target.").Required().StringVar(&order.Target)
	cmd.Arg("action", "What to do, in the target's own words, such as load.").Required().StringVar(&order.Action)
	cmd.Arg("model", "Model, adapter, version or role that the action is about.").StringVar(&order.Model)
	commands[cmd.FullCommand()] = func(_ context.Context, e *env) error { return sendOrder(e, order) }
}

// orderRequest is the body of POST /order of an instance.
type orderRequest struct {
	Target string `json:"target"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

// orderResponse is the answer to POST /order. Error is empty if the target
// acknowledged the order.
type orderResponse struct {
	Fence uint64 `json:"fence"`
	Error string `json:"error"`
}

// sendOrder sends the order through the first instance named by --admin.
func sendOrder(e *env, order orderRequest) error {
	if len(e.opts.Admins) == 0 {
		return errors.WithType(errors.New("order needs --admin"), errUsage)
	}
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Trace(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.opts.Admins[0] + "/order")
	req.SetBodyRaw(body)
	if err := adminClient.DoTimeout(req, resp, e.opts.Timeout); err != nil {
		return errors.Annotate(err, e.opts.Admins[0])
	}
	var result orderResponse
	if err := json.Unmarshal(resp.Body(), &result); err != nil {
		return errors.Annotatef(err, "%s: decode answer with status %d", e.opts.Admins[0], resp.StatusCode())
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		fmt.Fprintf(e.stderr, "target %s took the order under fencing number %d\n", order.Target, result.Fence)
		return nil
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound:
		return errors.WithType(errors.New(result.Error), errUsage)
	}
	return errors.Errorf("order under fencing number %d is not acknowledged: %s", result.Fence, result.Error)
}
