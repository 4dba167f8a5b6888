package bbport

import (
	"encoding/json"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// chat is the body of a chat completion. All fields are kept, so that those
// unknown to the instance reach the engine unchanged. Error messages to callers
// contain the name of this type.
type chat struct {
	fields   map[string]json.RawMessage
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
	Choices  *int              `json:"n"`
	// MaxCompletionTokens is max_completion_tokens, or else the older
	// max_tokens.
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	MaxTokens           *int64        `json:"max_tokens"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// tokenUsage is an engine's token count for a chat.
type tokenUsage struct {
	Prompt     bbunit.Tokens `json:"prompt_tokens"`
	Completion bbunit.Tokens `json:"completion_tokens"`
}

// chatMessage is a chat message with text content.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseChat parses and checks the body of a chat completion. It fails with
// errInvalidRequest.
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

// badRequest returns an errInvalidRequest with a detail for the caller.
func badRequest(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errInvalidRequest)
}

// choiceCount returns the number of answers that the chat asks for.
func (c *chat) choiceCount() bbunit.Tokens {
	if c.Choices == nil {
		return 1
	}
	return bbunit.Tokens(*c.Choices)
}

// outputLimit returns the maximum number of tokens of one choice.
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

// maxPrice returns an upper bound of the price of the chat. A token has at least
// one byte, so the length of the body, bodyBytes, bounds the number of prompt
// tokens.
func (c *chat) maxPrice(s bbticket.Service, bodyBytes int) bbunit.Tokens {
	promptTokens := bbunit.Tokens(bodyBytes + maxTemplateTokens*len(c.Messages))
	return s.Price.Call + s.Price.Input*promptTokens + s.Price.Output*c.outputLimit(s)*c.choiceCount()
}

// engineBody returns the body sent to an engine. It always limits the output
// and, for streams, asks for the usage. If prefix is not empty, the engine is
// asked to continue after this text, which took usedTokens in earlier attempts.
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

// assistantMessage returns a partial answer as a chat message.
func assistantMessage(text string) json.RawMessage {
	b, err := json.Marshal(chatMessage{Role: "assistant", Content: text})
	if err != nil {
		return json.RawMessage(`{"role":"assistant","content":""}`)
	}
	return b
}
