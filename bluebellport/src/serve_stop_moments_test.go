package bbport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// momentDrain and momentLinger are the drain time and the linger time of the play.
	momentDrain  = 8 * time.Second
	momentLinger = 3 * time.Second
	// momentStep is the time between two requests, momentLead how long before the stop
	// the first is sent.
	momentStep = 50 * time.Millisecond
	momentLead = 300 * time.Millisecond
	// momentKept is how long before its request a connection is opened that is not new.
	momentKept = 500 * time.Millisecond
	// momentCrossing is how long a request may cross the close of its connection.
	momentCrossing = 200 * time.Millisecond
)

// momentKind is a kind of request that is sent at moments of a stop.
type momentKind struct {
	name, method   string
	work, silence  time.Duration // of the target; the silence is in the middle of its answer
	limit, pause   time.Duration // pause: in the middle of the body
	stream, inHead bool          // the silence is in the head
	isNew, isTwice bool          // on a new connection; two at once
}

func momentKinds() []momentKind {
	const ms = time.Millisecond
	return []momentKind{
		{name: "POST", method: "POST", work: 50 * ms, limit: 1000 * ms, isNew: true},
		{name: "POST, 1 s", method: "POST", work: 1000 * ms, limit: 9000 * ms},
		{name: "GET, silent in the head", method: "GET", work: 50 * ms, silence: 800 * ms, limit: 2000 * ms, inHead: true},
		{name: "stream, silent", method: "POST", work: 500 * ms, silence: 1200 * ms, limit: 3000 * ms, stream: true},
		{name: "POST, slow body", method: "POST", work: 200 * ms, limit: 2000 * ms, pause: 700 * ms},
		{name: "POST, silent in the body", method: "POST", work: 100 * ms, silence: 2000 * ms, limit: 9000 * ms},
		{name: "two POSTs", method: "POST", work: 200 * ms, limit: 2000 * ms, isTwice: true},
		{name: "stream, 3 s", method: "POST", work: 3000 * ms, limit: 9000 * ms, stream: true, isNew: true},
		{name: "POST, 5 s", method: "POST", work: 5000 * ms, limit: 9000 * ms, isNew: true},
		{name: "GET, 20 ms", method: "GET", work: 20 * ms, limit: 9000 * ms},
		{name: "POST, silent in the head", method: "POST", work: 50 * ms, silence: 2000 * ms, limit: 3000 * ms, inHead: true},
	}
}

// momentRequest is one request and what its caller was told.
type momentRequest struct {
	*momentKind
	id              string
	sentAt, endedAt time.Time
	status          int
	text            string
	err             error
	closed          bool
}

func (q *momentRequest) encode() string {
	path, body := fmt.Sprintf("/services/desk/%s/%s/%s/%t", q.id, q.work, q.silence, q.inHead), "body"
	if q.stream {
		path, body = "/v1/chat/completions", fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":"/%s/%s/%s/false"}]}`, q.id, q.work, q.silence)
	}
	if q.method == http.MethodGet {
		body = ""
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.method, path, testKey, q.limit.Milliseconds(), len(body), body)
}

// sendAll sends requests at once over a connection and reads their answers.
func sendAll(conn net.Conn, all []*momentRequest) {
	text, now := "", time.Now()
	for _, q := range all {
		text += q.encode()
		q.sentAt = now
	}
	_ = conn.SetDeadline(now.Add(12 * time.Second))
	half := len(text)
	if all[0].pause > 0 {
		half -= 2
	}
	_, err := io.WriteString(conn, text[:half])
	time.Sleep(all[0].pause)
	if err == nil {
		_, err = io.WriteString(conn, text[half:])
	}
	br := bufio.NewReader(conn)
	for _, q := range all {
		if q.err = err; err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(br, nil); err == nil {
				var body []byte
				body, err = io.ReadAll(resp.Body)
				q.status, q.text, q.closed = resp.StatusCode, string(body), resp.Close
			}
			q.err = err
		}
		q.endedAt = time.Now()
	}
}

// momentTarget answers as a request says, and keeps which have run.
type momentTarget struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (m *momentTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	line, stream := r.URL.Path, false
	if _, content, ok := strings.Cut(string(body), `"content":"`); ok {
		line, _, stream = strings.Cut(content, `"`)
	}
	fields := strings.Split(line, "/")
	if len(fields) < 5 {
		_, _ = io.WriteString(w, `{"state":"running","usage":{"completion_tokens":0}}`)
		return
	}
	work, _ := time.ParseDuration(fields[2])
	silence, _ := time.ParseDuration(fields[3])
	m.mu.Lock()
	m.ran[fields[1]] = true
	m.mu.Unlock()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(work / 2)
	head, text := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n", "whole"
	if stream {
		head, text = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: {\"id\":\""+r.Header.Get("X-Request-Id")+"\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t \"}}]}\n\n"
		text += strings.Replace(strings.Replace(text, "id: 1", "id: 2", 1), `"delta":{"content":"t "}`, `"delta":{},"finish_reason":"stop"`, 1) + "id: 3\ndata: [DONE]\n\n"
	}
	cut := len(head) + 3
	if fields[4] == "true" {
		cut = len(head) / 2
	}
	all := head + text
	_, _ = io.WriteString(conn, all[:cut])
	time.Sleep(work/2 + silence)
	_, _ = io.WriteString(conn, all[cut:])
}

// fault returns what is wrong with how a request ended, empty if nothing is. intake is
// until when requests may be taken that the end of the stop cuts.
func (q *momentRequest) fault(ran bool, before *momentRequest, begin, intake, accept, end time.Time) (outcome, fault string) {
	whole := q.err == nil && q.status == http.StatusOK && (q.text == "whole" || strings.Contains(q.text, "[DONE]"))
	notRun := strings.Contains(q.text, `"outcome":"not-run"`)
	switch {
	case whole:
		return "served", ""
	case notRun && ran:
		return "told not run and ran", "a false refusal"
	case notRun:
		return "refused", ""
	case q.endedAt.Sub(q.sentAt) >= q.pause+q.limit-momentCrossing:
		return "time up", ""
	case ran && q.sentAt.Before(intake) && !q.endedAt.Before(end):
		return "cut at the end", ""
	case ran:
		return "cut", "cut " + q.endedAt.Sub(begin).String() + " after the order"
	case q.status == 0 && before != nil && before.closed:
		return "not taken", ""
	case q.status == 0 && q.sentAt.Before(accept.Add(-momentCrossing)):
		return "not taken", "not taken"
	case q.status == 0 && q.endedAt.Sub(q.sentAt) > q.pause+momentCrossing && q.err != nil && q.pause == 0:
		return "dropped", "dropped"
	case q.status == 0:
		return "not taken", ""
	}
	return "other", "another end"
}

// TestServeAnswersRequestsOfEachMomentOfAStop guards against requests that are dropped,
// cut or falsely refused at one moment of a stop of `serve`.
func TestServeAnswersRequestsOfEachMomentOfAStop(t *testing.T) {
	target := &momentTarget{ran: map[string]bool{}}
	f := newTestFrontend(t, target.ServeHTTP)
	f.runner.engineClient.silenceTimeout, f.runner.plainClient.silenceTimeout = 5*time.Second, 5*time.Second
	f.opts.DefaultDeadline = 10 * time.Second
	var all, befores []*momentRequest
	kinds, begin := momentKinds(), time.Now().Add(time.Second)
	var wg sync.WaitGroup
	for i, at := 0, -momentLead; at < momentDrain; i, at = i+1, at+momentStep {
		k := &kinds[i%len(kinds)]
		calls := []*momentRequest{{momentKind: k, id: fmt.Sprint("q", i)}}
		befores = append(befores, nil)
		if k.isTwice {
			calls, befores = append(calls, &momentRequest{momentKind: k, id: fmt.Sprint("q", i, "b")}), append(befores, calls[0])
		}
		all = append(all, calls...)
		wg.Go(func() {
			if k.isNew {
				time.Sleep(time.Until(begin.Add(at)))
			} else {
				time.Sleep(time.Until(begin.Add(at - momentKept)))
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				for _, q := range calls {
					q.sentAt, q.endedAt, q.err = time.Now(), time.Now(), err
				}
				return
			}
			time.Sleep(time.Until(begin.Add(at)))
			sendAll(conn, calls)
			_ = conn.Close()
		})
	}
	time.Sleep(time.Until(begin))
	left := stopServing(t, f, momentDrain, momentLinger)
	<-left
	wg.Wait()
	times := f.deps.Board.Stop.stop.Times()
	counts := map[string]map[string]int{}
	for i, q := range all {
		target.mu.Lock()
		ran := target.ran[q.id]
		target.mu.Unlock()
		outcome, fault := q.fault(ran, befores[i], begin, times.UncertainUntil, times.AcceptUntil, times.End)
		if counts[q.name] == nil {
			counts[q.name] = map[string]int{}
		}
		counts[q.name][outcome]++
		if fault != "" {
			t.Errorf("%s: %s, sent %s after the order, ended after %s: %d %q %v", q.name, fault, q.sentAt.Sub(begin), q.endedAt.Sub(q.sentAt), q.status, q.text, q.err)
		}
	}
	t.Log(counts)
}
