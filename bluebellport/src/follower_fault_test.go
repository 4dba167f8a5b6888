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

// partitionedStore is a store that the test can make unreachable.
type partitionedStore struct {
	bbstore.Store
	down      atomic.Bool
	staleHead atomic.Pointer[bbstore.Entry] // if set, the result of each Get
}

// Get reads an entry, unless the store is unreachable.
func (s *partitionedStore) Get(ctx context.Context, key string) (bbstore.Entry, error) {
	if s.down.Load() {
		return bbstore.Entry{}, bbstore.ErrDown
	}
	if e := s.staleHead.Load(); e != nil {
		return *e, nil
	}
	return s.Store.Get(ctx, key)
}

// List lists entries, unless the store is unreachable.
func (s *partitionedStore) List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error) {
	if s.down.Load() {
		return nil, 0, bbstore.ErrDown
	}
	return s.Store.List(ctx, prefix)
}

// Watch watches entries, and fails at the first event after the store has
// become unreachable.
func (s *partitionedStore) Watch(ctx context.Context, prefix string, from bbstore.Revision, fn func(bbstore.Event) error) error {
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

// haveTicket returns a condition: all instances have applied the ticket.
func haveTicket(n bbunit.TicketNumber, instances ...*testInstance) func() bool {
	return func() bool {
		for _, inst := range instances {
			if inst.number() < n {
				return false
			}
		}
		return true
	}
}

func TestPartitionedDomainFollowsByPeers(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	partitioned := &partitionedStore{Store: store}
	acceptTicket(t, store, 1)
	a, b := startInstance(t, "a", "partitioned", l, partitioned), startInstance(t, "b", "partitioned", l, partitioned)
	c, d := startInstance(t, "c", "connected", l, store), startInstance(t, "d", "connected", l, store)
	within(t, 10*time.Second, "every instance sees all others", func() bool {
		return len(a.view().Members) == 4 && len(b.view().Members) == 4 && len(c.view().Members) == 4 && haveTicket(1, a, b, c, d)()
	})
	partitioned.down.Store(true)
	acceptTicket(t, store, 2)
	took := within(t, 3*time.Second, "ticket 2 in the partitioned domain", haveTicket(2, a, b, c, d))
	t.Logf("applied in the partitioned domain after %s", took)

	joiner := startInstance(t, "e", "partitioned", l, partitioned)
	took = within(t, 5*time.Second, "the joining instance is ready", joiner.deps.Board.Ready.Load)
	t.Logf("joined without the key-value service after %s", took)
	is.Equal(joiner.number(), bbunit.TicketNumber(2))
}

func TestJoinFetchesStateFromPeer(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	unreachable := &partitionedStore{Store: store}
	a := startInstance(t, "a", "d1", l, store)
	var tickets []bbticket.Ticket
	for n := 1; n <= maxRetainedTickets+20; n++ {
		tickets = append(tickets, testTicket(n))
	}
	a.follower.applyTickets(tickets[:maxTicketLookahead], "")
	a.follower.applyTickets(tickets[maxTicketLookahead:], "")
	is.Equal(a.number(), bbunit.TicketNumber(maxRetainedTickets+20))
	unreachable.down.Store(true)
	b := startInstance(t, "b", "d1", l, unreachable)
	within(t, 5*time.Second, "ready", b.deps.Board.Ready.Load)
	is.Equal(b.number(), a.number())
	is.Equal(len(b.deps.Board.State.Load().ByKey), len(a.deps.Board.State.Load().ByKey)) // the indexes are rebuilt too
}

func TestStaleStateIsIgnored(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	staleStore := &partitionedStore{Store: store}
	acceptTicket(t, store, 1)
	e, err := store.Get(context.Background(), bbticket.HeadKey)
	is.NoErr(err)
	acceptTicket(t, store, 2)
	acceptTicket(t, store, 3)
	a := startInstance(t, "a", "d1", l, staleStore)
	within(t, 5*time.Second, "ticket 3", haveTicket(3, a))
	before := a.deps.Board.State.Load()
	staleStore.staleHead.Store(&e) // from now on the store returns an old head
	a.follower.readHead(nil)
	oldState, err := json.Marshal((*bbticket.State)(nil).Apply(testTicket(1)))
	is.NoErr(err)
	oldTicket, err := json.Marshal(testTicket(2))
	is.NoErr(err)
	for _, tell := range []*bbwire.TicketTell{{State: oldState}, {Tickets: [][]byte{oldTicket}}} {
		a.follower.handleTicketTell("x", &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: tell}})
	}
	is.Equal(a.deps.Board.State.Load(), before)
}

func TestNotReadyBehindPeer(t *testing.T) {
	is := is.New(t)
	l, store := newFakeList(t), bbstore.NewMem()
	staleStore := &partitionedStore{Store: store}
	acceptTicket(t, store, 1)
	e, err := store.Get(context.Background(), bbticket.HeadKey)
	is.NoErr(err)
	staleStore.staleHead.Store(&e)
	staleStore.down.Store(true)
	a := startInstance(t, "a", "d1", l, staleStore)
	a.follower.HandleGossip("x", &bbwire.Gossip{Number: 2}) // a peer announces 2
	staleStore.down.Store(false)                            // the store has only 1
	a.follower.readHead(nil)
	is.Equal(a.number(), bbunit.TicketNumber(1))
	is.True(!a.deps.Board.Ready.Load())
	a.follower.applyTickets([]bbticket.Ticket{testTicket(2)}, "x")
	a.follower.updateReady()
	is.True(a.deps.Board.Ready.Load())
}

func TestSilentWatchIsRestarted(t *testing.T) {
	l, store := newFakeList(t), bbstore.NewMem()
	acceptTicket(t, store, 1)
	a, b := startInstance(t, "a", "d1", l, store), startInstance(t, "b", "d1", l, store)
	within(t, 5*time.Second, "ticket 1, one watch", func() bool {
		return haveTicket(1, a, b)() && store.Counts().OpenWatches == 1 && a.sees("b") && b.sees("a")
	})
	store.SilenceWatches()
	acceptTicket(t, store, 2)
	took := within(t, headReadInterval+3*time.Second, "ticket 2 despite the silent watch", haveTicket(2, a, b))
	t.Logf("applied %s after the watch went silent", took)
	time.Sleep(maxWatchLag + 2*followInterval)
	acceptTicket(t, store, 3)
	within(t, 2*time.Second, "ticket 3 from the new watch", haveTicket(3, a, b))
}

func TestWatchFailover(t *testing.T) {
	l, store := newFakeList(t), bbstore.NewMem()
	acceptTicket(t, store, 1)
	instances := map[bbunit.InstanceID]*testInstance{}
	for i := range 3 {
		inst := startInstance(t, fmt.Sprint("i", i), "d1", l, store)
		instances[inst.id] = inst
	}
	within(t, 5*time.Second, "all ready", func() bool {
		for _, inst := range instances {
			if len(inst.view().Members) != 3 || !inst.deps.Board.Ready.Load() {
				return false
			}
		}
		return store.Counts().OpenWatches == 1
	})
	watcher, _ := instances["i0"].view().Home(watchKey, "d1")
	instances[watcher.ID].kill()
	delete(instances, watcher.ID)
	acceptTicket(t, store, 2)
	for _, inst := range instances {
		took := within(t, 5*time.Second, "ticket 2", haveTicket(2, inst))
		t.Logf("applied %s after the watcher was killed", took)
	}
}

func TestTicketGapIsRequested(t *testing.T) {
	is := is.New(t)
	l := newFakeList(t)
	unreachable := &partitionedStore{Store: bbstore.NewMem()}
	unreachable.down.Store(true)
	a, b := startInstance(t, "a", "d1", l, unreachable), startInstance(t, "b", "d1", l, unreachable)
	within(t, 5*time.Second, "a and b see each other", func() bool { return a.sees("b") && b.sees("a") })
	b.follower.mu.Lock() // b has tickets that it has not pushed
	b.follower.replica.applyTickets([]bbticket.Ticket{testTicket(1), testTicket(2), testTicket(3)})
	b.follower.publish(b.follower.replica.state)
	b.follower.mu.Unlock()
	a.follower.applyTickets([]bbticket.Ticket{testTicket(3)}, "b")
	within(t, 3*time.Second, "the gap is closed", haveTicket(3, a))
	is.Equal(a.deps.Board.State.Load().Accounts["own1"].Number, bbunit.TicketNumber(1))
}
