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
	headerRequestID  = "X-Request-Id"
	headerPriority   = "X-Request-Priority"
	headerLeaving    = "X-Leaving"
	headerRetryAfter = "Retry-After"
	requestsPath     = "/v1/requests/"
	streamSuffix     = "/stream"
	// LogAccepted is the message of the log line that an engine writes for each
	// request it accepts.
	LogAccepted = "came"
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	// ContinueFinalMessage means that the last message is the beginning of the
	// answer, and that only the rest is wanted.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// maxAnswerTokens returns the requested limit of the answer's tokens, 0 for
// none.
func (r *chatRequest) maxAnswerTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

func (r *chatRequest) validate(model string) error {
	switch {
	case model != "" && r.Model != model:
		return fiber.NewError(http.StatusNotFound, fmt.Sprintf("model: unknown: %q", r.Model))
	case len(r.Messages) == 0:
		return fiber.NewError(http.StatusBadRequest, "messages: must not be empty")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return fiber.NewError(http.StatusBadRequest, "max_tokens: must be above 0")
	case r.ContinueFinalMessage && r.Messages[len(r.Messages)-1].Role != "assistant":
		return fiber.NewError(http.StatusBadRequest, "continue_final_message: the last message is not the assistant's")
	}
	return nil
}

// chatUsage is the token usage of a request.
type chatUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Message      *Message   `json:"message,omitempty"`
	Delta        *chatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatResponse is a whole chat completion, or one chunk of a streamed one.
type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// requestState is the body that answers GET and DELETE of /v1/requests/{id}.
type requestState struct {
	ID    string    `json:"id"`
	State string    `json:"state"`
	Usage chatUsage `json:"usage"`
}

func (o *EngineOptions) run(ctx context.Context, s streams) error {
	e, stop := newEngine(*o)
	e.onAccepted = func(r EngineExecution) { s.log.WithField("ran", r).Info(LogAccepted) }
	return serve(ctx, s, standIn{name: "engine", addr: o.Listen, mount: e.mount, stop: stop})
}

func (e *engine) mount(app *fiber.App, l *listener) {
	app.Post("/v1/chat/completions", e.postChat)
	app.Get(requestsPath+"+", e.getRequest)
	app.Delete(requestsPath+"+", e.cancelRequest)
	app.Get("/v1/models", e.getModels)
	app.Get("/v1/events", e.getEvents)
	app.Post("/v1/orders", e.postOrder)
	app.Get("/load", e.getLoad)
	e.mountAdmin(app, l)
}

func (e *engine) postChat(c *fiber.Ctx) error {
	r := &chatRequest{}
	if err := json.Unmarshal(c.Body(), r); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	if err := r.validate(e.opts.Model); err != nil {
		return err
	}
	id := c.Get(headerRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(c.Get(headerPriority))
	j, err := e.submit(id, priority, r)
	if err != nil {
		return refuse(c, err)
	}
	c.Set(headerRequestID, id)
	if r.Stream {
		return e.respondStream(c, j, 0)
	}
	return e.respondWhole(c, j)
}

// refuse answers a request that the target does not accept.
func refuse(c *fiber.Ctx, err error) error {
	if id := c.Get(headerRequestID); id != "" {
		c.Set(headerRequestID, id)
	}
	switch {
	case errors.Is(err, errLeaving):
		c.Set(headerLeaving, "1")
	case errors.Is(err, errPrefixMismatch):
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	c.Set(headerRetryAfter, "1")
	return fiber.NewError(http.StatusServiceUnavailable, err.Error())
}

// respondWhole waits until the answer is complete and sends it as one response.
func (e *engine) respondWhole(c *fiber.Ctx, j *job) error {
	for {
		p := e.readProgress(j, 0)
		if p.state == stateCancelled {
			return fiber.NewError(http.StatusServiceUnavailable, "cancelled")
		}
		if p.finished {
			response := j.newResponse("chat.completion")
			response.Choices = []chatChoice{{Message: &Message{Role: "assistant", Content: strings.Join(p.tokens, "")}, FinishReason: j.finishReason()}}
			response.Usage = j.usage(p.generated)
			return c.JSON(response)
		}
		<-p.changed
	}
}

// respondStream streams the events of the request that follow event number from.
func (e *engine) respondStream(c *fiber.Ctx, j *job, from int) error {
	c.Set("Content-Type", "text/event-stream")
	e.addReader(j)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.removeReader(j)
		for {
			p := e.readProgress(j, from)
			for _, token := range p.tokens {
				from++
				if j.writeEvent(w, from, []chatChoice{{Delta: tokenDelta(from, token)}}, nil) != nil {
					return
				}
			}
			if p.state == stateCancelled {
				return
			}
			if p.finished {
				_ = j.writeEvent(w, p.generated+1, []chatChoice{{Delta: &chatDelta{}, FinishReason: j.finishReason()}}, j.usage(p.generated))
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

// tokenDelta returns the delta of the n-th token. The first one has the role.
func tokenDelta(n int, token string) *chatDelta {
	d := &chatDelta{Content: token}
	if n == 1 {
		d.Role = "assistant"
	}
	return d
}

// writeEvent writes the n-th server-sent event of the request and flushes it.
func (j *job) writeEvent(w *bufio.Writer, n int, choices []chatChoice, usage *chatUsage) error {
	response := j.newResponse("chat.completion.chunk")
	response.Choices, response.Usage = choices, usage
	b, err := json.Marshal(response)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b); err != nil {
		return err
	}
	return w.Flush()
}

func (j *job) newResponse(object string) *chatResponse {
	return &chatResponse{ID: j.id, Object: object, Created: j.acceptedAt.Unix(), Model: j.model}
}

func (j *job) usage(generated int) *chatUsage {
	return &chatUsage{Prompt: j.promptTokens, Completion: generated, Total: j.promptTokens + generated}
}

// finishReason returns the finish_reason of the complete answer.
func (j *job) finishReason() *string {
	reason := "stop"
	if j.truncated {
		reason = "length"
	}
	return &reason
}

// getRequest answers with the state of a request, or resumes its stream.
func (e *engine) getRequest(c *fiber.Ctx) error {
	id, resume := strings.CutSuffix(c.Params("+"), streamSuffix)
	j := e.findJob(id)
	if j == nil {
		return fiber.NewError(http.StatusNotFound, fmt.Sprintf("unknown request %q", id))
	}
	if resume {
		from := c.QueryInt("from")
		if from < 0 {
			return fiber.NewError(http.StatusBadRequest, "from: must be 0 at least")
		}
		return e.respondStream(c, j, from)
	}
	p := e.readProgress(j, 0)
	return c.JSON(requestState{ID: id, State: p.state, Usage: *j.usage(p.generated)})
}

// cancelRequest cancels a request and waits for its end. A request that has
// already ended keeps its state.
func (e *engine) cancelRequest(c *fiber.Ctx) error {
	j := e.findJob(c.Params("+"))
	if j == nil {
		return fiber.NewError(http.StatusNotFound, "unknown request")
	}
	j.cancel()
	p := e.readProgress(j, 0)
	for !p.finished {
		<-p.changed
		p = e.readProgress(j, 0)
	}
	return c.JSON(requestState{ID: j.id, State: p.state, Usage: *j.usage(p.generated)})
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *engine) getModels(c *fiber.Ctx) error {
	return c.JSON(modelList{Object: "list", Data: []modelItem{{ID: e.opts.Model, Object: "model"}}})
}

func (e *engine) getEvents(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.cache.eventsAfter(c.QueryInt("after"), time.Now().Add(-e.opts.EventLag)))
}

func (e *engine) postOrder(c *fiber.Ctx) error {
	var o Order
	if err := decodeStrict(c, &o); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.orders.accept(o); err != nil {
		return fiber.NewError(http.StatusConflict, err.Error())
	}
	return c.JSON(o)
}

func (e *engine) getLoad(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.loadHistory.lagged(time.Now(), TargetLoad{Slots: e.opts.Slots}))
}
