package bbport

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// cutAll plays each ending after each byte; without it each byte gets some of them.
var cutAll = flag.Bool("cut-all", false, "cut answers at each byte with each ending")

// cutTarget answers one request with bytes that its test sets, and all others well.
type cutTarget struct {
	mu    sync.Mutex // guards the fields below
	cut   string     // empty for none; $id stands for the id of the request
	reset bool       // after the cut, instead of closing
	every bool       // request gets the cut, not only the next one
	good  string
	kept  int // cuts on connections that had carried a request
}

// ServeHTTP takes over the connection of a request, and answers all that come over it.
func (c *cutTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for carried := 0; c.answer(conn, buf.Reader, r, carried); carried++ {
		if r, err = http.ReadRequest(buf.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// answer answers one request and reports whether the connection stays open.
func (c *cutTarget) answer(conn net.Conn, _ *bufio.Reader, r *http.Request, carried int) bool {
	switch {
	case strings.HasSuffix(r.URL.Path, "/stream"): // it can't be resumed
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return !r.Close
	case strings.HasPrefix(r.URL.Path, "/v1/requests/"): // the target has not crashed
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"+`{"state":"done"}`)
		return !r.Close
	}
	c.mu.Lock()
	text, cut, reset := c.good, c.cut, c.reset
	if cut != "" {
		c.kept += min(carried, 1)
	}
	if !c.every {
		c.cut = ""
	}
	c.mu.Unlock()
	if cut != "" {
		text = strings.TrimPrefix(cut, cutMark)
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "$id", r.Header.Get("X-Request-Id")))
	if cut != "" && reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return cut == "" && !r.Close
}

// cutMark stands before a text that is cut, so that a cut before the first byte is one.
const cutMark = "\x00"

// cutRow is an answer that is cut at each byte.
type cutRow struct {
	name, method, path, request string
	head, body                  string // as sent
	text                        string // of which the answer consists for the caller
	refused                     bool   // the target has not run the request
}

const (
	cutOK     = "HTTP/1.1 200 OK\r\n"
	cutID     = "X-Request-Id: $id\r\n"
	cutJSON   = "Content-Type: application/json\r\n"
	cutBody   = "the answer is whole"
	cutChat   = `{"choices":[{"message":{"content":"abc"}}],"usage":{"prompt_tokens":3,"completion_tokens":3}}`
	cutStream = `data: {"id":"x","choices":[{"index":0,"delta":{"content":"%s"}}]}` + "\n\n" +
		`data: {"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
)

// cutEvents is a stream of which each content has an event of its own.
var cutEvents = strings.Replace(cutStream, "%s", "a", 1)[:strings.Index(cutStream, "\n\n")+1] + "\n" + fmt.Sprintf(cutStream, "b")

var cutRows = []cutRow{
	{name: "get", method: "GET", path: "/services/desk/x", head: cutOK + cutID + "Content-Type: text/plain\r\nContent-Length: 19\r\n\r\n", body: cutBody, text: cutBody},
	{name: "post", method: "POST", path: "/services/desk/x", head: cutOK + "Content-Length: 19\r\n" + cutID + "Server: desk\r\n\r\n", body: cutBody, text: cutBody},
	{name: "chunks", method: "GET", path: "/services/desk/x", head: cutOK + cutID + "Transfer-Encoding: chunked\r\n\r\n", body: "a\r\nthe answer\r\n9\r\n is whole\r\n0\r\n\r\n", text: cutBody},
	{name: "behind a 103", method: "POST", path: "/services/desk/x", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + cutOK + "Content-Length: 19\r\n\r\n", body: cutBody, text: cutBody},
	{name: "refusal", method: "POST", path: "/services/desk/x", head: "HTTP/1.1 503 Busy\r\nServer: desk\r\n" + cutID + "Content-Length: 4\r\n\r\n", body: "full", refused: true},
	{name: "chat", method: "POST", path: "/v1/chat/completions", request: plainChat, head: cutOK + cutID + cutJSON + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(cutChat)), body: cutChat, text: cutChat},
	{name: "stream", method: "POST", path: "/v1/chat/completions", request: streamedChat, head: cutOK + cutID + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(cutEvents), cutEvents), text: "ab"},
	{name: "stream with a length", method: "POST", path: "/v1/chat/completions", request: streamedChat, head: cutOK + fmt.Sprintf("Content-Length: %d\r\n", len(cutEvents)) + "Content-Type: text/event-stream\r\n\r\n", body: cutEvents, text: "ab"},
}

// cutEndings are what comes after the bytes of an answer that is cut: the end of the
// connection, or another answer on it.
var cutEndings = []string{
	"", "reset",
	cutOK + cutJSON + "Content-Length: 2\r\n\r\n{}",
	cutOK + "Content-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Busy\r\n" + cutID + "Content-Length: 4\r\n\r\nfull",
	"HTTP/1.1 500 Fail\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n",
}

// TestTargetsAnswerCutAtAnyByteIsNotWhole guards against an answer that breaks off at any byte,
// or goes on as another one, and that reaches the caller as a whole one or as a false "not run".
func TestTargetsAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for i := range cutRows {
		t.Run(cutRows[i].name, func(t *testing.T) {
			t.Parallel()
			cutRows[i].play(t, i)
		})
	}
}

// good returns an answer of the row's kind that is told apart from the one that is cut.
func (row *cutRow) good() string {
	contentType, body := "text/plain", "good"
	switch row.request {
	case plainChat:
		contentType, body = "application/json", strings.Replace(cutChat, "abc", "good", 1)
	case streamedChat:
		contentType, body = "text/event-stream", fmt.Sprintf(cutStream, "z")
	}
	return fmt.Sprintf("%s%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", cutOK, cutID, contentType, len(body), body)
}

// play cuts the answer at each byte. The seed chooses the endings.
func (row *cutRow) play(t *testing.T, seed int) {
	target := &cutTarget{good: row.good()}
	f := newTestFrontend(t, target.ServeHTTP)
	text := row.head + row.body
	for cut := range len(text) + 1 {
		for end, ending := range cutEndings {
			if end > 1 && cut <= strings.LastIndex(row.head, "HTTP/1.1") || end > 0 && !*cutAll && (cut+end+seed)%3 != 0 {
				continue // nothing of its answer stands before another one, or it is not this one's turn
			}
			row.askUntilGood(t, f, cut) // over a connection that is kept
			target.mu.Lock()
			target.cut, target.reset = cutMark+text[:cut]+strings.TrimPrefix(ending, "reset"), ending == "reset"
			target.mu.Unlock()
			status, body, err := row.ask(f, cut)
			target.mu.Lock()
			reached := target.cut == ""
			target.mu.Unlock()
			if fault := row.fault(status, body, err, cut); reached && fault != "" {
				t.Errorf("%q after %q: %s: %d %q", ending, text[max(cut-20, 0):cut], fault, status, body)
			}
		}
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	t.Logf("%d cuts on kept connections", target.kept)
}

// askUntilGood asks until the target answers well.
func (row *cutRow) askUntilGood(t *testing.T, f *testFrontend, cut int) {
	t.Helper()
	for range 500 {
		if status, _, err := row.ask(f, cut); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the target is not used any more")
}

// ask sends the request of the row, which is another one for each cut.
func (row *cutRow) ask(f *testFrontend, cut int) (status int, body string, err error) {
	path, text := row.path, strings.Replace(row.request, "hi", fmt.Sprint("hi", cut), 1)
	if row.request == "" {
		path += fmt.Sprint(cut)
	}
	r, err := http.NewRequest(row.method, f.url+path, strings.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// fault returns what is wrong with what a caller got of an answer that was cut, empty if
// nothing is.
func (row *cutRow) fault(status int, body string, err error, cut int) string {
	if err != nil {
		return ""
	}
	whole := cut == len(row.head)+len(row.body)
	switch {
	case strings.Contains(body, `"outcome":"not-run"`) && !row.refused && cut > strings.LastIndex(row.head, "HTTP/1.1"):
		return "told not run"
	case status != http.StatusOK:
		return ""
	case row.request == streamedChat && !strings.Contains(body, "data: [DONE]"):
		return ""
	case row.request == streamedChat:
		content := contentOf(body)
		isDone := content == "ab" && cut >= len(row.head)+strings.Index(row.body, "[DONE]\n\n")+len("[DONE]\n\n")
		if isDone || content == "z" || content == "az" || content == "abz" {
			return ""
		}
		return "ended too early"
	case body != row.text && !strings.Contains(body, "good"), body == row.text && !whole:
		return "not the whole answer"
	}
	return ""
}

// contentOf returns the contents of a stream's events.
func contentOf(body string) string {
	var content strings.Builder
	for _, part := range strings.Split(body, `"content":"`)[1:] {
		content.WriteString(part[:strings.IndexByte(part, '"')])
	}
	return content.String()
}
