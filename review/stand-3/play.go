package main

import (
	"sync/atomic"
	"time"
)

// call sends one request on a channel of its own.
func (w *world) call(i *instance, sp *spec, path string) outcome {
	cn, err := dialFront(i)
	if err != nil {
		return outcome{err: err}
	}
	defer cn.c.Close()
	_, out := w.send(cn, sp, path, 0, 0)
	return out
}

// beats lets the servers check in.
func (w *world) beats(over *atomic.Bool) {
	for !over.Load() {
		time.Sleep(1200 * time.Millisecond)
		for _, s := range w.servers {
			s.beat()
		}
	}
}

// startInstances starts an instance in each of the zones and reports whether all became
// ready.
func (w *world) startInstances(zones ...string) bool {
	for _, z := range zones {
		w.addInstance(z)
	}
	for _, i := range w.instances {
		i.start()
	}
	for _, i := range w.instances {
		if !i.waitReady(12 * time.Second) {
			w.note("instance %s is not ready", i.name)
			return false
		}
	}
	time.Sleep(time.Second)
	return true
}
