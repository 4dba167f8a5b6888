package bbproxy

import (
	"context"
	"io"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// exchangeBoard carries envelopes between instances in one process.
type exchangeBoard struct {
	mu    sync.Mutex
	ports map[bbunit.InstanceID]*port
	mute  map[bbunit.InstanceID]bool // sends nothing and answers nothing
}

// port is one instance's side of it.
type port struct {
	board    *exchangeBoard
	self     bbmember.Member
	handlers map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
}

func (b *exchangeBoard) port(id bbunit.InstanceID, domain bbunit.DomainID) *port {
	p := &port{board: b, self: bbmember.Member{ID: id, Domain: domain}, handlers: map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ports[id] = p
	return p
}

func (p *port) reach(to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	p.board.mu.Lock()
	peer := p.board.ports[to]
	muted := p.board.mute[to] || p.board.mute[p.self.ID]
	var fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	if peer != nil {
		fn = peer.handlers[reflect.TypeOf(e.GetBody())]
	}
	p.board.mu.Unlock()
	if muted || fn == nil {
		return nil, io.EOF
	}
	return fn(p.self.ID, e), nil
}

func (p *port) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	go func() { _, _ = p.reach(to, e) }()
	return nil
}

func (p *port) Call(_ context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	return p.reach(to, e)
}

func (p *port) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.handlers[reflect.TypeOf(sample.GetBody())] = fn
}

func (p *port) View() *bbmember.View {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	v := &bbmember.View{Self: p.self}
	for _, other := range p.board.ports {
		v.Members = append(v.Members, other.self)
	}
	return v
}

func (p *port) Listed([]bbmember.ListEntry) {}

// watcherOf runs the followers and the relay of one instance.
func watcherOf(t *testing.T, p *port, store Watched) (*follower, *relay) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	begin := time.Now()
	f := newFollower(store, &Board{}, log, func() time.Time { return begin.Add(time.Since(begin)) }, &meter{})
	r := newRelay(p, f)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.followPlan(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Go(func() { r.run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f, r
}

// An instance whose store does not answer follows plan and targets through a
// peer, whether that is of its failure domain or not, within what the platform
// allows for a target that leaves.
func TestFollowsThroughAPeer(t *testing.T) {
	for _, domain := range []bbunit.DomainID{"uppsala", "gavle"} {
		t.Run(string(domain), func(t *testing.T) {
			is := is.New(t)
			up, down := bbstore.NewMem(), bbstore.NewMem()
			down.SetFaults(storeDown)
			board := &exchangeBoard{ports: map[bbunit.InstanceID]*port{}, mute: map[bbunit.InstanceID]bool{}}
			watcherOf(t, board.port("a", "uppsala"), up)
			cut, _ := watcherOf(t, board.port("b", domain), down)
			b := &bed{t: t, mem: up}
			b.plan(1, 1000)
			one := b.target(testTarget)
			await(t, "plan and target are known", 3*time.Second, func() bool {
				g := cut.board.group("desk")
				return cut.board.Plan.Load() != nil && g != nil && len(g.Servers) == 1
			})
			b.plan(2, 2000)
			is.NoErr(one.Register(t.Context(), up, "draining"))
			await(t, "the change is known", 2*time.Second, func() bool {
				return cut.board.Plan.Load().Version == 2 && cut.board.group("desk").Servers[0].Leaving
			})
			b.plan(1, 1) // an older version never replaces a newer one
			time.Sleep(300 * time.Millisecond)
			is.Equal(int(cut.board.Plan.Load().Version), 2)
		})
	}
}

// Of the instances of a failure domain one watches the store; when it falls
// silent, another one does within the time that a leaving target is allowed.
func TestTheWatchIsHandedOver(t *testing.T) {
	is := is.New(t)
	mem := bbstore.NewMem()
	board := &exchangeBoard{ports: map[bbunit.InstanceID]*port{}, mute: map[bbunit.InstanceID]bool{}}
	relays := map[bbunit.InstanceID]*relay{}
	b := &bed{t: t, mem: mem}
	b.plan(1, 1000)
	b.target(testTarget)
	ids := []bbunit.InstanceID{"a", "b", "c"}
	ports := map[bbunit.InstanceID]*port{}
	for _, id := range ids {
		ports[id] = board.port(id, "uppsala")
	}
	for _, id := range ids {
		_, relays[id] = watcherOf(t, ports[id], mem)
	}
	watching := func() (out []bbunit.InstanceID) {
		for _, id := range ids {
			if relays[id].duty() {
				out = append(out, id)
			}
		}
		return out
	}
	await(t, "one watches", 5*time.Second, func() bool { return len(watching()) == 1 })
	first := watching()[0]
	is.Equal(first, ports["a"].View().Rank(watchKey, "uppsala", 1)[0].ID)
	board.mu.Lock()
	board.mute[first] = true
	board.mu.Unlock()
	await(t, "another one watches", 2*time.Second, func() bool { return len(watching()) >= 2 })
}

// The store is read when the peer that spoke of a plan does not answer.
func TestPlanOfASilentPeer(t *testing.T) {
	mem := bbstore.NewMem()
	board := &exchangeBoard{ports: map[bbunit.InstanceID]*port{}, mute: map[bbunit.InstanceID]bool{}}
	f, r := watcherOf(t, board.port("a", "uppsala"), mem)
	b := &bed{t: t, mem: mem}
	b.plan(1, 1000)
	e, err := mem.Get(t.Context(), bbplatform.KeyPlan)
	is.New(t).NoErr(err)
	r.heard("gone", &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{Revision: int64(e.Rev), Watch: true, Digest: f.digest().Digest}}})
	await(t, "the plan is in force", 2*time.Second, func() bool { return f.board.Plan.Load() != nil })
}
