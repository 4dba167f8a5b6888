package bbport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
)

// answerRaw returns a target that reads a request and answers with a text, and how many
// requests it got.
func answerRaw(text string) (http.HandlerFunc, *atomic.Int64) {
	got := &atomic.Int64{}
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if strings.HasPrefix(r.URL.Path, "/v1/requests/") { // the target has not crashed
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"+`{"state":"done"}`)
			return
		}
		got.Add(1)
		_, _ = io.WriteString(conn, text)
	}, got
}

// brokenCalls are a request of each kind, the type and the body of an answer to it, and the
// outcome that the caller is told if no answer comes; only the second may not be repeated.
var brokenCalls = []struct{ name, method, path, body, contentType, text, outcome string }{
	{"get", "GET", "/services/desk/x", "", "text/plain", "text of the target", "failed"},
	{"post", "POST", "/services/desk/x", "body", "text/plain", "text of the target", "unknown"},
	{"chat", "POST", "/v1/chat/completions", plainChat, "application/json", cutChat, "failed"},
	{"stream", "POST", "/v1/chat/completions", streamedChat, "text/event-stream", fmt.Sprintf(cutStream, "text"), "failed"},
}

// headForms are heads with a place for a status, one for further fields, and one for what
// frames the body; the last line of each is empty.
var headForms = map[string]string{
	"length":           "HTTP/1.1 %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"length first":     "HTTP/1.1 %[1]s OK\r\nContent-Length: %[4]d\r\n%[3]sContent-Type: %[2]s\r\n\r\n",
	"no length":        "HTTP/1.1 %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]s\r\n",
	"no reason":        "HTTP/1.1 %[1]s\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"behind a 103":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"older version":    "HTTP/1.0 %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"bare line feeds":  "HTTP/1.1 %[1]s OK\nContent-Type: %[2]s\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"empty line first": "\r\nHTTP/1.1 %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
	"two blanks":       "HTTP/1.1  %[1]s OK\r\nContent-Type: %[2]s\r\n%[3]sContent-Length: %[4]d\r\n\r\n",
}

// requireNoAnswer sends a request of each kind to a target that answers it with a head, and
// fails the test if any of the answer reaches the caller.
func requireNoAnswer(t *testing.T, form, status, field string) {
	for _, call := range brokenCalls {
		handler, got := answerRaw(fmt.Sprintf(form, status, call.contentType, field, len(call.text)) + call.text)
		f := newTestFrontend(t, handler)
		resp, body := f.do(t, call.method, call.path, call.body)
		if resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, `"outcome":"`+call.outcome) || resp.Header.Get("Link")+resp.Header.Get("Broken") != "" {
			t.Errorf("%s: status %d, %.200q, %v", call.name, resp.StatusCode, body, resp.Header)
		}
		if call.name == "post" && got.Load() != 1 {
			t.Errorf("%s: sent %d times", call.name, got.Load())
		}
	}
}

// TestStatusOutOfRangeIsNoAnswer guards against an answer whose status is none of HTTP and
// that reaches a caller, as that status or as a success.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for name, form := range headForms {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				requireNoAnswer(t, form, status, "")
			})
		}
	}
	t.Run("000, no field", func(t *testing.T) {
		t.Parallel()
		requireNoAnswer(t, "HTTP/1.1 %[1]s OK\n\r\n", "000", "")
	})
}

// TestSoundHeadIsPassedOn guards against a sound answer that is taken for broken.
func TestSoundHeadIsPassedOn(t *testing.T) {
	for _, status := range []int{200, 299, 404, 599} {
		for name, form := range headForms {
			t.Run(fmt.Sprint(status, ", ", name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				call := brokenCalls[1]
				handler, _ := answerRaw(fmt.Sprintf(form, fmt.Sprint(status), call.contentType, "A!#$%&'*+-.^_`|~9: b\r\n", len(call.text)) + call.text)
				f := newTestFrontend(t, handler)
				resp, body := f.do(t, call.method, call.path, call.body)
				is.Equal(resp.StatusCode, status)
				is.Equal(body, call.text)
			})
		}
	}
}

// startRawServer starts a server that answers each request with a text, and returns its address.
func startRawServer(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	handler, _ := answerRaw(text)
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String()
}

// requireNoReport asks a target for its load, gives it an order and reads the list of
// instances, all of which it answers with a head, and fails the test if any is believed.
func requireNoReport(t *testing.T, head string) {
	t.Helper()
	const text = `{"running":1,"waiting":0,"slots":4}`
	target := bbticket.Target{ID: "a", Address: startRawServer(t, fmt.Sprintf(head, len(text))+text)}
	load, err := newHTTPLoadFetcher(time.Now).Load(t.Context(), target)
	if err == nil {
		t.Errorf("a load was believed: %v", load)
	}
	if err := newHTTPOrderSender().Send(target, bbroute.Intent{Fence: 1}, time.Now().Add(time.Second)); err == nil {
		t.Error("an order counts as acknowledged")
	}
	if list, err := fetchList(newListClient(), startRawServer(t, fmt.Sprintf(head, 2)+"[]")); err == nil {
		t.Errorf("a list of instances was believed: %v", list)
	}
}

// TestStatusOutOfRangeIsNoReport guards against a load report, an acknowledgement of an order
// or a list of instances that is believed with a status that is none of HTTP.
func TestStatusOutOfRangeIsNoReport(t *testing.T) {
	for _, status := range []string{"000", "001", "600"} {
		requireNoReport(t, "HTTP/1.1 "+status+" OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n")
	}
}

// brokenFields are lines of a head that are no fields, each with a name that holds what no name may.
var brokenFields = map[string]string{
	"blank inside":             "Bro ken: a\r\n",
	"blank before the colon":   "Broken : a\r\n",
	"tab before the colon":     "Broken\t: a\r\n",
	"tab inside":               "Bro\tken: a\r\n",
	"control byte":             "Bro\x01ken: a\r\n",
	"NUL":                      "Bro\x00ken: a\r\n",
	"DEL":                      "Bro\x7fken: a\r\n",
	"carriage return":          "Bro\rken: a\r\n",
	"byte over 0x7f":           "Bro\xffken: a\r\n",
	"folded line":              "Broken: a\r\n b\r\n",
	"folded line with a colon": "Broken: a\r\n Link: b\r\n",
	"empty name":               ": a\r\n",
	"no colon":                 "Broken\r\n",
	"length":                   "Content-Length : 4\r\n",
	"chunks":                   "Transfer-Encoding : chunked\r\n",
	"blank line of blanks":     " \r\nBroken: a\r\n",
}

// TestBrokenFieldIsNoAnswer guards against an answer that reaches a caller with a line in its head
// that is no field, or with a body that the line frames.
func TestBrokenFieldIsNoAnswer(t *testing.T) {
	for field, line := range brokenFields {
		for name, form := range headForms {
			t.Run(field+", "+name, func(t *testing.T) {
				t.Parallel()
				requireNoAnswer(t, form, "200", line)
			})
		}
		t.Run(field+", in a 103", func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n%[3]sLink: </a>\r\n\r\nHTTP/1.1 %[1]s OK\r\nContent-Type: %[2]s\r\nContent-Length: %[4]d\r\n\r\n", "200", line)
		})
	}
}

// TestBrokenTrailerIsNotPassedOn guards against a line that is no field in a trailer and that
// reaches a caller, or that changes the body.
func TestBrokenTrailerIsNotPassedOn(t *testing.T) {
	call := brokenCalls[1]
	for field, line := range brokenFields {
		handler, _ := answerRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", call.contentType, len(call.text), call.text, line))
		resp, body := newTestFrontend(t, handler).do(t, call.method, call.path, call.body)
		isWhole := resp.StatusCode == http.StatusOK && body == call.text
		if !isWhole && resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Broken")+resp.Header.Get("Bro ken")+resp.Header.Get("Link") != "" || len(resp.Trailer) > 0 {
			t.Errorf("%s: status %d, %q, %v", field, resp.StatusCode, body, resp.Header)
		}
	}
}

// TestBrokenFieldIsNoReport guards against a load report, an acknowledgement of an order or a list
// of instances that is believed with such a line in its head.
func TestBrokenFieldIsNoReport(t *testing.T) {
	for _, line := range brokenFields {
		requireNoReport(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+line+"Content-Length: %d\r\n\r\n")
	}
}

// answerEarly returns a target that answers before it has read a request, without a length, and
// ends its side; then it does what its test wants.
func answerEarly(text, contentType string, then func(c *net.TCPConn, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if strings.HasPrefix(r.URL.Path, "/v1/requests/") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n"+`{"state":"running"}`)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", contentType, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		then(conn.(*net.TCPConn), r)
	}
}

// TestEarlyAnswerThatBreaksOffIsNotWhole guards against a part of an answer that reaches a caller
// as the whole one, as its connection is reset while the request is still on its way, and against
// a sound answer that does not reach it.
func TestEarlyAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	const upload = 900_000
	for _, call := range brokenCalls[1:3] {
		body := strings.Replace(call.body, "hi", strings.Repeat("h", upload), 1)
		if call.name == "post" {
			body = strings.Repeat("u", upload)
		}
		is := is.New(t)
		f := newTestFrontend(t, answerEarly(call.text, call.contentType, func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }))
		f.budgets.available = 1 << 40
		resp, got := f.do(t, call.method, call.path, body)
		is.Equal(resp.StatusCode, http.StatusBadGateway) // broke off
		is.True(strings.Contains(got, `"outcome":"`+call.outcome))
		f = newTestFrontend(t, answerEarly(call.text, call.contentType, func(c *net.TCPConn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }))
		f.budgets.available = 1 << 40
		resp, got = f.do(t, call.method, call.path, body)
		is.Equal(resp.StatusCode, http.StatusOK) // read the request to its end
		is.Equal(got, call.text)
	}
}
