package bbport

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// fakeList serves the platform's list of instances, as the test sets it.
type fakeList struct {
	mu      sync.Mutex
	entries []map[string]any
	down    bool
	srv     *httptest.Server
}

func newFakeList(t testing.TB) *fakeList {
	l := &fakeList{entries: []map[string]any{}}
	l.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(l.entries)
	}))
	t.Cleanup(l.srv.Close)
	return l
}

func (l *fakeList) add(id, domain, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, map[string]any{"id": id, "domain": domain, "address": address, "state": "live", "zone": "ignored"})
}

func (l *fakeList) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// testInstance has the peers and the follower of an instance, on loopback.
type testInstance struct {
	id       bbunit.InstanceID
	deps     Deps
	peers    *Peers
	follower *Follower
	stop     func()
}

var lastTestIncarnation atomic.Uint64

const (
	testGossipPeriod     = 50 * time.Millisecond
	testSuspicionTimeout = 400 * time.Millisecond
)

func testDeps(id, domain, list string, store bbstore.Store) Deps {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := bbmember.Member{ID: bbunit.InstanceID(id), Inc: bbunit.Incarnation(lastTestIncarnation.Add(1)), Domain: bbunit.DomainID(domain)}
	return Deps{
		Board: NewBoard(self), Store: store, Log: log, Metrics: metrics.NewRegistry(), Now: time.Now,
		Opts: &Options{
			Self: SelfOptions{Instance: id, Domain: domain, ListAddress: list},
			Peer: PeerOptions{ListenAddress: "127.0.0.1:0", GossipPeriod: testGossipPeriod, SuspicionTimeout: testSuspicionTimeout},
		},
	}
}

// startInstance starts an instance, which is stopped at the end of the test,
// and adds it to the list.
func startInstance(t testing.TB, id, domain string, l *fakeList, store bbstore.Store) *testInstance {
	t.Helper()
	inst := startInstanceWith(t, testDeps(id, domain, l.srv.Listener.Addr().String(), store))
	l.add(id, domain, inst.address())
	return inst
}

// startInstanceWith starts an instance, which is stopped at the end of the
// test.
func startInstanceWith(t testing.TB, deps Deps) *testInstance {
	t.Helper()
	inst := &testInstance{id: deps.Opts.Self.ID(), deps: deps}
	peers, stopPeers, err := NewPeers(inst.deps)
	if err != nil {
		t.Fatal(err)
	}
	inst.peers, inst.deps.Bus = peers, peers
	follower, stopFollower := NewFollower(inst.deps, peers)
	inst.follower = follower
	var once sync.Once
	inst.stop = func() {
		once.Do(func() {
			stopFollower()
			stopPeers()
		})
	}
	t.Cleanup(inst.stop)
	return inst
}

func (i *testInstance) address() string { return i.view().Self.Address }

// kill stops the instance without announcing that it leaves.
func (i *testInstance) kill() {
	i.peers.members.mu.Lock()
	i.peers.members.leaveSent = true
	i.peers.members.mu.Unlock()
	i.stop()
}

func (i *testInstance) view() *bbmember.View { return i.deps.Board.View.Load() }

func (i *testInstance) number() bbunit.TicketNumber { return i.deps.Board.State.Load().Number }

// sees reports whether the instance's view contains another that is not
// leaving.
func (i *testInstance) sees(id bbunit.InstanceID) bool {
	m, ok := i.view().Find(id)
	return ok && !m.Leaving
}

// within waits until ok returns true and returns the time that this took. It
// fails the test if that is longer than d.
func within(t testing.TB, d time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > d {
			t.Fatalf("not within %s: %s", d, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// tcpProxy forwards connections. freeze silences the open ones permanently,
// while new ones work.
type tcpProxy struct {
	ln     net.Listener
	mu     sync.Mutex
	target string
	frozen *atomic.Bool
	conns  []net.Conn
}

func newTCPProxy(t testing.TB) *tcpProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{ln: ln, frozen: &atomic.Bool{}}
	t.Cleanup(func() {
		_ = ln.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	go p.run()
	return p
}

func (p *tcpProxy) run() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		target := p.target
		p.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		frozen := p.frozen
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go forward(in, out, frozen)
		go forward(out, in, frozen)
	}
}

func forward(from, to net.Conn, frozen *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil && !frozen.Load() {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		if frozen.Load() {
			continue
		}
		_, _ = to.Write(b[:n])
	}
}

func (p *tcpProxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

func (p *tcpProxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen.Store(true)
	p.frozen = &atomic.Bool{}
}
