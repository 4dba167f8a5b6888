package bbproxy

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// failingStore is a WatchStore that fails polls for targets on demand, and
// records when it has told that an entry is gone.
type failingStore struct {
	WatchStore
	mu     sync.Mutex
	next   error                // of the next poll
	toldAt map[string]time.Time // key -> when its removal was told
	listed map[string]bool      // in the last listing
}

func newFailingStore(store WatchStore) *failingStore {
	return &failingStore{WatchStore: store, toldAt: map[string]time.Time{}, listed: map[string]bool{}}
}

// failNext makes the next poll for targets fail.
func (s *failingStore) failNext(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = err
}

// failed reports whether the poll has failed.
func (s *failingStore) failed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next == nil
}

func (s *failingStore) removalTold(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.toldAt[key]
	return ok
}

func (s *failingStore) List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error) {
	entries, rev, err := s.WatchStore.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := map[string]bool{}
	for _, e := range entries {
		now[e.Key] = true
	}
	for key := range s.listed {
		if !now[key] {
			s.toldAt[key] = time.Now()
		}
	}
	s.listed = now
	return entries, rev, nil
}

func (s *failingStore) Poll(ctx context.Context, prefix string, after bbstore.Revision, wait time.Duration) ([]bbstore.Event, bbstore.Revision, error) {
	s.mu.Lock()
	err := s.next
	if err != nil && prefix == bbplatform.PrefixTargets {
		s.next = nil
		s.mu.Unlock()
		return nil, 0, err
	}
	s.mu.Unlock()
	events, rev, err := s.WatchStore.Poll(ctx, prefix, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		if e.Value == nil {
			s.toldAt[e.Key] = time.Now()
		}
	}
	return events, rev, err
}

// targetsInUse returns how many targets of a service get requests.
func targetsInUse(f *follower, service bbunit.ServiceID) int {
	n := 0
	if targets := f.board.targetsOf(service); targets != nil {
		for _, target := range targets.Targets {
			if !target.Leaving {
				n++
			}
		}
	}
	return n
}

// removalReadTime is what polling leaves of the time in which a target that
// leaves must get its last request.
const removalReadTime = 500 * time.Millisecond

func TestRemovedTargetIsNotTakenForALapseOfTheStore(t *testing.T) {
	for name, failure := range map[string]error{"a call failed": bbstore.ErrDown, "the history was compacted": bbstore.ErrCompacted} {
		for count := 2; count <= 3; count++ {
			t.Run(fmt.Sprintf("%s/%d targets", name, count), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := &harness{t: t, mem: bbstore.NewMem()}
				h.declarePlan(1, 1000)
				for i := range count {
					h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprintf("t%d", i), Service: "desk"})
				}
				store := newFailingStore(h.mem)
				network := newFakeNetwork()
				f, _ := startFollower(t, network.newPeer("a", "uppsala"), store)
				await(t, "all are in use", 3*time.Second, func() bool { return targetsInUse(f, "desk") == count })
				store.failNext(errors.Trace(failure))
				await(t, "the call has failed", 3*time.Second, store.failed)
				key := bbplatform.PrefixTargets + "t0"
				e, err := h.mem.Get(t.Context(), key)
				is.NoErr(err)
				_, err = h.mem.CAS(t.Context(), key, nil, e.Rev, 0)
				is.NoErr(err)
				await(t, "the removal is read", 2*time.Second, func() bool { return store.removalTold(key) })
				await(t, "the target is out of use", removalReadTime, func() bool { return targetsInUse(f, "desk") == count-1 })
			})
		}
	}
}

func TestTargetsStayInUseWhileTheirEntriesLapse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &harness{t: t, mem: bbstore.NewMem()}
	h.declarePlan(1, 1000)
	lease, err := h.mem.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	services := map[bbunit.ServiceID]int{"desk": 2, "llm": 1, "book": 3}
	var targets []*bbplatformstand.Target
	for service, count := range services {
		for i := range count {
			target, stop, err := bbplatformstand.NewTarget(bbplatformstand.TargetOptions{ID: fmt.Sprintf("%s%d", service, i), Service: string(service), Domain: "uppsala"})
			is.NoErr(err)
			t.Cleanup(stop)
			key, value := target.Entry("ready")
			_, err = h.mem.CAS(t.Context(), key, value, 0, lease)
			is.NoErr(err)
			targets = append(targets, target)
		}
	}
	allInUse := func(f *follower) bool {
		for service, count := range services {
			if targetsInUse(f, service) != count {
				return false
			}
		}
		return true
	}
	f, _ := startFollower(t, newFakeNetwork().newPeer("a", "uppsala"), h.mem)
	await(t, "all are in use", 3*time.Second, func() bool { return allInUse(f) })
	h.mem.SetFaults(storeDown)
	time.Sleep(2500 * time.Millisecond)
	h.mem.ExpireLease(lease)
	h.mem.SetFaults(storeUp)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.True(allInUse(f)) // a target is not used although it is alive
	}
	for _, target := range targets {
		is.NoErr(target.Register(t.Context(), h.mem, "ready"))
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.True(allInUse(f)) // a target is not used although its entry is back
	}
}

// A planned stop ends the poll that waits.
func TestStopIsNoOutage(t *testing.T) {
	is := is.New(t)
	logs := &logBuffer{}
	log := logrus.New()
	log.SetOutput(logs)
	h := &harness{t: t, mem: bbstore.NewMem()}
	h.declarePlan(1, 1000)
	f := newFollower(h.mem, &Board{}, log, time.Now, newTestWays())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.followPlan(ctx)
		close(ended)
	}()
	await(t, "a poll waits", time.Second, func() bool { return f.poll.Load() != nil })
	stop()
	<-ended
	is.True(!strings.Contains(logs.String(), "store-lost"))
}
