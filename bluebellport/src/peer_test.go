package bbport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

func TestPeersContract(t *testing.T) {
	busContract(t, func(t *testing.T) busPair {
		l := newListFake(t)
		a, _, err := NewPeers(testParts("a", "d1", l.srv.Listener.Addr().String(), nil))
		if err != nil {
			t.Fatal(err)
		}
		pb := testParts("b", "d1", l.srv.Listener.Addr().String(), nil)
		self := *pb.Board.View.Load()
		self.Self.Inc = 2
		pb.Board.View.Store(&self)
		b, stopB, err := NewPeers(pb)
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
		within(t, 5*time.Second, "a sees b", func() bool { _, ok := a.parts.Board.View.Load().Find("b"); return ok })
		return busPair{a: a, b: b, sever: func() {
			severed = true
			stopB()
		}}
	})
}

func TestStreams(t *testing.T) {
	is := is.New(t)
	l := newListFake(t)
	store := bbstore.NewMem()
	a, b := startNode(t, "a", "d1", l, store), startNode(t, "b", "d2", l, store)
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
	is.NoErr(err) // an unknown kind is closed, and the session stands
	is.True(b.peers.count.Count() > 0)
	is.True(a.peers.linkTo("b").current() != nil)
}

func (p *Peers) linkTo(id bbunit.InstanceID) *link {
	v, ok := p.links.Load(id)
	if !ok {
		return nil
	}
	return v.(*link)
}
