package bbproxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Times of the rule that the play checks.
const (
	// silentInForceTime is within which time an accepted plan has to be in force.
	silentInForceTime = 2 * time.Second
	// silentContactTime is how long after the last of its connections fell silent an
	// instance is in touch again.
	silentContactTime = 3 * time.Second
)

// silentPlay is a play of connections to the store that fall silent.
type silentPlay struct {
	name string
	// instances are spread over domains.
	instances, domains int
	// first silences only the connections of the first instance.
	first bool
	// waiting silences those on which a call waits for changes under a prefix, all others
	// as well if it is empty.
	waiting string
	// at is when they fall silent, before the change; more are silenced after each gap.
	at    time.Duration
	times int
	gap   time.Duration
	// alone loses the messages between instances from then on.
	alone bool
}

// newSilentFleet returns a fleet each of whose instances reaches the store over a path of
// its own.
func newSilentFleet(t *testing.T, p silentPlay) (*grownFleet, *fakeNetwork, []*connPath) {
	g := &grownFleet{t: t, mem: bbstore.NewMem(), rand: rand.New(rand.NewPCG(1, 2))}
	g.grow(20)
	network := newFakeNetwork()
	peers := make([]*fakePeer, p.instances)
	for i := range peers {
		peers[i] = network.newPeer(bbunit.InstanceID(fmt.Sprintf("i%d", i)), bbunit.DomainID(fmt.Sprintf("d%d", i%p.domains)))
	}
	stand, stopStand := bbplatformstand.NewStore(g.mem)
	t.Cleanup(stopStand)
	var paths []*connPath
	for _, peer := range peers {
		path, address := newConnPath(t, stand)
		store, closeStore := bbplatform.NewStore(address, 0)
		t.Cleanup(closeStore)
		f, _ := startFollower(t, peer, store)
		g.followers = append(g.followers, f)
		paths = append(paths, path)
	}
	return g, network, paths
}

// silence makes connections of the fleet silent as the play says, and returns how many.
func (p silentPlay) silence(paths []*connPath) int {
	n := 0
	for i, path := range paths {
		if i == 0 || !p.first {
			n += path.silence(p.waiting)
		}
	}
	return n
}

// All polls of a fleet are silent at one moment, while new connections work.
func TestPlanIsInForceThoughAllPollsFallSilent(t *testing.T) {
	for _, p := range []silentPlay{
		{name: "polls for plans", instances: 4, domains: 4, waiting: bbplatform.PrefixOperator, at: 100 * time.Millisecond, times: 1},
		{name: "polls for plans, 1.5 s before", instances: 4, domains: 4, waiting: bbplatform.PrefixOperator, at: 1500 * time.Millisecond, times: 1},
		{name: "polls for plans, two failure domains", instances: 2, domains: 2, waiting: bbplatform.PrefixOperator, at: 100 * time.Millisecond, times: 1},
		{name: "polls for plans, one failure domain", instances: 3, domains: 1, waiting: bbplatform.PrefixOperator, at: 100 * time.Millisecond, times: 1},
		{name: "all polls", instances: 6, domains: 4, waiting: "/", at: 100 * time.Millisecond, times: 1},
		{name: "all connections", instances: 6, domains: 4, at: 100 * time.Millisecond, times: 1},
		{name: "one instance alone", instances: 4, domains: 4, first: true, waiting: bbplatform.PrefixOperator, at: 100 * time.Millisecond, times: 1},
		{name: "polls for plans, and the messages between instances", instances: 6, domains: 4, waiting: bbplatform.PrefixOperator, at: 100 * time.Millisecond, times: 1, alone: true},
		{name: "again and again", instances: 4, domains: 4, waiting: bbplatform.PrefixOperator, at: 2100 * time.Millisecond, times: 4, gap: 700 * time.Millisecond},
		{name: "again and again, all connections", instances: 4, domains: 4, at: 2100 * time.Millisecond, times: 4, gap: 700 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g, network, paths := newSilentFleet(t, p)
			g.awaitVersion(1, time.Now(), 10*time.Second)
			time.Sleep(time.Second)
			g.grow(1) // ends all polls, so that the next ones begin together
			g.awaitVersion(2, time.Now(), silentInForceTime)
			time.Sleep(400 * time.Millisecond)
			begin := time.Now()
			var silentAt time.Time
			silent := 0
			if p.alone {
				network.setLoss(1)
			}
			for i := range p.times {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * p.gap)))
				silentAt = time.Now()
				silent += p.silence(paths)
			}
			is.True(silent > 0)
			time.Sleep(time.Until(begin.Add(p.at)))
			writtenAt := time.Now()
			g.grow(1)
			within := max(silentInForceTime, silentAt.Add(silentContactTime).Sub(writtenAt))
			t.Logf("in force everywhere after %s", g.awaitVersion(3, writtenAt, within))
		})
	}
}

// Polls fall silent one after the other.
func TestPollIsNotSilentForLong(t *testing.T) {
	is := is.New(t)
	p := silentPlay{instances: 4, domains: 4, waiting: bbplatform.PrefixOperator}
	g, _, paths := newSilentFleet(t, p)
	g.awaitVersion(1, time.Now(), 10*time.Second)
	for i := range paths {
		time.Sleep(300 * time.Millisecond)
		is.True(paths[i].silence(p.waiting) > 0)
		g.grow(1)
		t.Logf("change %d: in force everywhere after %s", i+1, g.awaitVersion(i+2, time.Now(), silentInForceTime))
	}
}

func TestLeavingTargetIsKnownThoughItsPollsFallSilent(t *testing.T) {
	for _, times := range []int{1, 4} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := silentPlay{instances: 4, domains: 4, waiting: bbplatform.PrefixTargets}
			g, _, paths := newSilentFleet(t, p)
			entry := func(state string) []byte {
				return []byte(`{"service":"llm","address":"10.9.0.1:80","zone":"d0","version":1,"slots":8,"state":"` + state + `","sequence":1}`)
			}
			rev, err := g.mem.CAS(t.Context(), bbplatform.PrefixTargets+"t1", entry("ready"), 0, 0)
			is.NoErr(err)
			knows := func(leaving bool) bool {
				for _, f := range g.followers {
					service := f.board.targetsOf("llm")
					if service == nil || len(service.Candidates) != 1 || service.Candidates[0].Leaving != leaving {
						return false
					}
				}
				return true
			}
			await(t, "the target is known", 5*time.Second, func() bool { return knows(false) })
			var silentAt time.Time
			for range times {
				for _, path := range paths {
					await(t, "a poll is silent", 5*time.Second, func() bool { return path.silence(p.waiting) > 0 })
				}
				silentAt = time.Now()
			}
			writtenAt := time.Now()
			_, err = g.mem.CAS(t.Context(), bbplatform.PrefixTargets+"t1", entry("draining"), rev, 0)
			is.NoErr(err)
			await(t, "the leaving is known", max(silentInForceTime, silentAt.Add(silentContactTime).Sub(writtenAt)), func() bool { return knows(true) })
			t.Logf("known everywhere after %s", time.Since(writtenAt))
		})
	}
}

// waitsFor reports whether the head of a request asks to wait for changes under a prefix.
func waitsFor(head, prefix string) bool {
	_, query, ok := strings.Cut(head, "/kv-watch?path-prefix=")
	if !ok || strings.Contains(head, "wait-ms=0 ") {
		return false
	}
	return strings.HasPrefix(query, strings.ReplaceAll(prefix, "/", "%2F")) || prefix == "/"
}

// The whole answer to a look is not the answer to the poll beside it.
func TestSilentPollEndsOnceALookHasItsNews(t *testing.T) {
	p := silentPlay{instances: 1, domains: 1, waiting: bbplatform.PrefixOperator}
	g, _, paths := newSilentFleet(t, p)
	g.awaitVersion(1, time.Now(), 10*time.Second)
	await(t, "the poll is silent", time.Second, func() bool { return p.silence(paths) > 0 })
	g.grow(1)
	g.awaitVersion(2, time.Now(), silentInForceTime)
	await(t, "the poll is ended", 2*overtakenGrace, func() bool { return g.followers[0].overtaken.Load() > 0 })
	await(t, "the next one waits", time.Second, func() bool { return p.silence(paths) > 0 })
}

// A peer tells late, or without the time, that the store has answered it.
func TestOldNewsConfirmNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newFollower(bbstore.NewMem(), &Board{}, quietLog(), func() time.Time { return now }, newTestWays())
	f.hearLooked(&bbwire.NewsTell{Looked: 7}) // of the build before
	_, ok := f.confirmed.Age(now)
	is.True(!ok)
	f.hearLooked(&bbwire.NewsTell{Looked: 7, LookedAge: 301})
	is.Equal(f.unconfirmed(), 300*time.Millisecond)
	now = now.Add(time.Second)
	f.hearLooked(&bbwire.NewsTell{Looked: 6, LookedAge: 301}) // overtaken on its way
	is.Equal(f.unconfirmed(), 1300*time.Millisecond)
	tell := f.planNews(0)
	is.Equal(tell.LookedAge, uint32(1301))
}
