package bbport

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestClientLibraryReadsRefusals checks that the OpenAI Go client reads a
// refusal's reason and outcome.
func TestClientLibraryReadsRefusals(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	for key, want := range map[string]struct {
		status  int
		message string
	}{
		"nobody":   {http.StatusUnauthorized, "unknown API key"},
		"poor-key": {http.StatusPaymentRequired, "budget exhausted"},
	} {
		client := openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
		_, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
			Model: "chat", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
		})
		var apiErr *openai.Error
		is.True(errors.As(err, &apiErr))
		is.Equal(apiErr.StatusCode, want.status)
		is.Equal(apiErr.Message, want.message)
		is.Equal(apiErr.Code, "not-run")
	}
}
