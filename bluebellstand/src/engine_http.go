package bbstand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	headerID       = "X-Request-Id"
	headerPriority = "X-Request-Priority"
	headerLeaving  = "X-Leaving"
	headerRetry    = "Retry-After"
	requestsPath   = "/v1/requests/"
	streamSuffix   = "/stream"
	// LogCame is the message of the log line for each request that an engine takes.
	LogCame = "came"
)

// chatRequest is what a chat completion asks for.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	MaxNew    int       `json:"max_completion_tokens"`
	// Continue tells that the last message is how the answer begins.
	Continue bool `json:"continue_final_message"`
}

func (r *chatRequest) most() int {
	if r.MaxNew > 0 {
		return r.MaxNew
	}
	return r.MaxTokens
}

func (r *chatRequest) check(model string) error {
	switch {
	case model != "" && r.Model != model:
		return fiber.NewError(http.StatusNotFound, fmt.Sprintf("model: unknown: %q", r.Model))
	case len(r.Messages) == 0:
		return fiber.NewError(http.StatusBadRequest, "messages: must not be empty")
	case r.MaxTokens < 0 || r.MaxNew < 0:
		return fiber.NewError(http.StatusBadRequest, "max_tokens: must be above 0")
	case r.Continue && r.Messages[len(r.Messages)-1].Role != "assistant":
		return fiber.NewError(http.StatusBadRequest, "continue_final_message: the last message is not the assistant's")
	}
	return nil
}

// chatUsage counts the tokens of a request.
type chatUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chatChoice struct {
	Index   int      `json:"index"`
	Message *Message `json:"message,omitempty"`
	Delta   *delta   `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatAnswer is a whole answer or one chunk of a stream.
type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// requestState is the answer of GET /v1/requests/{id}.
type requestState struct {
	ID    string    `json:"id"`
	State string    `json:"state"`
	Usage chatUsage `json:"usage"`
}

func (o *EngineOptions) run(ctx context.Context, s streams) error {
	e, stop := newEngine(*o)
	e.came = func(r Ran) { s.log.WithField("ran", r).Info(LogCame) }
	return serve(ctx, s, part{name: "engine", addr: o.Listen, mount: e.mount, stop: stop})
}

func (e *engine) mount(app *fiber.App, l *listener) {
	app.Post("/v1/chat/completions", e.chat)
	app.Get(requestsPath+"+", e.request)
	app.Delete(requestsPath+"+", e.remove)
	app.Get("/v1/models", e.models)
	app.Get("/v1/events", e.events)
	app.Post("/v1/orders", e.order)
	app.Get("/load", e.report)
	e.mountAdmin(app, l)
}

func (e *engine) chat(c *fiber.Ctx) error {
	r := &chatRequest{}
	if err := json.Unmarshal(c.Body(), r); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	if err := r.check(e.opts.Model); err != nil {
		return err
	}
	id := c.Get(headerID)
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(c.Get(headerPriority))
	j, err := e.start(id, priority, r)
	if err != nil {
		return refuse(c, err)
	}
	c.Set(headerID, id)
	if r.Stream {
		return e.stream(c, j, 0)
	}
	return e.whole(c, j)
}

func refuse(c *fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, errLeaving):
		c.Set(headerLeaving, "1")
	case errors.Is(err, errPartial):
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	c.Set(headerRetry, "1")
	return fiber.NewError(http.StatusServiceUnavailable, err.Error())
}

// whole waits for the end of the request and answers with all of it.
func (e *engine) whole(c *fiber.Ctx, j *job) error {
	for {
		p := e.read(j, 0)
		if p.state == stateCancelled {
			return fiber.NewError(http.StatusServiceUnavailable, "cancelled")
		}
		if p.ended {
			a := j.answer("chat.completion")
			a.Choices = []chatChoice{{Message: &Message{Role: "assistant", Content: strings.Join(p.tokens, "")}, Finish: j.finish()}}
			a.Usage = j.usage(p.made)
			return c.JSON(a)
		}
		<-p.changed
	}
}

// stream answers with the request's events after the first from ones.
func (e *engine) stream(c *fiber.Ctx, j *job, from int) error {
	c.Set("Content-Type", "text/event-stream")
	e.attach(j)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.detach(j)
		for {
			p := e.read(j, from)
			for _, t := range p.tokens {
				from++
				if j.send(w, from, []chatChoice{{Delta: tokenDelta(from, t)}}, nil) != nil {
					return
				}
			}
			if p.state == stateCancelled {
				return
			}
			if p.ended {
				_ = j.send(w, p.made+1, []chatChoice{{Delta: &delta{}, Finish: j.finish()}}, j.usage(p.made))
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
				return
			}
			if len(p.tokens) == 0 {
				<-p.changed
			}
		}
	})
	return nil
}

func tokenDelta(n int, token string) *delta {
	d := &delta{Content: token}
	if n == 1 {
		d.Role = "assistant"
	}
	return d
}

// send writes one numbered event of the request.
func (j *job) send(w *bufio.Writer, n int, choices []chatChoice, u *chatUsage) error {
	a := j.answer("chat.completion.chunk")
	a.Choices, a.Usage = choices, u
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b); err != nil {
		return err
	}
	return w.Flush()
}

func (j *job) answer(object string) *chatAnswer {
	return &chatAnswer{ID: j.id, Object: object, Created: j.at.Unix(), Model: j.model}
}

func (j *job) usage(made int) *chatUsage {
	return &chatUsage{Prompt: j.prompt, Completion: made, Total: j.prompt + made}
}

func (j *job) finish() *string {
	reason := "stop"
	if j.cut {
		reason = "length"
	}
	return &reason
}

// request tells the state of a request, or resumes its stream.
func (e *engine) request(c *fiber.Ctx) error {
	id, resume := strings.CutSuffix(c.Params("+"), streamSuffix)
	j := e.find(id)
	if j == nil {
		return fiber.NewError(http.StatusNotFound, fmt.Sprintf("unknown request %q", id))
	}
	if resume {
		from := c.QueryInt("from")
		if from < 0 {
			return fiber.NewError(http.StatusBadRequest, "from: must be 0 at least")
		}
		return e.stream(c, j, from)
	}
	p := e.read(j, 0)
	return c.JSON(requestState{ID: id, State: p.state, Usage: *j.usage(p.made)})
}

// remove cancels a request; one that has ended stays as it is.
func (e *engine) remove(c *fiber.Ctx) error {
	j := e.find(c.Params("+"))
	if j == nil {
		return fiber.NewError(http.StatusNotFound, "unknown request")
	}
	j.cancel()
	p := e.read(j, 0)
	for !p.ended {
		<-p.changed
		p = e.read(j, 0)
	}
	return c.JSON(requestState{ID: j.id, State: p.state, Usage: *j.usage(p.made)})
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *engine) models(c *fiber.Ctx) error {
	return c.JSON(modelList{Object: "list", Data: []modelItem{{ID: e.opts.Model, Object: "model"}}})
}

func (e *engine) events(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.cache.after(c.QueryInt("after"), time.Now().Add(-e.opts.EventLag)))
}

func (e *engine) order(c *fiber.Ctx) error {
	var o Order
	if err := strict(c, &o); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.orders.take(o); err != nil {
		return fiber.NewError(http.StatusConflict, err.Error())
	}
	return c.JSON(o)
}

func (e *engine) report(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.loads.report(time.Now(), Load{Slots: e.opts.Slots}))
}
