package bbport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// sseEvent is one server-sent event of an engine.
type sseEvent struct {
	id   int // 0 when the engine numbers none
	data []byte
}

// isDone tells whether the event ends the stream.
func (e sseEvent) isDone() bool { return bytes.Equal(e.data, []byte("[DONE]")) }

// sseReader splits a body into server-sent events.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 4096), maxEventBytes)
	return &sseReader{scanner: scanner}
}

// next returns the next event with data; io.EOF when the body has ended.
func (r *sseReader) next() (sseEvent, error) {
	var event sseEvent
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if len(event.data) > 0 {
				return event, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if len(event.data) > 0 {
				event.data = append(event.data, '\n')
			}
			event.data = append(event.data, value...)
		case "id":
			if n, err := strconv.Atoi(string(value)); err == nil {
				event.id = n
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return sseEvent{}, errors.Trace(err)
	}
	return sseEvent{}, io.EOF
}

// chatChunk is the part of a streamed chat chunk that the instance reads.
type chatChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

// chatRelay is what of a streamed chat has reached the caller, over all attempts.
type chatRelay struct {
	chunkID         string // the chunk id that the caller sees
	text            []byte
	attemptTokens   bbunit.Tokens // chunks with content, in this attempt
	earlierTokens   bbunit.Tokens // tokens of earlier attempts
	usage           *tokenUsage
	lastEvent       int  // last event of this attempt
	multipleChoices bool // more than one choice, so that the text cannot be continued
	restarts        int
	headSent        bool // the caller has the head
}

// process takes a chunk in and returns what the caller gets; nil for nothing.
func (r *chatRelay) process(event sseEvent, wantUsage bool) ([]byte, error) {
	var chunk chatChunk
	if err := json.Unmarshal(event.data, &chunk); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "chunk"), errTargetFailed)
	}
	if event.id > 0 {
		r.lastEvent = event.id
	}
	if chunk.Usage != nil {
		r.usage = chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		if chunk.Usage == nil || !wantUsage {
			return nil, nil
		}
		return r.rewriteChunk(event.data, chunk)
	}
	empty := true
	for _, choice := range chunk.Choices {
		if choice.Index > 0 {
			r.multipleChoices = true
		}
		if choice.Delta.Content != "" {
			empty = false
			r.attemptTokens++
			r.text = append(r.text, choice.Delta.Content...)
		}
		if choice.Finish != nil {
			empty = false
		}
	}
	if empty && r.restarts > 0 {
		return nil, nil
	}
	return r.rewriteChunk(event.data, chunk)
}

// rewriteChunk gives a chunk of a later attempt the id and usage of the whole.
func (r *chatRelay) rewriteChunk(data []byte, chunk chatChunk) ([]byte, error) {
	if r.chunkID == "" {
		r.chunkID = chunk.ID
	}
	if chunk.ID == r.chunkID && (chunk.Usage == nil || r.restarts == 0) {
		return data, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.WithType(err, errTargetFailed)
	}
	fields["id"], _ = json.Marshal(r.chunkID)
	if chunk.Usage != nil {
		fields["usage"], _ = json.Marshal(r.totalUsage().withTotal())
	}
	b, err := json.Marshal(fields)
	return b, errors.Trace(err)
}

// startNextAttempt makes ready for an attempt that goes on after the text so far.
func (r *chatRelay) startNextAttempt() {
	r.earlierTokens += r.attemptTokens
	r.attemptTokens, r.lastEvent, r.usage = 0, 0, nil
	r.restarts++
}

// totalUsage is what the caller's answer came to: the engine's count where it gave
// one, else the chunks that arrived. A continued prompt holds text that was
// counted as generated before, which is not charged again.
func (r *chatRelay) totalUsage() tokenUsage {
	if r.usage == nil {
		return tokenUsage{Completion: r.earlierTokens + r.attemptTokens}
	}
	usage := *r.usage
	usage.Prompt = max(0, usage.Prompt-r.earlierTokens)
	usage.Completion += r.earlierTokens
	return usage
}

// withTotal is the usage as callers read it.
func (u tokenUsage) withTotal() map[string]bbunit.Tokens {
	return map[string]bbunit.Tokens{
		"prompt_tokens":     u.Prompt,
		"completion_tokens": u.Completion,
		"total_tokens":      u.Prompt + u.Completion,
	}
}
