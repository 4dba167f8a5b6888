package bbe2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNativeInstanceIsReplacedAsItBeginsToStop guards against peers that rely on a
// stopping instance until its process has ended.
func TestNativeInstanceIsReplacedAsItBeginsToStop(t *testing.T) {
	is := is.New(t)
	f := newNativeStore(t)
	storeAddress := f.storeAddress
	var links []*storeLink
	for i := range 2 {
		link := newStoreLink(t, storeAddress)
		f.storeAddress = link.address
		f.instances = append(f.instances, f.startInstance(fmt.Sprint("i", i), "uppsala"))
		links = append(links, link)
	}
	time.Sleep(2 * takeover)
	watcher := 0
	if links[1].watchedAt().After(links[0].watchedAt()) {
		watcher = 1
	}
	is.True(links[watcher].watchedAt().Sub(links[1-watcher].watchedAt()) > takeover/2) // the other does not watch
	stoppedAt := time.Now()
	f.instances[watcher].signal(syscall.SIGTERM)
	for links[1-watcher].watchedAt().Before(stoppedAt) && time.Since(stoppedAt) < stopTimeout {
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("the other instance watches the targets %d ms after SIGTERM", links[1-watcher].watchedAt().Sub(stoppedAt).Milliseconds())
	is.True(!f.instances[watcher].hasExited())
	is.True(links[1-watcher].watchedAt().Sub(stoppedAt) < drainTimeout)
}
