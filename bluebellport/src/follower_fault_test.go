package bbport

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// cutStore is one failure domain's way to the service, which the test cuts.
type cutStore struct {
	bbstore.Store
	down  atomic.Bool
	stale atomic.Pointer[bbstore.Entry] // what Get reads instead
}

// Get reads unless the way is cut.
func (s *cutStore) Get(ctx context.Context, key string) (bbstore.Entry, error) {
	if s.down.Load() {
		return bbstore.Entry{}, bbstore.ErrDown
	}
	if e := s.stale.Load(); e != nil {
		return *e, nil
	}
	return s.Store.Get(ctx, key)
}

// List reads unless the way is cut.
func (s *cutStore) List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error) {
	if s.down.Load() {
		return nil, 0, bbstore.ErrDown
	}
	return s.Store.List(ctx, prefix)
}

// Watch watches unless the way is cut; a cut ends it.
func (s *cutStore) Watch(ctx context.Context, prefix string, from bbstore.Revision, fn func(bbstore.Event) error) error {
	if s.down.Load() {
		return bbstore.ErrDown
	}
	return s.Store.Watch(ctx, prefix, from, func(e bbstore.Event) error {
		if s.down.Load() {
			return bbstore.ErrDown
		}
		return fn(e)
	})
}

// numbers tells whether all the instances have the ticket in force.
func numbers(n bbunit.TicketNumber, nodes ...*testNode) func() bool {
	return func() bool {
		for _, d := range nodes {
			if d.number() < n {
				return false
			}
		}
		return true
	}
}

func TestDomainCutFromTheServiceHearsFromPeers(t *testing.T) {
	is := is.New(t)
	l, store := newListFake(t), bbstore.NewMem()
	cut := &cutStore{Store: store}
	accept(t, store, 1)
	a, b := startNode(t, "a", "cut", l, cut), startNode(t, "b", "cut", l, cut)
	c, d := startNode(t, "c", "whole", l, store), startNode(t, "d", "whole", l, store)
	within(t, 10*time.Second, "all know all", func() bool {
		return len(a.view().Members) == 4 && len(b.view().Members) == 4 && len(c.view().Members) == 4 && numbers(1, a, b, c, d)()
	})
	cut.down.Store(true)
	accept(t, store, 2)
	took := within(t, 3*time.Second, "ticket 2 on the side that is cut from the service", numbers(2, a, b, c, d))
	t.Logf("in force on the cut side after %s", took)

	joiner := startNode(t, "e", "cut", l, cut)
	took = within(t, 5*time.Second, "the joining instance is ready", joiner.parts.Board.Ready.Load)
	t.Logf("joined without the service after %s", took)
	is.Equal(joiner.number(), bbunit.TicketNumber(2))
}

func TestJoinTakesAWholeStateFromAPeer(t *testing.T) {
	is := is.New(t)
	l, store := newListFake(t), bbstore.NewMem()
	cut := &cutStore{Store: store}
	a := startNode(t, "a", "d1", l, store)
	var tickets []bbticket.Ticket
	for n := 1; n <= maxKept+20; n++ {
		tickets = append(tickets, testTicket(n))
	}
	a.follower.takeTickets(tickets[:maxHeld], "")
	a.follower.takeTickets(tickets[maxHeld:], "")
	is.Equal(a.number(), bbunit.TicketNumber(maxKept+20))
	cut.down.Store(true)
	b := startNode(t, "b", "d1", l, cut)
	within(t, 5*time.Second, "ready", b.parts.Board.Ready.Load)
	is.Equal(b.number(), a.number())
	is.Equal(len(b.parts.Board.State.Load().ByKey), len(a.parts.Board.State.Load().ByKey)) // indexes too
}

func TestOldValuesChangeNothing(t *testing.T) {
	is := is.New(t)
	l, store := newListFake(t), bbstore.NewMem()
	old := &cutStore{Store: store}
	accept(t, store, 1)
	e, err := store.Get(context.Background(), bbticket.HeadKey)
	is.NoErr(err)
	accept(t, store, 2)
	accept(t, store, 3)
	a := startNode(t, "a", "d1", l, old)
	within(t, 5*time.Second, "ticket 3", numbers(3, a))
	before := a.parts.Board.State.Load()
	old.stale.Store(&e) // the service answers with an old head from now on
	a.follower.readHead(nil)
	oldState, err := json.Marshal((*bbticket.State)(nil).Apply(testTicket(1)))
	is.NoErr(err)
	oldTicket, err := json.Marshal(testTicket(2))
	is.NoErr(err)
	for _, tell := range []*bbwire.TicketTell{{State: oldState}, {Tickets: [][]byte{oldTicket}}} {
		a.follower.onTell("x", &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: tell}})
	}
	is.Equal(a.parts.Board.State.Load(), before)
}

func TestReadyOnlyWithWhatAReachedPeerHas(t *testing.T) {
	is := is.New(t)
	l, store := newListFake(t), bbstore.NewMem()
	old := &cutStore{Store: store}
	accept(t, store, 1)
	e, err := store.Get(context.Background(), bbticket.HeadKey)
	is.NoErr(err)
	old.stale.Store(&e)
	old.down.Store(true)
	a := startNode(t, "a", "d1", l, old)
	a.follower.Take("x", &bbwire.Gossip{Number: 2}) // a peer that was reached has 2
	old.down.Store(false)                           // the service only shows 1
	a.follower.readHead(nil)
	is.Equal(a.number(), bbunit.TicketNumber(1))
	is.True(!a.parts.Board.Ready.Load())
	a.follower.takeTickets([]bbticket.Ticket{testTicket(2)}, "x")
	a.follower.ready()
	is.True(a.parts.Board.Ready.Load())
}

func TestSilentWatchIsFoundByReading(t *testing.T) {
	l, store := newListFake(t), bbstore.NewMem()
	accept(t, store, 1)
	a, b := startNode(t, "a", "d1", l, store), startNode(t, "b", "d1", l, store)
	within(t, 5*time.Second, "ticket 1, one watch", func() bool {
		return numbers(1, a, b)() && store.Counts().Waiting == 1 && a.sees("b") && b.sees("a")
	})
	store.Mute()
	accept(t, store, 2)
	took := within(t, headPeriod+3*time.Second, "ticket 2 in spite of the silent watch", numbers(2, a, b))
	t.Logf("in force %s after the watch went silent", took)
	time.Sleep(watchLag + 2*followPeriod)
	accept(t, store, 3)
	within(t, 2*time.Second, "ticket 3 by a new watch", numbers(3, a, b))
}

func TestNextInstanceTakesTheWatchOver(t *testing.T) {
	l, store := newListFake(t), bbstore.NewMem()
	accept(t, store, 1)
	nodes := map[bbunit.InstanceID]*testNode{}
	for i := range 3 {
		n := startNode(t, fmt.Sprint("i", i), "d1", l, store)
		nodes[n.id] = n
	}
	within(t, 5*time.Second, "all ready", func() bool {
		for _, n := range nodes {
			if len(n.view().Members) != 3 || !n.parts.Board.Ready.Load() {
				return false
			}
		}
		return store.Counts().Waiting == 1
	})
	home, _ := nodes["i0"].view().Home(watchKey, "d1")
	nodes[home.ID].kill()
	delete(nodes, home.ID)
	accept(t, store, 2)
	for _, n := range nodes {
		took := within(t, 5*time.Second, "ticket 2", numbers(2, n))
		t.Logf("in force %s after the watching instance was killed", took)
	}
}

func TestTicketsOutOfOrderAreAskedFor(t *testing.T) {
	is := is.New(t)
	l := newListFake(t)
	down := &cutStore{Store: bbstore.NewMem()}
	down.down.Store(true)
	a, b := startNode(t, "a", "d1", l, down), startNode(t, "b", "d1", l, down)
	within(t, 5*time.Second, "a and b see each other", func() bool { return a.sees("b") && b.sees("a") })
	b.follower.mu.Lock() // b has tickets that it did not pass on
	b.follower.replica.tickets([]bbticket.Ticket{testTicket(1), testTicket(2), testTicket(3)})
	b.follower.publish(b.follower.replica.state)
	b.follower.mu.Unlock()
	a.follower.takeTickets([]bbticket.Ticket{testTicket(3)}, "b")
	within(t, 3*time.Second, "the gap is filled", numbers(3, a))
	is.Equal(a.parts.Board.State.Load().Accounts["own1"].Number, bbunit.TicketNumber(1))
}
