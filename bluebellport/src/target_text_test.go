package bbport

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbhead"
)

// TestTargetsTextIsNotQuoted guards against a refusal that quotes to a caller what a target sent.
func TestTargetsTextIsNotQuoted(t *testing.T) {
	const text = "secret"
	framed := "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
	for name, answer := range map[string]string{
		"no status line":  text + "\r\n\r\n",
		"status":          "HTTP/1.1 " + text + " OK\r\nContent-Length: 6\r\n\r\n" + text,
		"field":           "HTTP/1.1 200 OK\r\n" + text + "\r\nContent-Length: 6\r\n\r\n" + text,
		"value":           "HTTP/1.1 200 OK\r\nA: " + text + "\x01\r\nContent-Length: 6\r\n\r\n" + text,
		"two lengths":     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 7\r\n\r\n" + text,
		"coding":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + text + "\r\n\r\n" + text,
		"chunk size":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text + "\r\n",
		"trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + text + "\r\n\r\n",
		"type":            fmt.Sprintf(framed, "text/"+text, 6, text),
		"no JSON":         fmt.Sprintf(framed, "application/json", 6, text),
		"no JSON, events": fmt.Sprintf(framed, "text/event-stream", 14, "data: "+text+"\n\n"),
		"too short":       fmt.Sprintf(framed, "text/plain", 900, text),
	} {
		for _, call := range brokenCalls {
			handler, _ := answerRaw(answer)
			resp, body := newTestFrontend(t, handler).do(t, call.method, call.path, call.body)
			if resp.StatusCode != http.StatusOK && strings.Contains(fmt.Sprint(body, resp.Header), "secr") {
				t.Errorf("%s, %s: status %d: %s", name, call.name, resp.StatusCode, body)
			}
		}
	}
}

// TestBrokenAnswerIsLogged guards against an answer that is refused for its head without a word
// of why, as the HTTP library drops that.
func TestBrokenAnswerIsLogged(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nBro ken: a\r\n\r\n"} {
		is := is.New(t)
		address := startRawServer(t, head)
		var logged bytes.Buffer
		log := logrus.New()
		log.SetOutput(&logged)
		log.SetFormatter(&logrus.JSONFormatter{})
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + address + "/")
		_, _, _, err := (&targetConns{log: log}).send(t.Context(), address, true, req, time.Now().Add(time.Second))
		is.True(err != nil)
		is.True(strings.Contains(logged.String(), bbhead.ErrMalformed.Error()))
		is.True(strings.Contains(logged.String(), address))
	}
}
