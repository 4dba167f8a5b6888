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

// item is one key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"created-revision,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	ln      net.Listener

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	calls   map[string]int
}

// newStore starts a store on an address.
func newStore(address string) (*store, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, ln: ln, changed: make(chan struct{}), rev: 100, items: map[string]item{}, leases: map[int64]*lease{}, calls: map[string]int{}}
	go func() { _ = (&http.Server{Handler: s}).Serve(ln) }()
	go s.expire()
	return s, nil
}

// put writes a key as an operator or a server does, nil deletes it. It returns the time of
// the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(map[string][]byte{key: value}, 0)
	return time.Now()
}

// change writes keys at one new revision. The caller holds the lock.
func (s *store) change(writes map[string][]byte, lease int64) {
	s.rev++
	for key, value := range writes {
		if value == nil {
			if _, ok := s.items[key]; ok {
				delete(s.items, key)
				s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
			}
			continue
		}
		created := s.rev
		if old, ok := s.items[key]; ok {
			created = old.Created
		}
		it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
		s.items[key] = it
		s.history = append(s.history, it)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	gone := map[string][]byte{}
	for key, it := range s.items {
		if it.Lease == id {
			gone[key] = nil
		}
	}
	if len(gone) > 0 {
		s.change(gone, 0)
	}
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, struct {
			item
			At int64 `json:"at"`
		}{it, at})
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		id := int64(70000 + len(s.calls) + int(s.rev)*16 + len(s.leases))
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.end = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, map[string]int64{"ttl-ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("path-prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Preconditions []struct {
			Key string `json:"key"`
			Rev int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Removals []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, write := range in.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	items := []item{}
	for _, p := range in.Preconditions {
		it, ok := s.items[p.Key]
		if !ok {
			it = item{Key: p.Key}
		}
		met = met && it.Rev == p.Rev
		items = append(items, it)
	}
	for _, write := range in.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if met {
		writes, lease := map[string][]byte{}, int64(0)
		for _, write := range in.Writes {
			writes[write.Key], lease = append([]byte{}, write.Value...), write.Lease
		}
		for _, key := range in.Removals {
			writes[key] = nil
		}
		s.change(writes, lease)
	}
	if met {
		reply(w, http.StatusOK, map[string]int64{"revision": s.rev})
		return
	}
	reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
