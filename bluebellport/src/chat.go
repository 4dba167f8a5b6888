package bbport

import (
	"encoding/json"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// chat is the body of a chat completion, kept whole: fields that the instance
// does not read are passed on as they came.
type chat struct {
	fields   map[string]json.RawMessage
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
	Choices  *int              `json:"n"`
	// Output is max_completion_tokens, or the older max_tokens.
	Output    *int64        `json:"max_completion_tokens"`
	MaxTokens *int64        `json:"max_tokens"`
	Options   streamOptions `json:"stream_options"`
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

// usage is what an engine counted for a chat, in tokens.
type usage struct {
	Prompt     bbunit.Tokens `json:"prompt_tokens"`
	Completion bbunit.Tokens `json:"completion_tokens"`
}

// message is the part of a chat message that prefixes are hashed over.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseChat reads the body of a chat completion; the error is errRequest.
func parseChat(body []byte) (*chat, error) {
	c := &chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "body is not a JSON object"), errRequest)
	}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "body"), errRequest)
	}
	limit := "max_completion_tokens"
	if c.Output == nil {
		c.Output, limit = c.MaxTokens, "max_tokens"
	}
	switch {
	case c.Model == "":
		return nil, badRequest("model: must not be empty")
	case len(c.Messages) == 0:
		return nil, badRequest("messages: must not be empty")
	case c.Output != nil && (*c.Output < 1 || *c.Output > maxOutput):
		return nil, badRequest("%s: must be from 1 to %d, is %d", limit, maxOutput, *c.Output)
	case c.Choices != nil && (*c.Choices < 1 || *c.Choices > maxChoices):
		return nil, badRequest("n: must be from 1 to %d, is %d", maxChoices, *c.Choices)
	}
	return c, nil
}

func badRequest(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errRequest)
}

// choices is how many answers the chat asks for.
func (c *chat) choices() bbunit.Tokens {
	if c.Choices == nil {
		return 1
	}
	return bbunit.Tokens(*c.Choices)
}

// bound is the most tokens one answer may have.
func (c *chat) bound(s bbticket.Service) bbunit.Tokens {
	most := s.DefaultMaxOutput
	if most <= 0 {
		most = defaultOutput
	}
	if c.Output != nil {
		most = bbunit.Tokens(*c.Output)
	}
	return most
}

// most is the highest price that the chat can come to. A token has at least
// one byte, so that the body's length bounds the prompt.
func (c *chat) most(s bbticket.Service, body int) bbunit.Tokens {
	prompt := bbunit.Tokens(body + messageOverhead*len(c.Messages))
	return s.Price.Call + s.Price.Input*prompt + s.Price.Output*c.bound(s)*c.choices()
}

// request is the body sent to an engine: bounded, with usage asked for, and
// going on after the text that the caller already has.
func (c *chat) request(s bbticket.Service, text string, used bbunit.Tokens) ([]byte, error) {
	f := make(map[string]any, len(c.fields)+4)
	for k, v := range c.fields {
		f[k] = v
	}
	delete(f, "max_completion_tokens")
	f["max_tokens"] = max(1, c.bound(s)-used)
	if c.Stream {
		f["stream_options"] = map[string]bool{"include_usage": true}
	}
	if text != "" {
		f["messages"] = append(c.Messages[:len(c.Messages):len(c.Messages)], assistant(text))
		f["continue_final_message"] = true
		f["add_generation_prompt"] = false
	}
	b, err := json.Marshal(f)
	return b, errors.Trace(err)
}

// assistant is a partial answer as a message.
func assistant(text string) json.RawMessage {
	b, err := json.Marshal(message{Role: "assistant", Content: text})
	if err != nil {
		return json.RawMessage(`{"role":"assistant","content":""}`)
	}
	return b
}
