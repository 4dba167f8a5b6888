package bbport

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

func TestPeersContract(t *testing.T) {
	busContract(t, func(t *testing.T) busPair {
		l := newFakeList(t)
		a, _, err := NewPeers(testDeps("a", "d1", l.srv.Listener.Addr().String(), nil))
		if err != nil {
			t.Fatal(err)
		}
		depsB := testDeps("b", "d1", l.srv.Listener.Addr().String(), nil)
		self := *depsB.Board.View.Load()
		self.Self.Inc = 2
		depsB.Board.View.Store(&self)
		b, stopB, err := NewPeers(depsB)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.close)
		severed := false
		t.Cleanup(func() {
			if !severed {
				stopB()
			}
		})
		l.add("a", "d1", a.Address())
		l.add("b", "d1", b.Address())
		within(t, 5*time.Second, "a sees b", func() bool { _, ok := a.deps.Board.View.Load().Find("b"); return ok })
		return busPair{a: a, b: b, sever: func() {
			severed = true
			stopB()
		}}
	})
}

func TestStreams(t *testing.T) {
	is := is.New(t)
	l := newFakeList(t)
	store := bbstore.NewMem()
	a, b := startInstance(t, "a", "d1", l, store), startInstance(t, "b", "d2", l, store)
	within(t, 5*time.Second, "a sees b", func() bool { return a.sees("b") })
	b.peers.HandleStream("echo", func(from bbunit.InstanceID, conn net.Conn) {
		_, _ = io.WriteString(conn, string(from)+":")
		_, _ = io.CopyN(conn, conn, 5)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := a.peers.OpenStream(ctx, "b", "echo")
	is.NoErr(err)
	_, err = io.WriteString(conn, "hello")
	is.NoErr(err)
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), "a:hello")

	conn, err = a.peers.OpenStream(ctx, "b", "nothing")
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.NoErr(err) // a stream of unknown kind is closed, the session is not
	is.True(b.peers.dropped.Count() > 0)
	is.True(a.peers.existingLink("b").preferredSession() != nil)
}

func (p *Peers) existingLink(id bbunit.InstanceID) *link {
	v, ok := p.links.Load(id)
	if !ok {
		return nil
	}
	return v.(*link)
}

// startPair starts two instances and waits until they see each other.
func startPair(t *testing.T) (a, b *testInstance, l *fakeList) {
	l = newFakeList(t)
	store := bbstore.NewMem()
	a, b = startInstance(t, "a", "d1", l, store), startInstance(t, "b", "d1", l, store)
	within(t, 5*time.Second, "a and b see each other", func() bool { return a.sees("b") && b.sees("a") })
	b.peers.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("ok") })
	return a, b, l
}

func canCall(from *testInstance, to bbunit.InstanceID) bool {
	_, err := busCall(from.peers, to, ticketAskEnvelope(1), 300*time.Millisecond)
	return err == nil
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	proxies := map[string]*tcpProxy{"a": newTCPProxy(t), "b": newTCPProxy(t)}
	start := func(id string) *testInstance {
		deps := testDeps(id, "d1", l.srv.Listener.Addr().String(), store)
		deps.Opts.Peer.SuspicionTimeout = time.Minute // the membership does not probe
		v := *deps.Board.View.Load()
		v.Self.Address = proxies[id].ln.Addr().String()
		deps.Board.View.Store(&v)
		n := startInstanceWith(t, deps)
		proxies[id].setTarget(n.peers.Address())
		l.add(id, "d1", v.Self.Address)
		n.peers.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("ok") })
		return n
	}
	a, _ := start("a"), start("b")
	within(t, 5*time.Second, "an answer through the proxy", func() bool { return canCall(a, "b") })
	for range 2 {
		for _, proxy := range proxies {
			proxy.freeze()
		}
		is.True(!canCall(a, "b"))
		took := within(t, keepAliveTimeout, "an answer over a new connection", func() bool { return canCall(a, "b") })
		t.Logf("answered again %s after the connection went silent", took.Round(10*time.Millisecond))
		is.True(a.sees("b")) // the instance itself is not suspect
	}
}

func TestLeaveAndCrashAreDetected(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	var instances []*testInstance
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		instances = append(instances, startInstance(t, id, "d"+string('1'+id[0]%2), l, store))
	}
	all := func(ok func(inst *testInstance) bool) func() bool {
		return func() bool {
			for _, inst := range instances {
				if !ok(inst) {
					return false
				}
			}
			return true
		}
	}
	within(t, 5*time.Second, "six members", all(func(inst *testInstance) bool { return len(inst.view().Members) == 6 }))
	leaver := instances[0]
	leaver.peers.Leave()
	is.True(!leaver.sees("a")) // a leaving instance is home to no key any more
	instances = instances[1:]
	took := within(t, 2*time.Second, "the leave is known to all", all(func(inst *testInstance) bool { return !inst.sees("a") }))
	t.Logf("leave known to all instances after %s, with the list unchanged", took)
	instances[0].kill()
	instances = instances[1:]
	took = within(t, 15*testSuspicionTimeout, "the crash is known to all", all(func(inst *testInstance) bool { return !inst.sees("b") }))
	t.Logf("crash known to all instances after %s, with the list unchanged", took)
	l.setDown(true)
	time.Sleep(2 * testSuspicionTimeout)
	is.True(instances[0].sees("f")) // an outage of the list does not change the view
}

func TestInstanceRestart(t *testing.T) {
	is := is.New(t)
	a, b, l := startPair(t)
	oldInc := b.view().Self.Inc
	b.kill()
	deps := testDeps("b", "d1", l.srv.Listener.Addr().String(), bbstore.NewMem())
	deps.Opts.Peer.ListenAddress = b.peers.Address() // the same name at the same address
	restarted := startInstanceWith(t, deps)
	restarted.peers.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("new") })
	within(t, 5*time.Second, "the new incarnation in view", func() bool {
		m, ok := a.view().Find("b")
		return ok && m.Inc == restarted.view().Self.Inc
	})
	r, err := busCall(a.peers, "b", ticketAskEnvelope(1), time.Second)
	is.NoErr(err)
	is.Equal(r.Inc, uint64(restarted.view().Self.Inc))
	is.True(r.Inc != uint64(oldInc))
}

func TestAddressTakenByAnotherInstance(t *testing.T) {
	is := is.New(t)
	a, b, l := startPair(t)
	var misdelivered atomic.Int64
	b.peers.Handle(ticketTellEnvelope(""), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope {
		misdelivered.Add(1)
		return nil
	})
	l.add("c", "d1", b.address()) // the list is outdated: b has the address now
	within(t, 5*time.Second, "c is listed", func() bool { return a.sees("c") })
	for range 5 {
		_ = a.peers.Send("c", ticketTellEnvelope("for c"))
		time.Sleep(10 * time.Millisecond)
	}
	within(t, 5*time.Second, "c is removed from the view", func() bool { return !a.sees("c") && a.sees("b") })
	_, err := busCall(a.peers, "c", ticketAskEnvelope(1), time.Second)
	is.True(errors.Is(err, ErrPeerUnreachable))
	is.True(canCall(a, "b"))
	is.Equal(misdelivered.Load(), int64(0))
}

func TestSendDoesNotBlock(t *testing.T) {
	is := is.New(t)
	a, b, _ := startPair(t)
	stall := make(chan struct{})
	b.peers.Handle(ticketTellEnvelope(""), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope {
		<-stall
		return nil
	})
	defer close(stall)
	big := ticketTellEnvelope(string(make([]byte, 1<<20)))
	start := time.Now()
	refused := 0
	for range 4 * linkQueueSize {
		if a.peers.Send("b", big) != nil {
			refused++
		}
	}
	is.True(time.Since(start) < time.Second)
	is.True(refused > 0)
	is.True(a.peers.queueFull.Count() > 0)
}

func TestSimultaneousConnect(t *testing.T) {
	is := is.New(t)
	a, b, _ := startPair(t)
	for range 20 {
		for _, inst := range []*testInstance{a, b} {
			if l := inst.peers.existingLink("a"); inst == b && l != nil {
				l.closeAll()
			}
		}
		done := make(chan bool, 2)
		go func() { done <- within(t, 3*time.Second, "a calls b", func() bool { return canCall(a, "b") }) > 0 }()
		go func() { done <- b.peers.Send("a", ticketTellEnvelope("x")) == nil }()
		is.True(<-done)
		<-done
	}
	within(t, 5*time.Second, "both prefer one session", func() bool {
		x, y := a.peers.existingLink("b").preferredSession(), b.peers.existingLink("a").preferredSession()
		return x != nil && y != nil && x.mux.RemoteAddr().String() == y.mux.LocalAddr().String()
	})
}

// TestDuplicateInstanceName runs an earlier incarnation of an instance beside
// the later one, as after a pause. Messages to the instance reach the later
// one.
func TestDuplicateInstanceName(t *testing.T) {
	is := is.New(t)
	a, older, l := startPair(t)
	newer := startInstanceWith(t, testDeps("b", "d1", l.srv.Listener.Addr().String(), bbstore.NewMem()))
	newer.peers.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("newer") })
	within(t, 5*time.Second, "the later incarnation in view", func() bool {
		m, ok := a.view().Find("b")
		return ok && m.Inc == newer.view().Self.Inc && m.Address == newer.address()
	})
	for range 20 {
		_ = older.peers.Send("a", ticketTellEnvelope("from the earlier incarnation"))
		if l := older.peers.existingLink("a"); l != nil {
			l.closeAll() // it opens a new connection each time
		}
		time.Sleep(20 * time.Millisecond)
		m, ok := a.view().Find("b")
		is.True(ok)
		is.Equal(m.Inc, newer.view().Self.Inc)
	}
	within(t, 3*time.Second, "messages reach the later incarnation", func() bool {
		r, err := busCall(a.peers, "b", ticketAskEnvelope(1), 300*time.Millisecond)
		return err == nil && r.Inc == uint64(newer.view().Self.Inc)
	})
	for range 20 {
		_ = older.peers.Send("a", ticketTellEnvelope("from the earlier incarnation"))
		r, err := busCall(a.peers, "b", ticketAskEnvelope(1), time.Second)
		is.NoErr(err)
		is.Equal(r.Inc, uint64(newer.view().Self.Inc))
	}
}

// TestExitDoesNotWaitLongForAPeerThatDoesNotRead guards against an instance that is
// killed after its stop, since it waits for what a peer does not take.
func TestExitDoesNotWaitLongForAPeerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	a, _, _ := startPair(t)
	is.True(canCall(a, "b"))
	a.peers.existingLink("b").pending.Add(1) // never taken
	a.peers.Leave()
	time.Sleep(leaveFlushTimeout)
	begin := time.Now()
	a.stop()
	is.True(time.Since(begin) < 2*lastFlushTimeout)
}
