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

// recorderFleet is a number of recorders around one store, connected by buses
// that can be cut.
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
	bus   *recorderBus
}

func testRecordOptions() RecordOptions {
	return RecordOptions{
		Retention: time.Hour, ClaimPeriod: 5 * time.Millisecond, BillPeriod: 10 * time.Millisecond,
		ClaimTimeout: 2 * time.Second, TakeoverDelay: 100 * time.Millisecond, MaxUnacknowledgedBills: 1000, ClaimWriteRate: 1000, BillWriteRate: 1000,
	}
}

// newRecorderFleet starts instances a1, a2, ..., b1, ... in the failure domains
// a, b, ..., with the given number of instances in each.
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
	inst := &recorderInstance{fleet: f, id: id, store: &blockingStore{Store: f.store}}
	inst.bus = newRecorderBus(f, id)
	self := bbmember.Member{ID: id, Inc: bbunit.Incarnation(f.seq), Domain: d}
	inst.Recorder, inst.stop = NewRecorder(Deps{
		Board: NewBoard(self), Store: inst.store, Bus: inst.bus, Log: log, Metrics: metrics.NewRegistry(),
		Opts: &Options{Record: o}, Now: time.Now,
	})
	stop := inst.stop
	inst.stop = sync.OnceFunc(func() {
		inst.store.unblock()
		stop()
		inst.bus.close()
	})
	f.instances[id] = inst
	f.order = append(f.order, id)
}

// publishView gives all instances a view of the fleet without the missing ones.
func (f *recorderFleet) publishView(missing ...bbunit.InstanceID) {
	var members []bbmember.Member
	for _, id := range f.order {
		isMissing := false
		for _, m := range missing {
			isMissing = isMissing || m == id
		}
		if !isMissing {
			members = append(members, f.instances[id].self)
		}
	}
	for _, id := range f.order {
		inst := f.instances[id]
		inst.Board.View.Store(&bbmember.View{Self: inst.self, Members: members})
	}
}

// kill stops an instance at once, so that it writes and sends nothing more.
func (f *recorderFleet) kill(id bbunit.InstanceID) {
	inst := f.instances[id]
	inst.bus.setDisconnected(true)
	inst.store.kill()
	inst.stop()
	f.publishView(id)
}

// request runs one copy of a non-idempotent request at the instance and returns
// the error that its caller gets.
func (inst *recorderInstance) request(id string, amount int64) error {
	rec := inst.newRecord(id)
	if _, err := inst.Claim(context.Background(), rec); err != nil {
		return err
	}
	inst.fleet.mu.Lock()
	inst.fleet.ran[id]++
	inst.fleet.mu.Unlock()
	rec.Amount = amount
	inst.Bill(rec)
	return nil
}

func (inst *recorderInstance) newRecord(id string) *bbwire.Record {
	return &bbwire.Record{Account: "acc", Request: id, Print: 7, Service: "svc", Budget: "bud"}
}

// storedRecords returns all stored records by request id.
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

// waitForRecord waits until exactly one record of the request is stored and has
// the given kind.
func (f *recorderFleet) waitForRecord(id string, kind bbwire.Record_Kind) *bbwire.Record {
	f.t.Helper()
	var stored []*bbwire.Record
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if stored = f.storedRecords()[id]; len(stored) == 1 && stored[0].Kind == kind {
			return stored[0]
		}
	}
	f.t.Fatalf("request %q: want one record of kind %s, have %v", id, kind, stored)
	return nil
}

// homeOf returns the instance of the failure domain that commits the request's
// records.
func (f *recorderFleet) homeOf(id string, d bbunit.DomainID) *recorderInstance {
	p := bbjournal.PartitionOf("acc", id)
	for _, inst := range f.instances {
		if m, ok := inst.Board.View.Load().Home(p.HomeKey(), d); ok {
			return f.instances[m.ID]
		}
	}
	return nil
}

// otherInDomain returns another instance of the home's failure domain.
func (f *recorderFleet) otherInDomain(home *recorderInstance) *recorderInstance {
	for _, id := range f.order {
		if inst := f.instances[id]; inst.self.Domain == home.self.Domain && inst != home {
			return inst
		}
	}
	return nil
}

// blockingStore can hold back an instance's writes, as a paused process would,
// or refuse them.
type blockingStore struct {
	bbstore.Store
	mu        sync.Mutex
	unblocked chan struct{}
	killed    bool
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
	s.killed = true
	s.mu.Unlock()
	s.unblock()
}

func (s *blockingStore) CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error) {
	s.mu.Lock()
	unblocked, killed := s.unblocked, s.killed
	s.mu.Unlock()
	if killed {
		return 0, bbstore.ErrDown
	}
	if unblocked == nil {
		return s.Store.CAS(ctx, key, value, prev, lease)
	}
	type result struct {
		rev bbstore.Revision
		err error
	}
	results := make(chan result, 1)
	go func() {
		<-unblocked
		s.mu.Lock()
		killed := s.killed
		s.mu.Unlock()
		if killed {
			return
		}
		rev, err := s.Store.CAS(context.Background(), key, value, prev, lease)
		results <- result{rev, err}
	}()
	select {
	case res := <-results:
		return res.rev, res.err
	case <-ctx.Done():
		return 0, bbstore.ErrUnknown
	}
}

// recorderBus delivers envelopes within a fleet, in order for each receiver.
type recorderBus struct {
	fleet        *recorderFleet
	id           bbunit.InstanceID
	mu           sync.Mutex
	handlers     map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	disconnected bool
	shouldDrop   func(e *bbwire.Envelope) bool // selects messages to this instance to lose
	unblocked    chan struct{}                 // if set, messages to this instance wait until it is closed
	in           chan func()
	done         chan struct{}
}

func newRecorderBus(f *recorderFleet, id bbunit.InstanceID) *recorderBus {
	b := &recorderBus{
		fleet: f, id: id, handlers: map[reflect.Type]func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope{},
		in: make(chan func(), 10000), done: make(chan struct{}),
	}
	go func() {
		for {
			select {
			case fn := <-b.in:
				b.mu.Lock()
				unblocked := b.unblocked
				b.mu.Unlock()
				if unblocked != nil {
					<-unblocked
				}
				fn()
			case <-b.done:
				return
			}
		}
	}()
	return b
}

func (b *recorderBus) close() { close(b.done) }

func (b *recorderBus) setDisconnected(disconnected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnected = disconnected
}

func (b *recorderBus) isDisconnected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disconnected
}

// block holds back messages to this instance until release is called.
func (b *recorderBus) block() (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unblocked := make(chan struct{})
	b.unblocked = unblocked
	return func() {
		b.mu.Lock()
		b.unblocked = nil
		b.mu.Unlock()
		close(unblocked)
	}
}

func (b *recorderBus) dropIf(shouldDrop func(e *bbwire.Envelope) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shouldDrop = shouldDrop
}

func (b *recorderBus) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[reflect.TypeOf(sample.Body)] = fn
}

func (b *recorderBus) deliver(to bbunit.InstanceID, e *bbwire.Envelope, onReply func(*bbwire.Envelope)) error {
	inst := b.fleet.instances[to]
	if inst == nil || b.isDisconnected() || inst.bus.isDisconnected() {
		return ErrPeerUnreachable
	}
	c := proto.Clone(e).(*bbwire.Envelope)
	inst.bus.in <- func() {
		inst.bus.mu.Lock()
		fn, shouldDrop := inst.bus.handlers[reflect.TypeOf(c.Body)], inst.bus.shouldDrop
		inst.bus.mu.Unlock()
		if inst.bus.isDisconnected() || shouldDrop != nil && shouldDrop(c) {
			return
		}
		if reply := fn(b.id, c); onReply != nil && reply != nil {
			onReply(reply)
		}
	}
	return nil
}

func (b *recorderBus) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	return b.deliver(to, e, nil)
}

func (b *recorderBus) Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	replies := make(chan *bbwire.Envelope, 1)
	if err := b.deliver(to, e, func(reply *bbwire.Envelope) { replies <- reply }); err != nil {
		return nil, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, ErrPeerUnreachable
	}
}
