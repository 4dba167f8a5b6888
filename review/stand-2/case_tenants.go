package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { plays["tenants"] = playTenants }

// playTenants: a new manifest takes the keys of the last tenant away; its list of tenants
// is empty then. No request with a dropped key, or with one that never was in a manifest,
// may run.
func playTenants(rec *record, trouble bool) (int, error) {
	const configApply, margin = 2 * time.Second, 500 * time.Millisecond
	w, err := newWorld(rec, 2, map[string][]string{"teljari-app": {"i-app-1", "i-app-2"}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	services := []object{plainService("teljari-app")}
	routes := []object{route("post", "/post/", "non_idempotent", "teljari-app", 1)}
	w.putManifest(manifest(7, routes, services, []object{{"name": "skolinn", "api-keys": []string{"key-1", "key-2"}, "priority": 1}}))
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	type sent struct {
		answer
		key string
	}
	var mu sync.Mutex
	var all []sent
	post := func(key string) {
		var wg sync.WaitGroup
		for _, in := range w.instances {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 20 {
					a := once(rec, in.front, call{Method: http.MethodPost, Path: "/post/1", Key: key, Deadline: 2500 * time.Millisecond, Work: 10 * time.Millisecond})
					mu.Lock()
					all = append(all, sent{a, key})
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
		wg.Wait()
	}
	post("key-1")
	post("key-never")
	// Without the disruption, the tenant keeps one key and the other is taken away.
	tenants := []object{{"name": "skolinn", "api-keys": []string{"key-2"}, "priority": 1}}
	if trouble {
		tenants = []object{}
	}
	ackAt := w.putManifest(manifest(9, routes, services, tenants))
	time.Sleep(configApply + margin)
	post("key-1")
	post("key-never")
	ran := map[string]run{}
	for _, r := range allRuns(w.servers...) {
		ran[r.Attempt] = r
	}
	dropped, never, nameless := 0, 0, 0
	for _, s := range all {
		r, ok := ran[s.Attempt]
		if !ok {
			continue
		}
		if s.key == "key-never" {
			never++
		}
		if s.key == "key-1" && s.SentAt.After(ackAt.Add(configApply)) {
			dropped++
		}
		if r.Tenant == "" {
			nameless++
		}
	}
	rec.say("run later than config-apply-ms after the manifest with the dropped key: %d; with a key that no manifest ever held: %d; without a Tenant: %d", dropped, never, nameless)
	return dropped + never, nil
}
