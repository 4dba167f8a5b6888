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
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 4096), maxEventBytes)
	return &sseReader{scanner: s}
}

// next returns the next event with data; io.EOF when the body has ended.
func (r *sseReader) next() (sseEvent, error) {
	var e sseEvent
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if len(e.data) > 0 {
				return e, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if len(e.data) > 0 {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
		case "id":
			if n, err := strconv.Atoi(string(value)); err == nil {
				e.id = n
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
func (r *chatRelay) process(e sseEvent, wantUsage bool) ([]byte, error) {
	var c chatChunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "chunk"), errTargetFailed)
	}
	if e.id > 0 {
		r.lastEvent = e.id
	}
	if c.Usage != nil {
		r.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		if c.Usage == nil || !wantUsage {
			return nil, nil
		}
		return r.rewriteChunk(e.data, c)
	}
	empty := true
	for _, ch := range c.Choices {
		if ch.Index > 0 {
			r.multipleChoices = true
		}
		if ch.Delta.Content != "" {
			empty = false
			r.attemptTokens++
			r.text = append(r.text, ch.Delta.Content...)
		}
		if ch.Finish != nil {
			empty = false
		}
	}
	if empty && r.restarts > 0 {
		return nil, nil
	}
	return r.rewriteChunk(e.data, c)
}

// rewriteChunk gives a chunk of a later attempt the id and usage of the whole.
func (r *chatRelay) rewriteChunk(data []byte, c chatChunk) ([]byte, error) {
	if r.chunkID == "" {
		r.chunkID = c.ID
	}
	if c.ID == r.chunkID && (c.Usage == nil || r.restarts == 0) {
		return data, nil
	}
	var f map[string]json.RawMessage
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, errors.WithType(err, errTargetFailed)
	}
	f["id"], _ = json.Marshal(r.chunkID)
	if c.Usage != nil {
		f["usage"], _ = json.Marshal(r.totalUsage().withTotal())
	}
	b, err := json.Marshal(f)
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
	u := *r.usage
	u.Prompt = max(0, u.Prompt-r.earlierTokens)
	u.Completion += r.earlierTokens
	return u
}

// withTotal is the usage as callers read it.
func (u tokenUsage) withTotal() map[string]bbunit.Tokens {
	return map[string]bbunit.Tokens{
		"prompt_tokens":     u.Prompt,
		"completion_tokens": u.Completion,
		"total_tokens":      u.Prompt + u.Completion,
	}
}
