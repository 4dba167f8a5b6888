package bbstand

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
)

//go:generate enumer -type=LoadKind -trimprefix=Load -transform=kebab -text -json -output=loadkind_enumer.go

// LoadKind is a kind of request that the load generator sends.
type LoadKind int

// Kinds of request.
const (
	// LoadWhole is a chat that is answered in one piece.
	LoadWhole LoadKind = iota
	// LoadStream is a chat with a streamed answer.
	LoadStream
	// LoadRead is an idempotent request to a plain service.
	LoadRead
	// LoadWrite is a request to a plain service that is not idempotent.
	LoadWrite
)

// loadRequest is a request with the expected answer.
type loadRequest struct {
	n        int // also selects the instance that gets it first
	id       string
	kind     LoadKind
	keyIndex int // index in LoadOptions.Keys
	apiKey   string
	method   string
	path     string
	body     []byte
	// wantText is the expected text of a chat's answer.
	wantText string
	// wantPlain is the expected answer of a plain service, without WriteNumber.
	wantPlain PlainResponse
}

// newRequest returns the n-th request. Its kind and key are chosen at random.
func (o *LoadOptions) newRequest(n int, rng *rand.Rand) *loadRequest {
	r := &loadRequest{n: n, id: fmt.Sprintf("%s-%d-%d", o.Prefix, o.Seed, n), keyIndex: rng.IntN(len(o.Keys))}
	r.apiKey = o.Keys[r.keyIndex]
	plain, write, stream := rng.Float64() < o.PlainShare, rng.Float64() < o.WriteShare, rng.Float64() < o.StreamedShare
	switch {
	case plain && write:
		r.kind, r.method, r.body = LoadWrite, http.MethodPost, []byte("close the street for "+r.id)
	case plain:
		r.kind, r.method = LoadRead, http.MethodGet
	case stream:
		r.kind = LoadStream
	}
	if plain {
		path := "/closures/" + r.id
		r.path = "/services/" + o.Plain + path
		r.wantPlain = NewPlainResponse(r.method, path, r.body, 0)
		return r
	}
	prompt := fmt.Sprintf("Draft a permit %s %s %s %d", nameMarker, r.id, tokensMarker, o.Tokens)
	r.setChat(o.Service, prompt, o.Tokens)
	return r
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

type loadChat struct {
	Model     string         `json:"model"`
	Messages  []Message      `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream,omitempty"`
	Options   *streamOptions `json:"stream_options,omitempty"`
}

// setChat makes r a chat with the prompt. The kind of r has to be set before.
func (r *loadRequest) setChat(service, prompt string, maxTokens int) {
	chat := loadChat{Model: service, Messages: []Message{{Role: "user", Content: prompt}}, MaxTokens: maxTokens}
	if r.kind == LoadStream {
		chat.Stream, chat.Options = true, &streamOptions{Usage: true}
	}
	r.method, r.path = http.MethodPost, "/v1/chat/completions"
	r.body, _ = json.Marshal(chat)
	r.wantText = AnswerText(service, chat.Messages, 1, maxTokens)
}
