package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { plays["weights"] = playWeights }

// playWeights: a manifest splits a streaming route between two services, of which one has no
// engine in the manifest. No tenant may get more than its prepaid tokens.
func playWeights(rec *record, trouble bool) (int, error) {
	const prepaid, prompt = 20_000, 200
	w, err := newWorld(rec, 2, map[string][]string{"teljari-llm": {"i-llm-1", "i-llm-2"}, "teljari-app": {"i-app-1", "i-app-2"}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	query := route("query", "/query/", "streaming", "teljari-llm", 1)
	post := route("post", "/post/", "non_idempotent", "teljari-app", 1)
	services := []object{engineService("teljari-llm"), plainService("teljari-app")}
	tenants := []object{{"name": "skolinn", "api-keys": []string{"key-skolinn"}, "priority": 1, "prepaid": prepaid}}
	w.putManifest(manifest(7, []object{query, post}, services, tenants))
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		split := route("query", "/query/", "streaming", "", 1)
		delete(split, "service")
		split["traffic-split"] = []object{{"service": "teljari-llm", "weight": 90}, {"service": "teljari-app", "weight": 10}}
		w.putManifest(manifest(9, []object{split, post}, services, tenants))
	}
	time.Sleep(3 * time.Second) // config-apply-ms is 2,000

	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i, in := range w.instances {
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 150 {
					a := once(rec, in.front, call{Method: http.MethodPost, Path: "/query/1", Key: "key-skolinn", Deadline: 10 * time.Second, Usage: "200,80"})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					time.Sleep(40 * time.Millisecond)
				}
			}()
		}
		_ = i
	}
	wg.Wait()

	ran := map[string]run{}
	for _, r := range allRuns(w.servers...) {
		ran[r.Attempt] = r
	}
	input, output, requests := 0, 0, map[string]int{}
	for _, r := range ran {
		input += r.Prompt
	}
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.Status]++
		if a.Status == http.StatusOK {
			output += a.Events * eventTokens
		}
		if r, ok := ran[a.Attempt]; ok {
			requests[r.Server]++
		}
	}
	rec.say("answers by status %v, runs by server %v", statuses, requests)
	rec.say("prepaid %d tokens; input of requests that ran %d, output that clients got %d, together %d", prepaid, input, output, input+output)
	if input+output > prepaid {
		return 1, nil
	}
	return 0, nil
}
