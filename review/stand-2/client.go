package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a client.
type call struct {
	Method, Path, Key string
	Deadline, Work    time.Duration
	Usage             string // Token-Usage, empty for none
}

// answer is what a client got.
type answer struct {
	Attempt  string
	SentAt   time.Time // when the last byte was sent
	EndedAt  time.Time
	Status   int // 0: the channel ended without an answer
	Signed   bool
	Complete bool // the whole answer came
	Body     string
	Events   int
	Err      error
	Closes   bool // the answer announces that the channel closes
}

func newAttempt() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// channel is a client's channel to an instance, which is kept for several requests.
type channel struct {
	conn net.Conn
	br   *bufio.Reader
}

// open opens a channel.
func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// do sends one request and waits for its answer until its time limit.
func (ch *channel) do(rec *record, c call) answer {
	a := answer{Attempt: newAttempt()}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nWork-Ms: %d\r\n", c.Method, c.Path, a.Attempt, c.Deadline.Milliseconds(), c.Key, c.Work.Milliseconds())
	if c.Usage != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %s\r\nPrompt-Prefix: %s:%s\r\n", c.Usage, a.Attempt, strings.Split(c.Usage, ",")[0])
	}
	if c.Method == http.MethodPost {
		b.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		b.WriteString("\r\n")
	}
	_ = ch.conn.SetDeadline(time.Now().Add(c.Deadline))
	_, a.Err = io.WriteString(ch.conn, b.String())
	a.SentAt = time.Now()
	rec.line("sent", "request %s %s %s key %s usage %q deadline-ms %d work-ms %d to %s", a.Attempt, c.Method, c.Path, c.Key, c.Usage, c.Deadline.Milliseconds(), c.Work.Milliseconds(), ch.conn.RemoteAddr())
	if a.Err == nil {
		ch.read(&a)
	}
	a.EndedAt = time.Now()
	rec.line("answer", "request %s status %d signed %t complete %t events %d after-ms %d error %v", a.Attempt, a.Status, a.Signed, a.Complete, a.Events, a.EndedAt.Sub(a.SentAt).Milliseconds(), a.Err)
	return a
}

func (ch *channel) read(a *answer) {
	resp, err := http.ReadResponse(ch.br, nil)
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.Signed, a.Closes = resp.StatusCode, resp.Header.Get("Server-Signature") != "", resp.Close
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	a.Events = strings.Count(a.Body, "\n\n")
}

// once sends one request on a channel of its own.
func once(rec *record, address string, c call) answer {
	ch, err := open(address)
	if err != nil {
		a := answer{Attempt: newAttempt(), SentAt: time.Now(), EndedAt: time.Now(), Err: err}
		rec.line("answer", "no channel to %s: %v", address, err)
		return a
	}
	defer func() { _ = ch.conn.Close() }()
	return ch.do(rec, c)
}
