package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one value of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"created-revision,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// mode is how a door of the store answers.
type mode int

const (
	modeOK     mode = iota
	modeBusy        // 503, nothing done
	modeSilent      // no answer, nothing done
	modeLost        // done, not answered
	modeLate        // done 1 to 3 s later if the condition still holds, not answered
	modeReset       // the channel is closed
	modeSlow        // 200 ms more
)

// store is a stand-in of the platform's store. Each instance has a door of its own, so
// that it can be turned away by itself.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	oldest  int64 // watches from before get 410
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes a value as the operator or a server does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	b, ok := value.([]byte)
	if !ok {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, b, 0)
	s.notify()
	return s.rev
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.unset(k)
		}
	}
	s.notify()
}

// door is one listener of the store.
type door struct {
	s    *store
	addr string
	mu   sync.Mutex
	m    mode
}

func (d *door) setMode(m mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.m = m
}

func (d *door) mode() mode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.m
}

func (s *store) open() *door {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &door{s: s, addr: ln.Addr().String()}
	go func() { _ = http.Serve(ln, d) }()
	return d
}

// drop ends a channel without an answer.
func drop(w http.ResponseWriter, after time.Duration) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			time.AfterFunc(after, func() { _ = c.Close() })
		}
	}
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if r.Method == "POST" {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	m := d.mode()
	isWrite := r.URL.Path == "/kv-txn"
	switch m {
	case modeBusy:
		w.WriteHeader(503)
		return
	case modeSilent:
		drop(w, 20*time.Second)
		return
	case modeReset:
		drop(w, 0)
		return
	case modeSlow:
		time.Sleep(200 * time.Millisecond)
	case modeLost:
		if isWrite && rnd(3) == 0 {
			d.s.txn(body)
			drop(w, 10*time.Second)
			return
		}
	case modeLate:
		if isWrite && rnd(3) == 0 {
			time.AfterFunc(time.Duration(1000+rnd(2000))*time.Millisecond, func() { d.s.txn(body) })
			drop(w, 10*time.Second)
			return
		}
	}
	time.Sleep(2 * time.Millisecond)
	status, out := d.s.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *store) call(r *http.Request, body json.RawMessage) (int, any) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			return 404, nil
		}
		return 200, struct {
			item
			At int64 `json:"at"`
		}{it, s.rev}
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		out := []item{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("path-prefix")) && k > q.Get("after") {
				out = append(out, it)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		more := len(out) > 500
		if more {
			out = out[:500]
		}
		return 200, map[string]any{"items": out, "has-more": more, "at": s.rev}
	case r.URL.Path == "/kv-watch":
		return s.watch(r)
	case r.URL.Path == "/kv-txn":
		return s.txn(body)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]int64{"lease": s.nextID, "ttl-ms": in.TTL}
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if r.Method == "DELETE" {
			s.endLease(id)
			return 200, nil
		}
		l.ends = time.Now().Add(l.ttl)
		return 200, map[string]int64{"ttl-ms": l.ttl.Milliseconds()}
	}
	return 404, nil
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			return 410, nil
		}
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return 200, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-end:
			return 200, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			return 200, nil
		}
	}
}

func (s *store) txn(body json.RawMessage) (int, any) {
	var in struct {
		Pre []struct {
			Key string `json:"key"`
			Rev int64  `json:"revision"`
		} `json:"precondition"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	cur := []item{}
	for _, p := range in.Pre {
		it, has := s.items[p.Key]
		if !has {
			it = item{Key: p.Key}
		}
		ok = ok && it.Rev == p.Rev
		cur = append(cur, it)
	}
	if !ok {
		return 412, map[string]any{"items": cur}
	}
	for _, w := range in.Write {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 404, nil
		}
	}
	s.rev++
	for _, w := range in.Write {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, k := range in.Remove {
		s.unset(k)
	}
	s.notify()
	return 200, map[string]int64{"revision": s.rev}
}
