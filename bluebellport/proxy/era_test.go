package bbproxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// drainTimeout is the time in which a target that leaves gets its last request.
const drainTimeout = 2 * time.Second

// inUse reports whether a target gets requests.
func inUse(f *follower, id bbunit.TargetID) bool {
	if targets := f.board.targetsOf("desk"); targets != nil {
		for _, target := range targets.Targets {
			if target.ID == id {
				return !target.Leaving
			}
		}
	}
	return false
}

// removeEntry removes a target's entry.
func (h *harness) removeEntry(id string) {
	h.t.Helper()
	key := bbplatform.PrefixTargets + id
	e, err := h.mem.Get(h.t.Context(), key)
	is.New(h.t).NoErr(err)
	_, err = h.mem.CAS(h.t.Context(), key, nil, e.Rev, 0)
	is.New(h.t).NoErr(err)
}

// Targets 0 and 1 leave, by their entry and by its removal; 3 is newer than the
// copy; 2 leaves after the store has gone back.
func TestLeavingTargetStaysOutWhenTheStoreGoesBack(t *testing.T) {
	for _, times := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d times", times), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &harness{t: t, mem: bbstore.NewMem()}
			h.declarePlan(1, 1000)
			var targets []*bbplatformstand.Target
			for i := range 3 {
				targets = append(targets, h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprintf("t%d", i), Service: "desk"}))
			}
			older := h.mem.Copy()
			newer := h.startTarget(bbplatformstand.TargetOptions{ID: "t3", Service: "desk"})
			network := newFakeNetwork()
			a, _ := startFollower(t, network.newPeer("a", "uppsala"), h.mem)
			b, _ := startFollower(t, network.newPeer("b", "uppsala"), h.mem)
			both := func(ok func(f *follower) bool) func() bool { return func() bool { return ok(a) && ok(b) } }
			await(t, "all are in use", 5*time.Second, both(func(f *follower) bool { return targetsInUse(f, "desk") == 4 }))
			is.NoErr(targets[0].Register(t.Context(), h.mem, "draining"))
			h.removeEntry("t1")
			await(t, "two are out of use", drainTimeout, both(func(f *follower) bool { return !inUse(f, "t0") && !inUse(f, "t1") }))
			for range times {
				h.mem.GoBack(older)
				for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					for _, f := range []*follower{a, b} {
						is.True(!inUse(f, "t0") && !inUse(f, "t1")) // a target that leaves is used again
						is.True(inUse(f, "t2") && inUse(f, "t3"))   // a target that stays is not used
					}
				}
			}
			is.NoErr(newer.Register(t.Context(), h.mem, "ready"))
			is.NoErr(targets[0].Register(t.Context(), h.mem, "draining"))
			h.removeEntry("t1")
			is.NoErr(targets[2].Register(t.Context(), h.mem, "draining"))
			await(t, "the next is out of use", drainTimeout, both(func(f *follower) bool { return !inUse(f, "t2") }))
			time.Sleep(2 * time.Second)
			is.True(both(func(f *follower) bool { return targetsInUse(f, "desk") == 1 && inUse(f, "t3") })())
		})
	}
}

// In the older copy the plan is older. Once it is written again, instances that
// had it and one that has just started agree on it without reading it over and
// over.
func TestPlanIsKeptAndSettledWhenTheStoreGoesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &harness{t: t, mem: bbstore.NewMem()}
	h.declarePlan(4, 1000)
	h.startTarget(testTarget)
	older := h.mem.Copy()
	h.declarePlan(5, 1000)
	network := newFakeNetwork()
	a, _ := startFollower(t, network.newPeer("a", "uppsala"), h.mem)
	b, _ := startFollower(t, network.newPeer("b", "gavle"), h.mem)
	known := func(f *follower, version int) bool {
		plan := f.board.Plan.Load()
		return plan != nil && int(plan.Version) == version
	}
	await(t, "the plan is in force", 3*time.Second, func() bool { return known(a, 5) && known(b, 5) })
	h.mem.GoBack(older)
	c, _ := startFollower(t, network.newPeer("c", "gavle"), h.mem)
	time.Sleep(time.Second)
	is.True(known(a, 5) && known(b, 5))
	h.declarePlan(5, 1000)
	await(t, "all have the plan", 5*time.Second, func() bool { return known(c, 5) })
	time.Sleep(time.Second)
	before := h.mem.Counts().Reads
	time.Sleep(3 * time.Second)
	is.True(h.mem.Counts().Reads-before <= 3) // the plan is read over and over
	is.Equal(a.planRevision(), c.planRevision())
	is.True(known(a, 5) && known(b, 5) && known(c, 5))
}

// TestRemovedTargetStaysOutAtInstancesThatDoNotList guards against a removed target
// that is used again when a watcher tells of an older copy's entry.
func TestRemovedTargetStaysOutAtInstancesThatDoNotList(t *testing.T) {
	is := is.New(t)
	h := &harness{t: t, mem: bbstore.NewMem()}
	target := h.startTarget(testTarget)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := newFollower(h.mem, &Board{}, log, time.Now, newTestWays())
	key, ready := target.Entry("ready")
	tell := func(era bbstore.Era, counter int64, value []byte) {
		f.applyEvents([]bbstore.Event{{Entry: bbstore.Entry{Key: key, Value: value, Rev: bbstore.NewRevision(era, counter)}}}, wayWatcher)
	}
	tell(0, 45, ready)
	is.True(inUse(f, "t1"))
	tell(0, 60, nil)
	is.True(!inUse(f, "t1"))
	tell(1, 45, ready)
	is.True(!inUse(f, "t1")) // the copy's entry
	tell(1, 50, nil)
	is.True(!inUse(f, "t1"))
}
