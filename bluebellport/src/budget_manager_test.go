package bbport

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fakeNetwork connects fake buses. For each pair in cut, the first instance
// cannot send to the second.
type fakeNetwork struct {
	mu    sync.Mutex
	buses map[bbunit.InstanceID]*fakeBus
	cut   map[[2]bbunit.InstanceID]bool
}

type fakeBus struct {
	net      *fakeNetwork
	id       bbunit.InstanceID
	handlers map[string]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
}

func (b *fakeBus) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	peer := b.net.buses[to]
	if peer == nil || b.net.cut[[2]bbunit.InstanceID{b.id, to}] {
		return ErrPeerUnreachable
	}
	if fn := peer.handlers[fmt.Sprintf("%T", e.Body)]; fn != nil {
		fn(b.id, proto.Clone(e).(*bbwire.Envelope))
	}
	return nil
}

func (b *fakeBus) Call(context.Context, bbunit.InstanceID, *bbwire.Envelope) (*bbwire.Envelope, error) {
	return nil, ErrPeerUnreachable
}

func (b *fakeBus) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	b.handlers[fmt.Sprintf("%T", sample.Body)] = fn
}

// budgetFleet is a number of budget managers around one store.
type budgetFleet struct {
	t        testing.TB
	net      *fakeNetwork
	store    *bbstore.Mem
	managers map[bbunit.InstanceID]*BudgetManager
	stop     map[bbunit.InstanceID]func()
	boards   map[bbunit.InstanceID]*Board
	members  []bbmember.Member
	state    *bbticket.State
}

func newBudgetFleet(t testing.TB, members ...bbmember.Member) *budgetFleet {
	f := &budgetFleet{
		t: t, store: bbstore.NewMem(), net: &fakeNetwork{buses: map[bbunit.InstanceID]*fakeBus{}, cut: map[[2]bbunit.InstanceID]bool{}},
		managers: map[bbunit.InstanceID]*BudgetManager{}, stop: map[bbunit.InstanceID]func(){}, boards: map[bbunit.InstanceID]*Board{},
		state: &bbticket.State{},
	}
	for _, m := range members {
		f.start(m)
	}
	return f
}

func (f *budgetFleet) start(m bbmember.Member) {
	f.members = append(f.members, m)
	b := NewBoard(m)
	bus := &fakeBus{net: f.net, id: m.ID, handlers: map[string]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{}}
	f.boards[m.ID] = b
	f.publish()
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := &Options{Budget: BudgetOptions{Preset: "fjarrgrav", Borrow: "yes"}}
	mgr, stop := NewBudgetManager(Deps{Board: b, Store: f.store, Bus: bus, Log: log, Metrics: metrics.NewRegistry(), Opts: opts, Now: time.Now})
	f.managers[m.ID], f.stop[m.ID] = mgr, stop
	f.net.mu.Lock()
	f.net.buses[m.ID] = bus
	f.net.mu.Unlock()
	f.t.Cleanup(stop)
}

// kill stops an instance without draining it; the others see it leave the view.
func (f *budgetFleet) kill(id bbunit.InstanceID) {
	f.stop[id]()
	f.net.mu.Lock()
	delete(f.net.buses, id)
	f.net.mu.Unlock()
	f.removeMember(id)
}

// removeMember removes an instance from the view.
func (f *budgetFleet) removeMember(id bbunit.InstanceID) {
	var remaining []bbmember.Member
	for _, m := range f.members {
		if m.ID != id {
			remaining = append(remaining, m)
		}
	}
	f.members = remaining
	f.publish()
}

func (f *budgetFleet) publish() {
	for id, b := range f.boards {
		v := &bbmember.View{Self: b.View.Load().Self, Members: append([]bbmember.Member{}, f.members...)}
		b.View.Store(v)
		b.State.Store(f.state)
		_ = id
	}
}

// setBudget applies a ticket that sets the budget's paid amount.
func (f *budgetFleet) setBudget(b bbunit.BudgetID, paid bbunit.Tokens) {
	f.state = f.state.Apply(bbticket.Ticket{Number: f.state.Number + 1, Budgets: []bbticket.Budget{{ID: b, Paid: paid}}})
	f.publish()
}

// spend runs n requests one after the other. It returns the tokens spent and
// how many requests were refused with ErrBudgetExhausted and with another
// error.
func (f *budgetFleet) spend(id bbunit.InstanceID, b bbunit.BudgetID, n int, amount, used bbunit.Tokens) (spent bbunit.Tokens, exhausted, noShare int) {
	for range n {
		res, err := f.managers[id].Reserve(context.Background(), []bbunit.BudgetID{b}, amount)
		switch {
		case errors.Is(err, ErrBudgetExhausted):
			exhausted++
		case err != nil:
			noShare++
		default:
			res.Commit(used)
			spent += min(used, amount)
		}
	}
	return spent, exhausted, noShare
}

func (f *budgetFleet) budgetStatus(b bbunit.BudgetID) bbledger.BudgetStatus {
	all, err := bbledger.ListBudgets(context.Background(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, s := range all {
		if s.Budget == b {
			return s
		}
	}
	return bbledger.BudgetStatus{}
}

// eventually waits until done returns true.
func (f *budgetFleet) eventually(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s; budget: %+v", what, f.budgetStatus("b"))
}

func testMember(id, domain string) bbmember.Member {
	return bbmember.Member{ID: bbunit.InstanceID(id), Inc: bbunit.Incarnation(len(id) + int(id[len(id)-1])), Domain: bbunit.DomainID(domain)}
}

func TestBudgetManagerSpendsThePaidAmountAndNoMore(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"), testMember("b1", "b"))
	f.setBudget("b", 1000)
	var spent bbunit.Tokens
	for _, id := range []bbunit.InstanceID{"a1", "a2", "b1", "a1", "a2", "b1"} {
		s, _, noShare := f.spend(id, "b", 60, 10, 10)
		spent += s
		is.Equal(noShare, 0)
	}
	is.Equal(spent, bbunit.Tokens(1000)) // all of it, then ErrBudgetExhausted
	for _, m := range f.managers {
		is.NoErr(m.Drain(drainCtx(t)))
	}
	s := f.budgetStatus("b")
	is.Equal(s.Settled, bbunit.Tokens(1000))
	is.Equal(s.Drawn, bbunit.Tokens(0))
}

func drainCtx(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestBudgetManagersDrainAtTheSameTime checks that a planned stop of the whole
// fleet leaves no tokens stuck. An instance that stopped right after returning
// its tokens could not answer the allocators that close holders at the same
// time.
func TestBudgetManagersDrainAtTheSameTime(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(t, testMember("a1", "a"), testMember("a2", "a"), testMember("a3", "a"), testMember("b1", "b"), testMember("b2", "b"))
	budgets := []bbunit.BudgetID{"b", "c", "d", "e"}
	want := map[bbunit.BudgetID]bbunit.Tokens{}
	for _, b := range budgets {
		f.setBudget(b, 10000)
		for id := range f.managers {
			s, _, _ := f.spend(id, b, 10, 50, 7)
			want[b] += s
		}
	}
	ctx := drainCtx(t)
	var wg sync.WaitGroup
	for id, m := range f.managers {
		wg.Go(func() {
			if err := m.Drain(ctx); err != nil {
				t.Errorf("%s: %v", id, err)
			}
			f.net.mu.Lock()
			delete(f.net.buses, id) // unreachable once its drain has ended
			f.net.mu.Unlock()
		})
	}
	wg.Wait()
	for _, b := range budgets {
		s := f.budgetStatus(b)
		is.Equal(s.Stuck, bbunit.Tokens(0))
		is.Equal(s.Drawn, bbunit.Tokens(0))
		is.Equal(s.Settled, want[b])
	}
}
