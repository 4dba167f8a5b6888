package bbe2e

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	bbstand "bluebellport.example/bluebellstand/src"
)

// smallFleetOptions has one instance in each failure domain.
func smallFleetOptions() fleetOptions {
	o := defaultFleetOptions()
	o.instancesPerDomain = 1
	return o
}

// TestPublishedClient checks that the unmodified OpenAI client library
// completes a plain call, a streamed call and a list of models.
func TestPublishedClient(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, smallFleetOptions())
	c := openai.NewClient(
		option.WithBaseURL("http://"+f.instances[0].listen+"/v1/"),
		option.WithAPIKey(f.accounts[0].key),
		option.WithMaxRetries(0),
	)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	const prompt = "Which conditions apply to Storgatan? --tokens 12"
	params := openai.ChatCompletionNewParams{
		Model:    engineService,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
	want := bbstand.AnswerText(engineService, []bbstand.Message{{Role: "user", Content: prompt}}, 0, 0)

	a, err := c.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(a.Choices[0].Message.Content, want)
	is.Equal(a.Choices[0].FinishReason, "stop")
	is.Equal(a.Usage.CompletionTokens, int64(12))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	s := c.Chat.Completions.NewStreaming(ctx, params)
	var acc openai.ChatCompletionAccumulator
	for s.Next() {
		acc.AddChunk(s.Current())
	}
	is.NoErr(s.Err())
	is.Equal(acc.Choices[0].Message.Content, want)
	is.Equal(acc.Usage.CompletionTokens, int64(12))

	list, err := c.Models.List(ctx)
	is.NoErr(err)
	is.Equal(list.Data[0].ID, engineService)
	f.stop()
}
