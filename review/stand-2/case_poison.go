package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { plays["poison"] = playPoison }

// playPoison: a request crashes each server that begins to run it. It comes again with the
// same path, caller and body, and another query each time.
func playPoison(rec *record, trouble bool) (int, error) {
	const contact, crashPath = 3 * time.Second, "/post/17"
	w, err := newWorld(rec, 4, map[string][]string{"teljari-app": {"i-app-1", "i-app-2", "i-app-3", "i-app-4"}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	if trouble {
		for _, s := range w.servers {
			s.crashPath = crashPath
		}
	}
	w.putManifest(manifest(7, []object{route("post", "/post/", "non_idempotent", "teljari-app", 1)}, []object{plainService("teljari-app")}, []object{{"name": "skolinn", "api-keys": []string{"key-1"}, "priority": 1}, {"name": "baerinn", "api-keys": []string{"key-2"}, "priority": 1}}))
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	lost, others := 0, 0
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 { // other callers, whose requests have nothing to do with it
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := once(rec, w.instances[(i+n)%4].front, call{Method: http.MethodPost, Path: fmt.Sprintf("/post/%d", 1000+i*1000+n), Key: "key-2", Deadline: 2500 * time.Millisecond, Work: 200 * time.Millisecond})
				mu.Lock()
				others++
				if a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					lost++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	attempts := map[string]time.Time{}
	for try := range 25 {
		path := fmt.Sprintf("%s?try=%d", crashPath, try)
		if os.Getenv("SAME_QUERY") != "" { // for comparison
			path = crashPath
		}
		a := once(rec, w.instances[try%4].front, call{Method: http.MethodPost, Path: path, Key: "key-1", Deadline: 2500 * time.Millisecond})
		attempts[a.Attempt] = a.SentAt
		time.Sleep(time.Second)
	}
	close(stop)
	wg.Wait()
	var crashes []time.Time
	for _, s := range w.servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashes...)
		s.mu.Unlock()
	}
	rec.say("crashes %d; of %d requests of another tenant %d were cut or failed", len(crashes), others, lost)
	if len(crashes) < 3 {
		return 0, nil
	}
	sortTimes(crashes)
	late := 0
	for _, r := range allRuns(w.servers...) {
		if sentAt, ok := attempts[r.Attempt]; ok && sentAt.After(crashes[2].Add(contact)) {
			late++
		}
	}
	rec.say("retries that reached servers, sent later than contact-ms after the third crash: %d; three are the most", late)
	if late > 3 {
		return late, nil
	}
	return 0, nil
}
