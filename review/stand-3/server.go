package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const stride = 8

// run is one request that a server began to run.
type run struct {
	at                             time.Time
	server, attempt, tenant, path  string
	method, bodyHash, model, usage string
	prefix, cred, last, other      string
	deadline                       int64
	done                           bool // it ran to its end
}

// server is a stand-in of one server.
type server struct {
	id, service, zone string
	engine            bool
	slots             int
	st                *store
	w                 *world

	mu     sync.Mutex
	ln     net.Listener
	addr   string
	born   int64
	conns  map[net.Conn]bool
	state  string
	up     bool
	seq    int
	busy   int
	dark   atomic.Bool // silent
	faults atomic.Pointer[faults]
}

// faults are shares of requests that a server treats in a way that the pages name.
type faults struct {
	lost, lostReset, errors, shed, shedNoID, trunc, unframed, extraLate, extra, early, slow float64
	closing, lastEnd                                                                        float64
}

func newServer(w *world, id, service, zone string, engine bool, slots int) *server {
	s := &server{id: id, service: service, zone: zone, engine: engine, slots: slots, st: w.st, w: w, conns: map[net.Conn]bool{}}
	s.faults.Store(&faults{})
	return s
}

func (s *server) start(addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.addr, s.born, s.state, s.up = ln, ln.Addr().String(), time.Now().UnixMilli(), "ready", true
	s.mu.Unlock()
	s.beat()
	go s.accept(ln)
	return nil
}

func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	v := map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "cold-remaining-ms": 0, "sequence": s.seq, "born": s.born}
	up := s.up
	s.mu.Unlock()
	if up {
		s.st.put("servers/"+s.id, v)
	}
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func p(share float64) bool { return share > 0 && float64(rnd(1_000_000))/1e6 < share }

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 32<<10)
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		for s.dark.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		f := s.faults.Load()
		if late != "" {
			_, _ = io.WriteString(c, late)
			late = ""
		}
		keep, lateNext := s.one(c, br, r, f)
		late = lateNext
		if !keep {
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// one answers one request.
func (s *server) one(c net.Conn, br *bufio.Reader, r *http.Request, f *faults) (keep bool, late string) {
	attempt := r.Header.Get("Attempt-Id")
	idLine := "Attempt-Id: " + attempt + "\r\n"
	refuse := func(status, more string, id bool) string {
		line := ""
		if id {
			line = idLine
		}
		return "HTTP/1.1 " + status + "\r\n" + line + more + "Content-Length: 0\r\n\r\n"
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != s.id {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, refuse("421 Misdirected Request", "Instance-Id: "+s.id+"\r\n", rnd(2) == 0))
		return err == nil, ""
	}
	if r.ContentLength > 8000 && p(f.early) { // rejected before it is in; read on later
		if _, err := io.WriteString(c, refuse("503 Service Unavailable", "Not-Executed: 1\r\n", true)); err != nil {
			return false, ""
		}
		time.Sleep(30 * time.Millisecond)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil, ""
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false, ""
	}
	if p(f.shed) {
		_, err := io.WriteString(c, refuse("503 Service Unavailable", "Not-Executed: 1\r\n", true))
		return err == nil, ""
	}
	if p(f.shedNoID) {
		_, err := io.WriteString(c, refuse("503 Service Unavailable", "Not-Executed: 1\r\n", false))
		return err == nil, ""
	}
	s.mu.Lock()
	full := s.busy >= s.slots*4
	if !full {
		s.busy++
	}
	s.mu.Unlock()
	if full {
		_, err := io.WriteString(c, refuse("503 Service Unavailable", "Not-Executed: 1\r\n", true))
		return err == nil, ""
	}
	defer func() { s.mu.Lock(); s.busy--; s.mu.Unlock() }()
	sum := sha256.Sum256(body)
	rn := &run{
		at: time.Now(), server: s.id, attempt: attempt, tenant: r.Header.Get("Tenant"), path: r.RequestURI, method: r.Method, bodyHash: hex.EncodeToString(sum[:6]),
		model: r.Header.Get("Model"), usage: r.Header.Get("Token-Usage"), prefix: r.Header.Get("Prompt-Prefix"), cred: r.Header.Get("Credential"), last: r.Header.Get("Last-Event-Id"),
		other: r.Header.Get("X-Own"),
	}
	rn.deadline, _ = strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64)
	s.w.ran(rn)
	sig := fmt.Sprintf("%sServer-Signature: %s.%s\r\nServer-Load: 1,0,%d\r\n", idLine, s.id, attempt, s.slots)
	if s.engine && rn.usage != "" {
		return s.stream(c, r, rn, sig, f), ""
	}
	work := time.Duration(5+rnd(40)) * time.Millisecond
	if rnd(50) == 0 {
		work *= 5
	}
	if p(f.slow) {
		work *= 8
	}
	if !s.workOn(c, br, work) {
		return false, ""
	}
	rn.done = true
	if p(f.lost) {
		if p(.5) {
			reset(c)
			return false, ""
		}
		time.Sleep(3 * time.Second)
		return false, ""
	}
	if p(f.lostReset) {
		reset(c)
		return false, ""
	}
	text := answerOf(s.id, attempt, rn.path, rn.bodyHash)
	status := "200 OK"
	if p(f.errors) {
		status = "500 Internal Server Error"
	}
	switch {
	case p(f.trunc):
		full := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, sig, len(text), text)
		_, _ = io.WriteString(c, full[:1+rnd(len(full)-1)])
		if rnd(2) == 0 {
			reset(c)
		}
		return false, ""
	case p(f.unframed):
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+sig+"\r\n"+text)
		return false, ""
	case rnd(10) == 0: // in chunks
		n := rnd(len(text))
		_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;ext=1\r\n%s\r\n0\r\n\r\n", status, sig, n+1, text[:n+1], len(text)-n-1+0, text[n+1:])
		if n+1 == len(text) {
			return false, ""
		}
		return err == nil, ""
	}
	closing := ""
	if p(f.closing) {
		closing = "Connection: close\r\n"
	}
	full1 := fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, sig, closing, len(text), text)
	if p(f.extra) {
		full1 += full1
	}
	if p(f.extraLate) {
		late = full1
		if rnd(2) == 0 {
			late = refuse("503 Service Unavailable", "Not-Executed: 1\r\n", true)
		}
	}
	_, err = io.WriteString(c, full1)
	return err == nil && closing == "", late
}

// workOn waits, and reports false if the channel was closed meanwhile: the server then
// drops the request.
func (s *server) workOn(c net.Conn, br *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		time.Sleep(d)
		return true
	}
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// answerOf is the body of a plain answer, by which its request can be told.
func answerOf(server, attempt, path, body string) string {
	line := server + "|" + attempt + "|" + path + "|" + body + "|"
	n := 200 + int(line[len(line)-2])*8
	return line + strings.Repeat("x", n) + "E"
}

// eventOf is one event of a stream.
func eventOf(path, body string, i, total int) string {
	return fmt.Sprintf("id: %d\ndata: %s|%s|%d/%d\n\n", i, path, body, i, total)
}

// eventsOf returns how many events the answer to a request has.
func eventsOf(path, usage string) int {
	_, out, _ := strings.Cut(usage, ",")
	n, _ := strconv.Atoi(out)
	most := (n + stride - 1) / stride
	h := sha256.Sum256([]byte(path))
	return 1 + int(h[0])%max(most, 1)
}

func (s *server) stream(c net.Conn, r *http.Request, rn *run, sig string, f *faults) bool {
	from, _ := strconv.Atoi(rn.last)
	total := eventsOf(rn.path, rn.usage)
	unframed := p(f.unframed)
	breakAt := -1
	if p(f.trunc) {
		breakAt = from + 1 + rnd(max(total-from, 1))
	}
	frame := func(b string) string {
		if unframed {
			return b
		}
		return fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
	}
	time.Sleep(time.Duration(10+rnd(60)) * time.Millisecond)
	if p(f.lostReset) {
		reset(c)
		return false
	}
	te := "Transfer-Encoding: chunked\r\n"
	if unframed {
		te = ""
	}
	if p(f.errors) {
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+sig+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n" + sig + "Content-Type: text/event-stream\r\n" + te + "\r\n")
	if rnd(2) == 0 {
		if _, err := c.Write(b.Bytes()); err != nil {
			return false
		}
		b.Reset()
	}
	pace := time.Duration(10+rnd(30)) * time.Millisecond
	for i := from + 1; i <= total; i++ {
		ev := frame(eventOf(rn.path, rn.bodyHash, i, total))
		if i == breakAt {
			b.WriteString(ev[:rnd(len(ev))])
			_, _ = c.Write(b.Bytes())
			if rnd(2) == 0 || unframed {
				reset(c)
				time.Sleep(20 * time.Millisecond)
			}
			return false
		}
		b.WriteString(ev)
		if _, err := c.Write(b.Bytes()); err != nil {
			return false
		}
		b.Reset()
		for s.dark.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(pace)
	}
	if p(f.lastEnd) { // breaks off behind the last event, before the end of the answer
		time.Sleep(10 * time.Millisecond)
		reset(c)
		return false
	}
	rn.done = true
	if unframed {
		return false
	}
	b.WriteString("0\r\n\r\n")
	_, err := c.Write(b.Bytes())
	return err == nil
}
