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

// event is one server-sent event of an engine.
type event struct {
	id   int // 0 when the engine numbers none
	data []byte
}

// done tells whether the event ends the stream.
func (e event) done() bool { return bytes.Equal(e.data, []byte("[DONE]")) }

// eventReader splits a body into server-sent events.
type eventReader struct {
	s *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 4096), maxEvent)
	return &eventReader{s: s}
}

// next returns the next event with data; io.EOF when the body has ended.
func (r *eventReader) next() (event, error) {
	var e event
	for r.s.Scan() {
		line := bytes.TrimSuffix(r.s.Bytes(), []byte("\r"))
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
	if err := r.s.Err(); err != nil {
		return event{}, errors.Trace(err)
	}
	return event{}, io.EOF
}

// chunk is the part of a streamed chat chunk that the instance reads.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// relay is what of a streamed chat has reached the caller, over all attempts.
type relay struct {
	id       string // the chunk id that the caller sees
	text     []byte
	tokens   bbunit.Tokens // chunks with content, in this attempt
	before   bbunit.Tokens // tokens of earlier attempts
	usage    *usage
	event    int  // last event of this attempt
	many     bool // more than one choice, so that the text cannot be continued
	restarts int
	begun    bool // the caller has the head
}

// pass takes a chunk in and returns what the caller gets; nil for nothing.
func (r *relay) pass(e event, wantUsage bool) ([]byte, error) {
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "chunk"), errTarget)
	}
	if e.id > 0 {
		r.event = e.id
	}
	if c.Usage != nil {
		r.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		if c.Usage == nil || !wantUsage {
			return nil, nil
		}
		return r.rename(e.data, c)
	}
	empty := true
	for _, ch := range c.Choices {
		if ch.Index > 0 {
			r.many = true
		}
		if ch.Delta.Content != "" {
			empty = false
			r.tokens++
			r.text = append(r.text, ch.Delta.Content...)
		}
		if ch.Finish != nil {
			empty = false
		}
	}
	if empty && r.restarts > 0 {
		return nil, nil
	}
	return r.rename(e.data, c)
}

// rename gives a chunk of a later attempt the id and usage of the whole.
func (r *relay) rename(data []byte, c chunk) ([]byte, error) {
	if r.id == "" {
		r.id = c.ID
	}
	if c.ID == r.id && (c.Usage == nil || r.restarts == 0) {
		return data, nil
	}
	var f map[string]json.RawMessage
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, errors.WithType(err, errTarget)
	}
	f["id"], _ = json.Marshal(r.id)
	if c.Usage != nil {
		f["usage"], _ = json.Marshal(r.total().full())
	}
	b, err := json.Marshal(f)
	return b, errors.Trace(err)
}

// restart makes ready for an attempt that goes on after the text so far.
func (r *relay) restart() {
	r.before += r.tokens
	r.tokens, r.event, r.usage = 0, 0, nil
	r.restarts++
}

// total is what the caller's answer came to: the engine's count where it gave
// one, else the chunks that arrived. A continued prompt holds text that was
// counted as generated before, which is not charged again.
func (r *relay) total() usage {
	if r.usage == nil {
		return usage{Completion: r.before + r.tokens}
	}
	u := *r.usage
	u.Prompt = max(0, u.Prompt-r.before)
	u.Completion += r.before
	return u
}

// full is the usage as callers read it.
func (u usage) full() map[string]bbunit.Tokens {
	return map[string]bbunit.Tokens{
		"prompt_tokens":     u.Prompt,
		"completion_tokens": u.Completion,
		"total_tokens":      u.Prompt + u.Completion,
	}
}
