package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// plan of one request.
type spec struct {
	kind, host, prefix, method string
	deadline                   int
	tokensIn, tokensOut        int64
	bodyBytes                  int
	key, tenant                string
	engine                     bool
}

var hexDigits = "0123456789abcdef"

func newID() string {
	b := make([]byte, 16)
	for i := range b {
		b[i] = hexDigits[rnd(16)]
	}
	return string(b)
}

// conn is a client's channel.
type conn struct {
	c    net.Conn
	br   *bufio.Reader
	inst *instance
	used int
}

func dialFront(i *instance) (*conn, error) {
	c, err := net.DialTimeout("tcp4", i.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c: c, br: bufio.NewReaderSize(c, 16<<10), inst: i}, nil
}

type outcome struct {
	status   int
	err      error
	close    bool
	retryIn  time.Duration
	lastID   int
	complete bool
	cancel   bool
}

// send sends one request over a channel and reads its answer. cancelAfter > 0 closes the
// channel after that time.
func (w *world) send(cn *conn, sp *spec, path string, last int, cancelAfter time.Duration) (q *request, out outcome) {
	body := make([]byte, sp.bodyBytes)
	for i := range body {
		body[i] = byte('a' + (i*7+len(path))%26)
	}
	sum := sha256.Sum256(body)
	q = &request{attempt: newID(), path: path, method: sp.method, bodyHash: hex.EncodeToString(sum[:6]), tenant: sp.tenant, kind: sp.kind, at: time.Now(), inst: cn.inst, own: newID(), tokensIn: sp.tokensIn}
	var h strings.Builder
	fmt.Fprintf(&h, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Own: %s\r\n", sp.method, path, sp.host, q.attempt, sp.deadline, q.own)
	if sp.key != "" {
		fmt.Fprintf(&h, "Credential: %s\r\n", sp.key)
	}
	if sp.engine {
		q.model, q.usage = "m", fmt.Sprintf("%d,%d", sp.tokensIn, sp.tokensOut)
		q.prefix = fmt.Sprintf("%x:%d,%s:%d", 0xab00+rnd(24), sp.tokensIn/2, newID()[:8], sp.tokensIn-sp.tokensIn/2)
		fmt.Fprintf(&h, "Model: m\r\nToken-Usage: %s\r\nPrompt-Prefix: %s\r\n", q.usage, q.prefix)
		if rnd(5) == 0 {
			h.WriteString("Request-Priority: 0\r\nRetention: x\r\nTenant: other\r\n")
		}
		if last > 0 {
			fmt.Fprintf(&h, "Last-Event-Id: %d\r\n", last)
			q.last = strconv.Itoa(last)
		}
	}
	chunked := sp.bodyBytes > 0 && rnd(3) == 0
	switch {
	case chunked:
		h.WriteString("Transfer-Encoding: chunked\r\n")
	case sp.bodyBytes > 0:
		fmt.Fprintf(&h, "Content-Length: %d\r\n", len(body))
	}
	h.WriteString("\r\n")
	payload := []byte(h.String())
	if chunked {
		for b := body; len(b) > 0; {
			n := min(len(b), 1+rnd(9000))
			payload = append(payload, fmt.Sprintf("%x\r\n", n)...)
			payload = append(append(payload, b[:n]...), "\r\n"...)
			b = b[n:]
		}
		payload = append(payload, "0\r\n\r\n"...)
	} else {
		payload = append(payload, body...)
	}
	w.mu.Lock()
	w.sent[q.attempt] = q
	w.mu.Unlock()
	limit := time.Now().Add(time.Duration(sp.deadline)*time.Millisecond + 1500*time.Millisecond)
	_ = cn.c.SetDeadline(limit)
	var cancelled bool
	if cancelAfter > 0 {
		t := time.AfterFunc(cancelAfter, func() { cancelled = true; _ = cn.c.Close() })
		defer t.Stop()
	}
	if rnd(6) == 0 && len(payload) > 40 { // in two parts
		n := 1 + rnd(len(payload)-1)
		if _, err := cn.c.Write(payload[:n]); err != nil {
			out.err = err
			return q, out
		}
		time.Sleep(time.Duration(rnd(30)) * time.Millisecond)
		payload = payload[n:]
	}
	if _, err := cn.c.Write(payload); err != nil {
		out.err, out.cancel = err, cancelled
		return q, out
	}
	q.at = time.Now()
	cn.used++
	out = w.read(cn, sp, q, last)
	out.cancel = cancelled
	q.ended = time.Now()
	return q, out
}

func (w *world) read(cn *conn, sp *spec, q *request, last int) (out outcome) {
	out.lastID = last
	req := &http.Request{Method: sp.method}
	resp, err := http.ReadResponse(cn.br, req)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status, out.close = resp.StatusCode, resp.Close
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryIn = time.Duration(s * float64(time.Second))
	}
	w.answered(q, resp.StatusCode)
	sig := resp.Header.Get("Server-Signature")
	if resp.StatusCode/100 == 2 && sig == "" {
		w.breach("MIXED", "%s gets %d without signature", q.attempt, resp.StatusCode)
	}
	if sig != "" && !strings.HasSuffix(sig, "."+q.attempt) {
		w.breach("MIXED", "%s gets the signature %s", q.attempt, sig)
	}
	if resp.StatusCode/100 == 2 && sp.engine {
		w.readStream(resp, sp, q, &out)
		return out
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		out.err = err
		return out
	}
	out.complete = true
	if sig != "" {
		server, _, _ := strings.Cut(sig, ".")
		want := answerOf(server, q.attempt, q.path, q.bodyHash)
		if !sp.engine && !w.anyBody && string(b) != want {
			w.breach("MIXED", "%s gets %d bytes, status %d, not its answer: %.80q", q.attempt, len(b), resp.StatusCode, b)
		}
	}
	return out
}

func (w *world) readStream(resp *http.Response, sp *spec, q *request, out *outcome) {
	total := eventsOf(q.path, q.usage)
	br := bufio.NewReader(resp.Body)
	ev := ""
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			if err == io.EOF && ev == "" && line == "" {
				out.complete = true
				if out.lastID != total {
					w.breach("ORDER", "%s %s ends as complete after %d of %d events", q.kind, q.attempt, out.lastID, total)
				}
				return
			}
			if err == io.EOF {
				w.breach("ORDER", "%s ends as complete within an event: %q", q.attempt, ev+line)
			}
			out.err = err
			return
		}
		ev += line
		if line != "\n" {
			continue
		}
		want := eventOf(q.path, q.bodyHash, out.lastID+1, total)
		if ev != want {
			w.breach("ORDER", "%s: event %q, expected %q", q.attempt, ev, want)
			out.err = errors.New("order")
			return
		}
		out.lastID++
		q.events++
		w.mu.Lock()
		w.used[q.tenant] += min(stride, sp.tokensOut)
		w.mu.Unlock()
		w.checkMoney(q.tenant)
		ev = ""
	}
}
