package main

import (
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

// stride is how many tokens an event of a stream holds.
const stride = 9

// eventPause is the time between two events of a paced answer.
const eventPause = 50 * time.Millisecond

// Server is a stand-in for a sound model server: it runs each request that names it and
// answers with a whole stream of as many tokens as the request allows.
type Server struct {
	ID, Service, Zone string
	ln                net.Listener
	born              time.Time

	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
	// broken tells of the requests whose channel was closed while the server was at work.
	broken []string
}

// NewServer starts a server on loopback and registers it in the store.
func NewServer(store *Store, id, service, zone string) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Zone: zone, ln: ln, born: time.Now(), runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Server-Load", "0,0,64")
	})
	mux.HandleFunc("/", s.serve)
	go func() { _ = http.Serve(ln, mux) }()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": ln.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold-remaining-ms": 0,
		"phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": s.born.UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	store.Put("servers/"+id, entry)
	return s, nil
}

// sayRuns records which requests the server ran.
func (s *Server) sayRuns(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.say("server %s ran %d requests:", s.ID, len(s.runs))
	for _, text := range s.broken {
		r.say("server %s was at work on %s", s.ID, text)
	}
	for id, n := range s.runs {
		r.say("server %s ran %s %d times", s.ID, id, n)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", s.ID)
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	w.Header().Set("Server-Signature", s.ID+"."+attempt)
	w.Header().Set("Server-Load", "1,0,64")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	_, text, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	out, _ := strconv.Atoi(text)
	events, each, pause := (out+stride-1)/stride, 20, 5*time.Millisecond
	if _, paced, ok := strings.Cut(r.URL.Path, "/paced-"); ok { // an answer may be shorter than the request allows
		n, _ := strconv.Atoi(paced)
		events, each, pause = min(events, n), 1, eventPause
	}
	for i := 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", stride)); err != nil || r.Context().Err() != nil {
			s.mu.Lock()
			s.broken = append(s.broken, fmt.Sprintf("%s: the channel was closed after %d of %d events", attempt, i-1, events))
			s.mu.Unlock()
			return
		}
		if i%each == 0 {
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}
}
