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
)

// outcomeLost means that the connection broke or the time ran out before an
// answer came: the caller knows nothing.
const outcomeLost = "lost"

// LoadResult is how one request ended.
type LoadResult struct {
	ID       string   `json:"id"`
	Kind     LoadKind `json:"kind"`
	KeyIndex int      `json:"key"`
	Status   int      `json:"status"`
	Outcome  string   `json:"outcome"` // of RFC 9457 answers, "done" or "lost"
	Title    string   `json:"title,omitempty"`
	Attempts int      `json:"attempts"`
	// BrokenAttempts is how many attempts got a connection and no whole answer on it.
	BrokenAttempts int `json:"broken"`
	// Truncated tells that an answer began and did not end.
	Truncated bool `json:"cut,omitempty"`
	// Wrong tells that an answer is whole and not the right one.
	Wrong bool `json:"wrong,omitempty"`
	// Tokens is what the answer's usage says.
	Tokens int `json:"tokens"`
	// Start is when the request was due, in milliseconds since the epoch.
	Start int64 `json:"start"`
	// AttemptErrors is what each attempt was told: status, outcome and title.
	AttemptErrors []string `json:"told,omitempty"`
	// NotRunAt holds when the caller was told "not-run", in microseconds since
	// the epoch.
	NotRunAt []int64 `json:"notrun,omitempty"`
	// FirstByte and Total are times since the request was due, in nanoseconds.
	FirstByte  time.Duration `json:"first"`
	Total      time.Duration `json:"total"`
	text       string
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
	return c, nil
}

// sender sends requests to instances in turn.
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

// sendWithRetries sends the request, again to the next instance while that can help and
// retries are left, and returns how it ended.
func (s *sender) sendWithRetries(r *loadRequest, retries int, due time.Time) LoadResult {
	out := LoadResult{ID: r.id, Kind: r.kind, KeyIndex: r.keyIndex, Start: due.UnixMilli()}
	for out.Attempts = 1; ; out.Attempts++ {
		s.sendOnce(s.clients[(r.n+out.Attempts-1)%len(s.clients)], r, &out, due)
		if out.Outcome == outcomeLost && !errors.Is(out.err, errDial) {
			out.BrokenAttempts++
		}
		if out.Outcome != "done" {
			out.AttemptErrors = append(out.AttemptErrors, fmt.Sprintf("%d %s: %s", out.Status, out.Outcome, out.Title))
		}
		if out.Outcome == "not-run" {
			out.NotRunAt = append(out.NotRunAt, time.Now().UnixMicro())
		}
		if !out.shouldRetry() || out.Attempts > retries {
			break
		}
		time.Sleep(out.retryDelay)
	}
	out.Total = time.Since(due)
	return out
}

// shouldRetry tells whether sending the request once more can help.
func (l *LoadResult) shouldRetry() bool {
	return l.Outcome == outcomeLost || l.Truncated || l.retryDelay > 0
}

// sendOnce sends the request once and sets out by the answer.
func (s *sender) sendOnce(c *fasthttp.HostClient, r *loadRequest, out *LoadResult, due time.Time) {
	out.Status, out.Outcome, out.Title, out.Truncated, out.Wrong, out.Tokens, out.text, out.retryDelay, out.err = 0, outcomeLost, "", false, false, 0, "", 0, nil
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + c.Addr + r.path)
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	req.Header.Set(headerIdempotencyKey, r.id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(s.timeout.Milliseconds(), 10))
	if r.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.body)
	}
	if err := c.DoTimeout(req, resp, s.timeout); err != nil {
		out.err, out.Title, out.retryDelay = err, err.Error(), 100*time.Millisecond
		return
	}
	defer func() { _ = resp.CloseBodyStream() }()
	out.Status = resp.StatusCode()
	out.readResponse(r, resp, due)
}

func (l *LoadResult) readResponse(r *loadRequest, resp *fasthttp.Response, due time.Time) {
	body := &firstByteTimer{r: resp.BodyStream(), due: due}
	if resp.BodyStream() == nil {
		body.r = bytes.NewReader(resp.Body())
	}
	var err error
	switch {
	case l.Status != http.StatusOK:
		err = l.readProblem(body)
		if s, e := strconv.Atoi(string(resp.Header.Peek(headerRetryAfter))); e == nil {
			l.retryDelay = time.Duration(s) * time.Second
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

// firstByteTimer notes when the first byte came.
type firstByteTimer struct {
	r       io.Reader
	due     time.Time
	elapsed time.Duration
}

// Read reads on.
func (f *firstByteTimer) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if n > 0 && f.elapsed == 0 {
		f.elapsed = time.Since(f.due)
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
	var a chatResponse
	if err := json.Unmarshal(b, &a); err != nil {
		return err
	}
	if len(a.Choices) == 1 && a.Choices[0].Message != nil {
		l.text = a.Choices[0].Message.Content
	}
	if a.Usage != nil {
		l.Tokens = a.Usage.Total
	}
	return nil
}

// readStream reads server-sent events up to [DONE].
func (l *LoadResult) readStream(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var a chatResponse
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return err
		}
		for _, c := range a.Choices {
			if c.Delta != nil {
				l.text += c.Delta.Content
			}
		}
		if a.Usage != nil {
			l.Tokens = a.Usage.Total
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	return errors.New("stream ended early")
}

// readPlain tells also whether the answer is another request's.
func (l *LoadResult) readPlain(r *loadRequest, body io.Reader) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var a PlainAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return err
	}
	ran := a.WriteNumber
	a.WriteNumber = 0
	l.text, l.Wrong = string(b), a != r.wantPlain || (r.kind == LoadWrite) != (ran > 0)
	return nil
}
