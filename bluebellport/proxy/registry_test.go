package bbproxy

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
)

// registerTime is how soon an instance whose entry the store has lost is to be
// listed again.
const registerTime = 1500 * time.Millisecond

func TestInstanceIsListedAgainWhenTheStoreGoesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mem := bbstore.NewMem()
	older := mem.Copy()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := newInstanceRegistry(mem, noPeers{}, &Board{}, log, bbplatform.Settings{Domain: "uppsala", PeerAddress: "127.0.0.1:7001"}, func() bool { return true })
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { r.keepRegistered(ctx) })
	defer wg.Wait()
	defer cancel()
	listed := func() bool {
		entries, _, err := mem.List(t.Context(), instancesPrefix)
		is.NoErr(err)
		return len(entries) == 1
	}
	await(t, "the instance is listed", time.Second, listed)
	for range 3 {
		mem.GoBack(older)
		is.True(!listed())
		await(t, "the instance is listed again", registerTime, listed)
	}
}

// listedPeers keeps the list that a registry passes on.
type listedPeers struct {
	noPeers
	mu   sync.Mutex
	list []bbmember.ListEntry
}

func (p *listedPeers) UpdateList(list []bbmember.ListEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

func (p *listedPeers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}

// TestInstancesAreListedSoonAfterTheStoreWasSilent guards against an instance that does not
// hear of others for as long as a poll waits that an outage has lost.
func TestInstancesAreListedSoonAfterTheStoreWasSilent(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			mem := bbstore.NewMem()
			path, address := newStorePath(t, mem)
			store, closeStore := bbplatform.NewStore(address, 0)
			defer closeStore()
			f, _ := startFollower(t, newFakeNetwork().newPeer("a", "uppsala"), store) // its calls show the path
			peers := &listedPeers{}
			r := newInstanceRegistry(store, peers, &Board{}, f.log, bbplatform.Settings{Domain: "uppsala", PeerAddress: "127.0.0.1:7001"}, func() bool { return true })
			r.path = f.path
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { r.watchInstances(ctx) })
			defer wg.Wait()
			defer cancel()
			list := func(key string) {
				_, err := mem.CAS(t.Context(), instancesPrefix+key, []byte(`{"domain":"uppsala"}`), 0, 0)
				is.NoErr(err)
			}
			list("127.0.0.1:7001")
			await(t, "the first instance is listed", 3*time.Second, func() bool { return peers.count() == 1 })
			time.Sleep(time.Second)
			path.setSilent(true)
			time.Sleep(silence)
			path.setSilent(false)
			list("127.0.0.1:7002")
			await(t, "the second instance is listed", registerTime, func() bool { return peers.count() == 2 })
		})
	}
}
