package bbport

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// recorderFleet is a few recorders around one store, joined by a net that can be cut.
type recorderFleet struct {
	t         testing.TB
	store     *bbstore.Mem
	instances map[bbunit.InstanceID]*recorderInstance
	order     []bbunit.InstanceID

	mu  sync.Mutex
	ran map[string]int
	seq uint64
}

type recorderInstance struct {
	*Recorder
	fleet *recorderFleet
	id    bbunit.InstanceID
	stop  func()
	store *blockingStore
	bus   *recordBus
}

func testRecordOptions() RecordOptions {
	return RecordOptions{
		Retention: time.Hour, ClaimPeriod: 5 * time.Millisecond, BillPeriod: 10 * time.Millisecond,
		ClaimTimeout: 2 * time.Second, TakeoverDelay: 100 * time.Millisecond, MaxUnacknowledgedBills: 1000, ClaimWriteRate: 1000, BillWriteRate: 1000,
	}
}

// newRecorderFleet starts instances a1, a2, ... b1, ... with the given numbers in
// the failure domains a, b, ...
func newRecorderFleet(t testing.TB, o RecordOptions, domains ...int) *recorderFleet {
	f := &recorderFleet{t: t, store: bbstore.NewMem(), instances: map[bbunit.InstanceID]*recorderInstance{}, ran: map[string]int{}}
	for d, n := range domains {
		for i := range n {
			domain := string(rune('a' + d))
			f.start(bbunit.InstanceID(fmt.Sprintf("%s%d", domain, i+1)), bbunit.DomainID(domain), o)
		}
	}
	f.publishView()
	t.Cleanup(func() {
		for _, id := range f.order {
			f.instances[id].stop()
		}
	})
	return f
}

func (f *recorderFleet) start(id bbunit.InstanceID, d bbunit.DomainID, o RecordOptions) {
	f.seq++
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &recorderInstance{fleet: f, id: id, store: &blockingStore{Store: f.store}}
	n.bus = newRecordBus(f, id)
	self := bbmember.Member{ID: id, Inc: bbunit.Incarnation(f.seq), Domain: d}
	n.Recorder, n.stop = NewRecorder(Deps{
		Board: NewBoard(self), Store: n.store, Bus: n.bus, Log: log, Metrics: metrics.NewRegistry(),
		Opts: &Options{Record: o}, Now: time.Now,
	})
	stop := n.stop
	n.stop = sync.OnceFunc(func() {
		n.store.unblock()
		stop()
		n.bus.close()
	})
	f.instances[id] = n
	f.order = append(f.order, id)
}

// publishView gives all instances the same view, without those missing.
func (f *recorderFleet) publishView(missing ...bbunit.InstanceID) {
	var live []bbmember.Member
	for _, id := range f.order {
		gone := false
		for _, m := range missing {
			gone = gone || m == id
		}
		if !gone {
			live = append(live, f.instances[id].self)
		}
	}
	for _, id := range f.order {
		n := f.instances[id]
		n.Board.View.Store(&bbmember.View{Self: n.self, Members: live})
	}
}

// kill ends an instance at once: it writes and sends nothing more.
func (f *recorderFleet) kill(id bbunit.InstanceID) {
	n := f.instances[id]
	n.bus.setDisconnected(true)
	n.store.kill()
	n.stop()
	f.publishView(id)
}

// request is one copy of a non-idempotent request at an instance; it returns
// what the caller is told.
func (n *recorderInstance) request(id string, amount int64) error {
	r := n.newRecord(id)
	if _, err := n.Claim(context.Background(), r); err != nil {
		return err
	}
	n.fleet.mu.Lock()
	n.fleet.ran[id]++
	n.fleet.mu.Unlock()
	r.Amount = amount
	n.Bill(r)
	return nil
}

func (n *recorderInstance) newRecord(id string) *bbwire.Record {
	return &bbwire.Record{Account: "acc", Request: id, Print: 7, Service: "svc", Budget: "bud"}
}

// storedRecords returns all records in the store by request id.
func (f *recorderFleet) storedRecords() map[string][]*bbwire.Record {
	entries, _, err := f.store.List(context.Background(), bbjournal.Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	out := map[string][]*bbwire.Record{}
	for _, e := range entries {
		l := &bbwire.Leaf{}
		if err := proto.Unmarshal(e.Value, l); err != nil {
			f.t.Fatal(err)
		}
		for _, r := range l.Records {
			out[r.Request] = append(out[r.Request], r)
		}
	}
	return out
}

// waitForRecord waits until the request has exactly one record of that kind.
func (f *recorderFleet) waitForRecord(id string, kind bbwire.Record_Kind) *bbwire.Record {
	f.t.Helper()
	var last []*bbwire.Record
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if last = f.storedRecords()[id]; len(last) == 1 && last[0].Kind == kind {
			return last[0]
		}
	}
	f.t.Fatalf("%s: want one %s, have %v", id, kind, last)
	return nil
}

// homeOf returns the instance of the failure domain that commits for the request.
func (f *recorderFleet) homeOf(id string, d bbunit.DomainID) *recorderInstance {
	p := bbjournal.PartitionOf("acc", id)
	for _, n := range f.instances {
		if m, ok := n.Board.View.Load().Home(p.HomeKey(), d); ok {
			return f.instances[m.ID]
		}
	}
	return nil
}

// otherInDomain returns an instance of the home's failure domain that is not it.
func (f *recorderFleet) otherInDomain(home *recorderInstance) *recorderInstance {
	for _, id := range f.order {
		if n := f.instances[id]; n.self.Domain == home.self.Domain && n != home {
			return n
		}
	}
	return nil
}

// blockingStore can hold an instance's writes back, as a pause would, or refuse all.
type blockingStore struct {
	bbstore.Store
	mu        sync.Mutex
	unblocked chan struct{}
	dead      bool
}

func (s *blockingStore) block() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unblocked = make(chan struct{})
}

func (s *blockingStore) unblock() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unblocked != nil {
		close(s.unblocked)
		s.unblocked = nil
	}
}

func (s *blockingStore) kill() {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.unblock()
}

func (s *blockingStore) CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error) {
	s.mu.Lock()
	gate, dead := s.unblocked, s.dead
	s.mu.Unlock()
	if dead {
		return 0, bbstore.ErrDown
	}
	if gate == nil {
		return s.Store.CAS(ctx, key, value, prev, lease)
	}
	type answer struct {
		rev bbstore.Revision
		err error
	}
	c := make(chan answer, 1)
	go func() {
		<-gate
		s.mu.Lock()
		dead := s.dead
		s.mu.Unlock()
		if dead {
			return
		}
		rev, err := s.Store.CAS(context.Background(), key, value, prev, lease)
		c <- answer{rev, err}
	}()
	select {
	case a := <-c:
		return a.rev, a.err
	case <-ctx.Done():
		return 0, bbstore.ErrUnknown
	}
}

// recordBus delivers envelopes within a fleet, in order for each receiver.
type recordBus struct {
	fleet        *recorderFleet
	id           bbunit.InstanceID
	mu           sync.Mutex
	handlers     map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	disconnected bool
	shouldDrop   func(e *bbwire.Envelope) bool // messages to this instance that get lost
	unblocked    chan struct{}                 // messages to this instance wait for it
	in           chan func()
	done         chan struct{}
}

func newRecordBus(f *recorderFleet, id bbunit.InstanceID) *recordBus {
	b := &recordBus{
		fleet: f, id: id, handlers: map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{},
		in: make(chan func(), 10000), done: make(chan struct{}),
	}
	go func() {
		for {
			select {
			case fn := <-b.in:
				b.mu.Lock()
				gate := b.unblocked
				b.mu.Unlock()
				if gate != nil {
					<-gate
				}
				fn()
			case <-b.done:
				return
			}
		}
	}()
	return b
}

func (b *recordBus) close() { close(b.done) }

func (b *recordBus) setDisconnected(off bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnected = off
}

func (b *recordBus) isDisconnected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disconnected
}

// block keeps the messages to this instance back until release.
func (b *recordBus) block() (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gate := make(chan struct{})
	b.unblocked = gate
	return func() {
		b.mu.Lock()
		b.unblocked = nil
		b.mu.Unlock()
		close(gate)
	}
}

func (b *recordBus) dropIf(drop func(e *bbwire.Envelope) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shouldDrop = drop
}

func (b *recordBus) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[reflect.TypeOf(sample.Body)] = fn
}

func (b *recordBus) deliver(to bbunit.InstanceID, e *bbwire.Envelope, then func(*bbwire.Envelope)) error {
	n := b.fleet.instances[to]
	if n == nil || b.isDisconnected() || n.bus.isDisconnected() {
		return ErrPeerUnreachable
	}
	c := proto.Clone(e).(*bbwire.Envelope)
	n.bus.in <- func() {
		n.bus.mu.Lock()
		fn, drop := n.bus.handlers[reflect.TypeOf(c.Body)], n.bus.shouldDrop
		n.bus.mu.Unlock()
		if n.bus.isDisconnected() || drop != nil && drop(c) {
			return
		}
		if a := fn(b.id, c); then != nil && a != nil {
			then(a)
		}
	}
	return nil
}

func (b *recordBus) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	return b.deliver(to, e, nil)
}

func (b *recordBus) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	got := make(chan *bbwire.Envelope, 1)
	if err := b.deliver(to, e, func(a *bbwire.Envelope) { got <- a }); err != nil {
		return nil, err
	}
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return nil, ErrPeerUnreachable
	}
}
