package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["unframed"] = playUnframed }

// playUnframed: one in twenty answers of half of the servers has no length and ends with its
// channel. One server's process, of four, is killed in the middle of its answers.
func playUnframed(rec *record, trouble bool) (int, error) {
	const servers = 4
	w, err := newWorld(rec, 2, nil)
	if err != nil {
		return 0, err
	}
	defer w.close()
	free, err := freePorts([]string{"127.0.0.1"}, 16)
	if err != nil {
		return 0, err
	}
	var children []*child
	for i := range servers {
		c, err := startChild(rec, fmt.Sprintf("i-llm-%d", i+1), "teljari-llm", w.local(free[8+i]), zones[i], i < servers/2)
		if c != nil {
			defer c.kill()
		}
		if err != nil {
			return 0, err
		}
		children = append(children, c)
		stop := make(chan struct{})
		w.stops = append(w.stops, stop)
		go c.checkIn(w.store, stop)
	}
	w.putManifest(manifest(7, []object{route("query", "/query/", "streaming", "teljari-llm", 1)}, []object{engineService("teljari-llm")}, []object{{"name": "skolinn", "api-keys": []string{"key-1"}, "priority": 1, "prepaid": 1_000_000}}))
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	short, whole, cut := 0, 0, 0
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := once(rec, w.instances[i%2].front, call{Method: http.MethodPost, Path: "/query/1", Key: "key-1", Deadline: 10 * time.Second, Usage: "100,400"})
			n := strings.Count(a.Body, "piece ")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status != http.StatusOK || !a.Complete:
				cut++
			case n < pieces:
				short++
				rec.line("note", "request %s: the stream ends as complete, with %d of %d events", a.Attempt, n, pieces)
			default:
				whole++
			}
		}()
	}
	time.Sleep(pieces * piecePause / 2)
	if trouble {
		children[0].kill() // one in four
	}
	wg.Wait()
	rec.say("streams that are whole %d, that end as complete before their last event %d, that end incomplete or in a failure %d", whole, short, cut)
	return short, nil
}
