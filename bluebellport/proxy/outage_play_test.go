package bbproxy

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bluebellport.example/bluebellport/path"
	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// The play of a store that falls silent.
var (
	outageInstances = flag.Int("outage-instances", 8, "instances in the play of a silent store")
	outageSeeds     = flag.Int("outage-seeds", 1, "phases of the outage that are played for each of its lengths")
)

const (
	// outageDomains is the number of failure domains in the play.
	outageDomains = 4
	// outageInForceTime is within which time a plan has to be in force that is accepted
	// after an outage.
	outageInForceTime = time.Second
	// outageChangeInterval is the time between the changes that follow an outage.
	outageChangeInterval = 150 * time.Millisecond
	// storeLatency is how long the store's path takes in each direction.
	storeLatency = 2 * time.Millisecond
)

// storePath passes connections on to the store. While it is silent it carries nothing, and
// a connection that was open or was opened meanwhile never carries anything again.
type storePath struct {
	mu     sync.Mutex
	silent bool
	epoch  int // counts the silences
}

// newStorePath serves mem behind a path. It returns the path and its address.
func newStorePath(t *testing.T, mem *bbstore.Mem) (*storePath, string) {
	is := is.New(t)
	stand, stopStand := bbplatformstand.NewStore(mem)
	serverLn, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	p := &storePath{}
	go func() { _ = (&fasthttp.Server{Handler: stand.Handle}).Serve(serverLn) }()
	go p.accept(ln, serverLn.Addr().String())
	t.Cleanup(func() {
		stopStand()
		_ = ln.Close()
		_ = serverLn.Close()
	})
	return p, ln.Addr().String()
}

// setSilent begins or ends a silence.
func (p *storePath) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if silent && !p.silent {
		p.epoch++
	}
	p.silent = silent
}

func (p *storePath) state() (epoch int, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.silent
}

func (p *storePath) accept(ln net.Listener, to string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		epoch, silent := p.state()
		far, err := net.Dial("tcp4", to)
		if err != nil {
			_ = near.Close()
			continue
		}
		carries := func() bool {
			now, nowSilent := p.state()
			return !silent && !nowSilent && now == epoch
		}
		go carryBytes(far, near, carries)
		go carryBytes(near, far, carries)
	}
}

// carryBytes copies what arrives until a connection ends, and drops it while the path does
// not carry.
func carryBytes(to, from net.Conn, carries func() bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, linkSegment)
	for {
		n, err := from.Read(buf)
		time.Sleep(storeLatency)
		if carries() {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// newOutageFleet returns a fleet over several failure domains, all of whose instances
// reach the store over one path.
func newOutageFleet(t *testing.T) (*grownFleet, *storePath) {
	g := &grownFleet{t: t, mem: bbstore.NewMem(), rand: rand.New(rand.NewPCG(1, 2))}
	g.grow(20)
	path, address := newStorePath(t, g.mem)
	network := newFakeNetwork()
	peers := make([]*fakePeer, *outageInstances)
	for i := range peers {
		peers[i] = network.newPeer(bbunit.InstanceID(fmt.Sprintf("i%d", i)), bbunit.DomainID(fmt.Sprintf("d%d", i%outageDomains)))
	}
	for _, peer := range peers {
		store, closeStore := bbplatform.NewStore(address, 0)
		t.Cleanup(closeStore)
		f, _ := startFollower(t, peer, store)
		g.followers = append(g.followers, f)
	}
	return g, path
}

// TestPlanIsInForceSoonAfterTheStoreWasSilent guards against a fleet that waits, after an
// outage in which calls hang, for the answer to a poll that the outage has lost.
func TestPlanIsInForceSoonAfterTheStoreWasSilent(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second} {
		for seed := range *outageSeeds {
			t.Run(fmt.Sprintf("%s/%d", silence, seed), func(t *testing.T) {
				t.Parallel()
				g, path := newOutageFleet(t)
				g.awaitVersion(1, time.Now(), 10*time.Second)
				phase := rand.New(rand.NewPCG(uint64(seed), uint64(silence)))
				time.Sleep(time.Second + time.Duration(phase.Int64N(int64(planPollWait))))
				path.setSilent(true)
				time.Sleep(silence)
				path.setSilent(false)
				var writtenAt [4]time.Time
				for i := range writtenAt {
					writtenAt[i] = time.Now()
					g.grow(1)
					time.Sleep(outageChangeInterval)
				}
				for i, at := range writtenAt {
					t.Logf("change %d: in force everywhere after %s", i+1, g.awaitVersion(i+2, at, outageInForceTime))
				}
			})
		}
	}
}

// TestCallsAreAnsweredSoonAfterTheStoreWasSilent guards against calls over connections that
// have been idle since before an outage, and are dead.
func TestCallsAreAnsweredSoonAfterTheStoreWasSilent(t *testing.T) {
	is := is.New(t)
	path, address := newStorePath(t, bbstore.NewMem())
	store, closeStore := bbplatform.NewStore(address, 0)
	defer closeStore()
	observeStore(store, &bbpath.Path{})
	var wg sync.WaitGroup
	for range 8 { // as many connections
		wg.Go(func() { _, _ = store.Get(t.Context(), bbplatform.KeyPlan) })
	}
	wg.Wait()
	path.setSilent(true)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := store.Get(ctx, bbplatform.KeyPlan)
	is.True(err != nil)
	path.setSilent(false)
	for range 4 {
		begin := time.Now()
		_, err := store.Get(t.Context(), bbplatform.KeyPlan)
		is.NoErr(err)
		is.True(time.Since(begin) < shareTimeout) // as long as a request waits for money
	}
}
