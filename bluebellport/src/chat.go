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
	// MaxCompletionTokens is max_completion_tokens, or the older max_tokens.
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	MaxTokens           *int64        `json:"max_tokens"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// tokenUsage is what an engine counted for a chat, in tokens.
type tokenUsage struct {
	Prompt     bbunit.Tokens `json:"prompt_tokens"`
	Completion bbunit.Tokens `json:"completion_tokens"`
}

// chatMessage is the part of a chat message that prefixes are hashed over.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseChat reads the body of a chat completion; the error is errRequest.
func parseChat(body []byte) (*chat, error) {
	c := &chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "body is not a JSON object"), errInvalidRequest)
	}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "body"), errInvalidRequest)
	}
	limitField := "max_completion_tokens"
	if c.MaxCompletionTokens == nil {
		c.MaxCompletionTokens, limitField = c.MaxTokens, "max_tokens"
	}
	switch {
	case c.Model == "":
		return nil, badRequest("model: must not be empty")
	case len(c.Messages) == 0:
		return nil, badRequest("messages: must not be empty")
	case c.MaxCompletionTokens != nil && (*c.MaxCompletionTokens < 1 || *c.MaxCompletionTokens > maxOutputTokens):
		return nil, badRequest("%s: must be from 1 to %d, is %d", limitField, maxOutputTokens, *c.MaxCompletionTokens)
	case c.Choices != nil && (*c.Choices < 1 || *c.Choices > maxChoices):
		return nil, badRequest("n: must be from 1 to %d, is %d", maxChoices, *c.Choices)
	}
	return c, nil
}

func badRequest(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errInvalidRequest)
}

// choiceCount is how many answers the chat asks for.
func (c *chat) choiceCount() bbunit.Tokens {
	if c.Choices == nil {
		return 1
	}
	return bbunit.Tokens(*c.Choices)
}

// outputLimit is the most tokens one answer may have.
func (c *chat) outputLimit(s bbticket.Service) bbunit.Tokens {
	limit := s.DefaultMaxOutput
	if limit <= 0 {
		limit = defaultOutputTokens
	}
	if c.MaxCompletionTokens != nil {
		limit = bbunit.Tokens(*c.MaxCompletionTokens)
	}
	return limit
}

// maxPrice is the highest price that the chat can come to. A token has at least
// one byte, so that the body's length bounds the prompt.
func (c *chat) maxPrice(s bbticket.Service, bodyBytes int) bbunit.Tokens {
	promptTokens := bbunit.Tokens(bodyBytes + maxTemplateTokens*len(c.Messages))
	return s.Price.Call + s.Price.Input*promptTokens + s.Price.Output*c.outputLimit(s)*c.choiceCount()
}

// engineBody is the body sent to an engine: bounded, with usage asked for, and
// going on after the text that the caller already has.
func (c *chat) engineBody(s bbticket.Service, prefix string, usedTokens bbunit.Tokens) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+4)
	for k, v := range c.fields {
		fields[k] = v
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = max(1, c.outputLimit(s)-usedTokens)
	if c.Stream {
		fields["stream_options"] = map[string]bool{"include_usage": true}
	}
	if prefix != "" {
		fields["messages"] = append(c.Messages[:len(c.Messages):len(c.Messages)], assistantMessage(prefix))
		fields["continue_final_message"] = true
		fields["add_generation_prompt"] = false
	}
	b, err := json.Marshal(fields)
	return b, errors.Trace(err)
}

// assistantMessage is a partial answer as a message.
func assistantMessage(text string) json.RawMessage {
	b, err := json.Marshal(chatMessage{Role: "assistant", Content: text})
	if err != nil {
		return json.RawMessage(`{"role":"assistant","content":""}`)
	}
	return b
}
