package bbstand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbhead"
)

// outcomeLost means that no complete answer arrived, for example because the
// connection broke or the timeout expired, so that the caller does not know the
// outcome.
const outcomeLost = "lost"

// LoadResult is the result of one request. The outcome and the fields about the
// answer are those of the last attempt.
type LoadResult struct {
	ID       string   `json:"id"`
	Kind     LoadKind `json:"kind"`
	KeyIndex int      `json:"key"`
	Status   int      `json:"status"`
	Outcome  string   `json:"outcome"` // from an RFC 9457 answer ("none" if it has none), "done" or "lost"
	Title    string   `json:"title,omitempty"`
	Attempts int      `json:"attempts"`
	// BrokenAttempts is the number of attempts that were connected but got no
	// complete answer.
	BrokenAttempts int `json:"broken"`
	// Truncated means that an answer with status 200 began but did not end, or
	// cannot be decoded.
	Truncated bool `json:"cut,omitempty"`
	// Wrong means that the answer is complete but not the expected one.
	Wrong bool `json:"wrong,omitempty"`
	// Tokens is the total in the answer's usage.
	Tokens int `json:"tokens"`
	// Start is when the request was scheduled, in milliseconds since the epoch.
	Start int64 `json:"start"`
	// AttemptErrors has the status, outcome and title of each attempt that was
	// not done.
	AttemptErrors []string `json:"told,omitempty"`
	// NotRunAt has the times of the answers with outcome "not-run", in
	// microseconds since the epoch.
	NotRunAt []int64 `json:"notrun,omitempty"`
	// FirstByte and Total are durations since the request was scheduled, in
	// nanoseconds in the JSON.
	FirstByte time.Duration `json:"first"`
	Total     time.Duration `json:"total"`

	text string // of the answer
	// retryDelay is the wait before the next attempt. Above 0, a retry can help.
	retryDelay time.Duration
	err        error
}

const (
	errDial     = errors.ConstError("no connection")
	dialTimeout = 2 * time.Second
)

func dialInstance(addr string, _ time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errDial)
	}
	return &bbhead.Conn{Conn: c}, nil
}

// sender sends requests to the instances, round-robin.
type sender struct {
	timeout time.Duration
	clients []*fasthttp.HostClient
}

func newSender(instances []string, timeout time.Duration) (*sender, func()) {
	s := &sender{timeout: timeout}
	for _, a := range instances {
		s.clients = append(s.clients, &fasthttp.HostClient{
			Addr:                      a,
			DialTimeout:               dialInstance,
			MaxConns:                  1 << 16,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        true,
			MaxResponseBodySize:       1 << 30,
		})
	}
	return s, func() {
		for _, c := range s.clients {
			c.CloseIdleConnections()
		}
	}
}

// sendWithRetries sends the request and repeats it at the next instance while a
// retry can help and retries are left.
func (s *sender) sendWithRetries(r *loadRequest, retries int, scheduledAt time.Time) LoadResult {
	result := LoadResult{ID: r.id, Kind: r.kind, KeyIndex: r.keyIndex, Start: scheduledAt.UnixMilli()}
	for result.Attempts = 1; ; result.Attempts++ {
		s.sendOnce(s.clients[(r.n+result.Attempts-1)%len(s.clients)], r, &result, scheduledAt)
		if result.Outcome == outcomeLost && !errors.Is(result.err, errDial) {
			result.BrokenAttempts++
		}
		if result.Outcome != "done" {
			result.AttemptErrors = append(result.AttemptErrors, fmt.Sprintf("%d %s: %s", result.Status, result.Outcome, result.Title))
		}
		if result.Outcome == "not-run" {
			result.NotRunAt = append(result.NotRunAt, time.Now().UnixMicro())
		}
		if !result.shouldRetry() || result.Attempts > retries {
			break
		}
		time.Sleep(result.retryDelay)
	}
	result.Total = time.Since(scheduledAt)
	return result
}

// shouldRetry reports whether a retry can help.
func (l *LoadResult) shouldRetry() bool {
	return l.Outcome == outcomeLost || l.Truncated || l.retryDelay > 0
}

// sendOnce sends the request once and sets the result by the answer.
func (s *sender) sendOnce(client *fasthttp.HostClient, r *loadRequest, result *LoadResult, scheduledAt time.Time) {
	result.Status, result.Outcome, result.Title, result.Truncated, result.Wrong, result.Tokens, result.text, result.retryDelay, result.err = 0, outcomeLost, "", false, false, 0, "", 0, nil
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + client.Addr + r.path)
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	req.Header.Set(headerIdempotencyKey, r.id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(s.timeout.Milliseconds(), 10))
	if r.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.body)
	}
	if err := client.DoTimeout(req, resp, s.timeout); err != nil {
		result.err, result.Title, result.retryDelay = err, err.Error(), 100*time.Millisecond
		return
	}
	defer func() { _ = resp.CloseBodyStream() }()
	result.Status = resp.StatusCode()
	result.readResponse(r, resp, scheduledAt)
}

// readResponse reads the answer and compares it with the expected one.
func (l *LoadResult) readResponse(r *loadRequest, resp *fasthttp.Response, scheduledAt time.Time) {
	body := &firstByteTimer{r: resp.BodyStream(), scheduledAt: scheduledAt}
	if resp.BodyStream() == nil {
		body.r = bytes.NewReader(resp.Body())
	}
	var err error
	switch {
	case l.Status != http.StatusOK:
		err = l.readProblem(body)
		if seconds, parseErr := strconv.Atoi(string(resp.Header.Peek(headerRetryAfter))); parseErr == nil {
			l.retryDelay = time.Duration(seconds) * time.Second
		}
		if l.Outcome == "unknown" && l.retryDelay == 0 {
			l.retryDelay = time.Second
		}
	case r.kind == LoadStream:
		err = l.readStream(body)
	case r.kind == LoadWhole:
		err = l.readWhole(body)
	default:
		err = l.readPlain(r, body)
	}
	l.FirstByte = body.elapsed
	if err != nil {
		l.Truncated, l.Outcome, l.Title = l.Status == http.StatusOK, outcomeLost, err.Error()
		return
	}
	if l.Status == http.StatusOK {
		l.Outcome = "done"
		l.Wrong = l.Wrong || r.wantText != "" && l.text != r.wantText
	}
}

// firstByteTimer is a reader that measures the time to the first byte.
type firstByteTimer struct {
	r           io.Reader
	scheduledAt time.Time
	elapsed     time.Duration
}

// Read implements io.Reader.
func (f *firstByteTimer) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if n > 0 && f.elapsed == 0 {
		f.elapsed = time.Since(f.scheduledAt)
	}
	return n, err
}

type problemDocument struct {
	Title   string `json:"title"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

func (l *LoadResult) readProblem(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	p := problemDocument{Outcome: "none"}
	if json.Unmarshal(b, &p) != nil {
		p.Title = string(b)
	}
	l.Outcome, l.Title, l.text = p.Outcome, p.Title, string(b)
	return nil
}

func (l *LoadResult) readWhole(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var response chatResponse
	if err := json.Unmarshal(b, &response); err != nil {
		return err
	}
	if len(response.Choices) == 1 && response.Choices[0].Message != nil {
		l.text = response.Choices[0].Message.Content
	}
	if response.Usage != nil {
		l.Tokens = response.Usage.Total
	}
	return nil
}

// readStream reads server-sent events up to [DONE]. A stream without it is an
// error.
func (l *LoadResult) readStream(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk chatResponse
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		for _, c := range chunk.Choices {
			if c.Delta != nil {
				l.text += c.Delta.Content
			}
		}
		if chunk.Usage != nil {
			l.Tokens = chunk.Usage.Total
		}
	}
	if scanner.Err() != nil {
		return scanner.Err()
	}
	return errors.New("stream ended without [DONE]")
}

// readPlain reads the answer of a plain service. It sets Wrong if the answer is
// that of another request, or has a write number although the request is a
// read, or none although it is a write.
func (l *LoadResult) readPlain(r *loadRequest, body io.Reader) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var response PlainResponse
	if err := json.Unmarshal(b, &response); err != nil {
		return err
	}
	writeNumber := response.WriteNumber
	response.WriteNumber = 0
	l.text, l.Wrong = string(b), response != r.wantPlain || (r.kind == LoadWrite) != (writeNumber > 0)
	return nil
}
