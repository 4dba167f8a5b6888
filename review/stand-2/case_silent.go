package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { plays["silent"] = playSilent }

// playSilent: open channels to the store go silent for good, those on which the instances
// wait for manifests. The next manifest takes a key away and moves a route.
func playSilent(rec *record, trouble bool) (int, error) {
	const contact, configApply, margin = 3 * time.Second, 2 * time.Second, 100 * time.Millisecond
	w, err := newWorld(rec, 4, map[string][]string{"teljari-app": {"i-app-1", "i-app-2"}, "teljari-new": {"i-new-1", "i-new-2"}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	services := []object{plainService("teljari-app"), plainService("teljari-new")}
	tenants := func(keys ...string) []object {
		return []object{{"name": "skolinn", "api-keys": keys, "priority": 1}}
	}
	post := func(service string) object { return route("post", "/post/", "non_idempotent", service, 1) }
	w.putManifest(manifest(7, []object{post("teljari-app")}, services, tenants("key-1", "key-2")))
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	w.putManifest(manifest(9, []object{post("teljari-app"), route("idle", "/idle/", "idempotent", "teljari-app", 1)}, services, tenants("key-1", "key-2")))
	time.Sleep(400 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		rec.say("%d channels to the store go silent", w.store.silence("op/"))
	}
	time.Sleep(100 * time.Millisecond)
	ackAt := w.putManifest(manifest(12, []object{post("teljari-new"), route("idle", "/idle/", "idempotent", "teljari-app", 1)}, services, tenants("key-1")))
	from := silentAt.Add(contact + margin)
	if bound := ackAt.Add(configApply + margin); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from))
	type sent struct {
		answer
		key, instance string
	}
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	for _, in := range w.instances {
		for _, key := range []string{"key-1", "key-2"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 30 {
					a := once(rec, in.front, call{Method: http.MethodPost, Path: "/post/1", Key: key, Deadline: 2500 * time.Millisecond, Work: 10 * time.Millisecond})
					mu.Lock()
					all = append(all, sent{a, key, in.name})
					mu.Unlock()
					time.Sleep(80 * time.Millisecond)
				}
			}()
		}
	}
	wg.Wait()
	ran := map[string]run{}
	for _, r := range allRuns(w.servers...) {
		ran[r.Attempt] = r
	}
	broken, dropped, old, last := 0, 0, 0, time.Duration(0)
	for _, s := range all {
		r, ok := ran[s.Attempt]
		if !ok {
			continue
		}
		isOld := false
		if s.key == "key-2" {
			dropped++
			isOld = true
		}
		if r.Server == "i-app-1" || r.Server == "i-app-2" {
			old++
			isOld = true
		}
		if isOld {
			broken++
			last = max(last, s.SentAt.Sub(ackAt))
		}
	}
	rec.say("requests sent from %.2f s after the acknowledgement on: %d; run with the dropped key %d, run by the old service %d, the last sent %.2f s after the acknowledgement", from.Sub(ackAt).Seconds(), len(all), dropped, old, last.Seconds())
	return broken, nil
}
