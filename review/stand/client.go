package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	Status int // 0: no whole answer
	Events int // of a stream, that have come whole
	Whole  bool
	Err    string
	Kept   bool // it went over a channel that had been used before
	// RetryAfter is that of a refusal, 0 for none.
	RetryAfter time.Duration
}

// call sends one attempt on a new channel to an instance's frontend, as the platform's
// entry does, and reads the answer. It does not retry.
func call(address, host, path, key string, prompt, out int, deadline time.Duration) (id string, a answer) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return callOver(transport, address, host, path, key, prompt, out, deadline)
}

// callOver is call over the channels of a transport.
func callOver(transport *http.Transport, address, host, path, key string, prompt, out int, deadline time.Duration) (id string, a answer) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.Kept = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("survey of the day"))
	if err != nil {
		return id, answer{Err: err.Error()}
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", prompt, out))
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:%d", id[:8], prompt))
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Credential", key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err = err.Error()
		return id, a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		a.Whole, a.Err = true, strings.TrimSpace(string(text))
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
		return id, a
	}
	if resp.Header.Get("Attempt-Id") != id || resp.Header.Get("Server-Signature") == "" {
		return id, answer{Err: "a success without id or signature"}
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if line == "\n" {
			a.Events++
		}
		if err == io.EOF {
			a.Whole = true
			return id, a
		}
		if err != nil {
			a.Err = err.Error()
			return id, a
		}
	}
}
