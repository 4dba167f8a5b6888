package bbport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveLate answers each request on ln, and the one before on the same connection
// a second time, with a status and the id of that one.
func serveLate(ln net.Listener, status string) {
	answer := func(c net.Conn, status, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(id), id)
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for before := ""; ; {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if before != "" {
					answer(c, status, before)
				}
				before = r.Header.Get("X-Request-Id")
				answer(c, "200 OK", before)
			}
		}()
	}
}

// TestLateAnswerIsNotTakenForTheNextOnAPooledConnection guards against an answer
// to another caller, or a refusal of another request, on a connection to a target.
func TestLateAnswerIsNotTakenForTheNextOnAPooledConnection(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go serveLate(ln, status)
			var conns targetConns
			own, foreign := 0, 0
			for i := range 10 {
				id := fmt.Sprint("request-", i)
				req := fasthttp.AcquireRequest()
				req.SetRequestURI("http://" + ln.Addr().String() + "/")
				req.Header.Set("X-Request-Id", id)
				resp, release, sent, err := conns.send(t.Context(), ln.Addr().String(), false, req, time.Now().Add(time.Second))
				is.True(sent) // it may have run
				if err != nil {
					continue
				}
				body, freeBody, err := conns.readBody(resp)
				is.NoErr(err)
				freeBody()
				release()
				if string(body) == id {
					own++
				} else {
					foreign++
				}
			}
			is.Equal(foreign, 0)
			is.True(own >= 4) // the next request gets a connection that is in step
		})
	}
}

// TestTargetMayNameItsAnswers guards against answers that are refused because
// their target gives them ids of its own.
func TestTargetMayNameItsAnswers(t *testing.T) {
	is := is.New(t)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	var conns targetConns
	conns.sent.add("a")
	conns.sent.add("b")
	req.Header.Set("X-Request-Id", "b")
	for id, foreign := range map[string]bool{"": false, "b": false, "target-1": false, "a": true} {
		resp.Header.Set("X-Request-Id", id)
		is.Equal(conns.isForeign(req, resp), foreign) // id of the answer
	}
}

// TestSentIDsAreBounded guards against memory that grows with the requests.
func TestSentIDsAreBounded(t *testing.T) {
	is := is.New(t)
	var s sentIDs
	for i := range 3 * maxSentIDs {
		s.add(fmt.Sprint(i))
	}
	is.Equal(len(s.known), maxSentIDs)
	is.True(s.has(fmt.Sprint(3*maxSentIDs - 1)))
	is.True(!s.has(fmt.Sprint(2*maxSentIDs - 1)))
}
