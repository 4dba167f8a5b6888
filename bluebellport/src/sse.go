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

// sseEvent is a server-sent event from an engine.
type sseEvent struct {
	id   int // 0 if the engine sends no ids
	data []byte
}

// isDone reports whether the event ends the stream.
func (e sseEvent) isDone() bool { return bytes.Equal(e.data, []byte("[DONE]")) }

// sseReader splits a response body into server-sent events.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 4096), maxEventBytes)
	return &sseReader{scanner: scanner}
}

// next returns the next event that has data, or io.EOF at the end of the body.
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
			if len(event.data) > maxEventBytes {
				return sseEvent{}, errors.WithType(errors.Errorf("event above %d bytes", maxEventBytes), errTargetFailed)
			}
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

// chatChunk is the part of a streamed chunk that the instance reads.
type chatChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage     `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// chatRelay tracks what has been relayed of a streamed chat, over all attempts.
type chatRelay struct {
	chunkID         string // the chunk id that the caller sees
	text            []byte
	heldText        int64         // bytes of text that count in targetConns.heldBodies
	attemptTokens   bbunit.Tokens // chunks with content in this attempt
	earlierTokens   bbunit.Tokens // tokens of all earlier attempts
	usage           *tokenUsage
	lastEvent       int  // id of the last event of this attempt
	multipleChoices bool // the answer has several choices, so another engine cannot continue it
	continuations   int
	headSent        bool // the response head was sent
	finished        bool // a choice has finished, so that the stream may end
}

// process records a chunk and returns the chunk to send to the caller, nil if it
// is to be dropped. wantUsage is set if the caller requested the usage chunk.
func (r *chatRelay) process(event sseEvent, wantUsage bool) ([]byte, error) {
	var chunk chatChunk
	if err := json.Unmarshal(event.data, &chunk); err != nil {
		return nil, unusableAnswer(errors.Annotate(err, "chunk"))
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return nil, errors.WithType(errors.New("target sent an error within a stream"), errTargetFailed)
	}
	if event.id > 0 && r.lastEvent > 0 && event.id != r.lastEvent+1 {
		return nil, errors.WithType(errors.Errorf("event %d after %d", event.id, r.lastEvent), errTargetFailed)
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
	if empty := r.readChoices(&chunk); empty && r.continuations > 0 {
		return nil, nil
	}
	return r.rewriteChunk(event.data, chunk)
}

// readChoices keeps what the choices of a chunk add to the answer, and reports whether
// that is nothing.
func (r *chatRelay) readChoices(chunk *chatChunk) (empty bool) {
	empty = true
	for _, choice := range chunk.Choices {
		if choice.Index > 0 {
			r.multipleChoices = true
		}
		if choice.Delta.Content != "" {
			empty = false
			r.attemptTokens++
			r.text = append(r.text, choice.Delta.Content...)
		}
		if choice.FinishReason != nil {
			empty, r.finished = false, true
		}
	}
	return empty
}

// rewriteChunk gives a chunk of a later attempt the id of the first attempt and
// the usage of all attempts.
func (r *chatRelay) rewriteChunk(data []byte, chunk chatChunk) ([]byte, error) {
	if r.chunkID == "" {
		r.chunkID = chunk.ID
	}
	if chunk.ID == r.chunkID && (chunk.Usage == nil || r.continuations == 0) {
		return data, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, unusableAnswer(err)
	}
	fields["id"], _ = json.Marshal(r.chunkID)
	if chunk.Usage != nil {
		fields["usage"], _ = json.Marshal(r.totalUsage().withTotal())
	}
	b, err := json.Marshal(fields)
	return b, errors.Trace(err)
}

// startNextAttempt prepares for an attempt that continues the text relayed so
// far.
func (r *chatRelay) startNextAttempt() {
	r.earlierTokens += r.attemptTokens
	r.attemptTokens, r.lastEvent, r.usage = 0, 0, nil
	r.continuations++
}

// totalUsage returns the usage over all attempts: as the engine counted it, or
// else one token for each chunk with content. The prompt of a continued attempt
// contains text already counted as completion, which is not counted twice.
func (r *chatRelay) totalUsage() tokenUsage {
	if r.usage == nil {
		return tokenUsage{Completion: r.earlierTokens + r.attemptTokens}
	}
	usage := *r.usage
	usage.Prompt = max(0, usage.Prompt-r.earlierTokens)
	usage.Completion += r.earlierTokens
	return usage
}

// withTotal returns the usage as a JSON object in the form of the chat
// interface.
func (u tokenUsage) withTotal() map[string]bbunit.Tokens {
	return map[string]bbunit.Tokens{
		"prompt_tokens":     u.Prompt,
		"completion_tokens": u.Completion,
		"total_tokens":      u.Prompt + u.Completion,
	}
}
