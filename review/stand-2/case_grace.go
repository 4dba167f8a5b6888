package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["grace"] = playGrace }

// playGrace: the settings file changes, with SIGHUP: the grace period becomes shorter. Later
// the process gets SIGTERM, and SIGKILL after the grace period that its file names. A request
// that it passes on in the meantime must not be cut.
func playGrace(rec *record, trouble bool) (int, error) {
	const grace = 5 * time.Second
	w, err := newWorld(rec, 2, map[string][]string{"teljari-app": {"i-app-1", "i-app-2"}})
	if err != nil {
		return 0, err
	}
	defer w.close()
	post := route("post", "/post/", "non_idempotent", "teljari-app", 1)
	tenants := []object{{"name": "skolinn", "api-keys": []string{"key-skolinn"}, "priority": 1}}
	w.putManifest(manifest(7, []object{post}, []object{plainService("teljari-app")}, tenants))
	if !trouble {
		w.instances[0].set("bounds.grace-period-s", "5")
	}
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		in := w.instances[0] // one in two
		in.set("bounds.grace-period-s", "5")
		if err := in.writeSettings(); err != nil {
			return 0, err
		}
		rec.line("platform", "%s: settings file changed, grace-period-s is 5", in.name)
		in.signal(syscall.SIGHUP)
	}
	time.Sleep(6 * time.Second) // contact-ms is 3,000, config-apply-ms 2,000
	in := w.instances[0]
	var channels []*channel
	for range 12 {
		ch, err := open(in.front)
		if err != nil {
			return 0, err
		}
		channels = append(channels, ch)
		if a := ch.do(rec, call{Method: http.MethodPost, Path: "/post/1", Key: "key-skolinn", Deadline: 2500 * time.Millisecond, Work: 20 * time.Millisecond}); a.Status != http.StatusOK {
			rec.say("a request before the stop got %d", a.Status)
		}
	}
	term := time.Now()
	in.signal(syscall.SIGTERM)
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i, ch := range channels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(term.Add(3050*time.Millisecond + time.Duration(i)*5*time.Millisecond)))
			a := ch.do(rec, call{Method: http.MethodPost, Path: "/post/2", Key: "key-skolinn", Deadline: 3500 * time.Millisecond, Work: 2500 * time.Millisecond})
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	select {
	case <-in.exited:
	case <-time.After(time.Until(term.Add(grace))):
		in.signal(syscall.SIGKILL)
	}
	killed := time.Now()
	wg.Wait()
	time.Sleep(time.Second)

	ran := map[string]run{}
	for _, r := range allRuns(w.servers...) {
		ran[r.Attempt] = r
	}
	broken := 0
	for _, a := range answers {
		r, ok := ran[a.Attempt]
		since := a.SentAt.Sub(term)
		// Not counted: sent no later than 3 s after SIGTERM, or its time limit was reached.
		if ok && !a.Complete && since > 3*time.Second && a.EndedAt.Sub(a.SentAt) < 3400*time.Millisecond {
			broken++
			rec.say("request %s, sent %.2f s after SIGTERM, was passed on to %s and its channel ended %.2f s after SIGTERM without an answer", a.Attempt, since.Seconds(), r.Server, a.EndedAt.Sub(term).Seconds())
		}
	}
	rec.say("the process was gone %.2f s after SIGTERM", killed.Sub(term).Seconds())
	return broken, nil
}
