package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case late-stream.
const (
	shortEvents = 10 // 0.5 s
	longEvents  = 94 // 4.7 s
	mostTokens  = 900
	keptClients = 6
	sentAfter   = 3150 * time.Millisecond // the SIGTERM; the rule excuses what was sent up to 3 s after it
	graceOf     = 8 * time.Second
)

// lateStream: an instance gets SIGTERM. On channels that clients have kept open, streams
// are asked for that allow as many tokens as those before, and turn out longer.
func lateStream(p *play) (bool, error) {
	p.tenants = []any{map[string]any{"name": "school-0", "api-keys": []string{"school-key-0"}, "priority": 1, "prepaid": 100_000_000}}
	if err := p.startPlatform(); err != nil {
		return false, err
	}
	zones := []string{"sudvestur-a", "sudvestur-b", "sudvestur-c", "sudvestur-d"}
	if err := p.startServers(zones); err != nil {
		return false, err
	}
	if err := p.startFleet(zones); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	first := p.instances[0]
	p.say("clients ask %s for short answers", first.Name)
	var clients []*http.Transport
	var asking sync.WaitGroup
	for range keptClients {
		client := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
		clients = append(clients, client)
		asking.Go(func() {
			for range 8 {
				id, a := callOver(client, first.Frontend, "counter.example", "/draft/paced-10", "school-key-0", 100, mostTokens, 10*time.Second)
				p.say("client %s at %s: status %d, %d events, whole %v, kept %v %s", id, first.Name, a.Status, a.Events, a.Whole, a.Kept, a.Err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	stoppedAt := time.Now()
	if p.trouble {
		p.say("%s gets SIGTERM", first.Name)
		first.signal(syscall.SIGTERM)
		time.AfterFunc(graceOf, func() { first.signal(syscall.SIGKILL) })
	}
	time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
	var cut, whole, refused, crossed atomic.Int64
	for _, client := range clients {
		asking.Go(func() {
			sent := time.Since(stoppedAt)
			id, a := callOver(client, first.Frontend, "counter.example", "/draft/paced-94", "school-key-0", 100, mostTokens, 10*time.Second)
			p.say("client %s at %s, sent %.3f s after the SIGTERM: status %d, %d of %d events, whole %v, kept %v %s; ended %.3f s after the SIGTERM",
				id, first.Name, sent.Seconds(), a.Status, a.Events, longEvents, a.Whole, a.Kept, a.Err, time.Since(stoppedAt).Seconds())
			switch {
			case a.Status == 0 && a.Events == 0:
				crossed.Add(1) // the channel was closed as the request was sent
			case a.Status != 200:
				refused.Add(1)
			case a.Whole && a.Events == longEvents:
				whole.Add(1)
			default:
				cut.Add(1)
			}
		})
	}
	asking.Wait()
	p.say("judged: %d streams whole, %d refused, %d on a channel that was closed before, %d passed on to a server and ended without the rest", whole.Load(), refused.Load(), crossed.Load(), cut.Load())
	return cut.Load() > 0, nil
}
