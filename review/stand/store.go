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

// storeLatency is how long the store takes for an answer, as the sheet of the small
// sites says.
const storeLatency = 4 * time.Millisecond

// item is one key of the store. A nil value in the history means that it was removed.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created-revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// txn is a call of /kv-txn.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Write []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

// Store is a stand-in for the platform's store: linearizable, with all history, and
// without rate limits. It loses nothing that it has acknowledged.
type Store struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time
	ttls    map[int64]time.Duration
	// Late decides whether the answer of a write is lost and the write is executed
	// only after a delay. It is called with the lock held.
	Late func(t *txn) (delay time.Duration, late bool)
	// OnLate is told when a late write is executed, and with which status.
	OnLate func(status int)
	// OnTxn is told of each write that is executed or refused at once.
	OnTxn func(t *txn, status int)
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), rev: 100, items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}}
	go s.expire()
	return s
}

// Put writes a key unconditionally, as the operator or a server does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

// arm clears a flag that Late uses.
func (s *Store) arm(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = false
}

// Get returns a key's value.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease int64) {
	old, ok := s.items[key]
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if ok {
		it.Created = old.Created
	}
	if it.Value == nil {
		it.Value = []byte{}
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, end := range s.leases {
			if time.Now().After(end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// execute carries out a transaction: all or nothing. The caller holds the lock.
func (s *Store) execute(t *txn) (status int, answer any) {
	current, met := []item{}, true
	for _, p := range t.Precondition {
		it, ok := s.items[p.Key]
		if !ok {
			it = item{Key: p.Key}
		}
		met = met && it.Revision == p.Revision
		current = append(current, it)
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Write {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, w := range t.Write {
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.rev}
}

// Serve serves the store until the listener is closed.
func (s *Store) Serve(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	_ = http.Serve(ln, mux)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	time.Sleep(storeLatency)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, more := []item{}, false
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	if len(items) > 500 {
		items, more = items[:500], true
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Write)+len(t.Remove) > 96 || len(t.Write) > 32 {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	if s.Late != nil {
		if delay, late := s.Late(&t); late {
			s.mu.Unlock()
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				status, _ := s.execute(&t)
				s.mu.Unlock()
				s.OnLate(status)
			})
			<-r.Context().Done() // the channel returns nothing any more
			panic(http.ErrAbortHandler)
		}
	}
	status, answer := s.execute(&t)
	if s.OnTxn != nil {
		s.OnTxn(&t, status)
	}
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = time.Now().Add(s.ttls[id])
	}
	ttl := s.ttls[id]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"ttl-ms": ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{})
}
