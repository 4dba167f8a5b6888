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

// fakeNet joins fake buses; a cut pair hears nothing of each other.
type fakeNet struct {
	mu   sync.Mutex
	bus  map[bbunit.InstanceID]*fakeBus
	dead map[[2]bbunit.InstanceID]bool
}

type fakeBus struct {
	net *fakeNet
	id  bbunit.InstanceID
	fns map[string]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
}

func (b *fakeBus) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	x := b.net.bus[to]
	if x == nil || b.net.dead[[2]bbunit.InstanceID{b.id, to}] {
		return ErrPeer
	}
	if fn := x.fns[fmt.Sprintf("%T", e.Body)]; fn != nil {
		fn(b.id, proto.Clone(e).(*bbwire.Envelope))
	}
	return nil
}

func (b *fakeBus) Call(context.Context, bbunit.InstanceID, *bbwire.Envelope) (*bbwire.Envelope, error) {
	return nil, ErrPeer
}

func (b *fakeBus) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	b.fns[fmt.Sprintf("%T", sample.Body)] = fn
}

// fakeFleet is some treasuries over one store.
type fakeFleet struct {
	t     testing.TB
	net   *fakeNet
	mem   *bbstore.Mem
	money map[bbunit.InstanceID]*Treasury
	stop  map[bbunit.InstanceID]func()
	board map[bbunit.InstanceID]*Board
	live  []bbmember.Member
	state *bbticket.State
}

func newFakeFleet(t testing.TB, members ...bbmember.Member) *fakeFleet {
	f := &fakeFleet{
		t: t, mem: bbstore.NewMem(), net: &fakeNet{bus: map[bbunit.InstanceID]*fakeBus{}, dead: map[[2]bbunit.InstanceID]bool{}},
		money: map[bbunit.InstanceID]*Treasury{}, stop: map[bbunit.InstanceID]func(){}, board: map[bbunit.InstanceID]*Board{},
		state: &bbticket.State{},
	}
	for _, m := range members {
		f.start(m)
	}
	return f
}

func (f *fakeFleet) start(m bbmember.Member) {
	f.live = append(f.live, m)
	b := NewBoard(m)
	bus := &fakeBus{net: f.net, id: m.ID, fns: map[string]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{}}
	f.board[m.ID] = b
	f.show()
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := &Options{Money: MoneyOptions{Preset: "fjarrgrav", Borrow: "yes"}}
	tr, stop := NewTreasury(Parts{Board: b, Store: f.mem, Bus: bus, Log: log, Metrics: metrics.NewRegistry(), Opts: opts, Now: time.Now})
	f.money[m.ID], f.stop[m.ID] = tr, stop
	f.net.mu.Lock()
	f.net.bus[m.ID] = bus
	f.net.mu.Unlock()
	f.t.Cleanup(stop)
}

// kill stops an instance without a word; the others learn of it.
func (f *fakeFleet) kill(id bbunit.InstanceID) {
	f.stop[id]()
	f.net.mu.Lock()
	delete(f.net.bus, id)
	f.net.mu.Unlock()
	f.forget(id)
}

// forget takes an instance out of the list of live ones.
func (f *fakeFleet) forget(id bbunit.InstanceID) {
	var kept []bbmember.Member
	for _, m := range f.live {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	f.live = kept
	f.show()
}

func (f *fakeFleet) show() {
	for id, b := range f.board {
		v := &bbmember.View{Self: b.View.Load().Self, Members: append([]bbmember.Member{}, f.live...)}
		b.View.Store(v)
		b.State.Store(f.state)
		_ = id
	}
}

// pay puts a budget in force.
func (f *fakeFleet) pay(b bbunit.BudgetID, paid bbunit.Tokens) {
	f.state = f.state.Apply(bbticket.Ticket{Number: f.state.Number + 1, Budgets: []bbticket.Budget{{ID: b, Paid: paid}}})
	f.show()
}

// spend runs n requests one after the other and counts what was spent and the
// refusals by kind.
func (f *fakeFleet) spend(id bbunit.InstanceID, b bbunit.BudgetID, n int, most, used bbunit.Tokens) (spent bbunit.Tokens, budget, share int) {
	for range n {
		h, err := f.money[id].Reserve(context.Background(), []bbunit.BudgetID{b}, most)
		switch {
		case errors.Is(err, ErrBudget):
			budget++
		case err != nil:
			share++
		default:
			h.End(used)
			spent += min(used, most)
		}
	}
	return spent, budget, share
}

func (f *fakeFleet) status(b bbunit.BudgetID) bbledger.BudgetStatus {
	all, err := bbledger.ListBudgets(context.Background(), f.mem)
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

// eventually waits until ok holds.
func (f *fakeFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not in time: %s; %+v", what, f.status("b"))
}

func member(id, domain string) bbmember.Member {
	return bbmember.Member{ID: bbunit.InstanceID(id), Inc: bbunit.Incarnation(len(id) + int(id[len(id)-1])), Domain: bbunit.DomainID(domain)}
}

func TestTreasurySpendsAllThatIsPaidAndNoMore(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"), member("a2", "a"), member("b1", "b"))
	f.pay("b", 1000)
	var spent bbunit.Tokens
	for _, id := range []bbunit.InstanceID{"a1", "a2", "b1", "a1", "a2", "b1"} {
		s, _, share := f.spend(id, "b", 60, 10, 10)
		spent += s
		is.Equal(share, 0)
	}
	is.Equal(spent, bbunit.Tokens(1000)) // all of it, then ErrBudget
	for _, m := range f.money {
		is.NoErr(m.Drain(drainCtx(t)))
	}
	s := f.status("b")
	is.Equal(s.Settled, bbunit.Tokens(1000))
	is.Equal(s.Drawn, bbunit.Tokens(0))
}

func drainCtx(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestTreasuryAllStopAtOnce: a planned stop of the whole fleet leaves nothing
// stuck, since an instance that has returned its money stays to say so.
func TestTreasuryAllStopAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, member("a1", "a"), member("a2", "a"), member("a3", "a"), member("b1", "b"), member("b2", "b"))
	budgets := []bbunit.BudgetID{"b", "c", "d", "e"}
	want := map[bbunit.BudgetID]bbunit.Tokens{}
	for _, b := range budgets {
		f.pay(b, 10000)
		for id := range f.money {
			s, _, _ := f.spend(id, b, 10, 50, 7)
			want[b] += s
		}
	}
	ctx := drainCtx(t)
	var wg sync.WaitGroup
	for id, m := range f.money {
		wg.Go(func() {
			if err := m.Drain(ctx); err != nil {
				t.Errorf("%s: %v", id, err)
			}
			f.net.mu.Lock()
			delete(f.net.bus, id) // it is gone once its drain has ended
			f.net.mu.Unlock()
		})
	}
	wg.Wait()
	for _, b := range budgets {
		s := f.status(b)
		is.Equal(s.Stuck, bbunit.Tokens(0))
		is.Equal(s.Drawn, bbunit.Tokens(0))
		is.Equal(s.Settled, want[b])
	}
}
