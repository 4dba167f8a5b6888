package bbproxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fakeNetwork carries messages between instances in one process.
type fakeNetwork struct {
	mu     sync.Mutex
	peers  map[bbunit.InstanceID]*fakePeer
	silent map[bbunit.InstanceID]bool // neither sends nor answers
	loss   float64                    // probability that a message is lost
}

// fakePeer is one instance's connection to the network.
type fakePeer struct {
	network  *fakeNetwork
	self     bbmember.Member
	link     *instanceLink
	handlers map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	streams  map[string]func(bbunit.InstanceID, net.Conn) // by kind
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{peers: map[bbunit.InstanceID]*fakePeer{}, silent: map[bbunit.InstanceID]bool{}}
}

func (n *fakeNetwork) newPeer(id bbunit.InstanceID, domain bbunit.DomainID) *fakePeer {
	peer := &fakePeer{network: n, self: bbmember.Member{ID: id, Domain: domain}, link: newInstanceLink(0), handlers: map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{}, streams: map[string]func(bbunit.InstanceID, net.Conn){}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[id] = peer
	return peer
}

func (p *fakePeer) deliver(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	p.network.mu.Lock()
	peer := p.network.peers[to]
	silent := p.network.silent[to] || p.network.silent[p.self.ID] || rand.Float64() < p.network.loss
	var fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	if peer != nil {
		fn = peer.handlers[reflect.TypeOf(e.GetBody())]
	}
	p.network.mu.Unlock()
	if silent || fn == nil {
		return nil, io.EOF
	}
	carry(ctx, p.link, peer.link, e)
	reply := fn(p.self.ID, e)
	if reply != nil {
		carry(ctx, peer.link, p.link, reply)
	}
	return reply, ctx.Err()
}

func (p *fakePeer) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	go func() { _, _ = p.deliver(context.Background(), to, e) }()
	return nil
}

func (p *fakePeer) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	return p.deliver(ctx, to, e)
}

func (p *fakePeer) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.handlers[reflect.TypeOf(sample.GetBody())] = fn
}

// member describes the instance, with the rate of its link.
func (p *fakePeer) member() bbmember.Member {
	m := p.self
	m.LinkMbps = uint32(p.link.up.rate * 8 / 1e6)
	return m
}

func (p *fakePeer) View() *bbmember.View {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	v := &bbmember.View{Self: p.member()}
	for _, other := range p.network.peers {
		v.Members = append(v.Members, other.member())
	}
	return v
}

func (p *fakePeer) UpdateList([]bbmember.ListEntry) {}

// OpenStream opens a stream in memory.
func (p *fakePeer) OpenStream(_ context.Context, to bbunit.InstanceID, kind string) (net.Conn, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	peer := p.network.peers[to]
	if peer == nil || peer.streams[kind] == nil || p.network.silent[to] || p.network.silent[p.self.ID] {
		return nil, io.EOF
	}
	fn := peer.streams[kind]
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		fn(p.self.ID, far)
	}()
	return near, nil
}

func (p *fakePeer) HandleStream(kind string, fn func(bbunit.InstanceID, net.Conn)) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.streams[kind] = fn
}

// newTestWays returns the ways of an instance without peers.
func newTestWays() *targetWays {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newTargetWays(dialTCP, noPeers{}, &Board{}, &trafficMeter{}, time.Now, log, metrics.NewRegistry())
}

// setSilent cuts an instance off from its peers, or ends that.
func (n *fakeNetwork) setSilent(id bbunit.InstanceID, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[id] = silent
}

// setLoss sets the probability that a message is lost.
func (n *fakeNetwork) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// startFollower runs the follower and the relay of one instance.
func startFollower(t *testing.T, peer *fakePeer, store WatchStore) (*follower, *relay) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	begin := time.Now()
	f := newFollower(store, &Board{}, log, func() time.Time { return begin.Add(time.Since(begin)) }, newTestWays())
	if s, ok := store.(*bbplatform.Store); ok {
		observeStore(s, f.path)
	}
	ctx, cancel := context.WithCancel(context.Background())
	spreader := newSpreader(ctx, f, peer, peer.link.up.rate, metrics.NewRegistry())
	r := newRelay(peer, f, spreader)
	var wg sync.WaitGroup
	wg.Go(func() { spreader.Run(ctx) })
	wg.Go(func() { f.followPlan(ctx) })
	wg.Go(func() { f.lookBeside(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Go(func() { r.run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f, r
}

// An instance whose store does not answer follows plan and targets through a
// peer, in its own failure domain or in another one. It learns of a leaving
// target within the time that the platform allows.
func TestFollowThroughPeer(t *testing.T) {
	for _, domain := range []bbunit.DomainID{"uppsala", "gavle"} {
		t.Run(string(domain), func(t *testing.T) {
			is := is.New(t)
			up, down := bbstore.NewMem(), bbstore.NewMem()
			down.SetFaults(storeDown)
			network := newFakeNetwork()
			startFollower(t, network.newPeer("a", "uppsala"), up)
			isolated, _ := startFollower(t, network.newPeer("b", domain), down)
			h := &harness{t: t, mem: up}
			h.declarePlan(1, 1000)
			target := h.startTarget(testTarget)
			await(t, "plan and target are known", 3*time.Second, func() bool {
				service := isolated.board.targetsOf("desk")
				return isolated.board.Plan.Load() != nil && service != nil && len(service.Targets) == 1
			})
			h.declarePlan(2, 2000)
			is.NoErr(target.Register(t.Context(), up, "draining"))
			await(t, "the change is known", 2*time.Second, func() bool {
				return isolated.board.Plan.Load().Version == 2 && isolated.board.targetsOf("desk").Targets[0].Leaving
			})
			h.declarePlan(1, 1) // an older version never replaces a newer one
			time.Sleep(300 * time.Millisecond)
			is.Equal(int(isolated.board.Plan.Load().Version), 2)
		})
	}
}

// One instance of each failure domain watches the store. When it goes silent,
// another one takes over within the time that a leaving target is allowed.
func TestWatchHandover(t *testing.T) {
	is := is.New(t)
	mem := bbstore.NewMem()
	network := newFakeNetwork()
	relays := map[bbunit.InstanceID]*relay{}
	h := &harness{t: t, mem: mem}
	h.declarePlan(1, 1000)
	h.startTarget(testTarget)
	ids := []bbunit.InstanceID{"a", "b", "c"}
	peers := map[bbunit.InstanceID]*fakePeer{}
	for _, id := range ids {
		peers[id] = network.newPeer(id, "uppsala")
	}
	for _, id := range ids {
		_, relays[id] = startFollower(t, peers[id], mem)
	}
	watching := func() (out []bbunit.InstanceID) {
		for _, id := range ids {
			if relays[id].isWatcher() {
				out = append(out, id)
			}
		}
		return out
	}
	await(t, "one instance watches", 5*time.Second, func() bool { return len(watching()) == 1 })
	first := watching()[0]
	is.Equal(first, peers["a"].View().Rank(watchKey, "uppsala", 1)[0].ID)
	network.mu.Lock()
	network.silent[first] = true
	network.mu.Unlock()
	await(t, "another instance watches", 2*time.Second, func() bool { return len(watching()) >= 2 })
}

// A plan is read from the store if the peer that announced it does not answer.
func TestPlanOfSilentPeer(t *testing.T) {
	mem := bbstore.NewMem()
	network := newFakeNetwork()
	f, r := startFollower(t, network.newPeer("a", "uppsala"), mem)
	h := &harness{t: t, mem: mem}
	h.declarePlan(1, 1000)
	e, err := mem.Get(t.Context(), bbplatform.KeyPlan)
	is.New(t).NoErr(err)
	r.handleNewsTell("gone", &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{Revision: int64(e.Rev), Watch: true, Digest: f.newsDigest().Digest}}})
	await(t, "the plan is in force", 2*time.Second, func() bool { return f.board.Plan.Load() != nil })
}
