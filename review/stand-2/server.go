package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	Server, Attempt, Tenant, Path string
	Began, Ended                  time.Time
	Prompt                        int // tokens of the prompt, as Token-Usage states them
	Events                        int // that were written
	Done                          bool
}

// server is a stand-in for one server of a service. A request is worked on for the time
// that its header Work-Ms names; one of a streaming route (with Token-Usage) gets events
// of eventTokens tokens.
type server struct {
	id, service, address, zone string
	slots                      int
	ln                         net.Listener
	born                       int64
	rec                        *record

	mu    sync.Mutex
	state string
	seq   int
	runs  []*run
	down  bool // crashed: it sends nothing, and nothing listens at its address
	conns map[net.Conn]bool
	// crashPath is the path of the requests that crash the server as it begins to run
	// them, crashes when each did. Empty: none does.
	crashPath string
	crashes   []time.Time
}

const eventTokens = 8

// newServer starts a server.
func newServer(rec *record, id, service, address, zone string) (*server, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: address, zone: zone, slots: 64, ln: ln, born: time.Now().UnixMilli(), state: "ready", rec: rec, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// checkIn writes the server's entry to the store at each heartbeat, until stop is closed.
func (s *server) checkIn(st *store, stop <-chan struct{}) {
	for last, key := time.Now(), ""; ; {
		switch {
		case !s.isDown():
			if next := "servers/" + s.name(); next != key {
				if key != "" {
					st.put(key, nil) // that of the run before
				}
				key = next
			}
			st.put(key, s.entry())
			last = time.Now()
		case key != "" && time.Since(last) > 3600*time.Millisecond:
			st.put(key, nil)
			key = ""
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

func (s *server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	b, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold-remaining-ms": 0, "sequence": s.seq, "born": s.born,
	})
	return b
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// name returns the id of the server's present run.
func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// crash resets all channels of the server. It is back some seconds later, as a new
// incarnation with a new id.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.crashes = append(s.crashes, time.Now())
	_ = s.ln.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.rec.line("server", "%s crashes", s.id)
	time.AfterFunc(back, func() {
		ln, err := net.Listen("tcp4", s.address)
		if err != nil {
			s.rec.line("server", "%s does not come back: %v", s.id, err)
			return
		}
		s.mu.Lock()
		s.ln, s.down, s.born, s.seq = ln, false, time.Now().UnixMilli(), 0
		base, _, _ := strings.Cut(s.id, "+")
		s.id = fmt.Sprintf("%s+%d", base, len(s.crashes))
		s.rec.line("server", "%s starts", s.id)
		s.mu.Unlock()
		go s.accept()
	})
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		if err != nil || !s.answer(c, r) {
			return
		}
	}
}

// answer runs one request and reports whether the connection stays open.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	id := s.name()
	if r.Header.Get("Expected-Instance") != id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
		return err == nil
	}
	one := &run{Server: id, Attempt: attempt, Tenant: r.Header.Get("Tenant"), Path: r.URL.Path, Began: time.Now()}
	prompt, output, streams := strings.Cut(r.Header.Get("Token-Usage"), ",")
	one.Prompt, _ = strconv.Atoi(prompt)
	s.mu.Lock()
	s.runs = append(s.runs, one)
	s.mu.Unlock()
	s.rec.line("run", "server %s service %s request %s path %s tenant %s prompt %d deadline-ms %s", id, s.service, attempt, r.URL.RequestURI(), one.Tenant, one.Prompt, r.Header.Get("Deadline-Ms"))
	if s.crashPath != "" && r.URL.Path == s.crashPath {
		s.crash(2 * time.Second)
		return false
	}
	work, _ := strconv.Atoi(r.Header.Get("Work-Ms"))
	time.Sleep(time.Duration(work) * time.Millisecond)
	var err error
	if streams {
		n, _ := strconv.Atoi(output)
		err = s.stream(c, one, max(n/eventTokens, 1))
	} else {
		body := "done " + attempt
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nServer-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s", attempt, sign(body), s.slots, len(body), body)
	}
	s.mu.Lock()
	one.Ended, one.Done = time.Now(), err == nil
	s.mu.Unlock()
	s.rec.line("ran", "server %s request %s events %d error %v", id, attempt, one.Events, err)
	return err == nil
}

func (s *server) stream(c net.Conn, one *run, events int) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", one.Attempt, sign(one.Attempt))
	for id := 1; id <= events && err == nil; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s of %s\n\n", id, strconv.Itoa(id), one.Attempt)
		if _, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err == nil {
			s.mu.Lock()
			one.Events++
			s.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}

// sign stands for the server's signature.
func sign(text string) string {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return fmt.Sprintf("sig.%016x", h)
}

// allRuns returns a copy of the runs of servers.
func allRuns(servers ...*server) []run {
	var out []run
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			out = append(out, *r)
		}
		s.mu.Unlock()
	}
	return out
}
